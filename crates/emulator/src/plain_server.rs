//! A server of a plain service, with slots, a bounded queue and a fixed service time.

use crate::content;
use crate::header_names;
use crate::server_core::{Action, CallId, Identity, ServerCore, ServerEvent, ServerRequest};
use crate::stamp::ExpectedBody;
use crate::wire::Response;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The sizes and the service time of a plain server.
#[derive(Clone, Debug)]
pub struct PlainParameters {
    /// The number of requests that are executed concurrently.
    pub slots: usize,
    /// The maximum number of waiting requests. Further ones are rejected.
    pub queue_capacity: usize,
    /// The service time of a request.
    pub service_time: Duration,
    /// The size of the body of a response, in bytes.
    pub response_bytes: usize,
}

impl Default for PlainParameters {
    fn default() -> Self {
        PlainParameters {
            slots: 6,
            queue_capacity: 24,
            service_time: Duration::from_millis(2),
            response_bytes: 800,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    call: CallId,
    request: ServerRequest,
    deadline: Option<Duration>,
}

#[derive(Clone, Debug)]
struct Running {
    request: ServerRequest,
    /// The number of the execution at the server.
    number: u64,
    done_at: Duration,
    deadline: Option<Duration>,
}

impl Running {
    /// When the execution ends: at `done_at`, or at the deadline if that is earlier.
    fn ends_at(&self) -> Duration {
        self.deadline.map_or(self.done_at, |deadline| deadline.min(self.done_at))
    }
}

/// The state of a plain server.
#[derive(Debug)]
pub struct PlainServer {
    identity: Identity,
    parameters: PlainParameters,
    waiting: VecDeque<Waiting>,
    running: BTreeMap<CallId, Running>,
    executions: u64,
    is_draining: bool,
    is_failing: bool,
}

impl PlainServer {
    /// An idle server.
    pub fn new(identity: Identity, parameters: PlainParameters) -> PlainServer {
        PlainServer {
            identity,
            parameters,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            executions: 0,
            is_draining: false,
            is_failing: false,
        }
    }

    fn handle_request(
        &mut self, call: CallId, request: ServerRequest, now: Duration, actions: &mut Vec<Action>,
    ) {
        if request.method == "GET" && request.path() == self.identity.health_path {
            let is_healthy = !self.is_draining && !self.is_failing;
            let response = self.with_state_headers(self.identity.health(is_healthy));
            actions.push(Action::Respond { call, response });
            return;
        }
        if let Some(response) = self.identity.rejection_by_identity(&request) {
            let response = self.with_state_headers(response);
            actions.push(Action::Respond { call, response });
            return;
        }
        if self.waiting.len() >= self.parameters.queue_capacity && self.running.len() >= self.parameters.slots
        {
            self.reject(call, &request, actions);
            return;
        }
        let deadline = request.deadline(now);
        self.waiting.push_back(Waiting { call, request, deadline });
        self.admit(now, actions);
    }

    fn reject(&self, call: CallId, request: &ServerRequest, actions: &mut Vec<Action>) {
        let response = self.with_state_headers(self.identity.rejection(503, request));
        actions.push(Action::Respond { call, response });
    }

    /// Starts waiting requests while there are free slots.
    fn admit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.running.len() < self.parameters.slots {
            let Some(next) = self.waiting.pop_front() else {
                return;
            };
            self.executions += 1;
            actions.push(Action::Started { call: next.call, kv_owner: None });
            let running = Running {
                request: next.request,
                number: self.executions,
                done_at: now + self.parameters.service_time,
                deadline: next.deadline,
            };
            self.running.insert(next.call, running);
        }
    }

    /// Ends the executions that are due, rejects the waiting requests whose deadline has passed, and starts
    /// further requests.
    fn finish_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let done: Vec<CallId> = self
            .running
            .iter()
            .filter(|(_, execution)| execution.ends_at() <= now)
            .map(|(call, _)| *call)
            .collect();
        for call in done {
            if let Some(execution) = self.running.remove(&call) {
                let response = self.response(&execution);
                actions.push(Action::Respond { call, response });
            }
        }
        let (late, waiting): (VecDeque<_>, VecDeque<_>) = self
            .waiting
            .drain(..)
            .partition(|waiting| waiting.deadline.is_some_and(|deadline| deadline <= now));
        self.waiting = waiting;
        for waiting in late {
            self.reject(waiting.call, &waiting.request, actions);
        }
        self.admit(now, actions);
    }

    fn response(&self, execution: &Running) -> Response {
        let in_time = execution.done_at <= execution.ends_at();
        let status = if !in_time {
            504
        } else if self.is_failing {
            500
        } else {
            200
        };
        let seed = content::hash_all(&[self.identity.instance.as_bytes(), &execution.number.to_be_bytes()]);
        let body = content::text(seed, self.parameters.response_bytes).into_bytes();
        let expected_body = ExpectedBody::Bytes { length: body.len(), hash: content::hash(&body) };
        let stamp = self.identity.stamp(execution.number, status, expected_body);
        let response = Response { status, body, ..Response::default() };
        self.with_state_headers(self.identity.with_common_headers(
            response,
            execution.request.request_id(),
            &stamp,
        ))
    }

    /// The response with the headers that depend on the state of the server: load report and
    /// `Connection: close`.
    fn with_state_headers(&self, mut response: Response) -> Response {
        if self.identity.sends_load_reports {
            let load = format!("{},{},{}", self.running.len(), self.waiting.len(), self.parameters.slots);
            response.headers.set(header_names::LOAD_REPORT, load);
        }
        if self.is_draining {
            response.headers.set(header_names::CONNECTION, "close");
        }
        response
    }
}

impl ServerCore for PlainServer {
    fn handle(&mut self, event: ServerEvent, now: Duration, actions: &mut Vec<Action>) {
        match event {
            ServerEvent::Request { call, request } => self.handle_request(call, request, now, actions),
            ServerEvent::Cancelled { call } => {
                self.waiting.retain(|waiting| waiting.call != call);
                self.running.remove(&call);
                self.admit(now, actions);
            }
            ServerEvent::Wake => self.finish_due(now, actions),
            ServerEvent::Drain => self.is_draining = true,
            ServerEvent::SetFailing(is_failing) => self.is_failing = is_failing,
            ServerEvent::HandleFetched { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Duration> {
        let execution = self.running.values().map(Running::ends_at);
        execution.chain(self.waiting.iter().filter_map(|waiting| waiting.deadline)).min()
    }

    fn identity(&self) -> &Identity {
        &self.identity
    }
}
