//! The records of a replica's log.
//!
//! The persistent state of a replica results from applying its records in order. Encoded names are fixed; see
//! docs/GLOSSARY.md.

use crate::entry::{Entry, HistorySuffix};
use crate::error::DecodeError;
use crate::paxos::ProposalNumber;
use crate::view::View;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The identity of the disk. Always the first record.
    Identity {
        /// A random number, generated when the disk was empty.
        disk: u64,
        /// The seeds, if the replica may take part in bootstrapping the first view.
        #[serde(rename = "founding")]
        bootstrap_seeds: Option<Vec<SocketAddr>>,
    },
    /// A promise in the Paxos instance that decides the view after the newest one.
    Promise {
        /// The number of the view to decide.
        instance: u64,
        /// The number of the promised proposal.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
    },
    /// A view was accepted.
    Accept {
        /// The number of the proposal that was accepted.
        #[serde(rename = "ballot")]
        proposal: ProposalNumber,
        /// The view.
        view: View,
    },
    /// A view was decided.
    Decided {
        /// The view.
        view: View,
    },
    /// The history of a view was installed.
    Install {
        /// The number of the view.
        view: u64,
        /// The entries that replace those after `suffix.after`.
        #[serde(rename = "transfer")]
        suffix: HistorySuffix,
    },
    /// An entry was appended to the history.
    Append {
        /// The entry.
        entry: Entry,
    },
}

/// An installation with longer bodies is split into several records, so that a rewrite never holds two
/// encoded copies of the complete history in memory. No record is then longer than the sum of this limit and
/// one configuration.
const MAX_UNSPLIT_BODY_BYTES: usize = 1024 * 1024;
/// The maximum number of headers in a record. Their encoding is much shorter than [`MAX_UNSPLIT_BODY_BYTES`].
const MAX_HEADERS_PER_RECORD: usize = 1_000;

impl Record {
    /// The records that install `suffix` as the history of `view`, on a replica whose installed view was
    /// `installed_before`.
    ///
    /// A short suffix is written as one record and a longer one as several. Only the last record names
    /// `view`, so that after a crash in between the replica does not claim to hold the history of `view`.
    pub fn installation(installed_before: u64, view: u64, suffix: &HistorySuffix) -> Vec<Record> {
        let body_bytes: usize = suffix.bodies.iter().map(|body| body.bytes.len()).sum();
        if suffix.headers.len() <= MAX_HEADERS_PER_RECORD && body_bytes <= MAX_UNSPLIT_BODY_BYTES {
            return vec![Record::Install { view, suffix: suffix.clone() }];
        }
        let mut after = suffix.after;
        let mut records = Vec::new();
        for headers in suffix.headers.chunks(MAX_HEADERS_PER_RECORD) {
            let part = HistorySuffix { after, headers: headers.to_vec(), bodies: Vec::new() };
            records.push(Record::Install { view: installed_before, suffix: part });
            after = headers.last().map_or(after, |header| header.index);
        }
        for body in &suffix.bodies {
            let part = HistorySuffix { after, headers: Vec::new(), bodies: vec![body.clone()] };
            records.push(Record::Install { view: installed_before, suffix: part });
        }
        records.push(Record::Install { view, suffix: HistorySuffix { after, ..HistorySuffix::default() } });
        records
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Encoding these types into a vector does not fail.
        let written = ciborium::into_writer(self, &mut bytes);
        debug_assert!(written.is_ok(), "cannot encode a log record: {written:?}");
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<Record, DecodeError> {
        ciborium::from_reader(bytes).map_err(|error| DecodeError(error.to_string()))
    }
}
