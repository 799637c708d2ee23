//! The KV memory of a model server: blocks that running requests and cached segments of prompts share.

use crate::content;
use std::collections::BTreeMap;

/// Identifies a segment of a prompt together with all segments before it, for one model and version.
pub type SegmentKey = u64;

/// The keys of the named segments of a prompt, in order, with the tokens of each.
pub fn chain_keys(model: &str, version: u64, segments: &[(u64, u64)]) -> Vec<(SegmentKey, u64)> {
    let mut key = content::hash_all(&[model.as_bytes(), &version.to_be_bytes()]);
    let mut keys = Vec::with_capacity(segments.len());
    for (id, tokens) in segments {
        key = content::hash_all(&[&key.to_be_bytes(), &id.to_be_bytes(), &tokens.to_be_bytes()]);
        keys.push((key, *tokens));
    }
    keys
}

#[derive(Clone, Debug)]
struct CachedSegment {
    blocks: u64,
    pins: u32,
    is_filled: bool,
    /// The order of eviction: less recently used first; of the same use, deeper segments first.
    last_used: (u64, u64),
}

/// The blocks that one request has allocated or shares.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvAllocation {
    segments: Vec<SegmentKey>,
    private_blocks: u64,
}

/// All blocks of a server, with least-recently-used eviction of cached segments.
#[derive(Clone, Debug)]
pub struct KvMemory {
    block_tokens: u64,
    capacity: u64,
    private: u64,
    segments: BTreeMap<SegmentKey, CachedSegment>,
    uses: u64,
}

impl KvMemory {
    /// Empty memory for so many tokens, in blocks of `block_tokens`.
    pub fn new(tokens: u64, block_tokens: u64) -> KvMemory {
        let block_tokens = block_tokens.max(1);
        KvMemory {
            block_tokens,
            capacity: tokens / block_tokens,
            private: 0,
            segments: BTreeMap::new(),
            uses: 0,
        }
    }

    fn blocks(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Whether a request of these segments and private tokens would fit into empty memory.
    pub fn could_fit(&self, chain: &[(SegmentKey, u64)], private_tokens: u64) -> bool {
        let shared: u64 = chain.iter().map(|(_, tokens)| self.blocks(*tokens)).sum();
        shared.saturating_add(self.blocks(private_tokens)) <= self.capacity
    }

    /// Tokens at the start of the chain that are cached and need no prefill.
    pub fn cached_tokens(&self, chain: &[(SegmentKey, u64)]) -> u64 {
        let is_filled = |key: &SegmentKey| self.segments.get(key).is_some_and(|part| part.is_filled);
        chain.iter().take_while(|(key, _)| is_filled(key)).map(|(_, tokens)| tokens).sum()
    }

    /// Allocates the blocks of a request, evicting cached segments that no request uses; `None` if there is no room.
    pub fn reserve(&mut self, chain: &[(SegmentKey, u64)], private_tokens: u64) -> Option<KvAllocation> {
        let private_blocks = self.blocks(private_tokens);
        let missing: u64 = chain
            .iter()
            .filter(|(key, _)| !self.segments.contains_key(key))
            .map(|(_, tokens)| self.blocks(*tokens))
            .sum();
        for (key, _) in chain {
            if let Some(part) = self.segments.get_mut(key) {
                part.pins += 1;
            }
        }
        let fits = self.evict_for(missing + private_blocks);
        self.uses += 1;
        for (depth, (key, tokens)) in chain.iter().enumerate() {
            let age = (self.uses, u64::MAX - depth as u64);
            match self.segments.get_mut(key) {
                Some(part) if fits => part.last_used = age,
                Some(part) => part.pins -= 1,
                None if fits => {
                    let blocks = self.blocks(*tokens);
                    self.segments
                        .insert(*key, CachedSegment { blocks, pins: 1, is_filled: false, last_used: age });
                }
                None => {}
            }
        }
        if !fits {
            return None;
        }
        self.private += private_blocks;
        Some(KvAllocation { segments: chain.iter().map(|(key, _)| *key).collect(), private_blocks })
    }

    /// Grows the private blocks of an allocation; false if there is no room.
    pub fn grow(&mut self, allocation: &mut KvAllocation, private_tokens: u64) -> bool {
        let more = self.blocks(private_tokens).saturating_sub(allocation.private_blocks);
        if more > 0 && !self.evict_for(more) {
            return false;
        }
        allocation.private_blocks += more;
        self.private += more;
        true
    }

    /// The segments of the allocation have been prefilled or fetched: others may share them.
    pub fn mark_filled(&mut self, allocation: &KvAllocation) {
        for key in &allocation.segments {
            if let Some(part) = self.segments.get_mut(key) {
                part.is_filled = true;
            }
        }
    }

    /// Releases an allocation. Its segments stay cached until they are evicted, unless they were never filled.
    pub fn release(&mut self, allocation: &KvAllocation) {
        self.private = self.private.saturating_sub(allocation.private_blocks);
        for key in &allocation.segments {
            let Some(part) = self.segments.get_mut(key) else {
                continue;
            };
            part.pins = part.pins.saturating_sub(1);
            if part.pins == 0 && !part.is_filled {
                self.segments.remove(key);
            }
        }
    }

    /// Tokens in blocks that can't be evicted.
    pub fn used_tokens(&self) -> u64 {
        let pinned: u64 = self.segments.values().filter(|part| part.pins > 0).map(|part| part.blocks).sum();
        (self.private + pinned) * self.block_tokens
    }

    /// Tokens in all blocks.
    pub fn total_tokens(&self) -> u64 {
        self.capacity * self.block_tokens
    }

    fn evict_for(&mut self, blocks: u64) -> bool {
        let kept: u64 = self.segments.values().map(|part| part.blocks).sum();
        let mut free = self.capacity.saturating_sub(self.private + kept);
        let loose: u64 = self.segments.values().filter(|part| part.pins == 0).map(|part| part.blocks).sum();
        if free + loose < blocks {
            return false;
        }
        while free < blocks {
            let oldest = self
                .segments
                .iter()
                .filter(|(_, part)| part.pins == 0)
                .min_by_key(|(_, part)| part.last_used);
            let Some((key, _)) = oldest else {
                return false;
            };
            let key = *key;
            free += self.segments.remove(&key).map_or(0, |part| part.blocks);
        }
        true
    }
}
