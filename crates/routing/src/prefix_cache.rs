//! Estimate of the content of a server's KV cache.

use crate::prompt::{Prompt, PromptSegment};
use std::collections::HashMap;
use std::time::Duration;

/// Tracks the prompt segments that one server probably has in its prefix cache: those that this proxy sent to
/// it recently.
///
/// This is only an estimate: servers don't report evictions, and other proxies fill the same caches. The
/// number of tracked segments is bounded. On overflow, all segments whose last use is not after the median
/// one are dropped, which is at least half of them.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheTracker {
    /// The time of the last use of each segment, by segment id.
    last_used: HashMap<u64, Duration>,
}

impl PrefixCacheTracker {
    /// Records that the server has prefilled all segments of `prompt`. At most `capacity` segments are
    /// tracked.
    pub fn record_prefill(&mut self, now: Duration, prompt: &Prompt, capacity: usize) {
        for segment in &prompt.segments {
            self.last_used.insert(segment.id, now);
        }
        if self.last_used.len() > capacity {
            self.drop_older_half();
        }
    }

    /// Returns the number of tokens of `prompt` that need no prefill: those of its leading segments that were
    /// each used within `ttl`. A KV cache is only valid behind the same prefix, so counting stops at the
    /// first miss.
    pub fn cached_tokens(&self, now: Duration, prompt: &Prompt, ttl: Duration) -> u32 {
        let is_cached = |segment: &&PromptSegment| {
            self.last_used.get(&segment.id).is_some_and(|used_at| now.saturating_sub(*used_at) <= ttl)
        };
        let cached = prompt.segments.iter().take_while(is_cached);
        cached.fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Returns the number of tracked segments.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns whether no segment is tracked.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<Duration> = self.last_used.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last_used.retain(|_, used_at| *used_at > median);
    }
}
