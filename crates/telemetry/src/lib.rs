//! What every process of the fleet reports of itself: metrics, rate-limited log lines, violated invariants.
//!
//! | module | job |
//! | --- | --- |
//! | `endpoint` | serves `GET /metrics` on a port of its own |
//! | `exposition` | writes metrics in the OpenMetrics text format, violated invariants among them |
//! | `log_rate_limiter` | bounds the rate of log lines and counts the suppressed ones |
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
