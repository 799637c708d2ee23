//! `PUT /config` and `PATCH /config`: checks a change of the operator and submits it to the chain.
//!
//! Each request is logged once, at `info`: `config outcome=accepted`, or the name of its error with `reason` and `field`.

use super::controller_client::{ControllerClient, RESPONSE_TIMEOUT, Submission};
use super::response::Response;
use crate::logs::{Excerpt, Hash};
use crate::operator_error::{ErrorKind, OperatorError};
use lugwharf_chain::Blake3;
use lugwharf_config::{ConfigError, Configuration, ConfigurationPatch};
use lugwharf_protocol::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};
use spdlog::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::{Instant, timeout};
use trillium::{Conn, KnownHeaderName};

/// The largest configuration, in bytes. A history that is transferred to a replica has two of them in one frame, beside the
/// headers of the entries before (10,000 of some 80 bytes): three eighths of the largest frame leave room for those.
pub const MAX_CONFIG_BYTES: u64 = MAX_FRAME_BYTES as u64 / 8 * 3;
/// Changes whose bodies are read or decided at once, which bounds their memory. The operator has up to eight in flight.
pub const MAX_CONCURRENT_BODIES: usize = 16;
/// How long a body may take to arrive, while it occupies one of [`MAX_CONCURRENT_BODIES`].
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Handles changes of the operator.
#[derive(Clone)]
pub struct ConfigChanges {
    controller: ControllerClient,
    body_permits: Arc<Semaphore>,
}

impl ConfigChanges {
    /// Submits changes through this client.
    pub fn new(controller: ControllerClient) -> ConfigChanges {
        ConfigChanges { controller, body_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)) }
    }

    /// `PUT /config`: a complete configuration.
    pub async fn put(&self, conn: &mut Conn) -> Result<Response, OperatorError> {
        let ChangeRequest { base, body, _permit } = self.receive(conn).await?;
        let version = Configuration::parse(&body).map(|checked| checked.version);
        let change = Change { base, version, request: None, bytes: body.into() };
        let started_at = Instant::now();
        let result = self.submit(&change, started_at + RESPONSE_TIMEOUT).await;
        change.log(conn, &result, started_at.elapsed());
        result
    }

    /// `PATCH /config`: a change of named items. The complete configuration is computed here from the newest one.
    pub async fn patch(&self, conn: &mut Conn) -> Result<Response, OperatorError> {
        let ChangeRequest { base, body, _permit } = self.receive(conn).await?;
        let started_at = Instant::now();
        let deadline = started_at + RESPONSE_TIMEOUT;
        let patch = ConfigurationPatch::parse(&body).map_err(OperatorError::from);
        let patch = patch.inspect_err(|error| log_rejection(conn, error))?;
        let patched = self.apply_patch(&patch, base, deadline).await;
        let bytes = patched.as_ref().map_or_else(|_| Vec::new(), Clone::clone);
        let request = Some(Blake3::of(&body));
        let change = Change { base, version: Ok(patch.version), request, bytes: bytes.into() };
        let result = match patched {
            Ok(_) => self.submit(&change, deadline).await,
            Err(error) => Err(error),
        };
        change.log(conn, &result, started_at.elapsed());
        result
    }

    /// Waits for the body of a change, unless too many are in progress. What can't be received is logged.
    async fn receive(&self, conn: &mut Conn) -> Result<ChangeRequest<'_>, OperatorError> {
        let received = self.try_receive(conn).await;
        received.inspect_err(|error| log_rejection(conn, error))
    }

    /// The body is read before the header is checked: a client that still writes would miss the response.
    async fn try_receive(&self, conn: &mut Conn) -> Result<ChangeRequest<'_>, OperatorError> {
        let permit = self.body_permits.try_acquire().map_err(|_| OperatorError::unavailable())?;
        let base = conn.request_headers().get_str(KnownHeaderName::IfMatch).map(str::to_owned);
        let body = read_body(conn).await?;
        let base = base.as_deref().map(|base| base.trim().trim_matches('"'));
        let base = base.and_then(|base| base.parse::<u64>().ok());
        let base = base.ok_or_else(|| {
            OperatorError::new(ErrorKind::BadBase, "names no version to build on").at("If-Match")
        })?;
        Ok(ChangeRequest { base, body, _permit: permit })
    }

    /// What a patch makes of its base. Empty where another version is current: the patch may have been accepted before, which
    /// only the history of the replica tells.
    async fn apply_patch(
        &self, patch: &ConfigurationPatch, base: u64, deadline: Instant,
    ) -> Result<Vec<u8>, OperatorError> {
        let Some(current) = self.controller.read_config(deadline).await? else {
            return Err(OperatorError::no_configuration());
        };
        if current.version != base {
            return Ok(Vec::new());
        }
        let patched = patch.apply(&current.bytes)?;
        if patched.len() as u64 > MAX_CONFIG_BYTES {
            return Err(OperatorError::new(ErrorKind::TooLarge, "the configuration becomes too long"));
        }
        Ok(patched)
    }

    async fn submit(&self, change: &Change, deadline: Instant) -> Result<Response, OperatorError> {
        let submission = Submission {
            base: change.base,
            version: change.version.clone()?,
            request: change.request,
            bytes: change.bytes.clone(),
        };
        let version = self.controller.submit(submission, deadline).await?;
        Ok(Response::json(&Accepted { version }))
    }
}

