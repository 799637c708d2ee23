//! Requests to the controller on behalf of the operator.
//!
//! Each request has a deadline. Whatever is not decided by then, or has a response of the wrong kind, is
//! [`ErrorKind::Unavailable`]: nothing is promised, and the change may have been accepted or not.

use crate::command::Command;
use crate::operator_error::{ErrorKind, OperatorError};
use crate::status::Status;
use lugwharf_chain::{Blake3, CommittedConfig, OperatorResponse};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// How long a request may take. The operator moves on after 1 s without a response, so it has one before.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(930);

/// A configuration to be submitted.
pub struct Submission {
    /// The version it is based on.
    pub base: u64,
    /// Its version.
    pub version: u64,
    /// The hash of the operator's request, where the configuration was computed from a patch.
    pub request: Option<Blake3>,
    /// Its JSON; empty as in [`lugwharf_chain::Event::Submit`].
    pub bytes: Arc<[u8]>,
}

/// Sends commands to the controller and waits for the replies.
#[derive(Clone)]
pub struct ControllerClient {
    commands: mpsc::Sender<Command>,
}

impl ControllerClient {
    /// A client of the controller behind this queue.
    pub fn new(commands: mpsc::Sender<Command>) -> ControllerClient {
        ControllerClient { commands }
    }

    /// Submits a configuration; returns its version once it is committed.
    pub async fn submit(&self, submission: Submission, deadline: Instant) -> Result<u64, OperatorError> {
        let Submission { base, version, request, bytes } = submission;
        let command = |reply| Command::Submit { base, version, request, bytes, reply };
        match self.send(command, deadline).await? {
            OperatorResponse::Accepted { version } => Ok(version),
            OperatorResponse::Conflict { current } => {
                Err(OperatorError::new(ErrorKind::Conflict, "another version is current")
                    .at("If-Match")
                    .with_current(current))
            }
            OperatorResponse::StaleVersion { current } => {
                Err(OperatorError::new(ErrorKind::Outdated, "must be above the current version")
                    .at("/Version")
                    .with_current(current))
            }
            _ => Err(OperatorError::unavailable()),
        }
    }

    /// The newest committed configuration, if there is one.
    pub async fn read_config(
        &self, deadline: Instant,
    ) -> Result<Option<Arc<CommittedConfig>>, OperatorError> {
        match self.send(|reply| Command::Read { reply }, deadline).await? {
            OperatorResponse::Config(newest) => Ok(newest),
            _ => Err(OperatorError::unavailable()),
        }
    }

    /// The status of this process.
    pub async fn status(&self, deadline: Instant) -> Result<Status, OperatorError> {
        self.send(|reply| Command::Status { reply }, deadline).await
    }

    /// The metrics of this process.
    pub async fn metrics(&self, deadline: Instant) -> Result<String, OperatorError> {
        self.send(|reply| Command::Metrics { reply }, deadline).await
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
