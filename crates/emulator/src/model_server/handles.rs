//! KV handles: prefilled prompts that wait to be fetched by a decode server.

use super::generation::Generation;
use super::kv_memory::{KvAllocation, KvMemory};
use crate::server_core::{KvContents, Location};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct PreparedPrompt {
    allocation: KvAllocation,
    contents: KvContents,
    expires_at: Duration,
}

/// All handles of a server, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Handles {
    prepared: BTreeMap<String, PreparedPrompt>,
    created: u64,
    /// Prompt tokens of handles that nobody fetched.
    pub wasted_tokens: u64,
}

impl Handles {
    /// Keeps the prefilled prompt of a generation until `expires_at`; returns its handle, 12 hexadecimal digits.
    pub fn insert(
        &mut self, instance: &str, generation: &Generation, allocation: KvAllocation, version: u64,
        location: Location, expires_at: Duration,
    ) -> String {
        self.created += 1;
        let hash = crate::content::hash_all(&[instance.as_bytes(), &self.created.to_be_bytes()]);
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

    /// Hands out the contents of a handle and releases its blocks.
    pub fn take(&mut self, handle: &str, memory: &mut KvMemory) -> Option<KvContents> {
        let prompt = self.prepared.remove(handle)?;
        memory.release(&prompt.allocation);
        Some(prompt.contents)
    }

    /// Drops a handle that nobody fetched; false if there is none.
    pub fn drop_handle(&mut self, handle: &str, memory: &mut KvMemory) -> bool {
        let Some(contents) = self.take(handle, memory) else {
            return false;
        };
        self.wasted_tokens += contents.tokens;
        true
    }

    /// Drops the handles that have expired.
    pub fn expire(&mut self, now: Duration, memory: &mut KvMemory) {
        let expired: Vec<String> = self
            .prepared
            .iter()
            .filter(|(_, prompt)| prompt.expires_at <= now)
            .map(|(handle, _)| handle.clone())
            .collect();
        for handle in expired {
            self.drop_handle(&handle, memory);
        }
    }

    /// Drops all handles.
    pub fn expire_all(&mut self, memory: &mut KvMemory) {
        self.expire(Duration::MAX, memory);
    }

    /// Handles that wait to be fetched.
    pub fn count(&self) -> usize {
        self.prepared.len()
    }

    /// When the next handle expires.
    pub fn next_wake(&self) -> Option<Duration> {
        self.prepared.values().map(|prompt| prompt.expires_at).min()
    }
}
