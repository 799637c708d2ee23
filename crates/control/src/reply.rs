//! Replies and notifications whose receiver may be gone.

use crate::command::Command;
use tokio::sync::{mpsc, oneshot};

/// Replies to a request. The requester drops its receiver when it times out or its connection closes; there is nobody left
/// to inform then, and the state has not changed by the reply, so a closed channel is no error.
pub fn send_reply<T>(reply: oneshot::Sender<T>, value: T) {
    let _ = reply.send(value);
}

/// Hands a command to the controller. Its queue is closed only while the process ends, and then the command is moot.
pub async fn notify(commands: &mpsc::Sender<Command>, command: Command) {
    let _ = commands.send(command).await;
}
