//! What all emulated servers have in common: their inputs and outputs, without sockets and clock.

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

/// A server as a state machine without I/O: `(event, now) -> actions`. `now` is the time since the start of the environment and never
/// goes back.
pub trait ServerCore: Send + 'static {
    /// Handles one event and appends the actions that follow.
    fn handle(&mut self, event: ServerEvent, now: Duration, actions: &mut Vec<Action>);

    /// When it wants the next [`ServerEvent::Wake`]; `None` while it waits for nothing.
    fn next_wake(&self) -> Option<Duration>;

    /// Hands out the KV cache behind a handle, once for each handle.
    fn take_handle(&mut self, _handle: &str, _now: Duration) -> Option<KvContents> {
        None
    }

    /// Its identity.
    fn identity(&self) -> &Identity;
}
