//! The identities of requests, and their outcomes.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use serde::{Deserialize, Serialize};

/// The identity of an operator's request, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// The identity of a request between replicas. The incarnation tells requests before a restart from those after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Drawn at random at the start of the process.
    pub incarnation: u64,
    /// Counts the requests of that process.
    #[serde(rename = "ticket")]
    pub sequence: u64,
}

/// The outcome of a request at the head or the tail. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is committed.
    Accepted,
    /// The base of the change is not the current version.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change builds on the current version, but its own version is not above it.
    #[serde(rename = "Outdated")]
    StaleVersion {
        /// The current version.
        current: u64,
    },
    /// The newest committed version, `None` if there is none.
    Newest {
        /// The version.
        version: Option<u64>,
    },
}
