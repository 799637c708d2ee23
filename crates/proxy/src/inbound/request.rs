//! A client's request.

use crate::http::RequestHead;
use bytes::Bytes;
use lugwharf_routing::Prompt;
use std::time::Duration;
use tokio::time::Instant;

/// The bound on a client's own timeout, in seconds: a day.
const MAX_CLIENT_TIMEOUT_SECONDS: f64 = 86_400.0;

/// A request that was received completely.
#[derive(Debug)]
pub struct ClientRequest {
    /// The head.
    pub head: RequestHead,
    /// The body.
    pub body: Bytes,
    /// Whether a body was announced, even an empty one.
    pub has_body: bool,
    /// When its first bytes were received.
    pub arrived: Instant,
}

impl ClientRequest {
    /// The `Request-Id`, for logs; `-` without one.
    pub fn id(&self) -> &str {
        self.head.headers.get_text("request-id").unwrap_or("-")
    }

    /// How long the client waits for a response, by `Deadline-Ms`; `None` if that is absent or invalid.
    pub fn client_timeout(&self) -> Option<Duration> {
        let value = self.head.headers.get_text("deadline-ms")?;
        let ms: f64 = value.parse().ok()?;
        let is_valid = ms.is_finite() && ms >= 0.0;
        is_valid.then(|| Duration::from_secs_f64((ms / 1e3).min(MAX_CLIENT_TIMEOUT_SECONDS)))
    }

    /// What the request says about its prompt.
    pub fn prompt(&self) -> Prompt {
        let headers = &self.head.headers;
        Prompt::parse(headers.get_text("prompt-prefix"), headers.get_text("token-counts"))
    }
}
