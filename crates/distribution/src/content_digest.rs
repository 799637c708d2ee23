//! Digest of the content of a server table, by which two processes compare their tables.

use lugwharf_protocol::{ServerEntry, ServerState, Stage};

/// The digest of a set of server entries. It does not depend on the order or the history of the entries, nor
/// on the remaining warm-up times, which differ between tables at the same position.
///
/// Processes of different versions compare their digests, so the fields that enter it and their form must not
/// change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ContentDigest(u64);

impl ContentDigest {
    /// Adds an entry that is not in the set, or removes one that is.
    pub(crate) fn toggle(&mut self, entry: &ServerEntry) {
        self.0 ^= hash(entry);
    }

    /// Returns the digest as a number.
    pub(crate) fn value(self) -> u64 {
        self.0
    }
}

/// Returns the first 64 bits of the BLAKE3 hash of an entry.
fn hash(entry: &ServerEntry) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let mut add = |field: &[u8]| {
        hasher.update(&(field.len() as u64).to_be_bytes());
        hasher.update(field);
    };
    add(entry.id.as_bytes());
    add(entry.service.as_bytes());
    add(entry.address.to_string().as_bytes());
    add(entry.zone.as_bytes());
    add(&entry.slots.to_be_bytes());
    add(state_name(entry.state));
    add(stage_name(entry.stage));
    for model in &entry.models {
        add(model.name.as_bytes());
        add(&model.version.to_be_bytes());
    }
    let mut first = [0; size_of::<u64>()];
    hasher.finalize_xof().fill(&mut first);
    u64::from_be_bytes(first)
}

fn state_name(state: ServerState) -> &'static [u8] {
    match state {
        ServerState::Ready => b"ready",
        ServerState::Draining => b"draining",
    }
}

fn stage_name(stage: Option<Stage>) -> &'static [u8] {
    match stage {
        None => b"",
        Some(Stage::Prefill) => b"prefill",
        Some(Stage::Decode) => b"decode",
    }
}
