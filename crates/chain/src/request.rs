//! The identities of requests, and their outcomes.
//!
//! Encoded names are fixed by `serde(rename)` where the code uses another term; see docs/GLOSSARY.md.

use serde::{Deserialize, Serialize};

/// The identity of an operator's request, unique within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OperatorRequestId(pub u64);

/// The identity of a request between replicas. The incarnation distinguishes requests sent before a restart
/// from those sent after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// A random number, generated when the process started.
    pub incarnation: u64,
    /// The sequence number of the request within that process.
    #[serde(rename = "ticket")]
    pub sequence: u64,
}

/// The outcome of a request at the head (changes) or the tail (reads). Encoded names are fixed; see
/// docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The change is committed.
    Accepted,
    /// The base version of the change is not the current version.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The change is based on the current version, but its own version is not higher.
    #[serde(rename = "Outdated")]
    StaleVersion {
        /// The current version.
        current: u64,
    },
    /// The newest committed version, as the response to a read.
    Newest {
        /// The version, or `None` if nothing was committed yet.
        version: Option<u64>,
    },
}
