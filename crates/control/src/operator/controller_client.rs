//! Sends requests to the controller on behalf of the operator.
//!
//! Each request has a deadline. A request that is not decided by then, or has a response of the wrong kind,
//! fails with [`ErrorKind::Unavailable`]: a change may or may not have been accepted.

use crate::command::Command;
use crate::operator_error::{ErrorKind, OperatorError};
use crate::status::Status;
use lugwharf_chain::{Blake3, CommittedConfig, OperatorResponse};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// The timeout of a request. The operator gives up after 1 s without a response, so the timeout is shorter
/// than that.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(930);

/// A configuration to submit.
pub struct Submission {
    /// The version that the configuration is based on.
    pub base: u64,
    /// The version of the configuration.
    pub version: u64,
    /// The hash of the operator's request, if the configuration was computed from a patch.
    pub request: Option<Blake3>,
    /// The JSON text of the configuration. It may be empty as described at [`lugwharf_chain::Event::Submit`].
    pub bytes: Arc<[u8]>,
}

/// Sends commands to the controller and waits for the replies.
#[derive(Clone)]
pub struct ControllerClient {
    commands: mpsc::Sender<Command>,
}

impl ControllerClient {
    /// Creates a client that sends its commands to this queue.
    pub fn new(commands: mpsc::Sender<Command>) -> ControllerClient {
        ControllerClient { commands }
    }

    /// Submits a configuration, and returns its version once it is committed.
    pub async fn submit(&self, submission: Submission, deadline: Instant) -> Result<u64, OperatorError> {
        let Submission { base, version, request, bytes } = submission;
        let command = |reply| Command::SubmitConfig { base, version, request, bytes, reply };
        match self.send(command, deadline).await? {
            OperatorResponse::Accepted { version } => Ok(version),
            OperatorResponse::Conflict { current } => {
                Err(OperatorError::new(ErrorKind::Conflict, "another version is current")
                    .with_field("If-Match")
                    .with_current(current))
            }
            OperatorResponse::StaleVersion { current } => {
                Err(OperatorError::new(ErrorKind::Outdated, "must be above the current version")
                    .with_field("/Version")
                    .with_current(current))
            }
            _ => Err(OperatorError::unavailable()),
        }
    }

    /// Returns the newest committed configuration, if there is one.
    pub async fn read_config(
        &self, deadline: Instant,
    ) -> Result<Option<Arc<CommittedConfig>>, OperatorError> {
        match self.send(|reply| Command::ReadConfig { reply }, deadline).await? {
            OperatorResponse::Config(newest) => Ok(newest),
            _ => Err(OperatorError::unavailable()),
        }
    }

    /// Returns the status of this process.
    pub async fn status(&self, deadline: Instant) -> Result<Status, OperatorError> {
        self.send(|reply| Command::GetStatus { reply }, deadline).await
    }

    /// Returns the metrics of this process in the OpenMetrics text format.
    pub async fn metrics(&self, deadline: Instant) -> Result<String, OperatorError> {
        self.send(|reply| Command::GetMetrics { reply }, deadline).await
    }

    async fn send<T>(
        &self, command: impl FnOnce(oneshot::Sender<T>) -> Command, deadline: Instant,
    ) -> Result<T, OperatorError> {
        let (reply, response) = oneshot::channel();
        let exchange = async {
            self.commands.send(command(reply)).await.ok()?;
            response.await.ok()
        };
        timeout_at(deadline, exchange).await.ok().flatten().ok_or_else(OperatorError::unavailable)
    }
}
