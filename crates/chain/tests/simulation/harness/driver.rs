//! The driver of the simulated replicas: passes events to them and executes the resulting actions.

use super::cluster::{Cluster, node_at};
use super::event::SimulationEvent;
use super::fault::{ChunkFault, DelayedFault, Fault};
use super::network::Envelope;
use super::node::DiskWrite;
use lugwharf_chain::{Action, BatchId, CommittedConfig, Event, LogEvent, Message, View};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The delay before a machine whose disk cannot be read tries to start again.
const BOOT_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The range of the time between two ticks, in milliseconds.
const TICK_MS: std::ops::Range<u64> = 20..50;
/// The delay before a process that was crashed by a chunk fault is restarted.
const CHUNK_FAULT_RESTART_AFTER: Duration = Duration::from_millis(300);

impl Cluster {
    /// Starts a process on a machine, unless one is running or the machine is removed.
    pub fn boot(&mut self, node: usize) {
        if self.nodes[node].is_removed || self.nodes[node].is_up() {
            return;
        }
        let seed = self.rng.u64(..);
        let mut actions = Vec::new();
        match self.nodes[node].boot(&self.scenario, self.now, seed, &mut actions) {
            Ok(true) => {
                self.trace(|| format!("boot {node}"));
                let incarnation = self.nodes[node].incarnation;
                self.execute_actions(node, actions);
                self.schedule(Duration::from_millis(1), SimulationEvent::Tick { node, incarnation });
            }
            Ok(false) => self.schedule(BOOT_RETRY_AFTER, SimulationEvent::Boot { node }),
            Err(violation) => self.checker.record_violation(violation),
        }
    }

