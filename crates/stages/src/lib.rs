//! Plans which model servers read prompts (prefill) and which make tokens (decode).
//!
//! [`Planner`] is a state machine without I/O. The holder of the list reader's role hands it each listing with the load of the
//! fleet; it says which servers are to change their part, in three steps:
//!
//! 1. **announce**: the server is shown to the proxies as leaving ([`Planner::overlay`]), so that nothing new is on its way
//!    to it when it changes;
//! 2. **order**: [`Planner::due_orders`] names the order once the announcement has reached everybody;
//! 3. **settle**: the server stays out until it has had the time to change and the list has had the time to show it.
//!
//! The size of the parts is worked out in [`target`].
#![forbid(unsafe_code)]

mod planner;
pub mod target;
mod tuning;

pub use planner::{Order, OrderOutcome, Planner, PlannerSettings};
pub use tuning::StageTuning;
