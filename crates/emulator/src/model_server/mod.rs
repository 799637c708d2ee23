//! A model server as a state machine: batching, memory, stages, handles, orders and reports.
//!
//! | module | concern |
//! | --- | --- |
//! | `parameters` | the figures of a server |
//! | `intake` | which requests are taken, and how the others are turned away |
//! | `batch` | admission, steps, tokens and events |
//! | `memory` | blocks, kept parts of prompts and what gives way |
//! | `handles`, `moves` | prompts that were read, and their way to another server |
//! | `orders`, `report` | the change of stage, and what the server tells of itself |
//!
//! Not modelled: adapters, and a change of weights while the server runs.

mod batch;
mod generation;
mod handles;
mod intake;
mod memory;
mod moves;
mod orders;
mod parameters;
mod report;

pub use generation::KvSource;
pub use memory::{KvAllocation, KvMemory, SegmentKey, chain_keys};
pub use parameters::{ModelParameters, Stage};

use crate::names;
use crate::server_core::{Action, CallId, Identity, KvContents, ServerCore, ServerEvent, ServerRequest};
use crate::wire::Response;
use batch::Step;
use generation::Generation;
use handles::Handles;
use moves::TransferLink;
use orders::OrderState;
use report::{LoadSnapshot, ReportHistory};
use std::time::Duration;

/// What a server has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Statistics {
    /// Prompt tokens that were read.
    pub prefilled_tokens: u64,
    /// Tokens whose memory was fetched.
    pub transferred_tokens: u64,
    /// Tokens that were read for handles that nobody took.
    pub wasted_tokens: u64,
    /// Requests that were put back because memory ran out or a more urgent one came.
    pub preempted: u64,
}

/// A generation whose memory is on its way.
#[derive(Clone, Debug)]
struct Transfer {
    generation: Generation,
    /// Known once the other server gave the handle away.
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
    runs: u64,
    draining: bool,
    failing: bool,
    statistics: Statistics,
}

impl ModelServer {
    /// An idle server.
    pub fn new(identity: Identity, parameters: ModelParameters) -> ModelServer {
        let mut server = ModelServer {
            memory: KvMemory::new(parameters.kv_tokens, parameters.block_tokens),
            handles: Handles::default(),
            link: TransferLink::default(),
            orders: OrderState::new(parameters.stage, parameters.fenced),
            reports: ReportHistory::new(parameters.report_lag),
            transfers: Vec::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            step: None,
            arrivals: 0,
            runs: 0,
            draining: false,
            failing: false,
            statistics: Statistics::default(),
            identity,
            parameters,
        };
        let snapshot = server.snapshot();
        server.reports.record(Duration::ZERO, snapshot);
        server
    }

    /// Its present stage.
    pub fn stage(&self) -> Stage {
        self.orders.stage
    }

    /// What it has done.
    pub fn statistics(&self) -> Statistics {
        Statistics { wasted_tokens: self.handles.wasted_tokens, ..self.statistics }
    }

    /// Handles that are held.
    pub fn handle_count(&self) -> usize {
        self.handles.count()
    }

    /// Requests in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Lets all handles lapse at once.
    pub fn expire_handles(&mut self) {
        self.handles.expire_all(&mut self.memory);
    }

    /// Changes the bandwidth of later moves, in Mbit/s.
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
        self.begin_step(now);
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

    /// The response with what depends on the server's state.
    fn loaded(&self, mut response: Response) -> Response {
        if self.identity.tells_load {
            let waiting = self.waiting.len() + self.transfers.len();
            let load = format!("{},{waiting},{}", self.running.len(), self.parameters.slots);
            response.headers.set(names::LOAD_REPORT, load);
        }
        if self.draining {
            response.headers.set(names::CONNECTION, "close");
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
            ServerEvent::Drain => self.draining = true,
            ServerEvent::SetFailing(failing) => self.failing = failing,
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
