//! Plans which model servers prefill prompts and which decode tokens, and when a server changes its stage.
//!
//! [`Planner`] is a state machine without I/O. The holder of the list watcher's role passes it each server
//! list together with the load of the fleet. The planner decides which servers change their stage; each
//! change has three steps:
//!
//! 1. **Announce**: the server is shown to the proxies as draining ([`Planner::mark_changing_as_draining`]),
//!    so that no new request is on its way to the server when it changes.
//! 2. **Order**: [`Planner::take_due_orders`] returns the order once the announcement has reached every
//!    proxy.
//! 3. **Settle**: the server stays out of service until the list shows its new stage. If this takes longer
//!    than expected, the server is asked for its report.
//!
//! A planner that takes over the lease does not know the changes that the previous holder ordered. It asks
//! the servers for their reports ([`Planner::servers_to_query`], [`Planner::record_report`]) before it plans.
//!
//! [`target`] computes how many servers of each zone should decode.
#![forbid(unsafe_code)]

mod change;
mod load;
mod order;
mod planner;
mod report;
mod settings;
mod stale_tokens;
pub mod target;
mod tuning;

pub use order::{Order, OrderOutcome};
pub use planner::Planner;
pub use report::StageReport;
pub use settings::PlannerSettings;
pub use tuning::StageTuning;
