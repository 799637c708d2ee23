//! The records that a voter writes to the log.

use crate::settings::Role;
use crate::token::FencingToken;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The last lease that this process granted for one role; synced before the vote for it is sent.
///
/// Encoded names are fixed; see docs/GLOSSARY.md.
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
        // Writing plain fields to memory has no way to fail.
        let _ = ciborium::into_writer(self, &mut bytes);
        bytes
    }

    /// Decodes a record; `None` for the records of others in a shared log.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// The record of `role` with the highest token. The tokens that one voter grants only grow, so it is the last record.
pub(crate) fn last_grant(role: Role, records: &[Vec<u8>]) -> Option<GrantRecord> {
    let records = records.iter().filter_map(|bytes| GrantRecord::decode(bytes));
    records.filter(|record| record.role == role).max_by_key(|record| record.token)
}
