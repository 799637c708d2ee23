//! A model server as a state machine, with continuous batching, a paged KV cache, prefill and decode stages,
//! KV transfers, orders and load reports.
//!
//! | module | concern |
//! | --- | --- |
//! | `parameters` | speeds, sizes and limits of a server |
//! | `admission` | which requests are accepted, and how others are rejected |
//! | `batch` | scheduling of the batch, and the steps that generate tokens and events |
//! | `kv_memory` | blocks, cached prompt segments and their eviction |
//! | `generation` | a generation as the headers of its request describe it |
//! | `handles`, `transfer_link` | prefilled prompts, and their transfer to another server |
//! | `orders`, `report` | stage changes, and the load report |
//!
//! Adapters and changes of the model weights at run time are not modelled.

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
pub use kv_memory::{KvAllocation, KvMemory, SegmentKey, prefix_keys};
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
    /// The number of prefilled prompt tokens.
    pub prefilled_tokens: u64,
    /// The number of tokens whose KV cache was fetched from another server.
    pub transferred_tokens: u64,
    /// The number of prompt tokens of handles that were never fetched.
    pub wasted_tokens: u64,
    /// The number of preemptions, because memory ran out or a request of a higher priority arrived.
    pub preempted: u64,
}

/// A generation whose KV cache is being fetched.
#[derive(Clone, Debug)]
struct Transfer {
    generation: Generation,
    /// When the transfer ends; `None` until the other server has handed out the contents.
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

    /// The current stage.
    pub fn stage(&self) -> Stage {
        self.orders.stage
    }

    /// The counters.
    pub fn statistics(&self) -> Statistics {
        Statistics { wasted_tokens: self.handles.wasted_tokens, ..self.statistics }
    }

    /// The number of handles that can be fetched.
    pub fn handle_count(&self) -> usize {
        self.handles.count()
    }

    /// The number of requests in the batch.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Expires all handles now, whatever their remaining time.
    pub fn expire_handles(&mut self) {
        self.handles.expire_all(&mut self.memory);
    }

    /// Changes the bandwidth of later transfers, in Mbit/s.
    pub fn set_link_mbps(&mut self, mbps: f64) {
        self.parameters.link_mbps = mbps;
    }

    /// Does all work that is due at `now`, in a fixed order.
    fn run_due_work(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.handles.expire(now, &mut self.memory);
        self.finish_step(now, actions);
        self.end_expired_requests(now, actions);
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
            revision: self.orders.revision,
            queued: self.waiting.len() + self.transfers.len(),
            running: self.running.len(),
            kv_used: self.memory.used_tokens(),
            kv_total: self.memory.total_tokens(),
            kv_handles: self.handles.count(),
        }
    }

    /// Queues the requests whose KV transfer has ended.
    fn finish_transfers(&mut self, now: Duration) {
        let is_done = |transfer: &Transfer| transfer.done_at.is_some_and(|at| at <= now);
        for mut transfer in self.transfers.extract_if(.., |transfer| is_done(transfer)).collect::<Vec<_>>() {
            if let Some(allocation) = &transfer.generation.allocation {
                self.memory.mark_filled(allocation);
            }
            transfer.generation.may_start_at = now;
            self.waiting.push(transfer.generation);
        }
    }

    fn cancel(&mut self, call: CallId) {
        let transfers = self.transfers.extract_if(.., |transfer| transfer.generation.call == call);
        let mut cancelled: Vec<Generation> = transfers.map(|transfer| transfer.generation).collect();
        cancelled.extend(self.waiting.extract_if(.., |generation| generation.call == call));
        cancelled.extend(self.running.extract_if(.., |generation| generation.call == call));
        for generation in cancelled {
            self.release_memory(generation);
        }
    }

    fn release_memory(&mut self, mut generation: Generation) {
        if let Some(allocation) = generation.allocation.take() {
            self.memory.release(&allocation);
        }
    }

    fn reject(&self, call: CallId, status: u16, request: &ServerRequest, actions: &mut Vec<Action>) {
        let response = self.with_state_headers(self.identity.rejection(status, request));
        actions.push(Action::Respond { call, response });
    }

    /// The response with the headers that depend on the state of the server: load report and
    /// `Connection: close`.
    fn with_state_headers(&self, mut response: Response) -> Response {
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
            ServerEvent::Request { call, request } => self.handle_request(call, request, now, actions),
            ServerEvent::Cancelled { call } => self.cancel(call),
            ServerEvent::HandleFetched { call, contents } => {
                self.handle_fetched(call, contents, now, actions)
            }
            ServerEvent::Wake => {}
            ServerEvent::Drain => self.is_draining = true,
            ServerEvent::SetFailing(is_failing) => self.is_failing = is_failing,
        }
        self.run_due_work(now, actions);
    }

    fn next_wake(&self) -> Option<Duration> {
        let step = match &self.step {
            Some(step) => Some(step.ends_at),
            None => self.running.iter().map(|generation| generation.may_start_at).min(),
        };
        let transfer_ends = self.transfers.iter().filter_map(|transfer| transfer.done_at);
        let transferring = self.transfers.iter().map(|transfer| &transfer.generation);
        let all = transferring.chain(&self.waiting).chain(&self.running);
        let deadlines = all.filter_map(|generation| generation.deadline);
        let others = [step, self.handles.next_wake(), self.orders.next_wake()];
        others.into_iter().flatten().chain(transfer_ends).chain(deadlines).min()
    }

    fn take_handle(&mut self, handle: &str, now: Duration) -> Option<KvContents> {
        self.handles.expire(now, &mut self.memory);
        self.handles.take(handle, &mut self.memory)
    }

    fn identity(&self) -> &Identity {
        &self.identity
    }
}
