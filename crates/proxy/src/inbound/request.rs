//! A complete request of a client.

use crate::http::RequestHead;
use bytes::Bytes;
use lugwharf_routing::Prompt;
use std::time::Duration;
use tokio::time::Instant;

/// The maximum timeout that a client may set, in seconds: one day.
const MAX_CLIENT_TIMEOUT_SECONDS: f64 = 86_400.0;

/// A request that has been received completely.
#[derive(Debug)]
pub struct ClientRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// Whether a body was announced, even an empty one.
    pub has_body: bool,
    /// When the first bytes of the request were received.
    pub arrived: Instant,
}

impl ClientRequest {
    /// Returns the `Request-Id` for logs, or `-` if there is none.
    pub fn id(&self) -> &str {
        self.head.headers.get_text("request-id").unwrap_or("-")
    }

    /// Returns how long the client waits for a response, as stated by `Deadline-Ms`. Returns `None` if the
    /// header is absent or invalid.
    pub fn client_timeout(&self) -> Option<Duration> {
        let value = self.head.headers.get_text("deadline-ms")?;
        let ms: f64 = value.parse().ok()?;
        let is_valid = ms.is_finite() && ms >= 0.0;
        is_valid.then(|| Duration::from_secs_f64((ms / 1e3).min(MAX_CLIENT_TIMEOUT_SECONDS)))
    }

    /// Returns the description of the prompt in the headers of the request.
    pub fn prompt(&self) -> Prompt {
        let headers = &self.head.headers;
        Prompt::parse(headers.get_text("prompt-prefix"), headers.get_text("token-counts"))
    }
}