/// The body of an acknowledgement. Encoded names are fixed.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Accepted {
    version: u64,
}

/// A change as it was received.
struct ChangeRequest<'a> {
    /// The version in `If-Match`.
    base: u64,
    body: Vec<u8>,
    /// One of [`MAX_CONCURRENT_BODIES`], until the request has its response.
    _permit: SemaphorePermit<'a>,
}

async fn read_body(conn: &mut Conn) -> Result<Vec<u8>, OperatorError> {
    let body = timeout(BODY_TIMEOUT, conn.request_body().read_bytes()).await;
    body.map_err(|_| OperatorError::unavailable())?.map_err(|error| match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => {
            OperatorError::new(ErrorKind::TooLarge, "the configuration is too long")
        }
        error => OperatorError::new(ErrorKind::Unreadable, error.to_string()),
    })
}

/// A change that was read completely.
struct Change {
    base: u64,
    /// Its version, or why the configuration is invalid.
    version: Result<u64, ConfigError>,
    /// The hash of the request, where the configuration was computed from a patch.
    request: Option<Blake3>,
    bytes: Arc<[u8]>,
}

impl Change {
    fn log(&self, conn: &Conn, result: &Result<Response, OperatorError>, took: Duration) {
        let outcome = result.as_ref().map_or_else(|error| error.body.error, |_| "accepted");
        let version = self.version.as_ref().map_or_else(|_| claimed_version(&self.bytes), |version| *version);
        let took_ms = took.as_millis() as u64;
        let from = peer(conn);
        let Rejection { reason, field, current } = Rejection::of(result.as_ref().err());
        info!("config", kv: {
            outcome, version, base = self.base, hash: = Hash(&self.bytes), bytes = self.bytes.len(),
            took_ms, from = from.as_str(), reason: = reason, field: = field, current = current.as_str()
        });
    }
}

/// The version that a configuration claims to have, though it is invalid; 0 if it can't be read.
fn claimed_version(bytes: &[u8]) -> u64 {
    #[derive(Deserialize)]
    struct Claim {
        #[serde(rename = "Version")]
        version: u64,
    }
    serde_json::from_slice::<Claim>(bytes).map_or(0, |claim| claim.version)
}

/// Logs a change that was rejected before it was known completely.
fn log_rejection(conn: &Conn, error: &OperatorError) {
    let from = peer(conn);
    let Rejection { reason, field, .. } = Rejection::of(Some(error));
    info!("config", kv: {
        outcome = error.body.error, from = from.as_str(), reason: = reason, field: = field
    });
}

/// Why a change was rejected, as the log shows it; `-` for whatever does not apply.
struct Rejection<'a> {
    reason: Excerpt<'a>,
    field: Excerpt<'a>,
    current: String,
}

impl Rejection<'_> {
    fn of(error: Option<&OperatorError>) -> Rejection<'_> {
        let body = error.map(|error| &error.body);
        let current = body.and_then(|body| body.current);
        Rejection {
            reason: Excerpt(body.map_or("", |body| &body.reason)),
            field: Excerpt(body.and_then(|body| body.field.as_deref()).unwrap_or("")),
            current: current.map_or_else(|| "-".to_owned(), |current| current.to_string()),
        }
    }
}

fn peer(conn: &Conn) -> String {
    conn.peer_ip().map(|ip| ip.to_string()).unwrap_or_default()
}
