//! Handles: prompts that were read and wait to be fetched.

use super::generation::Generation;
use super::memory::{KvAllocation, KvMemory};
use crate::server_core::{KvContents, Location};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct PreparedPrompt {
    allocation: KvAllocation,
    contents: KvContents,
    expires_at: Duration,
}

/// All handles of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Handles {
    prepared: BTreeMap<String, PreparedPrompt>,
    made: u64,
    /// Tokens that were read for handles that nobody took.
    pub wasted_tokens: u64,
}

impl Handles {
    /// Holds what was read for the generation; returns the handle.
    pub fn insert(
        &mut self, instance: &str, generation: &Generation, allocation: KvAllocation, version: u64,
        location: Location, expires_at: Duration,
    ) -> String {
        self.made += 1;
        let hash = crate::content::hash_all(&[instance.as_bytes(), &self.made.to_be_bytes()]);
        let handle = format!("{:012x}", hash & 0xffff_ffff_ffff);
        let contents = KvContents {
            request_id: generation.request_id().to_owned(),
            segments: generation.segments.clone(),
            tokens: generation.prompt_tokens,
            version,
            location,
        };
        self.prepared.insert(handle.clone(), PreparedPrompt { allocation, contents, expires_at });
        handle
    }

    /// Gives a handle's memory away.
    pub fn take(&mut self, handle: &str, memory: &mut KvMemory) -> Option<KvContents> {
        let prompt = self.prepared.remove(handle)?;
        memory.release(&prompt.allocation);
        Some(prompt.contents)
    }

    /// Frees a handle that nobody wants; false if there is none.
    pub fn free(&mut self, handle: &str, memory: &mut KvMemory) -> bool {
        let Some(contents) = self.take(handle, memory) else {
            return false;
        };
        self.wasted_tokens += contents.tokens;
        true
    }

    /// Frees the handles whose time is over.
    pub fn expire(&mut self, now: Duration, memory: &mut KvMemory) {
        let expired: Vec<String> = self
            .prepared
            .iter()
            .filter(|(_, prompt)| prompt.expires_at <= now)
            .map(|(handle, _)| handle.clone())
            .collect();
        for handle in expired {
            self.free(&handle, memory);
        }
    }

    /// Frees all handles at once.
    pub fn expire_all(&mut self, memory: &mut KvMemory) {
        self.expire(Duration::MAX, memory);
    }

    /// Handles that are held.
    pub fn count(&self) -> usize {
        self.prepared.len()
    }

    /// When the next one lapses.
    pub fn next_wake(&self) -> Option<Duration> {
        self.prepared.values().map(|prompt| prompt.expires_at).min()
    }
}
