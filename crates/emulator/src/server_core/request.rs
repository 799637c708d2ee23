//! Requests as a server core receives them.

use crate::header_names;
use crate::wire::{Headers, Request};
use std::time::Duration;

/// Identifies one request at the servers of an environment. Ids are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A complete request as a server core receives it.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// [`crate::content::hash_all`] of method, target and body.
    pub content_hash: u64,
}

impl From<Request> for ServerRequest {
    fn from(request: Request) -> Self {
        let segments = [request.method.as_bytes(), request.target.as_bytes(), &request.body];
        let content_hash = crate::content::hash_all(&segments);
        ServerRequest {
            content_hash,
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
        }
    }
}

impl ServerRequest {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The id of the client's attempt (`Request-Id`), if any.
    pub fn request_id(&self) -> Option<&str> {
        self.headers.get(header_names::REQUEST_ID)
    }

    /// When the caller stops waiting according to `Deadline-Ms`; `None` without that header.
    pub fn deadline(&self, now: Duration) -> Option<Duration> {
        let ms: f64 = self.headers.parsed(header_names::DEADLINE_MS)?;
        Some(now + duration_from_ms(ms))
    }
}

/// The duration of this many milliseconds; zero for a negative, infinite or NaN number.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::ZERO)
}
