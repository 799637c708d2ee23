//! Requests that are not answered yet, or have an attempt that has not ended.

use crate::events::FinalAnswer;
use crate::upstream::ForwardedRequest;
use lugwharf_sidecar::api::RequestStatus;
use std::sync::Arc;
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An attempt that has not ended.
pub(super) struct AttemptTask {
    pub(super) task: AbortHandle,
    /// Notified when nobody waits for the attempt any more. A request that is not completely written by then
    /// never is.
    pub(super) abandoned: Arc<Notify>,
}

/// An attempt of a request.
pub(super) struct PendingAttempt {
    pub(super) sent_at: Instant,
    /// The running task; `None` once the attempt has ended.
    pub(super) task: Option<AttemptTask>,
}

/// A request that is not answered yet, or has an attempt that has not ended.
pub(super) struct PendingRequest {
    pub(super) forwarded: Arc<ForwardedRequest>,
    /// The channel for the final answer; `None` once the client has its answer or has disconnected.
    pub(super) answer: Option<oneshot::Sender<FinalAnswer>>,
    /// All attempts, in the order of sending.
    pub(super) attempts: Vec<PendingAttempt>,
}

impl PendingRequest {
    pub(super) fn is_awaiting_answer(&self) -> bool {
        self.answer.is_some()
    }

    pub(super) fn status(&self) -> RequestStatus {
        if self.is_awaiting_answer() { RequestStatus::AwaitingAnswer } else { RequestStatus::Finished }
    }

    /// Returns whether the request is answered, or its client has disconnected, and no attempt is in flight.
    pub(super) fn is_finished(&self) -> bool {
        !self.is_awaiting_answer() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }

    /// Sends the client its final answer, if it still waits for one. A closed channel is ignored: the client
    /// has just disconnected.
    pub(super) fn send_answer(&mut self, answer: FinalAnswer) {
        if let Some(sender) = self.answer.take() {
            drop(sender.send(answer));
        }
    }

    /// Notifies the request's attempts that nobody waits for them any more.
    pub(super) fn abandon_attempts(&self) {
        self.attempts.iter().flat_map(|attempt| &attempt.task).for_each(|task| task.abandoned.notify_one());
    }
}
