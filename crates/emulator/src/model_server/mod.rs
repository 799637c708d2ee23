//! A model server as a state machine: continuous batching, a paged KV cache, prefill and decode stages, KV transfer, orders and
//! reports.
//!
//! | module | concern |
//! | --- | --- |
//! | `parameters` | speeds, sizes and limits of a server |
//! | `admission` | which requests are accepted, and how others are rejected |
//! | `batch` | scheduling of the batch, steps, tokens and events |
//! | `kv_memory` | blocks, cached segments of prompts and their eviction |
//! | `generation` | one request as its headers describe it |
//! | `handles`, `transfer_link` | prefilled prompts, and their transfer to another server |
//! | `orders`, `report` | the change of stage, and the report of the load |
//!
//! Not modelled: adapters, and a change of weights while the server runs.

mod admission;
mod batch;
mod generation;
mod handles;
mod kv_memory;
mod orders;
mod parameters;
mod report;
mod transfer_link;

pub use generation::KvSource;
pub use kv_memory::{KvAllocation, KvMemory, SegmentKey, chain_keys};
pub use parameters::{ModelParameters, Stage};

use crate::header_names;
use crate::server_core::{Action, CallId, Identity, KvContents, ServerCore, ServerEvent, ServerRequest};
use crate::wire::Response;
use batch::Step;
use generation::Generation;
use handles::Handles;
use orders::OrderState;
use report::{LoadSnapshot, ReportHistory};
use std::time::Duration;
use transfer_link::TransferLink;

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Prompt tokens that were prefilled.
    pub prefilled_tokens: u64,
    /// Tokens whose KV cache was fetched from another server.
    pub transferred_tokens: u64,
    /// Prompt tokens of handles that nobody fetched.
    pub wasted_tokens: u64,
    /// Requests that were preempted, since memory ran out or a more urgent one arrived.
    pub preempted: u64,
}

/// A generation whose KV cache is being fetched.
#[derive(Clone, Debug)]
struct Transfer {
    generation: Generation,
    /// When the transfer ends; known once the other server has handed out the contents.
    done_at: Option<Duration>,
}

/// The state of a model server.
#[derive(Debug)]
pub struct ModelServer {
    identity: Identity,
    parameters: ModelParameters,
    memory: KvMemory,
    handles: Handles,
    link: TransferLink,
    orders: OrderState,
    reports: ReportHistory,
    transfers: Vec<Transfer>,
    waiting: Vec<Generation>,
    running: Vec<Generation>,
    step: Option<Step>,
    arrivals: u64,
    executions: u64,
    is_draining: bool,
    is_failing: bool,
    statistics: Statistics,
}

impl ModelServer {
    /// An idle server.
    pub fn new(identity: Identity, parameters: ModelParameters) -> ModelServer {
        let mut server = ModelServer {
            memory: KvMemory::new(parameters.kv_tokens, parameters.block_tokens),
            handles: Handles::default(),
            link: TransferLink::default(),
            orders: OrderState::new(parameters.stage, parameters.checks_fencing_tokens),
            reports: ReportHistory::new(parameters.report_lag),
            transfers: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            step: None,
            arrivals: 0,
            executions: 0,
            is_draining: false,
            is_failing: false,
            statistics: Statistics::default(),
            identity,
            parameters,
        };
        let snapshot = server.snapshot();
        server.reports.record(Duration::ZERO, snapshot);
        server
    }

    /// Its current stage.
    pub fn stage(&self) -> Stage {
        self.orders.stage
    }

    /// Its counters.
    pub fn statistics(&self) -> Statistics {
        Statistics { wasted_tokens: self.handles.wasted_tokens, ..self.statistics }
    }

    /// Handles that wait to be fetched.
    pub fn handle_count(&self) -> usize {
        self.handles.count()
    }

    /// Requests in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Expires all handles at once.
    pub fn expire_handles(&mut self) {
        self.handles.expire_all(&mut self.memory);
    }

    /// Changes the bandwidth of later transfers, in Mbit/s.
    pub fn set_link_mbps(&mut self, mbps: f64) {
        self.parameters.link_mbps = mbps;
    }