    /// Sends a tick to a process and schedules the next one.
    pub fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_up() {
            return;
        }
        // A paused process misses its ticks instead of queueing them.
        if !self.nodes[node].is_paused {
            self.handle_replica_event(node, incarnation, Event::Tick);
        }
        let next = Duration::from_millis(self.rng.u64(TICK_MS));
        self.schedule(next, SimulationEvent::Tick { node, incarnation });
    }

    /// Passes an event to a process, if it is still running. The event is queued while the process is paused.
    pub fn handle_replica_event(&mut self, node: usize, incarnation: u64, event: Event) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if self.nodes[node].is_paused {
            return self.nodes[node].queued_events.push(event);
        }
        let now = self.now;
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        let mut actions = Vec::new();
        process.replica.handle(now - process.started_at, event, &mut actions);
        self.execute_actions(node, actions);
    }

    /// Reports to a process that its connection to a peer was closed.
    pub fn report_link_down(&mut self, node: usize, incarnation: u64, peer: usize) {
        let peer = self.nodes[peer].address;
        self.handle_replica_event(node, incarnation, Event::LinkDown { peer });
    }

    fn execute_actions(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            if let Some(transcript) = &mut self.transcript {
                transcript.record_action(node, &action);
            }
            match action {
                Action::Send { to, message } => self.send(node, to, message),
                Action::Persist { batch, records } => {
                    self.start_write(node, DiskWrite { batch, records, replaces_log: false });
                }
                Action::RewriteLog { batch, records } => {
                    self.start_write(node, DiskWrite { batch, records, replaces_log: true });
                    if let Some((_, fault)) = self.rewrite_fault.take_if(|(rewriting, _)| *rewriting == node)
                    {
                        self.schedule(Duration::ZERO, SimulationEvent::Fault(fault));
                    }
                }
                Action::Respond { id, response } => self.send_response(id, response),
                Action::Committed { config } => self.record_commit(node, &config),
                Action::ViewChanged(view) => self.record_view(node, &view),
                Action::Log(event) => self.record_log_event(node, &event),
            }
        }
    }

    fn record_commit(&mut self, node: usize, config: &Arc<CommittedConfig>) {
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        let previous = process.committed_version.replace(config.version);
        self.checker.check_commit(node, previous, config);
        self.trace(|| format!("{node} committed {} on {}", config.version, config.base));
    }

    fn record_view(&mut self, node: usize, view: &Arc<View>) {
        self.newest_view = self.newest_view.max(view.number);
        self.checker.check_view(view);
        let next = self.triggered_faults.after_view_change.pop();
        self.schedule_faults(next);
        let chain: Vec<u8> = view.chain.iter().map(|member| node_at(member.address)).collect();
        let members: Vec<u8> = view.members.iter().map(|member| node_at(member.address)).collect();
        self.trace(|| format!("{node} view {} members {members:?} chain {chain:?}", view.number));
    }

    fn record_log_event(&mut self, node: usize, event: &LogEvent) {
        if let LogEvent::Proposing { .. } = event {
            let next = self.triggered_faults.after_proposal.pop();
            self.schedule_faults(next);
        }
        self.trace(|| format!("{node} {event:?}"));
    }

    /// Schedules faults, each after its delay.
    pub fn schedule_faults(&mut self, faults: impl IntoIterator<Item = DelayedFault>) {
        for DelayedFault { after, fault } in faults {
            self.schedule(after, SimulationEvent::Fault(fault));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let incarnation = self.nodes[from].incarnation;
        self.checker.check_message(from, incarnation, &message);
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else { return };
        let to_incarnation = self.nodes[to].incarnation;
        if !self.nodes[to].is_up() {
            return;
        }
        if matches!(message, Message::StateChunk { .. } | Message::HistoryChunk { .. })
            && self.inject_chunk_fault(from, to)
        {
            return;
        }
        let message = if self.scenario.encodes_messages { reencode(&message) } else { message };
        let envelope = Envelope { from, to, to_incarnation, message };
        if let Some((at, envelope)) = self.network.route(self.now, envelope, &mut self.rng) {
            self.schedule(at - self.now, SimulationEvent::Deliver(envelope));
        }
    }

    /// Counts a chunk and injects the fault that is planned for it. Returns whether the chunk is lost.
    fn inject_chunk_fault(&mut self, from: usize, to: usize) -> bool {
        self.chunks_sent += 1;
        let count = self.chunks_sent;
        let Some((_, fault)) = self.chunk_fault.take_if(|(chunk, _)| *chunk == count) else { return false };
        let restart_after = CHUNK_FAULT_RESTART_AFTER;
        let fault = match fault {
            ChunkFault::Lost => return true,
            ChunkFault::SenderCrashes => Fault::crash(&[from], restart_after),
            ChunkFault::ReceiverCrashes => Fault::crash(&[to], restart_after),
            ChunkFault::BothLosePower => Fault::power_loss(&[from, to], &[], restart_after),
            ChunkFault::ReceiverLosesDisk => Fault::power_loss(&[to], &[to], restart_after),
        };
        self.schedule(Duration::ZERO, SimulationEvent::Fault(fault));
        false
    }

    /// Delivers a message to the process incarnation to which it was sent.
    pub fn deliver(&mut self, envelope: Envelope) {
        let from = self.nodes[envelope.from].address;
        let event = Event::Message { from, message: envelope.message };
        self.handle_replica_event(envelope.to, envelope.to_incarnation, event);
    }

    fn start_write(&mut self, node: usize, write: DiskWrite) {
        let batch = write.batch;
        let time = self.nodes[node].write_time(self.now);
        let incarnation = self.nodes[node].incarnation;
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        if process.write_in_progress.replace(write).is_some() {
            self.checker.record_violation(format!("machine {node} writes two batches concurrently"));
        }
        self.schedule(time, SimulationEvent::WriteDone { node, incarnation, batch });
    }

    /// Writes a batch to the disk and reports the result to the replica.
    pub fn finish_write(&mut self, node: usize, incarnation: u64, batch: BatchId) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        let hangs_until = self.nodes[node].disk_hangs_until;
        if hangs_until > self.now {
            let event = SimulationEvent::WriteDone { node, incarnation, batch };
            return self.schedule(hangs_until - self.now, event);
        }
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        let Some(write) = process.write_in_progress.take() else { return };
        let log = &mut process.log;
        let written =
            if write.replaces_log { log.rewrite(&write.records) } else { log.append(&write.records) };
        let event = if written.is_ok() { Event::Persisted { batch } } else { Event::PersistFailed { batch } };
        self.handle_replica_event(node, incarnation, event);
    }
}

/// Encodes and decodes a message, as on a real link.
fn reencode(message: &Message) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("cannot encode the message");
    let decoded: Message = ciborium::from_reader(bytes.as_slice()).expect("cannot decode the message");
    assert_eq!(&decoded, message);
    decoded
}
