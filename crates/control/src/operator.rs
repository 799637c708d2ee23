//! The operator's API over HTTP: `PUT /config`, `PATCH /config`, `GET /config`, `GET /status`, `GET /metrics`.

use crate::command::Command;
use crate::logs::Hash;
use crate::metrics::{self, RejectionCounters};
use crate::operator_error::{ErrorKind, OperatorError};
use eyre::Result;
use lugwharf_chain::{Blake3, CommittedConfig, OperatorResponse};
use lugwharf_config::{ConfigError, Configuration, ConfigurationPatch};
use lugwharf_protocol::MAX_FRAME_BYTES;
use serde::Serialize;
use spdlog::prelude::*;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout, timeout_at};
use trillium::{Conn, KnownHeaderName, Method};
use trillium_http::HttpConfig;

/// The largest configuration in bytes. A replica that takes a history over gets two of them in one frame, beside the marks
/// of the entries before (10,000 of some 80 bytes): three eighths of the largest frame leave room for those.
pub const MAX_CONFIG_BYTES: u64 = MAX_FRAME_BYTES as u64 / 8 * 3;
/// Configurations that are taken in at once; bounds their memory. The operator has up to eight orders under way.
pub const MAX_CONCURRENT_BODIES: usize = 16;
/// A body that takes longer holds a place that another call could use.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// The operator moves on after a second of silence, so that it has an answer before.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(930);
/// Connections at once; the operator has up to eight orders under way, and readiness checks may come as well.
const MAX_CONNECTIONS: usize = 256;
/// What the operator is asked to wait after an answer that promises nothing.
const RETRY_AFTER_S: &str = "0.2";
/// The type of all answers but the metrics.
const JSON: &str = "application/json";

/// What each call needs.
#[derive(Clone)]
struct Api {
    commands: mpsc::Sender<Command>,
    rejections: RejectionCounters,
    /// Room for bodies.
    body_permits: Arc<Semaphore>,
}

/// Serves the API deadline the process ends.
pub fn serve(
    listener: TcpListener, commands: mpsc::Sender<Command>, rejections: RejectionCounters,
) -> Result<()> {
    let config = http_server_config(listener, MAX_CONFIG_BYTES);
    let api = Api { commands, rejections, body_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)) };
    let handler = move |conn: Conn| {
        let api = api.clone();
        async move { handle(conn, api).await }
    };
    tokio::spawn(config.run_async(handler));
    Ok(())
}

/// A server on this listener that takes bodies up to a length.
pub(crate) fn http_server_config(
    listener: TcpListener, most_bytes: u64,
) -> trillium_server_common::Config<impl trillium_server_common::Server, ()> {
    let http = HttpConfig::default().with_received_body_max_len(most_bytes);
    trillium_tokio::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(MAX_CONNECTIONS))
        .with_http_config(http)
        .with_prebound_server(listener)
}

/// A successful answer.
struct Response {
    content_type: &'static str,
    body: Body,
}

impl Response {
    fn json(body: Body) -> Response {
        Response { content_type: JSON, body }
    }
}

type Body = Vec<u8>;

async fn handle(mut conn: Conn, api: Api) -> Conn {
    let commands = &api.commands;
    let result = match (conn.method(), conn.path()) {
        (Method::Put, "/config") => put_config(&mut conn, &api).await,
        (Method::Patch, "/config") => patch_config(&mut conn, &api).await,
        (Method::Get, "/config") => get_config(commands).await,
        (Method::Get, "/status") => get_status(commands).await,
        (Method::Get, "/metrics") => get_metrics(commands).await,
        (_, "/config" | "/status" | "/metrics") => {
            Err(OperatorError::new(ErrorKind::MethodNotAllowed, "this path does not take this method"))
        }
        _ => Err(OperatorError::new(ErrorKind::NotFound, "there is nothing at this path")),
    };
    match result {
        Ok(reply) => respond(conn, 200, reply),
        Err(error) => {
            api.rejections.count(error.kind);
            respond_with_error(conn, &error)
        }
    }
}

