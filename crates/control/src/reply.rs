//! Sends replies on one-shot channels whose receiver may have been dropped.

use tokio::sync::oneshot;

/// Replies to a request. The requester drops its receiver when it times out or its connection closes. A reply
/// does not change any state, so a closed channel is not an error.
pub fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}
