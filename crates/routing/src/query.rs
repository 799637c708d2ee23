//! Input and result of a selection.

use crate::phase::Phase;
use crate::prompt::Prompt;
use crate::server::ServerKey;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The attempt for which a server is selected.
#[derive(Clone, Copy, Debug)]
pub struct SelectionQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// The phase of the attempt.
    pub phase: Phase,
    /// The model that the server must have loaded; `None` allows any server.
    pub model: Option<&'a str>,
    /// The prompt; empty if the request has none.
    pub prompt: &'a Prompt,
    /// The zone whose servers are preferred.
    pub preferred_zone: &'a str,
    /// Servers that must not be selected, such as those of earlier attempts.
    pub excluded: &'a [ServerKey],
    /// The latency objective of the request. Other zones are considered if the estimate in the local zone
    /// exceeds a share of it.
    pub objective: Duration,
}

/// The server selected for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Selection {
    /// The server.
    pub key: ServerKey,
    /// Its id, which identifies the incarnation.
    pub id: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Rc<str>,
    /// The expected latency of the attempt.
    pub estimate: Duration,
    /// Whether the server has recently reported queued requests, or at least half of its slots in use.
    pub is_busy: bool,
    /// The number of prompt tokens that the server probably has to prefill.
    pub prefill_tokens: u32,
}

/// Why no server was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SelectionError {
    /// No eligible server serves the phase and model.
    NoServer,
    /// All servers that are otherwise eligible are at their in-flight limit.
    Saturated,
}

impl fmt::Display for SelectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SelectionError::NoServer => "no server is eligible",
            SelectionError::Saturated => "all eligible servers are at their in-flight limit",
        })
    }
}

impl std::error::Error for SelectionError {}
