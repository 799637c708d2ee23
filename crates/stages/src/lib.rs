//! Plans which model servers prefill prompts and which decode tokens, and when a server changes its stage.
//!
//! [`Planner`] is a state machine without I/O. The holder of the list watcher's role passes it each list of servers with the
//! load of the fleet. The planner decides which servers change their stage, in three steps:
//!
//! 1. **Announce**: the server is shown to the proxies as draining ([`Planner::mark_changing_as_draining`]), so that no new request is on its
//!    way to it when it changes.
//! 2. **Order**: [`Planner::take_due_orders`] returns the order once the announcement has reached every proxy.
//! 3. **Settle**: the server stays out of service until the list shows its new stage. If that takes longer than it should, the
//!    server is asked.
//!
//! A planner that takes the lease over knows nothing of the changes that the last holder ordered. It asks the servers
//! themselves ([`Planner::servers_to_query`], [`Planner::record_report`]) before it plans.
//!
//! How many servers of each zone should decode is computed in [`target`].
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
