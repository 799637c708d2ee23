//! A server of a plain service: slots, a bounded queue, and a fixed service time.

use crate::content;
use crate::header_names;
use crate::server_core::{Action, CallId, Identity, ServerCore, ServerEvent, ServerRequest};
use crate::stamp::ExpectedBody;
use crate::wire::Response;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Sizes and service time of a plain server.
#[derive(Clone, Debug)]
pub struct PlainParameters {
    /// Requests that are executed at once.
    pub slots: usize,
    /// The maximum of waiting requests; further ones are rejected.
    pub queue_capacity: usize,
    /// The service time of a request.
    pub service_time: Duration,
    /// Bytes of a response's body.
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
struct Working {
    request: ServerRequest,
    run: u64,
    done_at: Duration,
    deadline: Option<Duration>,
}

impl Working {
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
    working: BTreeMap<CallId, Working>,
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
            working: BTreeMap::new(),
            executions: 0,
            is_draining: false,
            is_failing: false,
        }
    }

    fn request(&mut self, call: CallId, request: ServerRequest, now: Duration, actions: &mut Vec<Action>) {
        if request.method == "GET" && request.path() == self.identity.health_path {
            let healthy = !self.is_draining && !self.is_failing;
            let response = self.with_state_headers(self.identity.health(healthy));
            actions.push(Action::Respond { call, response });
            return;
        }
        if let Some(response) = self.identity.refusal(&request) {
            let response = self.with_state_headers(response);
            actions.push(Action::Respond { call, response });
            return;
        }
        if self.waiting.len() >= self.parameters.queue_capacity && self.working.len() >= self.parameters.slots
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

    fn admit(&mut self, now: Duration, actions: &mut Vec<Action>) {
        while self.working.len() < self.parameters.slots {
            let Some(next) = self.waiting.pop_front() else {
                return;
            };
            self.executions += 1;
            actions.push(Action::Started { call: next.call, kv_owner: None });
            let working = Working {
                request: next.request,
                run: self.executions,
                done_at: now + self.parameters.service_time,
                deadline: next.deadline,
            };
            self.working.insert(next.call, working);
        }
    }

    fn finish_due(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let done: Vec<CallId> =
            self.working.iter().filter(|(_, work)| work.ends_at() <= now).map(|(call, _)| *call).collect();
        for call in done {
            if let Some(work) = self.working.remove(&call) {
                let response = self.response(&work);
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

    fn response(&self, work: &Working) -> Response {
        let in_time = work.done_at <= work.ends_at();
        let status = if !in_time {
            504
        } else if self.is_failing {
            500
        } else {
            200
        };
        let seed = content::hash_all(&[self.identity.instance.as_bytes(), &work.run.to_be_bytes()]);
        let body = content::text(seed, self.parameters.response_bytes).into_bytes();
        let expected_body = ExpectedBody::Bytes { length: body.len(), hash: content::hash(&body) };
        let stamp = self.identity.stamp(work.run, status, expected_body);
        let response = Response { status, body, ..Response::default() };
        self.with_state_headers(self.identity.signed(response, work.request.request_id(), &stamp))
    }

    fn with_state_headers(&self, mut response: Response) -> Response {
        if self.identity.sends_load_reports {
            let load = format!("{},{},{}", self.working.len(), self.waiting.len(), self.parameters.slots);
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
            ServerEvent::Request { call, request } => self.request(call, request, now, actions),
            ServerEvent::Cancelled { call } => {
                self.waiting.retain(|waiting| waiting.call != call);
                self.working.remove(&call);
                self.admit(now, actions);
            }
            ServerEvent::Wake => self.finish_due(now, actions),
            ServerEvent::Drain => self.is_draining = true,
            ServerEvent::SetFailing(is_failing) => self.is_failing = is_failing,
            ServerEvent::HandleFetched { .. } => {}
        }
    }

    fn next_wake(&self) -> Option<Duration> {
        let work = self.working.values().map(Working::ends_at);
        work.chain(self.waiting.iter().filter_map(|waiting| waiting.deadline)).min()
    }

    fn identity(&self) -> &Identity {
        &self.identity
    }
}
