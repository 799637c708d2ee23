//! A client for the platform's server list: `GET /instances` over HTTP/1.1, page by page.
//!
//! The client keeps one connection and reconnects after any error. The timeout for each page is
//! [`PAGE_TIMEOUT`]; a list is read completely or not at all. Servers in a state other than `ready` count as
//! draining.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lugwharf_http_head::CheckedStream;
use lugwharf_protocol::{ModelEntry, ServerEntry, ServerState, Stage};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[cfg(test)]
#[path = "platform_client_tests.rs"]
mod platform_client_tests;

/// The timeout of one page, which normally takes a few ms. If the platform takes longer, it may still respond
/// to another process.
const PAGE_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum size of a page: many times the usual 50 entries of about 300 bytes.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;
/// The maximum number of pages of one list, which protects against a list without an end.
const MAX_PAGES: usize = 400;

/// The reason why the list could not be read. The text is logged as `error` of `list outcome=failed`.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No response within [`PAGE_TIMEOUT`].
    #[error("timed out waiting for a page of the server list")]
    Timeout,
    /// Connecting or configuring the socket failed.
    #[error("connecting to the platform failed: {0}")]
    Connection(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP request to the platform failed: {0}")]
    Http(#[from] hyper::Error),
    /// The status is not 200. It is 429 if the requests exceed the platform's rate limit.
    #[error("the platform responded with status {0}")]
    Status(StatusCode),
    /// The request could not be built, or the response is not a valid page.
    #[error("invalid page of the server list: {0}")]
    InvalidBody(String),
    /// The lease ended, so the page was not requested.
    #[error("the lease ended before the page was requested")]
    LeaseExpired,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    instances: Vec<Instance>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Instance {
    id: String,
    service: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    state: String,
    #[serde(default)]
    cold_left_ms: f64,
    #[serde(default)]
    stage: Option<String>,
    #[serde(default)]
    models: Vec<Model>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Model {
    name: String,
    #[serde(default)]
    version: u64,
}

impl From<Instance> for ServerEntry {
    fn from(instance: Instance) -> ServerEntry {
        let state = match instance.state.as_str() {
            "ready" => ServerState::Ready,
            // A server in any other state receives no new requests.
            _ => ServerState::Draining,
        };
        let stage = match instance.stage.as_deref() {
            Some("prefill") => Some(Stage::Prefill),
            Some("decode") => Some(Stage::Decode),
            _ => None,
        };
        let models = instance.models.into_iter();
        ServerEntry {
            id: instance.id,
            service: instance.service,
            address: instance.address,
            zone: instance.zone,
            slots: instance.slots,
            state,
            warmup_remaining_ms: instance.cold_left_ms.max(0.0) as u64,
            stage,
            models: models.map(|model| ModelEntry { name: model.name, version: model.version }).collect(),
        }
    }
}

/// A client of the platform with at most one connection.
pub struct PlatformClient {
    address: SocketAddr,
    sender: Option<SendRequest<Empty<Bytes>>>,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`. It connects for the first request.
    pub fn new(address: SocketAddr) -> PlatformClient {
        PlatformClient { address, sender: None }
    }

    /// Uses the platform at `address` from the next request on.
    pub fn set_address(&mut self, address: SocketAddr) {
        if address != self.address {
            *self = PlatformClient::new(address);
        }
    }

    /// Reads all pages. Each page is requested only if `may_request` returns true immediately before the
    /// request is sent.
    ///
    /// # Errors
    /// The first error of any page, after which the connection is closed, or [`PlatformError::InvalidBody`]
    /// if the list has more than [`MAX_PAGES`] pages.
    pub async fn list_servers(
        &mut self, may_request: impl Fn() -> bool,
    ) -> Result<Vec<ServerEntry>, PlatformError> {
        let mut entries = Vec::new();
        let mut token: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let page = timeout(PAGE_TIMEOUT, self.page(token.as_deref(), &may_request)).await;
            let page = page.unwrap_or(Err(PlatformError::Timeout)).inspect_err(|_| self.sender = None)?;
            entries.extend(page.instances.into_iter().map(ServerEntry::from));
            match page.next_token.filter(|next| !next.is_empty()) {
                Some(next) => token = Some(next),
                None => return Ok(entries),
            }
        }
        Err(PlatformError::InvalidBody("the list has too many pages".to_owned()))
    }

    async fn page(
        &mut self, token: Option<&str>, may_request: impl Fn() -> bool,
    ) -> Result<Page, PlatformError> {
        let path = match token {
            Some(token) => format!("/instances?PageToken={}", percent_encode(token)),
            None => "/instances".to_owned(),
        };
        let request = Request::get(path)
            .header(HOST, self.address.to_string())
            .body(Empty::new())
            .map_err(|e| PlatformError::InvalidBody(e.to_string()))?;
        let sender = self.sender().await?;
        if !may_request() {
            return Err(PlatformError::LeaseExpired);
        }
        let response = sender.send_request(request).await?;
        read_page(response).await
    }

    /// Returns the open connection if it is still usable, or opens a new one.
    async fn sender(&mut self) -> Result<&mut SendRequest<Empty<Bytes>>, PlatformError> {
        let is_usable = match &mut self.sender {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        };
        if !is_usable {
            self.sender = None;
        }
        match self.sender.take() {
            Some(sender) => Ok(self.sender.insert(sender)),
            None => Ok(self.sender.insert(connect(self.address).await?)),
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, PlatformError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(CheckedStream::new(stream))).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn read_page(response: Response<Incoming>) -> Result<Page, PlatformError> {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
    let body = body.map_err(|e| PlatformError::InvalidBody(e.to_string()))?.to_bytes();
    if status != StatusCode::OK {
        return Err(PlatformError::Status(status));
    }
    serde_json::from_slice(&body).map_err(|e| PlatformError::InvalidBody(e.to_string()))
}

/// Percent-encodes a page token for the query (RFC 3986, section 2.3: all but unreserved characters).
fn percent_encode(token: &str) -> String {
    let mut encoded = String::with_capacity(token.len());
    for byte in token.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => encoded.push(byte as char),
            _ => encoded.push_str(&format!("%{byte:02X}")),
        }
    }
    encoded
}
