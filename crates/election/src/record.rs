//! The log records of a voter.

use crate::settings::Role;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The last lease that this process granted for one role. It is synced before the vote is sent.
///
/// The encoded names must not change; see docs/GLOSSARY.md.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub(crate) struct GrantRecord {
    pub(crate) role: Role,
    pub(crate) token: FencingToken,
    pub(crate) holder: SocketAddr,
}

impl GrantRecord {
    /// Encodes the record as one CBOR value.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // Serializing plain fields to memory cannot fail.
        let _ = ciborium::into_writer(self, &mut bytes);
        bytes
    }

    /// Decodes a record. Returns `None` for records of other components in a shared log.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// Returns the record of `role` with the highest token. The tokens that a voter persists only increase, so
/// this is the last record.
pub(crate) fn last_grant(role: Role, records: &[Vec<u8>]) -> Option<GrantRecord> {
    let records = records.iter().filter_map(|bytes| GrantRecord::decode(bytes));
    records.filter(|record| record.role == role).max_by_key(|record| record.token)
}
