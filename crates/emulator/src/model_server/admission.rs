//! Admission of requests to a model server: which ones it accepts, and how it rejects the others.

use super::generation::{Generation, KvSource};
use super::{ModelServer, Stage, Transfer};
use crate::header_names;
use crate::server_core::{Action, CallId, KvContents, ServerRequest};
use crate::wire::Response;
use serde_json::json;
use std::time::Duration;

const REPORT_PATH: &str = "/report";
const ORDER_PATH: &str = "/order";
const HANDLE_PATH: &str = "/kv-handle/";

impl ModelServer {
    /// Handles an arrived request: answers a management request, or admits or rejects a generation.
    pub(super) fn handle_request(
        &mut self, call: CallId, request: ServerRequest, now: Duration, actions: &mut Vec<Action>,
    ) {
        if let Some(response) = self.management_request(&request, now) {
            actions.push(Action::Respond { call, response: self.with_state_headers(response) });
            return;
        }
        if let Some(status) = self.rejection_status(&request) {
            self.reject(call, status, &request, actions);
            return;
        }
        self.arrivals += 1;
        match Generation::from_request(call, request.clone(), self.arrivals, now, &self.parameters) {
            Some(generation) => self.admit_or_reject(generation, now, actions),
            None => self.reject(call, 400, &request, actions),
        }
    }

    /// The response to a management request: health check, load report, order, release of a handle. `None`
    /// for any other request.
    fn management_request(&mut self, request: &ServerRequest, now: Duration) -> Option<Response> {
        let path = request.path();
        let expected = request.headers.get(header_names::EXPECT_INSTANCE);
        let is_other_instance = expected.is_some_and(|instance| instance != self.identity.instance);
        match request.method.as_str() {
            "GET" if path == self.identity.health_path => {
                Some(self.identity.health(!self.is_draining && !self.is_failing))
            }
            "GET" if path == REPORT_PATH => {
                let current = self.snapshot();
                let reported = self.reports.reported(now).unwrap_or(&current);
                Some(Response::json(200, &reported.to_json(&self.parameters.model, self.parameters.version)))
            }
            "POST" if path == ORDER_PATH && is_other_instance => Some(
                Response::json(421, &json!({"Error": "another instance"}))
                    .with(header_names::NOT_EXECUTED, "1"),
            ),
            "POST" if path == ORDER_PATH => Some(self.orders.apply(&request.body)),
            "DELETE" => {
                let handle = path.strip_prefix(HANDLE_PATH)?;
                let is_dropped = self.handles.drop_handle(handle, &mut self.memory);
                Some(Response::new(if is_dropped { 200 } else { 404 }))
            }
            _ => None,
        }
    }

    /// The status to reject a generation with, if the server does not execute it in its current state.
    fn rejection_status(&self, request: &ServerRequest) -> Option<u16> {
        if let Some(response) = self.identity.rejection_by_identity(request) {
            return Some(response.status);
        }
        let version = request.headers.get(header_names::EXPECT_VERSION);
        let is_other_version = version.is_some_and(|version| version.parse() != Ok(self.parameters.version));
        let model = request.headers.get(header_names::MODEL);
        let is_other_model = model.is_some_and(|model| model != self.parameters.model);
        let requested_stage = match request.headers.get(header_names::SERVING_STAGE) {
            None => Stage::Decode,
            Some(name) => Stage::parse(name).unwrap_or(Stage::Decode),
        };
        if is_other_version || is_other_model || requested_stage != self.stage() {
            return Some(421);
        }
        self.orders.is_busy().then_some(503)
    }

    /// Queues a generation, starts to fetch its KV cache, or rejects it if the server lacks capacity.
    fn admit_or_reject(&mut self, generation: Generation, now: Duration, actions: &mut Vec<Action>) {
        let waiting = self.waiting.len() + self.transfers.len();
        let is_full =
            waiting >= self.parameters.queue_capacity && self.running.len() >= self.parameters.slots;
        let fits = self.memory.could_fit(&generation.prefix, generation.max_private_tokens());
        let source = generation.request.headers.get(header_names::KV_FROM);
        if is_full || !fits || (source.is_some() && !self.link.has_capacity(now)) {
            self.reject(generation.call, 503, &generation.request, actions);
            return;
        }
        match source.map(KvSource::parse) {
            None => self.waiting.push(generation),
            Some(None) => self.reject(generation.call, 503, &generation.request, actions),
            Some(Some(KvSource { address, handle })) => {
                actions.push(Action::FetchHandle { call: generation.call, address, handle });
                self.transfers.push(Transfer { generation, done_at: None });
            }
        }
    }

    /// Starts the transfer of a fetched KV cache, or rejects the request if there is no KV cache or no memory
    /// for it.
    pub(super) fn handle_fetched(
        &mut self, call: CallId, contents: Option<KvContents>, now: Duration, actions: &mut Vec<Action>,
    ) {
        let Some(index) = self.transfers.iter().position(|transfer| transfer.generation.call == call) else {
            return;
        };
        let mut generation = self.transfers.swap_remove(index).generation;
        let cached_tokens = self.memory.cached_tokens(&generation.prefix);
        let allocation = match &contents {
            Some(_) => self.memory.reserve(&generation.prefix, generation.private_tokens()),
            None => None,
        };
        let (Some(contents), Some(allocation)) = (contents, allocation) else {
            self.reject(call, 503, &generation.request, actions);
            return;
        };
        let tokens = contents.tokens.saturating_sub(cached_tokens);
        let location = &self.identity.location;
        let done_at = self.link.enqueue(now, tokens, &self.parameters, &contents.location, location);
        self.statistics.transferred_tokens += tokens;
        generation.allocation = Some(allocation);
        generation.remaining_prefill = 0;
        generation.kv_owner = Some(contents.request_id);
        self.transfers.push(Transfer { generation, done_at: Some(done_at) });
    }

    /// Ends the requests whose deadline has passed, and the waiting requests that cannot start because of a
    /// stage change.
    pub(super) fn end_expired_requests(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_late = |generation: &Generation| generation.deadline.is_some_and(|deadline| deadline <= now);
        let is_busy = self.orders.is_busy();
        let must_end =
            |generation: &Generation| is_late(generation) || (is_busy && generation.execution.is_none());
        let transfers = self.transfers.extract_if(.., |transfer| must_end(&transfer.generation));
        let mut ending: Vec<Generation> = transfers.map(|transfer| transfer.generation).collect();
        ending.extend(self.waiting.extract_if(.., |generation| must_end(generation)));
        ending.extend(self.running.extract_if(.., |generation| is_late(generation)));
        for generation in ending {
            match generation.execution {
                Some(_) => actions.push(Action::Truncate { call: generation.call }),
                None => self.reject(generation.call, 503, &generation.request, actions),
            }
            self.release_memory(generation);
        }
    }
}
