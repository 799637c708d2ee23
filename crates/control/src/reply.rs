//! Replies on one-shot channels whose receiver may be gone.

use tokio::sync::oneshot;

/// Replies to a request. The requester drops its receiver when it times out or its connection closes; there is nobody left
/// to inform then, and the state has not changed by the reply, so a closed channel is no error.
pub fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
