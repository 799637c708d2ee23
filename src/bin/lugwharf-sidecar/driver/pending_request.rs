//! A request that is not answered, or has an attempt that has not ended.

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
    /// Notified when nobody waits for the attempt any more: what has not been written completely by then never is.
    pub(super) abandoned: Arc<Notify>,
}

/// An attempt, in the order of sending.
pub(super) struct PendingAttempt {
    pub(super) sent_at: Instant,
    /// `None` once it has ended.
    pub(super) task: Option<AttemptTask>,
}

pub(super) struct PendingRequest {
    pub(super) forwarded: Arc<ForwardedRequest>,
    /// `None` once the client has its answer or has left.
    pub(super) answer: Option<oneshot::Sender<FinalAnswer>>,
    pub(super) attempts: Vec<PendingAttempt>,
}

impl PendingRequest {
    pub(super) fn is_awaiting_answer(&self) -> bool {
        self.answer.is_some()
    }

    pub(super) fn progress(&self) -> RequestStatus {
        if self.is_awaiting_answer() { RequestStatus::AwaitingAnswer } else { RequestStatus::Finished }
    }

    /// Returns whether it is answered and nothing is in flight for it.
    pub(super) fn is_finished(&self) -> bool {
        !self.is_awaiting_answer() && self.attempts.iter().all(|attempt| attempt.task.is_none())
    }

    /// Gives the client its final answer, if it still waits for one. A closed channel is fine: the client has just left.
    pub(super) fn send_answer(&mut self, answer: FinalAnswer) {
        if let Some(sender) = self.answer.take() {
            drop(sender.send(answer));
        }
    }

    /// Tells its attempts that nobody waits for them.
    pub(super) fn abandon_attempts(&self) {
        self.attempts.iter().flat_map(|attempt| &attempt.task).for_each(|task| task.abandoned.notify_one());
    }
}
