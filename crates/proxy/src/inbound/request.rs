//! A client's whole request and the terms that it sets.

use crate::http::RequestHead;
use bytes::Bytes;
use lugwharf_routing::Prompt;
use std::time::Duration;
use tokio::time::Instant;

/// A request that has been read whole.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Whether a body was announced, if only of no bytes.
    pub has_body: bool,
    /// When its first bytes came.
    pub arrived: Instant,
}

impl ClientRequest {
    /// Its id, for logs.
    pub fn id(&self) -> &str {
        self.head.headers.get_text("request-id").unwrap_or("-")
    }

    /// When the client stops to wait, as far as it tells.
    pub fn client_timeout(&self) -> Option<Duration> {
        let value = self.head.headers.get_text("deadline-ms")?;
        let ms: f64 = value.parse().ok()?;
        (ms.is_finite() && ms >= 0.0).then(|| Duration::from_secs_f64((ms / 1e3).min(86_400.0)))
    }

    /// What it tells of its prompt.
    pub fn prompt(&self) -> Prompt {
        let headers = &self.head.headers;
        Prompt::parse(headers.get_text("prompt-prefix"), headers.get_text("token-counts"))
    }
}
