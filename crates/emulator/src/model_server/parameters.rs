//! The figures of a model server.

use std::time::Duration;

/// Which part of a generation a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It reads prompts.
    Prefill,
    /// It makes tokens.
    Decode,
}

impl Stage {
    /// The word on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }

    /// The stage of that word.
    pub fn parse(word: &str) -> Option<Stage> {
        match word {
            "prefill" => Some(Stage::Prefill),
            "decode" => Some(Stage::Decode),
            _ => None,
        }
    }
}

/// How a model server works. Times are in ms where a field says so.
#[derive(Clone, Debug)]
pub struct ModelParameters {
    /// Its part at the start.
    pub stage: Stage,
    /// The model that it holds.
    pub model: String,
    /// The version of its weights.
    pub version: u64,
    /// Requests in one batch.
    pub slots: usize,
    /// Requests that wait; more are rejected.
    pub queue: usize,
    /// A step with nothing running, in ms.
    pub step_ms: f64,
    /// What each running request adds to a step, in ms.
    pub step_ms_per_running: f64,
    /// Prompt tokens that are read in a ms.
    pub prefill_tokens_per_ms: f64,
    /// The longest piece of prompts in one step, in tokens.
    pub chunk_tokens: u64,
    /// Work before a prompt is read, in ms.
    pub startup_ms: f64,
    /// Tokens in one event of a stream, after the first.
    pub stride: u64,
    /// Bytes of data in one event.
    pub event_bytes: usize,
    /// Memory, in tokens.
    pub kv_tokens: u64,
    /// Tokens in one block of memory.
    pub block_tokens: u64,
    /// Bytes of memory for a token.
    pub kv_token_bytes: f64,
    /// Bandwidth of a move of memory, in Mbit/s.
    pub link_mbps: f64,
    /// Work before a move, in ms.
    pub transfer_setup_ms: f64,
    /// How long a handle is held.
    pub handle_ttl: Duration,
    /// How long a change of stage takes once nothing runs.
    pub switch_duration: Duration,
    /// How old the figures of a report are.
    pub report_lag: Duration,
    /// Whether orders with a lower fencing token than was seen are refused.
    pub fenced: bool,
}

impl ModelParameters {
    /// A small, quick server for tests.
    pub fn quick(stage: Stage) -> ModelParameters {
        ModelParameters {
            stage,
            model: "m".to_owned(),
            version: 1,
            slots: 8,
            queue: 32,
            step_ms: 0.5,
            step_ms_per_running: 0.05,
            prefill_tokens_per_ms: 1_000.0,
            chunk_tokens: 2_048,
            startup_ms: 1.0,
            stride: 4,
            event_bytes: 32,
            kv_tokens: 100_000,
            block_tokens: 16,
            kv_token_bytes: 35_136.0,
            link_mbps: 1_000_000.0,
            transfer_setup_ms: 0.1,
            handle_ttl: Duration::from_secs(5),
            switch_duration: Duration::from_millis(20),
            report_lag: Duration::from_millis(100),
            fenced: true,
        }
    }

    /// Which event the token `made` (from 1) completes, if any.
    pub(super) fn event_of(&self, made: u64, last: u64) -> Option<u64> {
        let stride = self.stride.max(1);
        if made == 1 || (made - 1).is_multiple_of(stride) {
            return Some(1 + (made - 1) / stride);
        }
        (made == last).then(|| self.events(last))
    }

    /// Events of a stream of so many tokens.
    pub(super) fn events(&self, tokens: u64) -> u64 {
        1 + tokens.saturating_sub(1).div_ceil(self.stride.max(1))
    }

    /// Tokens that are in the first so many events.
    pub(super) fn tokens_before(&self, events: u64, last: u64) -> u64 {
        match events {
            0 => 0,
            events => last.min(1 + (events - 1) * self.stride.max(1)),
        }
    }
}
