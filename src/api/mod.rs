//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are [`Duration`](std::time::Duration)s. A clock reading is the time since an origin that the caller picks once
//! and keeps; readings that go back count as the latest one so far. Ids are opaque to the module.

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
