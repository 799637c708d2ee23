//! One generation, as the headers of its request describe it.

use super::kv_memory::{KvAllocation, SegmentKey, chain_keys};
use super::parameters::ModelParameters;
use crate::header_names;
use crate::server_core::{CallId, ServerRequest, duration_from_ms};
use std::net::SocketAddr;
use std::time::Duration;

/// The priority of a request without `Priority`; 0 is the most urgent.
const DEFAULT_PRIORITY: u8 = 5;

/// Where the KV cache of a prompt is fetched from (`Kv-From`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvSource {
    /// The prefill server.
    pub address: SocketAddr,
    /// The handle there.
    pub handle: String,
}

impl KvSource {
    /// Parses `IP:PORT/HANDLE`.
    pub fn parse(text: &str) -> Option<KvSource> {
        let (address, handle) = text.split_once('/')?;
        Some(KvSource { address: address.parse().ok()?, handle: handle.to_owned() })
    }
}

/// A request in a model server.
#[derive(Clone, Debug)]
pub(super) struct Generation {
    pub call: CallId,
    pub request: ServerRequest,
    pub priority: u8,
    /// The number of its arrival, so that the older goes first.
    pub order: u64,
    pub deadline: Option<Duration>,
    pub is_prefill: bool,
    pub segments: Vec<(u64, u64)>,
    pub chain: Vec<(SegmentKey, u64)>,
    /// Tokens of the prompt behind its named segments.
    pub unnamed_tokens: u64,
    pub prompt_tokens: u64,
    pub out_tokens: u64,
    pub made: u64,
    /// Prompt tokens that are still to be prefilled.
    pub remaining_prefill: u64,
    pub allocation: Option<KvAllocation>,
    /// When its first step may begin.
    pub begins_at: Duration,
    /// The number of its execution, once its first token is made.
    pub run: Option<u64>,
    pub kv_owner: Option<String>,
}

impl Generation {
    /// Parses the headers; `None` if they describe no generation.
    pub fn from_request(
        call: CallId, request: ServerRequest, order: u64, now: Duration, parameters: &ModelParameters,
    ) -> Option<Generation> {
        let counts = request.headers.get(header_names::TOKEN_COUNTS)?;
        let (prompt, out) = counts.split_once(',')?;
        let prompt_tokens: u64 = prompt.trim().parse().ok()?;
        let out_tokens: u64 = out.trim().parse().ok()?;
        let segments = parse_segments(request.headers.get(header_names::PROMPT_PREFIX).unwrap_or_default())?;
        let named: u64 = segments.iter().map(|(_, tokens)| tokens).sum();
        let seen = request.headers.parsed(header_names::LAST_EVENT_ID).unwrap_or(0);
        let model = request.headers.get(header_names::MODEL).unwrap_or_default();
        Some(Generation {
            call,
            priority: request.headers.parsed(header_names::PRIORITY).unwrap_or(DEFAULT_PRIORITY),
            order,
            deadline: request.deadline(now),
            is_prefill: request.headers.get(header_names::SERVING_STAGE).is_some(),
            chain: chain_keys(model, parameters.version, &segments),
            segments,
            unnamed_tokens: prompt_tokens.saturating_sub(named),
            prompt_tokens: prompt_tokens.max(named),
            out_tokens: out_tokens.max(1),
            made: parameters.tokens_before(seen, out_tokens.max(1)),
            remaining_prefill: 0,
            allocation: None,
            begins_at: now + duration_from_ms(parameters.startup_ms),
            run: None,
            kv_owner: None,
            request,
        })
    }

    /// Tokens in private blocks: the unnamed end of the prompt and the tokens made.
    pub fn private_tokens(&self) -> u64 {
        self.unnamed_tokens + self.made
    }

    /// The maximum of its private tokens.
    pub fn max_private_tokens(&self) -> u64 {
        self.unnamed_tokens + if self.is_prefill { 0 } else { self.out_tokens }
    }

    /// The order of scheduling: more urgent first, then older.
    pub fn rank(&self) -> (u8, u64) {
        (self.priority, self.order)
    }

    /// Whether all tokens were made.
    pub fn is_done(&self) -> bool {
        self.made >= self.out_tokens
    }

    /// The id of its request; empty without one.
    pub fn request_id(&self) -> &str {
        self.request.request_id().unwrap_or_default()
    }
}

fn parse_segments(text: &str) -> Option<Vec<(u64, u64)>> {
    let mut segments = Vec::new();
    for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
        let (id, tokens) = part.split_once(':')?;
        segments.push((u64::from_str_radix(id, 16).ok()?, tokens.parse().ok()?));
    }
    Some(segments)
}
