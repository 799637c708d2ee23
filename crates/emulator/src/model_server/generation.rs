//! A generation as the headers of its request describe it.

use super::kv_memory::{KvAllocation, SegmentKey, prefix_keys};
use super::parameters::ModelParameters;
use crate::header_names;
use crate::server_core::{CallId, ServerRequest, duration_from_ms};
use std::net::SocketAddr;
use std::time::Duration;

/// The priority of a request without the header `Priority`; 0 is the highest.
const DEFAULT_PRIORITY: u8 = 5;

/// Where the KV cache of a prompt is fetched from (`Kv-From`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// The address of the prefill server.
    pub address: SocketAddr,
    /// The handle at that server.
    pub handle: String,
}

impl KvSource {
    /// Parses `IP:PORT/HANDLE`.
    pub fn parse(text: &str) -> Option<KvSource> {
        let (address, handle) = text.split_once('/')?;
        Some(KvSource { address: address.parse().ok()?, handle: handle.to_owned() })
    }
}

/// A generation that a model server has accepted.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    pub call: CallId,
    pub request: ServerRequest,
    pub priority: u8,
    /// The number of the request in order of arrival. Within a priority, older requests are scheduled first.
    pub arrival_number: u64,
    pub deadline: Option<Duration>,
    pub is_prefill: bool,
    /// The named segments of the prompt: the id and the number of tokens of each.
    pub segments: Vec<(u64, u64)>,
    /// The keys of the named segments, with the number of tokens of each.
    pub prefix: Vec<(SegmentKey, u64)>,
    /// The number of prompt tokens after the named segments.
    pub unnamed_tokens: u64,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub generated_tokens: u64,
    /// The number of prompt tokens that are still to be prefilled.
    pub remaining_prefill: u64,
    pub allocation: Option<KvAllocation>,
    /// The earliest time of the first step of the generation.
    pub may_start_at: Duration,
    /// The number of the execution at the server; `None` before the first token is generated.
    pub execution: Option<u64>,
    /// The id of the request that the fetched KV cache was prefilled for; `None` if no KV cache was fetched.
    pub kv_owner: Option<String>,
}

impl Generation {
    /// Parses the headers of a request; `None` if they do not describe a generation.
    pub fn from_request(
        call: CallId, request: ServerRequest, arrival_number: u64, now: Duration,
        parameters: &ModelParameters,
    ) -> Option<Generation> {
        let counts = request.headers.get(header_names::TOKEN_COUNTS)?;
        let (prompt, output) = counts.split_once(',')?;
        let prompt_tokens: u64 = prompt.trim().parse().ok()?;
        let output_tokens: u64 = output.trim().parse().ok()?;
        let segments = parse_segments(request.headers.get(header_names::PROMPT_PREFIX).unwrap_or_default())?;
        let named: u64 = segments.iter().map(|(_, tokens)| tokens).sum();
        let received_events = request.headers.parsed(header_names::LAST_EVENT_ID).unwrap_or(0);
        let model = request.headers.get(header_names::MODEL).unwrap_or_default();
        Some(Generation {
            call,
            priority: request.headers.parsed(header_names::PRIORITY).unwrap_or(DEFAULT_PRIORITY),
            arrival_number,
            deadline: request.deadline(now),
            is_prefill: request.headers.get(header_names::SERVING_STAGE).is_some(),
            prefix: prefix_keys(model, parameters.version, &segments),
            segments,
            unnamed_tokens: prompt_tokens.saturating_sub(named),
            prompt_tokens: prompt_tokens.max(named),
            output_tokens: output_tokens.max(1),
            generated_tokens: parameters.tokens_in_events(received_events, output_tokens.max(1)),
            remaining_prefill: 0,
            allocation: None,
            may_start_at: now + duration_from_ms(parameters.startup_ms),
            execution: None,
            kv_owner: None,
            request,
        })
    }

    /// The number of tokens in private blocks: the prompt after its named segments, and the generated tokens.
    pub fn private_tokens(&self) -> u64 {
        self.unnamed_tokens + self.generated_tokens
    }

    /// The number of private tokens at the end of the generation.
    pub fn max_private_tokens(&self) -> u64 {
        self.unnamed_tokens + if self.is_prefill { 0 } else { self.output_tokens }
    }

    /// The sort key of scheduling: by priority, then by arrival.
    pub fn rank(&self) -> (u8, u64) {
        (self.priority, self.arrival_number)
    }

    /// Whether all tokens were generated.
    pub fn is_done(&self) -> bool {
        self.generated_tokens >= self.output_tokens
    }

    /// The id of the request; empty if it has none.
    pub fn request_id(&self) -> &str {
        self.request.request_id().unwrap_or_default()
    }
}

fn parse_segments(text: &str) -> Option<Vec<(u64, u64)>> {
    let mut segments = Vec::new();
    for segment in text.split(',').map(str::trim).filter(|segment| !segment.is_empty()) {
        let (id, tokens) = segment.split_once(':')?;
        segments.push((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?));
    }
    Some(segments)
}
