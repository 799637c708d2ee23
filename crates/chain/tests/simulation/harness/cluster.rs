//! The simulated cluster: virtual time, machines, links and clients, all determined by one seed.

use super::checker::SafetyChecker;
use super::client::OperatorClient;
use super::event::{EventQueue, SimulationEvent};
use super::fault::{ChunkFault, Fault, TriggeredFaults};
use super::network::Network;
use super::node::Node;
use super::scenario::Scenario;
use super::transcript::Transcript;
use lugwharf_chain::{OperatorRequestId, ReplicaStatus};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of seed addresses with which a process is started.
pub const SEED_ADDRESS_COUNT: usize = 3;

/// A simulated cluster. Machines are identified by their index in `nodes`, clients by their index in
/// `clients`.
pub struct Cluster {
    pub scenario: Scenario,
    /// The source of all randomness of the run. The order of draws is part of the meaning of a seed.
    pub rng: fastrand::Rng,
    /// Virtual time since the start of the run.
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub clients: Vec<OperatorClient>,
    pub checker: SafetyChecker,
    /// The faults that wait for a trigger.
    pub triggered_faults: TriggeredFaults,
    /// The fault to inject when a certain history chunk is sent. Chunks are counted from 1.
    pub chunk_fault: Option<(usize, ChunkFault)>,
    /// The number of history chunks sent so far.
    pub chunks_sent: usize,
    /// The fault to inject when the log of a certain machine begins to be rewritten.
    pub rewrite_fault: Option<(usize, Fault)>,
    /// The client that waits for the response to each request.
    pub request_clients: BTreeMap<OperatorRequestId, usize>,
    pub last_request_id: u64,
    /// The number of generated changes, which makes the bytes of each change distinct.
    pub generated_change_count: u64,
    /// Whether clients continue with further requests.
    pub has_active_clients: bool,
    /// The number of the newest view that any process has entered.
    pub newest_view: u64,
    /// The recorder for the digest of the run, if one is needed.
    pub transcript: Option<Transcript>,
    /// Whether each step is printed (`CHAIN_TRACE`).
    is_traced: bool,
    events: EventQueue,
}

/// The peer address of a machine.
pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7000))
}

/// The machine at a peer address, for the trace output.
pub fn node_at(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3] - 1,
        SocketAddr::V6(_) => u8::MAX,
    }
}

impl Cluster {
    /// Creates a cluster whose processes start within 300 ms.
    pub fn new(seed: u64, scenario: Scenario) -> Cluster {
        // A violated invariant of the replica must fail the run in release builds as well.
        lugwharf_invariants::panic_on_violation();
        let mut rng = fastrand::Rng::with_seed(seed);
        let seeds: Vec<SocketAddr> = (0..scenario.node_count.min(SEED_ADDRESS_COUNT)).map(address).collect();
        let node = |index| Node::new(address(index), seeds.clone(), true, scenario.sync_time);
        let nodes: Vec<Node> = (0..scenario.node_count).map(node).collect();
        let start_delays: Vec<u64> = nodes.iter().map(|_| rng.u64(0..300)).collect();
        let mut cluster = Cluster {
            clients: (0..scenario.client_count).map(|_| OperatorClient::default()).collect(),
            network: Network::new(scenario.max_delay),
            scenario,
            rng,
            now: Duration::ZERO,
            nodes,
            checker: SafetyChecker::default(),
            triggered_faults: TriggeredFaults::default(),
            chunk_fault: None,
            chunks_sent: 0,
            rewrite_fault: None,
            request_clients: BTreeMap::new(),
            last_request_id: 0,
            generated_change_count: 0,
            has_active_clients: false,
            newest_view: 0,
            transcript: None,
            is_traced: std::env::var_os("CHAIN_TRACE").is_some(),
            events: EventQueue::default(),
        };
        for (node, delay) in start_delays.into_iter().enumerate() {
            cluster.schedule(Duration::from_millis(delay), SimulationEvent::Boot { node });
        }
        cluster
    }

    /// Schedules an event after a delay.
    pub fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        self.events.push(self.now + after, event);
    }

    /// Prints a line if the run is traced.
    pub fn trace(&self, line: impl FnOnce() -> String) {
        if self.is_traced {
            println!("{:>10.4} {}", self.now.as_secs_f64(), line());
        }
    }

    /// Runs until the virtual time `end`. The error is the first violation that the checker found.
    pub fn run_until(&mut self, end: Duration) -> Result<(), String> {
        while let Some((at, event)) = self.events.pop_until(end) {
            self.now = at;
            if let Some(transcript) = &mut self.transcript {
                transcript.record_event(self.now, &event);
            }
            self.handle_event(event);
            if let Some(violation) = self.checker.violation.take() {
                return Err(format!("at {:?}: {violation}", self.now));
            }
        }
        self.now = end;
        Ok(())
    }

    /// Runs for a duration of virtual time.
    pub fn run_for(&mut self, time: Duration) -> Result<(), String> {
        self.run_until(self.now + time)
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Boot { node } => self.boot(node),
            SimulationEvent::Tick { node, incarnation } => self.tick(node, incarnation),
            SimulationEvent::Deliver(envelope) => self.deliver(envelope),
            SimulationEvent::LinkDown { node, incarnation, peer } => {
                self.report_link_down(node, incarnation, peer);
            }
            SimulationEvent::WriteDone { node, incarnation, batch } => {
                self.finish_write(node, incarnation, batch);
            }
            SimulationEvent::Fault(fault) => self.inject(fault),
            SimulationEvent::CheckLeave { node, incarnation, deadline, restart_after } => {
                self.check_leave(node, incarnation, deadline, restart_after);
            }
            SimulationEvent::WakeClient { client, generation } => self.on_client_wakeup(client, generation),
            SimulationEvent::AttemptTimeout { client, id } => self.on_attempt_timeout(client, id),
            SimulationEvent::Response { client, id, response } => self.on_response(client, id, response),
        }
    }

    /// The machines that were not permanently removed.
    pub fn present_nodes(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| !self.nodes[*node].is_removed).collect()
    }

    /// The status of the process on a machine. Panics if there is none.
    pub fn status(&self, node: usize) -> ReplicaStatus {
        self.nodes[node].process.as_ref().expect("no process is running on this machine").replica.status()
    }
}
