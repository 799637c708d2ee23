//! `PUT /config` and `PATCH /config`: validates a change by the operator and submits it to the chain.
//!
//! Each request is logged once at `info`, with `config outcome=accepted` or with the name of its error,
//! `reason` and `field`.

use super::controller_client::{ControllerClient, RESPONSE_TIMEOUT, Submission};
use super::response::Response;
use crate::logs::{ConfigHash, Excerpt};
use crate::operator_error::{ErrorKind, OperatorError};
use futures_lite::AsyncReadExt;
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

/// The maximum size of a configuration in bytes. The transfer of a history to a replica puts two
/// configurations into one frame, together with the headers of earlier entries (10,000 headers of about 80
/// bytes). Three eighths of the maximum frame size leave room for these headers.
pub const MAX_CONFIG_BYTES: u64 = MAX_FRAME_BYTES as u64 / 8 * 3;
/// The maximum number of changes that are read or decided concurrently, which bounds the memory for their
/// bodies. The operator has up to eight in flight.
pub const MAX_CONCURRENT_BODIES: usize = 16;
/// The timeout for receiving a body, which occupies one of [`MAX_CONCURRENT_BODIES`] in the meantime.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of bytes that are discarded of a body that is too long, and the pause after which no
/// more of them are expected.
const MAX_DISCARDED_BYTES: u64 = 64 * 1024 * 1024;
const DISCARD_PAUSE: Duration = Duration::from_millis(200);
/// The size of the buffer for one read of a body.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Handles changes by the operator.
#[derive(Clone)]
pub struct ConfigChanges {
    controller: ControllerClient,
    body_permits: Arc<Semaphore>,
}

impl ConfigChanges {
    /// Creates a handler that submits changes through this client.
    pub fn new(controller: ControllerClient) -> ConfigChanges {
        ConfigChanges { controller, body_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)) }
    }

    /// Handles `PUT /config`, whose body is a complete configuration.
    pub async fn put(&self, conn: &mut Conn) -> Result<Response, OperatorError> {
        let ChangeRequest { base, body, _permit } = self.receive(conn).await?;
        let version = Configuration::parse(&body).map(|checked| checked.version);
        let change = Change { base, version, request: None, bytes: body.into() };
        let started_at = Instant::now();
        let result = self.submit(&change, started_at + RESPONSE_TIMEOUT).await;
        change.log(conn, &result, started_at.elapsed());
        result
    }

    /// Handles `PATCH /config`, whose body changes named items. The complete configuration is computed here
    /// from the newest one.
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

    /// Receives the body of a change, unless too many changes are in progress. A failure is logged.
    async fn receive(&self, conn: &mut Conn) -> Result<ChangeRequest<'_>, OperatorError> {
        let received = self.try_receive(conn).await;
        received.inspect_err(|error| log_rejection(conn, error))
    }

    /// Receives the body of a change. The body is read before the header is checked, because a client that is
    /// still writing would miss the response.
    async fn try_receive(&self, conn: &mut Conn) -> Result<ChangeRequest<'_>, OperatorError> {
        let permit = self.body_permits.try_acquire().map_err(|_| OperatorError::unavailable())?;
        let base = conn.request_headers().get_str(KnownHeaderName::IfMatch).map(str::to_owned);
        let body = read_body(conn).await?;
        let base = base.as_deref().map(|base| base.trim().trim_matches('"'));
        let base = base.and_then(|base| base.parse::<u64>().ok());
        let base = base.ok_or_else(|| {
            OperatorError::new(ErrorKind::BadBase, "names no version to build on").with_field("If-Match")
        })?;
        Ok(ChangeRequest { base, body, _permit: permit })
    }

    /// Applies a patch to its base and returns the resulting configuration. The result is empty if another
    /// version is current: the patch may have been accepted earlier, which only the history of the replica
    /// can tell.
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

/// The response body of an accepted change. The encoded names must not change.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Accepted {
    version: u64,
}

/// A change as received.
struct ChangeRequest<'a> {
    /// The version in `If-Match`.
    base: u64,
    body: Vec<u8>,
    /// One of [`MAX_CONCURRENT_BODIES`] permits, held until the request has its response.
    _permit: SemaphorePermit<'a>,
}

/// Receives the body of a change. A body that is too long is read to its end and discarded, since a client that
/// is still writing it would lose the response: closing the connection with unread bytes resets it.
async fn read_body(conn: &mut Conn) -> Result<Vec<u8>, OperatorError> {
    let length = conn.request_headers().get_str(KnownHeaderName::ContentLength);
    let length: Option<u64> = length.and_then(|length| length.parse().ok());
    let mut body = BoundedBody::new(length.unwrap_or(0));
    let mut stream = conn.request_body().with_max_len(MAX_DISCARDED_BYTES);
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let receive = async {
        loop {
            let pause = if body.is_too_long { DISCARD_PAUSE } else { BODY_TIMEOUT };
            match timeout(pause, stream.read(&mut buffer)).await {
                Ok(Ok(0)) => return Ok(()),
                Ok(Ok(read)) => body.push(&buffer[..read]),
                Ok(Err(error)) => return Err(OperatorError::new(ErrorKind::Unreadable, error.to_string())),
                Err(_) => return Err(OperatorError::unavailable()),
            }
        }
    };
    let received = timeout(BODY_TIMEOUT, receive).await.unwrap_or_else(|_| Err(OperatorError::unavailable()));
    if body.is_too_long {
        return Err(OperatorError::new(ErrorKind::TooLarge, "the configuration is too long"));
    }
    received.map(|()| body.bytes)
}

/// The body of a change, without its bytes once it is too long.
struct BoundedBody {
    bytes: Vec<u8>,
    is_too_long: bool,
}

impl BoundedBody {
    /// Creates the body of a request that announces `length` bytes.
    fn new(length: u64) -> BoundedBody {
        BoundedBody { bytes: Vec::new(), is_too_long: length > MAX_CONFIG_BYTES }
    }

    fn push(&mut self, bytes: &[u8]) {
        self.is_too_long |= (self.bytes.len() + bytes.len()) as u64 > MAX_CONFIG_BYTES;
        if self.is_too_long {
            self.bytes = Vec::new();
        } else {
            self.bytes.extend_from_slice(bytes);
        }
    }
}

/// A completely received change.
struct Change {
    base: u64,
    /// The version of the configuration, or the reason why it is invalid.
    version: Result<u64, ConfigError>,
    /// The hash of the request, if the configuration was computed from a patch.
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
            outcome, version, base = self.base, hash: = ConfigHash(&self.bytes), bytes = self.bytes.len(),
            took_ms, from = from.as_str(), reason: = reason, field: = field, current = current.as_str()
        });
    }
}

/// Returns the version stated in an invalid configuration, or 0 if it can't be read.
fn claimed_version(bytes: &[u8]) -> u64 {
    #[derive(Deserialize)]
    struct Claim {
        #[serde(rename = "Version")]
        version: u64,
    }
    serde_json::from_slice::<Claim>(bytes).map_or(0, |claim| claim.version)
}

/// Logs a change that was rejected before it was completely received or parsed.
fn log_rejection(conn: &Conn, error: &OperatorError) {
    let from = peer(conn);
    let Rejection { reason, field, .. } = Rejection::of(Some(error));
    info!("config", kv: {
        outcome = error.body.error, from = from.as_str(), reason: = reason, field: = field
    });
}

/// The fields of a log line that say why a change was rejected. A field that does not apply is `-`.
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