/// Answers with an error; one that promises nothing says when to come back.
pub(crate) fn respond_with_error(conn: Conn, error: &OperatorError) -> Conn {
    let (status, _) = error.kind.status_and_name();
    let conn = match error.kind {
        ErrorKind::Unavailable => conn.with_response_header(KnownHeaderName::RetryAfter, RETRY_AFTER_S),
        _ => conn,
    };
    respond(conn, status, Response::json(json(&error.body)))
}

fn respond(conn: Conn, status: u16, reply: Response) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, reply.content_type)
        .with_body(reply.body)
        .halt()
}

fn json(value: &impl Serialize) -> Body {
    serde_json::to_vec(value).unwrap_or_default()
}

fn unavailable() -> OperatorError {
    OperatorError::new(ErrorKind::Unavailable, "the core can't decide now")
}

async fn put_config(conn: &mut Conn, api: &Api) -> Result<Response, OperatorError> {
    let _permit = api.body_permits.try_acquire().map_err(|_| unavailable())?;
    let (base, bytes) = read_change(conn).await?;
    let version = Configuration::parse(&bytes).map(|checked| checked.version);
    let change = Change { base, version, request: None, bytes: bytes.into() };
    let started_at = Instant::now();
    let result = submit(&change, &api.commands, started_at + RESPONSE_TIMEOUT).await;
    change.log(conn, &result, started_at.elapsed());
    result
}

/// A change of named items is computed here, from the newest configuration, into a whole one.
async fn patch_config(conn: &mut Conn, api: &Api) -> Result<Response, OperatorError> {
    let _permit = api.body_permits.try_acquire().map_err(|_| unavailable())?;
    let (base, bytes) = read_change(conn).await?;
    let started_at = Instant::now();
    let deadline = started_at + RESPONSE_TIMEOUT;
    let patch = ConfigurationPatch::parse(&bytes)?;
    let whole = apply_patch(&patch, base, &api.commands, deadline).await;
    let result_bytes = whole.as_ref().map_or_else(|_| Vec::new(), Clone::clone);
    let change = Change {
        base,
        version: Ok(patch.version),
        request: Some(Blake3::of(&bytes)),
        bytes: result_bytes.into(),
    };
    let result = match whole {
        Ok(_) => submit(&change, &api.commands, deadline).await,
        Err(error) => Err(error),
    };
    change.log(conn, &result, started_at.elapsed());
    result
}

/// What a patch makes of its base; nothing where another version is current: the patch may have been taken before, which only
/// the history tells.
async fn apply_patch(
    patch: &ConfigurationPatch, base: u64, commands: &mpsc::Sender<Command>, deadline: Instant,
) -> Result<Vec<u8>, OperatorError> {
    let Some(current) = read_committed_config(commands, deadline).await? else {
        return Err(OperatorError::new(ErrorKind::NoConfiguration, "there is none yet"));
    };
    if current.version != base {
        return Ok(Vec::new());
    }
    let whole = patch.apply(&current.bytes)?;
    if whole.len() as u64 > MAX_CONFIG_BYTES {
        return Err(OperatorError::new(ErrorKind::TooLarge, "the configuration becomes too long"));
    }
    Ok(whole)
}

/// The version that a change builds on, and its body. The body is read in any case: a caller that still writes would not hear
/// the answer.
async fn read_change(conn: &mut Conn) -> Result<(u64, Vec<u8>), OperatorError> {
    let base = conn.request_headers().get_str(KnownHeaderName::IfMatch).map(str::to_owned);
    let bytes = read_body(conn).await?;
    let base = base.as_deref().map(|base| base.trim().trim_matches('"'));
    let base = base.and_then(|base| base.parse::<u64>().ok());
    let base = base.ok_or_else(|| {
        OperatorError::new(ErrorKind::BadBase, "names no version to build on").at("If-Match")
    })?;
    Ok((base, bytes))
}