    fn progress(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.handles.expire(now, &mut self.memory);
        self.finish_step(now, actions);
        self.expire(now, actions);
        self.finish_transfers(now);
        let is_idle = self.running.is_empty() && self.transfers.is_empty() && self.waiting.is_empty();
        self.orders.advance(now, is_idle, self.parameters.switch_duration);
        self.admit(now);
        self.start_step(now);
        let snapshot = self.snapshot();
        self.reports.record(now, snapshot);
    }

    fn snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            stage: self.orders.stage,
            is_busy: self.orders.is_busy(),
            seq: self.orders.seq,
            queued: self.waiting.len() + self.transfers.len(),
            running: self.running.len(),
            kv_used: self.memory.used_tokens(),
            kv_total: self.memory.total_tokens(),
            kv_handles: self.handles.count(),
        }
    }

    fn finish_transfers(&mut self, now: Duration) {
        let is_done = |transfers: &Transfer| transfers.done_at.is_some_and(|at| at <= now);
        for mut transfers in self.transfers.extract_if(.., |transfers| is_done(transfers)).collect::<Vec<_>>()
        {
            if let Some(allocation) = &transfers.generation.allocation {
                self.memory.mark_filled(allocation);
            }
            transfers.generation.begins_at = now;
            self.waiting.push(transfers.generation);
        }
    }

    fn cancel(&mut self, call: CallId) {
        let transfers = self.transfers.extract_if(.., |transfers| transfers.generation.call == call);
        let mut gone: Vec<Generation> = transfers.map(|transfers| transfers.generation).collect();
        gone.extend(self.waiting.extract_if(.., |generation| generation.call == call));
        gone.extend(self.running.extract_if(.., |generation| generation.call == call));
        for generation in gone {
            self.forget(generation);
        }
    }

    fn forget(&mut self, mut generation: Generation) {
        if let Some(allocation) = generation.allocation.take() {
            self.memory.release(&allocation);
        }
    }

    fn reject(&self, call: CallId, status: u16, request: &ServerRequest, actions: &mut Vec<Action>) {
        let response = self.loaded(self.identity.rejection(status, request));
        actions.push(Action::Respond { call, response });
    }

    /// The response with the headers that depend on the server's state: load report and `Connection: close`.
    fn loaded(&self, mut response: Response) -> Response {
        if self.identity.sends_load_reports {
            let waiting = self.waiting.len() + self.transfers.len();
            let load = format!("{},{waiting},{}", self.running.len(), self.parameters.slots);
            response.headers.set(header_names::LOAD_REPORT, load);
        }
        if self.is_draining {
            response.headers.set(header_names::CONNECTION, "close");
        }
        response
    }
}

impl ServerCore for ModelServer {
    fn handle(&mut self, event: ServerEvent, now: Duration, actions: &mut Vec<Action>) {
        match event {
            ServerEvent::Request { call, request } => self.request(call, request, now, actions),
            ServerEvent::Cancelled { call } => self.cancel(call),
            ServerEvent::HandleFetched { call, contents } => {
                self.handle_fetched(call, contents, now, actions)
            }
            ServerEvent::Wake => {}
            ServerEvent::Drain => self.is_draining = true,
            ServerEvent::SetFailing(is_failing) => self.is_failing = is_failing,
        }
        self.progress(now, actions);
    }

    fn next_wake(&self) -> Option<Duration> {
        let step = match &self.step {
            Some(step) => Some(step.ends_at),
            None => self.running.iter().map(|generation| generation.begins_at).min(),
        };
        let moves = self.transfers.iter().filter_map(|transfers| transfers.done_at);
        let under_way = self.transfers.iter().map(|transfers| &transfers.generation);
        let all = under_way.chain(&self.waiting).chain(&self.running);
        let deadlines = all.filter_map(|generation| generation.deadline);
        let single = [step, self.handles.next_wake(), self.orders.next_wake()];
        single.into_iter().flatten().chain(moves).chain(deadlines).min()
    }

    fn take_handle(&mut self, handle: &str, now: Duration) -> Option<KvContents> {
        self.handles.expire(now, &mut self.memory);
        self.handles.take(handle, &mut self.memory)
    }

    fn identity(&self) -> &Identity {
        &self.identity
    }
}
