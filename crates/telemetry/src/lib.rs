//! What every process of the fleet tells of itself.
//!
//! | module | job |
//! | --- | --- |
//! | `endpoint` | serves `GET /metrics` on a port of its own |
//! | `exposition` | writes figures in the OpenMetrics text format, violated invariants among them |
//! | `line_limit` | bounds the rate of log lines and counts those that are left out |
//! | `violations` | writes violated invariants to the log |
#![forbid(unsafe_code)]

mod endpoint;
mod exposition;
mod line_limit;
mod violations;

pub use endpoint::{MetricsEndpoint, MetricsRequest};
pub use exposition::{CONTENT_TYPE, Exposition, InvariantCounters};
pub use line_limit::{LineLimit, Permit};
pub use violations::log_violations;
