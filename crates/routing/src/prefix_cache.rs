//! Which parts of prompts a server probably keeps: those that were sent to it lately. Bounded, oldest out first.

use crate::prompt::{Prompt, PromptSegment};
use std::collections::HashMap;
use std::time::Duration;

/// Parts with the time of their last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCacheTracker {
    last_used: HashMap<u64, Duration>,
}

impl PrefixCacheTracker {
    /// All parts of `prompt` were read by the server; at capacity `capacity` parts are remembered.
    pub fn record_prefill(&mut self, now: Duration, prompt: &Prompt, capacity: usize) {
        for segment in &prompt.segments {
            self.last_used.insert(segment.id, now);
        }
        if self.last_used.len() > capacity {
            self.forget_older_half();
        }
    }

    /// Tokens of `prompt` that need not be read again: of its parts from the first on, as long as each is kept.
    pub fn cached_tokens(&self, now: Duration, prompt: &Prompt, ttl: Duration) -> u32 {
        let is_cached = |segment: &&PromptSegment| {
            self.last_used.get(&segment.id).is_some_and(|used_at| now.saturating_sub(*used_at) <= ttl)
        };
        prompt
            .segments
            .iter()
            .take_while(is_cached)
            .fold(0, |sum, segment| sum.saturating_add(segment.tokens))
    }

    /// Parts remembered.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Duration> = self.last_used.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.last_used.retain(|_, used_at| *used_at > median);
    }
}
