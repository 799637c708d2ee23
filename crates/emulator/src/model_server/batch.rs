//! Continuous batching: scheduling of the batch, the duration of a step, and the tokens and events that it
//! produces.

use super::ModelServer;
use super::generation::Generation;
use super::parameters::Stage;
use crate::content;
use crate::header_names;
use crate::server_core::{Action, CallId, duration_from_ms};
use crate::stamp::ExpectedBody;
use crate::wire::Response;
use serde_json::json;
use std::time::Duration;

/// The prefill speed in the decode stage, relative to the speed in the prefill stage.
const DECODE_PREFILL_SPEED: f64 = 0.5;
/// Prefill chunks in the decode stage are smaller than in the prefill stage by this factor.
const DECODE_CHUNK_DIVISOR: u64 = 4;
/// The minimum duration of a step, so that every step advances the time.
const MIN_STEP: Duration = Duration::from_micros(1);

/// The step of the batch that is in progress.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub ends_at: Duration,
    /// The calls that take part in the step.
    active: Vec<CallId>,
    /// The number of prompt tokens that the step may prefill.
    prefill_budget: u64,
}

impl ModelServer {
    /// Moves waiting requests into the batch, the highest priority first.
    pub(super) fn admit(&mut self, now: Duration) {
        while let Some(index) = first_by_rank(&self.waiting) {
            if self.running.len() >= self.parameters.slots && !self.preempt_for(self.waiting[index].priority)
            {
                return;
            }
            let mut next = self.waiting.swap_remove(index);
            if next.allocation.is_none() && !self.reserve(&mut next, now) {
                self.waiting.push(next);
                return;
            }
            self.running.push(next);
        }
    }

    /// Preempts the newest request of the lowest priority in the batch, if its priority is lower than
    /// `priority`. Returns whether a request was preempted.
    fn preempt_for(&mut self, priority: u8) -> bool {
        let Some(index) = last_by_rank(&self.running) else {
            return false;
        };
        if self.running[index].priority <= priority {
            return false;
        }
        self.preempt(index);
        true
    }

    /// Moves a running request back to the waiting ones and releases its memory. It is prefilled again later.
    fn preempt(&mut self, index: usize) {
        let mut generation = self.running.swap_remove(index);
        if let Some(allocation) = generation.allocation.take() {
            self.memory.release(&allocation);
        }
        self.statistics.preempted += 1;
        self.waiting.push(generation);
    }

    /// Allocates KV memory for a request; false if there is no room.
    fn reserve(&mut self, generation: &mut Generation, now: Duration) -> bool {
        let cached_tokens = self.memory.cached_tokens(&generation.prefix);
        let Some(allocation) = self.memory.reserve(&generation.prefix, generation.private_tokens()) else {
            return false;
        };
        generation.allocation = Some(allocation);
        generation.remaining_prefill =
            (generation.prompt_tokens + generation.generated_tokens).saturating_sub(cached_tokens);
        generation.may_start_at = now + duration_from_ms(self.parameters.startup_ms);
        true
    }

    /// Starts a step with the running requests that may begin, unless a step is in progress.
    pub(super) fn start_step(&mut self, now: Duration) {
        if self.step.is_some() {
            return;
        }
        let active: Vec<&Generation> =
            self.running.iter().filter(|generation| generation.may_start_at <= now).collect();
        if active.is_empty() {
            return;
        }
        let (prefill_budget, tokens_per_ms) = self.prefill_limits();
        let remaining_prefill: u64 = active.iter().map(|generation| generation.remaining_prefill).sum();
        let prefill_ms = remaining_prefill.min(prefill_budget) as f64 / tokens_per_ms.max(f64::MIN_POSITIVE);
        let running_ms = self.parameters.step_ms_per_running * active.len() as f64;
        let duration = duration_from_ms(self.parameters.step_ms + running_ms + prefill_ms).max(MIN_STEP);
        let active = active.iter().map(|generation| generation.call).collect();
        self.step = Some(Step { ends_at: now + duration, active, prefill_budget });
    }

    /// The prefill budget of one step, in tokens, and the prefill speed, in tokens per ms.
    fn prefill_limits(&self) -> (u64, f64) {
        let (chunk, tokens_per_ms) = (self.parameters.chunk_tokens, self.parameters.prefill_tokens_per_ms);
        match self.orders.stage {
            Stage::Prefill => (chunk.max(1), tokens_per_ms),
            Stage::Decode => ((chunk / DECODE_CHUNK_DIVISOR).max(1), tokens_per_ms * DECODE_PREFILL_SPEED),
        }
    }

    /// Completes the step in progress if its end has come: prefills prompts and generates tokens.
    pub(super) fn finish_step(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.step.as_ref().is_none_or(|step| step.ends_at > now) {
            return;
        }
        let Some(step) = self.step.take() else {
            return;
        };
        let is_active = |generation: &&Generation| step.active.contains(&generation.call);
        let mut calls: Vec<((u8, u64), CallId, bool)> = self
            .running
            .iter()
            .filter(is_active)
            .map(|generation| (generation.rank(), generation.call, generation.remaining_prefill > 0))
            .collect();
        calls.sort_unstable();
        let mut budget = step.prefill_budget;
        for (_, call, is_prefilling) in calls {
            if is_prefilling {
                self.prefill(call, &mut budget);
            }
            self.advance_generation(call, is_prefilling, now, actions);
        }
    }

