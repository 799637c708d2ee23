//! KV handles: prefilled prompts that decode servers can fetch.

use super::generation::Generation;
use super::kv_memory::{KvAllocation, KvMemory};
use crate::server_core::{KvContents, Location};
use std::collections::BTreeMap;
use std::time::Duration;

/// A prefilled prompt, which is kept until its handle is fetched, is released or expires.
#[derive(Clone, Debug)]
struct PrefilledPrompt {
    allocation: KvAllocation,
    contents: KvContents,
    expires_at: Duration,
}

/// The handles of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Handles {
    /// The prefilled prompts by handle.
    prompts: BTreeMap<String, PrefilledPrompt>,
    /// The number of handles created so far.
    created: u64,
    /// The number of prompt tokens of handles that were never fetched.
    pub wasted_tokens: u64,
}

impl Handles {
    /// Keeps the prefilled prompt of a generation until `expires_at`. Returns the handle: 12 hexadecimal
    /// digits.
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
        self.prompts.insert(handle.clone(), PrefilledPrompt { allocation, contents, expires_at });
        handle
    }

    /// Removes a handle, releases its blocks and returns its contents.
    pub fn take(&mut self, handle: &str, memory: &mut KvMemory) -> Option<KvContents> {
        let prompt = self.prompts.remove(handle)?;
        memory.release(&prompt.allocation);
        Some(prompt.contents)
    }

    /// Drops a handle without a fetch; false if there is no such handle.
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
            .prompts
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

    /// The number of handles that can be fetched.
    pub fn count(&self) -> usize {
        self.prompts.len()
    }

    /// When the next handle expires; `None` if there are no handles.
    pub fn next_wake(&self) -> Option<Duration> {
        self.prompts.values().map(|prompt| prompt.expires_at).min()
    }
}
