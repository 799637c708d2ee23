//! Telemetry of the processes of the fleet: metrics, rate-limited log lines and violated invariants.
//!
//! | module | concern |
//! | --- | --- |
//! | `endpoint` | serves `GET /metrics` on a separate port |
//! | `exposition` | writes metrics, including the counts of violated invariants, in the OpenMetrics text format |
//! | `log_rate_limiter` | limits the rate of log lines and counts the suppressed ones |
//! | `violations` | writes violated invariants to the log |
#![forbid(unsafe_code)]

mod endpoint;
mod exposition;
mod log_rate_limiter;
mod violations;

pub use endpoint::{MetricsEndpoint, MetricsRequest};
pub use exposition::{CONTENT_TYPE, Exposition, InvariantCounters};
pub use log_rate_limiter::{LogPermit, LogRateLimiter};
pub use violations::install_violation_logger;
