//! Plans which model servers prefill prompts and which decode tokens, and when a server changes its stage.
//!
//! [`Planner`] is a state machine without I/O. The holder of the list watcher's role passes it each list of servers with the
//! load of the fleet. The planner decides which servers change their stage, in three steps:
//!
//! 1. **Announce**: the server is shown to the proxies as draining ([`Planner::overlay`]), so that no new request is on its
//!    way to it when it changes.
//! 2. **Order**: [`Planner::due_orders`] returns the order once the announcement has reached every proxy.
//! 3. **Settle**: the server stays out of service until it has had the time to change and the list has had the time to show
//!    the new stage.
//!
//! How many servers of each zone should decode is computed in [`target`].
#![forbid(unsafe_code)]

mod change;
mod load;
mod order;
mod planner;
mod settings;
mod stale_tokens;
pub mod target;
mod tuning;

pub use order::{Order, OrderOutcome};
pub use planner::Planner;
pub use settings::PlannerSettings;
pub use tuning::StageTuning;