    /// Prefills the next tokens of a prompt, within the remaining budget of the step.
    fn prefill(&mut self, call: CallId, budget: &mut u64) {
        let Some(generation) = self.running.iter_mut().find(|generation| generation.call == call) else {
            return;
        };
        let tokens = generation.remaining_prefill.min(*budget);
        generation.remaining_prefill -= tokens;
        *budget -= tokens;
        self.statistics.prefilled_tokens += tokens;
        if let Some(allocation) = generation.allocation.as_ref().filter(|_| generation.remaining_prefill == 0)
        {
            self.memory.mark_filled(allocation);
        }
    }

    /// Advances one request at the end of a step. A request that was prefilled in this step generates its
    /// first token in the next one.
    fn advance_generation(
        &mut self, call: CallId, was_prefilling: bool, now: Duration, actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.running.iter().position(|generation| generation.call == call) else {
            return;
        };
        let generation = &self.running[index];
        if generation.remaining_prefill > 0 {
            return;
        }
        if generation.is_prefill {
            self.finish_prefill(index, now, actions);
        } else if !was_prefilling {
            self.generate_token(call, actions);
        }
    }

    /// Ends a prefill request: keeps its KV cache under a handle and responds with the handle.
    fn finish_prefill(&mut self, index: usize, now: Duration, actions: &mut Vec<Action>) {
        let mut generation = self.running.swap_remove(index);
        let allocation = generation.allocation.take().unwrap_or_default();
        let expires_at = now + self.parameters.handle_ttl;
        let location = self.identity.location.clone();
        let version = self.parameters.version;
        let handle = self.handles.insert(
            &self.identity.instance,
            &generation,
            allocation,
            version,
            location,
            expires_at,
        );
        let body = json!({"KvHandle": handle, "Tokens": generation.prompt_tokens, "Version": version});
        let response = Response::json(200, &body);
        let expected_body =
            ExpectedBody::Bytes { length: response.body.len(), hash: content::hash(&response.body) };
        let stamp = self.identity.stamp(0, 200, expected_body);
        let response = self.identity.with_common_headers(response, generation.request.request_id(), &stamp);
        let response = self.with_state_headers(response).with(header_names::VERSIONS, version.to_string());
        actions.push(Action::Respond { call: generation.call, response });
    }

    /// Generates one token of a request. The first token starts the execution, the last one ends it.
    fn generate_token(&mut self, call: CallId, actions: &mut Vec<Action>) {
        if !self.grow_for_token(call) {
            return;
        }
        let Some(index) = self.running.iter().position(|generation| generation.call == call) else {
            return;
        };
        if self.running[index].execution.is_none() && !self.start_execution(index, actions) {
            return;
        }
        let generation = &mut self.running[index];
        if !generation.is_done() {
            generation.generated_tokens += 1;
            if let Some(id) =
                self.parameters.completed_event(generation.generated_tokens, generation.output_tokens)
            {
                let data =
                    content::event_data(generation.request.content_hash, id, self.parameters.event_bytes);
                let bytes = format!("id: {id}\ndata: {data}\n\n").into_bytes();
                actions.push(Action::Event { call, bytes });
            }
        }
        if generation.is_done() {
            actions.push(Action::End { call });
            let generation = self.running.swap_remove(index);
            self.release_memory(generation);
        }
    }

    /// Grows the allocation of a request by one token. If there is no room, requests of the lowest priority
    /// are preempted, among them possibly the request itself. Returns false if the request was preempted or
    /// has no allocation.
    fn grow_for_token(&mut self, call: CallId) -> bool {
        loop {
            let Some(generation) = self.running.iter_mut().find(|generation| generation.call == call) else {
                return false;
            };
            let tokens = generation.private_tokens() + 1;
            let Some(allocation) = &mut generation.allocation else {
                return false;
            };
            if self.memory.grow(allocation, tokens) {
                return true;
            }
            match last_by_rank(&self.running) {
                Some(index) => self.preempt(index),
                None => return false,
            }
        }
    }

    /// Starts the execution and the response of a request with its first token. Returns false if the server
    /// is failing and responds with status 500 instead.
    fn start_execution(&mut self, index: usize, actions: &mut Vec<Action>) -> bool {
        self.executions += 1;
        let execution = self.executions;
        let generation = &mut self.running[index];
        generation.execution = Some(execution);
        let call = generation.call;
        actions.push(Action::Started { call, kv_owner: generation.kv_owner.clone() });
        let request_id = generation.request.request_id().map(str::to_owned);
        let expected_body = ExpectedBody::Events {
            last: self.parameters.event_count(generation.output_tokens),
            event_bytes: self.parameters.event_bytes,
            seed: generation.request.content_hash,
        };
        if self.is_failing {
            let generation = self.running.swap_remove(index);
            self.release_memory(generation);
            let empty_body = ExpectedBody::Bytes { length: 0, hash: content::hash(b"") };
            let stamp = self.identity.stamp(execution, 500, empty_body);
            let response =
                self.identity.with_common_headers(Response::new(500), request_id.as_deref(), &stamp);
            actions.push(Action::Respond { call, response: self.with_state_headers(response) });
            return false;
        }
        let head = Response::new(200).with(header_names::CONTENT_TYPE, header_names::EVENT_STREAM);
        let stamp = self.identity.stamp(execution, 200, expected_body);
        let head =
            self.with_state_headers(self.identity.with_common_headers(head, request_id.as_deref(), &stamp));
        let head = head.with(header_names::VERSIONS, self.parameters.version.to_string());
        actions.push(Action::Head { call, head });
        true
    }
}

/// The index of the generation that is scheduled first.
fn first_by_rank(generations: &[Generation]) -> Option<usize> {
    (0..generations.len()).min_by_key(|index| generations[*index].rank())
}

/// The index of the generation that is scheduled last.
fn last_by_rank(generations: &[Generation]) -> Option<usize> {
    (0..generations.len()).max_by_key(|index| generations[*index].rank())
}
