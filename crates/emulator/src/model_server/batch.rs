//! Continuous batching: admission to the batch, the length of a step, and its tokens and events.

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

/// At the decode stage, prompts are prefilled at this share of the speed.
const DECODE_PREFILL_SPEED: f64 = 0.5;
/// At the decode stage, prefill chunks are smaller by this factor.
const DECODE_CHUNK_DIVISOR: u64 = 4;
/// The shortest step, so that time advances.
const MIN_STEP: Duration = Duration::from_micros(1);

/// A step of the batch in progress.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub ends_at: Duration,
    active: Vec<CallId>,
    budget: u64,
}

impl ModelServer {
    /// Admits waiting requests to the batch, the most urgent first.
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

    /// Preempts the newest of the least urgent requests, if it is less urgent than `priority`.
    fn preempt_for(&mut self, priority: u8) -> bool {
        let Some(index) = last_by_rank(&self.running) else {
            return false;
        };
        if self.running[index].priority <= priority {
            return false;
        }
        self.preempted(index);
        true
    }

    fn preempted(&mut self, index: usize) {
        let mut generation = self.running.swap_remove(index);
        if let Some(allocation) = generation.allocation.take() {
            self.memory.release(&allocation);
        }
        self.statistics.preempted += 1;
        self.waiting.push(generation);
    }

    fn reserve(&mut self, generation: &mut Generation, now: Duration) -> bool {
        let kept = self.memory.cached_tokens(&generation.chain);
        let Some(allocation) = self.memory.reserve(&generation.chain, generation.private_tokens()) else {
            return false;
        };
        generation.allocation = Some(allocation);
        generation.remaining_prefill = (generation.prompt_tokens + generation.made).saturating_sub(kept);
        generation.begins_at = now + duration_from_ms(self.parameters.startup_ms);
        true
    }

    pub(super) fn start_step(&mut self, now: Duration) {
        if self.step.is_some() {
            return;
        }
        let active: Vec<&Generation> =
            self.running.iter().filter(|generation| generation.begins_at <= now).collect();
        if active.is_empty() {
            return;
        }
        let (budget, pace) = self.prefill_limits();
        let remaining_prefill: u64 = active.iter().map(|generation| generation.remaining_prefill).sum();
        let prefill_ms = remaining_prefill.min(budget) as f64 / pace.max(f64::MIN_POSITIVE);
        let running_ms = self.parameters.step_ms_per_running * active.len() as f64;
        let length = duration_from_ms(self.parameters.step_ms + running_ms + prefill_ms).max(MIN_STEP);
        let active = active.iter().map(|generation| generation.call).collect();
        self.step = Some(Step { ends_at: now + length, active, budget });
    }

    /// The prefill budget of one step in tokens, and the speed in tokens a ms.
    fn prefill_limits(&self) -> (u64, f64) {
        let (chunk, pace) = (self.parameters.chunk_tokens, self.parameters.prefill_tokens_per_ms);
        match self.orders.stage {
            Stage::Prefill => (chunk.max(1), pace),
            Stage::Decode => ((chunk / DECODE_CHUNK_DIVISOR).max(1), pace * DECODE_PREFILL_SPEED),
        }
    }

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
        let mut budget = step.budget;
        for (_, call, is_prefilling) in calls {
            if is_prefilling {
                self.prefill(call, &mut budget);
            }
            self.advance(call, is_prefilling, now, actions);
        }
    }

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

    /// Advances one request at the end of a step; one that was prefilled in this step makes its first token in the next.
    fn advance(&mut self, call: CallId, was_prefilling: bool, now: Duration, actions: &mut Vec<Action>) {
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
            self.make_token(call, actions);
        }
    }

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
        let response = self.identity.signed(response, generation.request.request_id(), &stamp);
        let response = self.loaded(response).with(header_names::VERSIONS, version.to_string());
        actions.push(Action::Respond { call: generation.call, response });
    }

    fn make_token(&mut self, call: CallId, actions: &mut Vec<Action>) {
        if !self.grow_for_token(call) {
            return;
        }
        let Some(index) = self.running.iter().position(|generation| generation.call == call) else {
            return;
        };
        if self.running[index].run.is_none() && !self.start_execution(index, actions) {
            return;
        }
        let generation = &mut self.running[index];
        if !generation.is_done() {
            generation.made += 1;
            if let Some(id) = self.parameters.event_of(generation.made, generation.out_tokens) {
                let data =
                    content::event_data(generation.request.content_hash, id, self.parameters.event_bytes);
                let bytes = format!("id: {id}\ndata: {data}\n\n").into_bytes();
                actions.push(Action::Event { call, bytes });
            }
        }
        if generation.is_done() {
            actions.push(Action::End { call });
            let generation = self.running.swap_remove(index);
            self.forget(generation);
        }
    }

    /// Grows the allocation of a request by one token; preempts others for that, or the request itself. False if it was
    /// preempted.
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
                Some(index) => self.preempted(index),
                None => return false,
            }
        }
    }

    /// Starts the execution and the response with the first token. False if the server responds with its own 500 instead.
    fn start_execution(&mut self, index: usize, actions: &mut Vec<Action>) -> bool {
        self.executions += 1;
        let run = self.executions;
        let generation = &mut self.running[index];
        generation.run = Some(run);
        let call = generation.call;
        actions.push(Action::Started { call, kv_owner: generation.kv_owner.clone() });
        let request_id = generation.request.request_id().map(str::to_owned);
        let expected_body = ExpectedBody::Events {
            last: self.parameters.events(generation.out_tokens),
            event_bytes: self.parameters.event_bytes,
            seed: generation.request.content_hash,
        };
        if self.is_failing {
            let generation = self.running.swap_remove(index);
            self.forget(generation);
            let none = ExpectedBody::Bytes { length: 0, hash: content::hash(b"") };
            let stamp = self.identity.stamp(run, 500, none);
            let response = self.identity.signed(Response::new(500), request_id.as_deref(), &stamp);
            actions.push(Action::Respond { call, response: self.loaded(response) });
            return false;
        }
        let head = Response::new(200).with(header_names::CONTENT_TYPE, header_names::EVENT_STREAM);
        let stamp = self.identity.stamp(run, 200, expected_body);
        let head = self.loaded(self.identity.signed(head, request_id.as_deref(), &stamp));
        let head = head.with(header_names::VERSIONS, self.parameters.version.to_string());
        actions.push(Action::Head { call, head });
        true
    }
}

fn first_by_rank(generations: &[Generation]) -> Option<usize> {
    (0..generations.len()).min_by_key(|index| generations[*index].rank())
}

fn last_by_rank(generations: &[Generation]) -> Option<usize> {
    (0..generations.len()).max_by_key(|index| generations[*index].rank())
}
