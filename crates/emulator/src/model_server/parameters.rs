//! Speeds, sizes and limits of a model server.

use std::time::Duration;

/// The stage of a generation that a server executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Prefill: computes the KV caches of prompts.
    Prefill,
    /// Decode: generates tokens.
    Decode,
}

impl Stage {
    /// The name in headers, orders and lists.
    pub fn as_str(self) -> &'static str {
        match self {
            Stage::Prefill => "prefill",
            Stage::Decode => "decode",
        }
    }

    /// The stage with this name, if there is one.
    pub fn parse(name: &str) -> Option<Stage> {
        match name {
            "prefill" => Some(Stage::Prefill),
            "decode" => Some(Stage::Decode),
            _ => None,
        }
    }
}

/// Speeds, sizes and limits of a model server.
#[derive(Clone, Debug)]
pub struct ModelParameters {
    /// The stage at the start.
    pub stage: Stage,
    /// The name of the model.
    pub model: String,
    /// The version of the model weights.
    pub version: u64,
    /// The maximum number of requests in the batch.
    pub slots: usize,
    /// The maximum number of waiting requests. Further ones are rejected.
    pub queue_capacity: usize,
    /// The duration of a step without requests, in ms.
    pub step_ms: f64,
    /// The time that each running request adds to a step, in ms.
    pub step_ms_per_running: f64,
    /// The prefill speed, in tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// The prefill budget of one step, in tokens.
    pub chunk_tokens: u64,
    /// The delay before the first step of a request, in ms.
    pub startup_ms: f64,
    /// The number of tokens in each event of a stream. The first event always has one token.
    pub tokens_per_event: u64,
    /// The size of the data of an event, in bytes.
    pub event_bytes: usize,
    /// The size of the KV memory, in tokens.
    pub kv_tokens: u64,
    /// The number of tokens in a block of KV memory.
    pub block_tokens: u64,
    /// The size of a token in the KV cache, in bytes.
    pub kv_token_bytes: f64,
    /// The bandwidth of KV transfers, in Mbit/s.
    pub link_mbps: f64,
    /// The delay before a transfer, in ms.
    pub transfer_setup_ms: f64,
    /// How long a handle can be fetched.
    pub handle_ttl: Duration,
    /// How long a stage change takes once the server is idle.
    pub switch_duration: Duration,
    /// The age of the load snapshot that a report contains.
    pub report_lag: Duration,
    /// Whether orders with a fencing token lower than the highest one seen are refused.
    pub checks_fencing_tokens: bool,
}

impl ModelParameters {
    /// A small, fast server for tests.
    pub fn small_and_fast(stage: Stage) -> ModelParameters {
        ModelParameters {
            stage,
            model: "m".to_owned(),
            version: 1,
            slots: 8,
            queue_capacity: 32,
            step_ms: 0.5,
            step_ms_per_running: 0.05,
            prefill_tokens_per_ms: 1_000.0,
            chunk_tokens: 2_048,
            startup_ms: 1.0,
            tokens_per_event: 4,
            event_bytes: 32,
            kv_tokens: 100_000,
            block_tokens: 16,
            kv_token_bytes: 35_136.0,
            link_mbps: 1_000_000.0,
            transfer_setup_ms: 0.1,
            handle_ttl: Duration::from_secs(5),
            switch_duration: Duration::from_millis(20),
            report_lag: Duration::from_millis(100),
            checks_fencing_tokens: true,
        }
    }

    /// The id of the event that token number `number` (from 1) of `count` completes, if it completes one.
    pub(super) fn completed_event(&self, number: u64, count: u64) -> Option<u64> {
        let tokens_per_event = self.tokens_per_event.max(1);
        if number == 1 || (number - 1).is_multiple_of(tokens_per_event) {
            return Some(1 + (number - 1) / tokens_per_event);
        }
        (number == count).then(|| self.event_count(count))
    }

    /// The number of events in a stream of `tokens` tokens.
    pub(super) fn event_count(&self, tokens: u64) -> u64 {
        1 + tokens.saturating_sub(1).div_ceil(self.tokens_per_event.max(1))
    }

    /// The number of tokens in the first `events` events of a stream of `count` tokens.
    pub(super) fn tokens_in_events(&self, events: u64, count: u64) -> u64 {
        match events {
            0 => 0,
            events => count.min(1 + (events - 1) * self.tokens_per_event.max(1)),
        }
    }
}
