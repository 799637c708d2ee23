//! The interface of the decision module: its settings, its input events and its output actions.
//!
//! Times are [`Duration`](std::time::Duration)s. A clock reading is the time since a fixed origin that the
//! caller chooses; a reading that goes back counts as the latest reading so far. The module does not
//! interpret ids.

mod action;
mod event;
mod id;
mod server_list;
mod settings;

pub use action::{Action, LogEvent};
pub use event::{Arrival, Event, Origin, Outcome, RequestStatus};
pub use id::{RequestId, ServerId, TimerId};
pub use server_list::{Availability, ServerEntry, ServerListEvent};
pub use settings::{
    DedupScope, Discovery, Idempotency, ObjectiveWeights, Permission, RequestClass, Settings, SlowStart,
    ValueBasis,
};
