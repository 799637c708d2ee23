//! Runs server cores on virtual time.
#![allow(dead_code, reason = "each test file uses only some of the items")]

use lugwharf_emulator::client::ClientRequest;
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::server_core::{Action, CallId, Identity, ServerCore, ServerEvent};
use lugwharf_emulator::wire::{Request, Response};
use std::time::Duration;

/// A server core with its virtual clock and all its actions.
pub struct VirtualTimeServer<C> {
    pub core: C,
    pub now: Duration,
    pub actions: Vec<(Duration, Action)>,
    calls: u64,
}

impl<C: ServerCore> VirtualTimeServer<C> {
    pub fn new(core: C) -> Self {
        VirtualTimeServer { core, now: Duration::ZERO, actions: Vec::new(), calls: 0 }
    }

    /// Passes an event to the core at the current time.
    pub fn send_event(&mut self, event: ServerEvent) {
        let mut actions = Vec::new();
        self.core.handle(event, self.now, &mut actions);
        self.actions.extend(actions.into_iter().map(|action| (self.now, action)));
    }

    /// Sends a request at the current time. Returns its call.
    pub fn send(&mut self, request: Request) -> CallId {
        self.calls += 1;
        let call = CallId(self.calls);
        self.send_event(ServerEvent::Request { call, request: request.into() });
        call
    }

    /// Advances the clock to `until`, with all wake-ups that are due.
    pub fn run_to(&mut self, until: Duration) {
        while let Some(at) = self.core.next_wake().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.send_event(ServerEvent::Wake);
        }
        self.now = self.now.max(until);
    }

    /// Advances the clock by `duration`, with all wake-ups that are due.
    pub fn run_for(&mut self, duration: Duration) {
        self.run_to(self.now + duration);
    }

    /// The complete response to a call, if any.
    pub fn response(&self, call: CallId) -> Option<&Response> {
        self.actions.iter().find_map(|(_, action)| match action {
            Action::Respond { call: other, response } if *other == call => Some(response),
            _ => None,
        })
    }

    /// The status of the complete response to a call, if any.
    pub fn status(&self, call: CallId) -> Option<u16> {
        self.response(call).map(|response| response.status)
    }

    /// The times of the actions that `matches` selects.
    pub fn times(&self, matches: impl Fn(&Action) -> bool) -> Vec<Duration> {
        self.actions.iter().filter(|(_, action)| matches(action)).map(|(at, _)| *at).collect()
    }

    /// The events that the stream of a call has so far.
    pub fn events_of(&self, expected: CallId) -> Vec<String> {
        let event = |action: &Action| match action {
            Action::Event { call, bytes } if *call == expected => {
                Some(String::from_utf8_lossy(bytes).into_owned())
            }
            _ => None,
        };
        self.actions.iter().filter_map(|(_, action)| event(action)).collect()
    }

    /// When the stream of a call ended after its last event, if it has.
    pub fn ended_at(&self, expected: CallId) -> Option<Duration> {
        self.times(|action| matches!(action, Action::End { call } if *call == expected)).first().copied()
    }

    /// The number of executions of a call.
    pub fn executions(&self, expected: CallId) -> usize {
        self.times(|action| matches!(action, Action::Started { call, .. } if *call == expected)).len()
    }
}

/// Parameters with round numbers: a startup delay of 10 ms, a prefill speed of 100 tokens per ms in chunks of
/// 1,000 tokens, and steps of 1 ms.
pub fn parameters(stage: Stage) -> ModelParameters {
    ModelParameters {
        step_ms: 1.0,
        step_ms_per_running: 0.0,
        prefill_tokens_per_ms: 100.0,
        chunk_tokens: 1_000,
        startup_ms: 10.0,
        ..ModelParameters::small_and_fast(stage)
    }
}

/// An idle model server at time zero.
pub fn model_server(instance: &str, parameters: ModelParameters) -> VirtualTimeServer<ModelServer> {
    VirtualTimeServer::new(ModelServer::new(Identity::new(instance, "llm"), parameters))
}

/// The request of a generation. `tokens` are the numbers of tokens of the prompt and of the output.
/// `segments` are the named segments of the prompt: the id and the number of tokens of each.
pub fn generation(id: &str, tokens: (u64, u64), segments: &[(u64, u64)]) -> Request {
    let mut request = ClientRequest::generation(id, "host.example", "/gen/1", tokens, segments);
    request.deadline_ms = 60_000;
    request.to_wire()
}

/// The prefill request of a generation.
pub fn prefill(id: &str, tokens: (u64, u64), segments: &[(u64, u64)]) -> Request {
    with_header(generation(id, tokens, segments), "Serving-Stage", "prefill")
}

/// The request with this header, in place of earlier values of the header.
pub fn with_header(mut request: Request, name: &str, value: &str) -> Request {
    request.headers.set(name, value);
    request
}

/// The request that sends an order with this body.
pub fn order(body: &str) -> Request {
    let mut request = Request::new("POST", "/order");
    request.body = body.as_bytes().to_vec();
    request
}

/// The body of a response as JSON.
pub fn json_body(response: &Response) -> serde_json::Value {
    serde_json::from_slice(&response.body).expect("the body is JSON")
}

/// A duration in milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