async fn read_body(conn: &mut Conn) -> Result<Vec<u8>, OperatorError> {
    let body = timeout(BODY_TIMEOUT, conn.request_body().read_bytes()).await;
    body.map_err(|_| unavailable())?.map_err(|error| match error {
        trillium_http::Error::ReceivedBodyTooLong(_) => {
            OperatorError::new(ErrorKind::TooLarge, "the configuration is too long")
        }
        error => OperatorError::new(ErrorKind::Unreadable, error.to_string()),
    })
}

/// A change as the operator sent it.
struct Change {
    base: u64,
    /// Its number, or what is wrong with it.
    version: Result<u64, ConfigError>,
    /// The hash of the request, where the configuration was computed from it.
    request: Option<Blake3>,
    bytes: Arc<[u8]>,
}

impl Change {
    fn log(&self, conn: &Conn, result: &Result<Response, OperatorError>, took: Duration) {
        let outcome = result.as_ref().map_or_else(|error| error.body.error, |_| "accepted");
        let version = self.version.as_ref().map_or(0, |version| *version);
        let from = conn.peer_ip().map(|ip| ip.to_string()).unwrap_or_default();
        info!("config", kv: {
            outcome, version, base = self.base, hash: = Hash(&self.bytes), bytes = self.bytes.len(),
            took_ms = took.as_millis() as u64, from = from.as_str()
        });
    }
}

async fn submit(
    change: &Change, commands: &mpsc::Sender<Command>, deadline: Instant,
) -> Result<Response, OperatorError> {
    let (reply, answer) = oneshot::channel();
    let version = change.version.clone()?;
    let Change { base, request, .. } = *change;
    let command = Command::Submit { base, version, request, bytes: change.bytes.clone(), reply };
    match send_command(commands, command, answer, deadline).await? {
        OperatorResponse::Accepted { version } => Ok(Response::json(json(&Accepted { version }))),
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
        _ => Err(unavailable()),
    }
}

/// The body of an acknowledgement.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Accepted {
    version: u64,
}

async fn get_config(commands: &mpsc::Sender<Command>) -> Result<Response, OperatorError> {
    match read_committed_config(commands, Instant::now() + RESPONSE_TIMEOUT).await? {
        Some(config) => Ok(Response::json(Arc::as_ref(&config.bytes).to_vec())),
        None => Err(OperatorError::new(ErrorKind::NoConfiguration, "there is none yet")),
    }
}

/// The newest configuration, if there is one.
async fn read_committed_config(
    commands: &mpsc::Sender<Command>, deadline: Instant,
) -> Result<Option<Arc<CommittedConfig>>, OperatorError> {
    let (reply, answer) = oneshot::channel();
    match send_command(commands, Command::Read { reply }, answer, deadline).await? {
        OperatorResponse::Config(newest) => Ok(newest),
        _ => Err(unavailable()),
    }
}

async fn get_status(commands: &mpsc::Sender<Command>) -> Result<Response, OperatorError> {
    let (reply, status) = oneshot::channel();
    let status =
        send_command(commands, Command::Status { reply }, status, Instant::now() + RESPONSE_TIMEOUT).await?;
    Ok(Response::json(json(&status)))
}

async fn get_metrics(commands: &mpsc::Sender<Command>) -> Result<Response, OperatorError> {
    let (reply, text) = oneshot::channel();
    let text =
        send_command(commands, Command::Metrics { reply }, text, Instant::now() + RESPONSE_TIMEOUT).await?;
    Ok(Response { content_type: metrics::CONTENT_TYPE, body: text.into_bytes() })
}

/// Asks the owner of the state, and waits until then at most.
async fn send_command<T>(
    commands: &mpsc::Sender<Command>, command: Command, answer: oneshot::Receiver<T>, deadline: Instant,
) -> Result<T, OperatorError> {
    let exchange = async {
        commands.send(command).await.ok()?;
        answer.await.ok()
    };
    timeout_at(deadline, exchange).await.ok().flatten().ok_or_else(unavailable)
}
