//! The behaviour of simulated operators: generating requests, calling, retrying and checking responses.

use super::checker::Change;
use super::client::{Call, ClientRequest, retry_backoff};
use super::cluster::Cluster;
use super::event::SimulationEvent;
use lugwharf_chain::{Event, OperatorRequestId, OperatorResponse};
use std::time::Duration;

/// The timeout of an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// One response in this many is lost while clients are active.
const RESPONSE_LOST_ONE_IN: u32 = 8;
/// The range of the delay of a response, in microseconds.
const RESPONSE_DELAY_US: std::ops::Range<u64> = 100..3_000;

impl Cluster {
    /// Starts a call of a client now, replacing the call in progress.
    pub fn start_call(&mut self, client: usize, request: ClientRequest, deadline: Option<Duration>) {
        self.clients[client].call = Some(Call::new(request, self.now, deadline));
        self.schedule_attempt(client, Duration::ZERO);
    }

    /// Starts a call of a client now, restricted to some machines. The call must be answered by the deadline.
    pub fn start_call_at(
        &mut self, client: usize, request: ClientRequest, deadline: Duration, nodes: &[usize],
    ) {
        self.start_call(client, request, Some(deadline));
        if let Some(call) = self.clients[client].call.as_mut() {
            call.allowed_nodes = nodes.to_vec();
        }
    }

    /// Generates a change that is based on a version and has distinct bytes.
    pub fn generate_change(&mut self, base: u64) -> Change {
        self.generated_change_count += 1;
        let version = base + self.rng.u64(1..4);
        let length = self.rng.usize(8..400);
        let mut bytes = vec![b'x'; length];
        bytes.extend(self.generated_change_count.to_le_bytes());
        Change { version, base, bytes: bytes.into() }
    }

    /// Generates a valid change that is based on the newest committed version.
    pub fn generate_valid_submission(&mut self) -> ClientRequest {
        let base = self.checker.committed_version();
        let change = self.generate_change(base);
        ClientRequest::Submit { is_base_acknowledged: self.checker.is_acknowledged(base), change }
    }

    fn generate_request(&mut self, client: usize) -> ClientRequest {
        let last = self.clients[client].last_acknowledged.clone();
        match self.rng.u32(..10) {
            0 => ClientRequest::Read { at_least: self.checker.acknowledged_version() },
            1 | 2 if last.is_some() => {
                let change = last.unwrap_or_else(|| self.generate_change(0));
                ClientRequest::Submit { is_base_acknowledged: false, change }
            }
            3 => {
                // A change whose version is not higher than the newest one, or whose base is not the newest
                // one.
                let mut change = self.generate_change(self.checker.committed_version());
                change.version = self.checker.committed_version().saturating_sub(self.rng.u64(..3)).max(1);
                change.base = change.base.saturating_sub(self.rng.u64(..2));
                let is_base_acknowledged = self.checker.is_acknowledged(change.base);
                ClientRequest::Submit { is_base_acknowledged, change }
            }
            _ => self.generate_valid_submission(),
        }
    }

    /// Schedules the next step of a client after a pause. Earlier timers are invalidated.
    fn schedule_attempt(&mut self, client: usize, pause: Duration) {
        self.clients[client].generation += 1;
        let generation = self.clients[client].generation;
        self.schedule(pause, SimulationEvent::WakeClient { client, generation });
    }

    /// Wakes a client that has no call in progress.
    pub fn wake_idle_client(&mut self, client: usize) {
        if self.clients[client].call.is_none() {
            self.schedule_attempt(client, Duration::ZERO);
        }
    }

    /// Attempts the call of a client, or starts another call.
    pub fn on_client_wakeup(&mut self, client: usize, generation: u64) {
        if self.clients[client].generation != generation {
            return;
        }
        if self.clients[client].call.is_some() {
            return self.attempt_call(client);
        }
        if self.has_active_clients {
            let request = self.generate_request(client);
            self.start_call(client, request, None);
        }
    }

