//! The interface of all emulated servers: inputs and outputs, without sockets or a clock.

mod action;
mod event;
mod identity;
mod kv;
mod request;

pub use action::Action;
pub use event::ServerEvent;
pub use identity::Identity;
pub use kv::{KvContents, Location};
pub use request::{CallId, ServerRequest, duration_from_ms};

use std::time::Duration;

/// A server as a state machine without I/O: `(event, now) -> actions`. `now` is the time since the start of
/// the environment and never decreases.
pub trait ServerCore: Send + 'static {
    /// Handles one event and appends the resulting actions to `actions`.
    fn handle(&mut self, event: ServerEvent, now: Duration, actions: &mut Vec<Action>);

    /// When the server needs the next [`ServerEvent::Wake`]; `None` if nothing is scheduled.
    fn next_wake(&self) -> Option<Duration>;

    /// Hands out the KV cache of a handle. Each handle can be taken once.
    fn take_handle(&mut self, _handle: &str, _now: Duration) -> Option<KvContents> {
        None
    }

    /// The identity of the server.
    fn identity(&self) -> &Identity;
}
