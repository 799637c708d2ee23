//! The paged KV memory of a model server. Running requests and cached prompt segments share its blocks.

use crate::content;
use std::collections::BTreeMap;

/// Identifies a prompt segment together with all segments before it, for one model and version.
pub type SegmentKey = u64;

/// The keys of the named segments of a prompt, in order, with the number of tokens of each. `segments` holds
/// the id and the number of tokens of each segment.
pub fn prefix_keys(model: &str, version: u64, segments: &[(u64, u64)]) -> Vec<(SegmentKey, u64)> {
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
    /// The number of allocations that use the segment. Only unpinned segments can be evicted.
    pin_count: u32,
    /// Whether the segment was prefilled or fetched.
    is_filled: bool,
    /// The sort key of eviction: least recently used first. Of segments that were last used by the same
    /// request, the later ones of the prompt come first.
    last_used: (u64, u64),
}

/// The blocks that one request uses: its private blocks and shared prompt segments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KvAllocation {
    segments: Vec<SegmentKey>,
    private_blocks: u64,
}

/// The blocks of a server, with least-recently-used (LRU) eviction of cached segments.
#[derive(Clone, Debug)]
pub struct KvMemory {
    /// The number of tokens in a block.
    block_tokens: u64,
    /// The number of blocks.
    capacity: u64,
    /// The number of blocks that are private to requests.
    private_blocks: u64,
    segments: BTreeMap<SegmentKey, CachedSegment>,
    /// The number of reservations so far, as the clock of the eviction order.
    reservations: u64,
}

impl KvMemory {
    /// Empty memory with a capacity of `tokens`, in blocks of `block_tokens`.
    pub fn new(tokens: u64, block_tokens: u64) -> KvMemory {
        let block_tokens = block_tokens.max(1);
        KvMemory {
            block_tokens,
            capacity: tokens / block_tokens,
            private_blocks: 0,
            segments: BTreeMap::new(),
            reservations: 0,
        }
    }

    /// The number of blocks that hold this number of tokens.
    fn blocks_for(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block_tokens)
    }

    /// Whether a request with this prefix and this number of private tokens would fit into empty memory.
    pub fn could_fit(&self, prefix: &[(SegmentKey, u64)], private_tokens: u64) -> bool {
        let shared: u64 = prefix.iter().map(|(_, tokens)| self.blocks_for(*tokens)).sum();
        shared.saturating_add(self.blocks_for(private_tokens)) <= self.capacity
    }

    /// The number of tokens at the start of the prefix that are cached and need no prefill.
    pub fn cached_tokens(&self, prefix: &[(SegmentKey, u64)]) -> u64 {
        let is_filled = |key: &SegmentKey| self.segments.get(key).is_some_and(|segment| segment.is_filled);
        prefix.iter().take_while(|(key, _)| is_filled(key)).map(|(_, tokens)| tokens).sum()
    }

    /// Allocates the blocks of a request. Cached segments that no request uses are evicted as needed. `None`
    /// if there is no room.
    pub fn reserve(&mut self, prefix: &[(SegmentKey, u64)], private_tokens: u64) -> Option<KvAllocation> {
        let private_blocks = self.blocks_for(private_tokens);
        let missing_blocks: u64 = prefix
            .iter()
            .filter(|(key, _)| !self.segments.contains_key(key))
            .map(|(_, tokens)| self.blocks_for(*tokens))
            .sum();
        for (key, _) in prefix {
            if let Some(segment) = self.segments.get_mut(key) {
                segment.pin_count += 1;
            }
        }
        let fits = self.evict_for(missing_blocks + private_blocks);
        self.reservations += 1;
        for (depth, (key, tokens)) in prefix.iter().enumerate() {
            let last_use = (self.reservations, u64::MAX - depth as u64);
            match self.segments.get_mut(key) {
                Some(segment) if fits => segment.last_used = last_use,
                Some(segment) => segment.pin_count -= 1,
                None if fits => {
                    let blocks = self.blocks_for(*tokens);
                    self.segments.insert(
                        *key,
                        CachedSegment { blocks, pin_count: 1, is_filled: false, last_used: last_use },
                    );
                }
                None => {}
            }
        }
        if !fits {
            return None;
        }
        self.private_blocks += private_blocks;
        Some(KvAllocation { segments: prefix.iter().map(|(key, _)| *key).collect(), private_blocks })
    }

    /// Grows the private blocks of an allocation to `private_tokens`; false if there is no room.
    pub fn grow(&mut self, allocation: &mut KvAllocation, private_tokens: u64) -> bool {
        let added_blocks = self.blocks_for(private_tokens).saturating_sub(allocation.private_blocks);
        if added_blocks > 0 && !self.evict_for(added_blocks) {
            return false;
        }
        allocation.private_blocks += added_blocks;
        self.private_blocks += added_blocks;
        true
    }

    /// Marks the segments of an allocation as prefilled or fetched, so that other requests can share them.
    pub fn mark_filled(&mut self, allocation: &KvAllocation) {
        for key in &allocation.segments {
            if let Some(segment) = self.segments.get_mut(key) {
                segment.is_filled = true;
            }
        }
    }

    /// Releases an allocation. Filled segments stay cached until they are evicted; segments that were never
    /// filled and have no other user are removed.
    pub fn release(&mut self, allocation: &KvAllocation) {
        self.private_blocks = self.private_blocks.saturating_sub(allocation.private_blocks);
        for key in &allocation.segments {
            let Some(segment) = self.segments.get_mut(key) else {
                continue;
            };
            segment.pin_count = segment.pin_count.saturating_sub(1);
            if segment.pin_count == 0 && !segment.is_filled {
                self.segments.remove(key);
            }
        }
    }

    /// The number of tokens in blocks that cannot be evicted.
    pub fn used_tokens(&self) -> u64 {
        let pinned: u64 = self
            .segments
            .values()
            .filter(|segment| segment.pin_count > 0)
            .map(|segment| segment.blocks)
            .sum();
        (self.private_blocks + pinned) * self.block_tokens
    }

    /// The number of tokens in all blocks.
    pub fn total_tokens(&self) -> u64 {
        self.capacity * self.block_tokens
    }

    /// Evicts unpinned segments until `blocks` are free; false, without eviction, if there are too few.
    fn evict_for(&mut self, blocks: u64) -> bool {
        let cached: u64 = self.segments.values().map(|segment| segment.blocks).sum();
        let mut free = self.capacity.saturating_sub(self.private_blocks + cached);
        let evictable: u64 = self
            .segments
            .values()
            .filter(|segment| segment.pin_count == 0)
            .map(|segment| segment.blocks)
            .sum();
        if free + evictable < blocks {
            return false;
        }
        while free < blocks {
            let oldest = self
                .segments
                .iter()
                .filter(|(_, segment)| segment.pin_count == 0)
                .min_by_key(|(_, segment)| segment.last_used);
            let Some((key, _)) = oldest else {
                return false;
            };
            let key = *key;
            free += self.segments.remove(&key).map_or(0, |segment| segment.blocks);
        }
        true
    }
}