    fn attempt_call(&mut self, client: usize) {
        let Some(mut call) = self.clients[client].call.take() else { return };
        if call.deadline.is_some_and(|deadline| self.now > deadline) {
            let violation =
                format!("ACKS no response to {:?}, started at {:?}", call.request, call.started_at);
            return self.checker.record_violation(violation);
        }
        let node = self.choose_node(&mut call);
        self.last_request_id += 1;
        let id = OperatorRequestId(self.last_request_id);
        call.attempt_id = Some(id);
        call.node = node;
        call.attempts += 1;
        let event = match &call.request {
            ClientRequest::Submit { change, .. } => {
                let Change { version, base, bytes } = change.clone();
                Event::Submit { id, base, version, request_hash: None, bytes }
            }
            ClientRequest::Read { .. } => Event::Read { id },
        };
        self.trace(|| format!("client {client} {id:?} at {node}: {:?}", summary(&call.request)));
        let attempts = call.attempts;
        self.clients[client].call = Some(call);
        if !self.nodes[node].is_up() {
            // The process is down, so the connection is refused.
            return self.schedule_attempt(client, retry_backoff(attempts));
        }
        self.request_clients.insert(id, client);
        self.schedule(ATTEMPT_TIMEOUT, SimulationEvent::AttemptTimeout { client, id });
        let incarnation = self.nodes[node].incarnation;
        self.handle_replica_event(node, incarnation, event);
    }

    /// Chooses the machine for the next attempt at random, preferably one that was not attempted yet.
    fn choose_node(&mut self, call: &mut Call) -> usize {
        let allowed =
            if call.allowed_nodes.is_empty() { self.present_nodes() } else { call.allowed_nodes.clone() };
        let others: Vec<usize> =
            allowed.iter().copied().filter(|node| !call.attempted_nodes.contains(node)).collect();
        if others.is_empty() {
            call.attempted_nodes.clear();
        }
        let node = *self.rng.choice(if others.is_empty() { &allowed } else { &others }).unwrap_or(&0);
        call.attempted_nodes.insert(node);
        node
    }

    /// Ends an attempt that was not answered in time. Half of the clients close the connection.
    pub fn on_attempt_timeout(&mut self, client: usize, id: OperatorRequestId) {
        let call = self.clients[client].call.as_mut();
        let Some(call) = call.filter(|call| call.attempt_id == Some(id)) else { return };
        call.attempt_id = None;
        let node = call.node;
        if self.rng.bool() {
            let incarnation = self.nodes[node].incarnation;
            self.handle_replica_event(node, incarnation, Event::Cancel { id });
        }
        self.schedule_attempt(client, Duration::ZERO);
    }

    /// Sends the response of a replica to the waiting client, unless the response is lost.
    pub fn send_response(&mut self, id: OperatorRequestId, response: OperatorResponse) {
        let Some(client) = self.request_clients.remove(&id) else { return };
        self.trace(|| format!("{id:?} -> {response:?}"));
        if self.has_active_clients && self.rng.u32(..RESPONSE_LOST_ONE_IN) == 0 {
            return;
        }
        let delay = Duration::from_micros(self.rng.u64(RESPONSE_DELAY_US));
        self.schedule(delay, SimulationEvent::Response { client, id, response });
    }

    /// Handles a response at its client: checks it, or schedules another attempt.
    pub fn on_response(&mut self, client: usize, id: OperatorRequestId, response: OperatorResponse) {
        let attempt_id = self.clients[client].call.as_ref().and_then(|call| call.attempt_id);
        if attempt_id != Some(id) {
            return;
        }
        let Some(call) = self.clients[client].call.take() else { return };
        if response == OperatorResponse::Unavailable {
            let attempts = call.attempts;
            self.clients[client].call = Some(Call { attempt_id: None, ..call });
            return self.schedule_attempt(client, retry_backoff(attempts));
        }
        self.check_response(client, &call, response);
        let pause = Duration::from_millis(self.rng.u64(10..600));
        self.schedule_attempt(client, pause);
    }

    fn check_response(&mut self, client: usize, call: &Call, response: OperatorResponse) {
        match (&call.request, response) {
            (ClientRequest::Submit { change, .. }, OperatorResponse::Accepted { version })
                if version == change.version =>
            {
                self.checker.check_acknowledgement(change);
                self.clients[client].last_acknowledged = Some(change.clone());
                let faults = std::mem::take(&mut self.triggered_faults.after_acknowledgement);
                self.schedule_faults(faults);
            }
            (ClientRequest::Submit { change, is_base_acknowledged }, OperatorResponse::Conflict { .. }) => {
                self.checker.check_conflict(change, *is_base_acknowledged);
            }
            (ClientRequest::Submit { change, .. }, OperatorResponse::StaleVersion { .. }) => {
                self.checker.check_stale_version(change);
            }
            (ClientRequest::Read { at_least }, OperatorResponse::Config(config)) => {
                self.checker.check_read(config.as_ref(), *at_least);
            }
            (request, response) => {
                self.checker.record_violation(format!("unexpected response {response:?} to {request:?}"));
            }
        }
    }
}

fn summary(request: &ClientRequest) -> String {
    match request {
        ClientRequest::Submit { change, .. } => format!("submit {} on {}", change.version, change.base),
        ClientRequest::Read { at_least } => format!("read {at_least}"),
    }
}
