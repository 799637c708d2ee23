//! Injects faults into a cluster.

use super::cluster::{Cluster, SEED_ADDRESS_COUNT, address};
use super::event::SimulationEvent;
use super::fault::Fault;
use super::network::Link;
use super::node::Node;
use lugwharf_chain::{Event, LeaveState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The time for which a process that leaves gracefully waits to be removed from the view.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The interval at which a process that leaves gracefully is checked.
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The delay after which the peers of a crashed process are notified that their connections were closed.
const LINK_DOWN_AFTER: Duration = Duration::from_millis(2);

impl Cluster {
    /// Injects a fault now.
    pub fn inject(&mut self, fault: Fault) {
        self.trace(|| format!("FAULT {fault:?}"));
        match fault {
            Fault::CrashProcesses { nodes, restart_after } => {
                for (node, after) in nodes.into_iter().zip(restart_after) {
                    self.crash_process(node);
                    self.schedule(after, SimulationEvent::Boot { node });
                }
            }
            Fault::LosePower { nodes, wiped, restart_after } => {
                for (node, after) in nodes.into_iter().zip(restart_after) {
                    self.lose_power(node, wiped.contains(&node));
                    self.schedule(after, SimulationEvent::Boot { node });
                }
            }
            Fault::Pause { node } => self.nodes[node].is_paused = self.nodes[node].is_up(),
            Fault::Resume { node } => self.resume(node),
            Fault::CutLinks { links, mode } => {
                for link in links {
                    self.network.cut(link, mode);
                }
            }
            Fault::HealLinks => self.heal_links(&BTreeSet::new()),
            Fault::FillDisk { node, is_full } => {
                self.nodes[node].is_disk_full = is_full;
                self.nodes[node].disk.set_failing(is_full);
            }
            Fault::SlowDisk { node, factor } => self.nodes[node].disk_slowdown = factor,
            Fault::HangDisk { node, time } => self.nodes[node].disk_hangs_until = self.now + time,
            Fault::LeaveGracefully { node, restart_after } => self.leave_gracefully(node, restart_after),
            Fault::RemoveMachine { node } => self.remove_machine(node),
            Fault::AddMachine => self.add_machine(),
        }
    }

    fn end_process(&mut self, node: usize) {
        let mut rng = self.rng.fork();
        self.nodes[node].crash(&mut rng);
        self.network.reset_connections(node);
    }

    fn crash_process(&mut self, node: usize) {
        if !self.nodes[node].is_up() {
            return;
        }
        self.end_process(node);
        for peer in 0..self.nodes.len() {
            if self.nodes[peer].is_up() && !self.network.is_cut(Link { from: node, to: peer }) {
                let incarnation = self.nodes[peer].incarnation;
                let event = SimulationEvent::LinkDown { node: peer, incarnation, peer: node };
                self.schedule(LINK_DOWN_AFTER, event);
            }
        }
    }

    fn leave_gracefully(&mut self, node: usize, restart_after: Option<Duration>) {
        let incarnation = self.nodes[node].incarnation;
        self.handle_replica_event(node, incarnation, Event::Leave);
        let deadline = self.now + LEAVE_TIMEOUT;
        self.check_leave(node, incarnation, deadline, restart_after);
    }

    /// Ends a process that leaves gracefully, if it has left the chain or its deadline has passed. Otherwise
    /// schedules another check. Without `restart_after` the machine is removed.
    pub fn check_leave(
        &mut self, node: usize, incarnation: u64, deadline: Duration, restart_after: Option<Duration>,
    ) {
        if self.nodes[node].incarnation != incarnation || !self.nodes[node].is_up() {
            return;
        }
        let has_left_chain =
            matches!(self.status(node).leave_state, LeaveState::Left | LeaveState::OutOfChain);
        if !has_left_chain && self.now < deadline {
            let event = SimulationEvent::CheckLeave { node, incarnation, deadline, restart_after };
            return self.schedule(LEAVE_CHECK_INTERVAL, event);
        }
        self.trace(|| format!("{node} ends, has left the chain: {has_left_chain}"));
        self.crash_process(node);
        match restart_after {
            Some(after) => self.schedule(after, SimulationEvent::Boot { node }),
            None => self.nodes[node].is_removed = true,
        }
    }

    fn lose_power(&mut self, node: usize, wiped: bool) {
        self.end_process(node);
        let mut rng = self.rng.fork();
        self.nodes[node].disk.lose_power(&mut rng);
        if wiped {
            self.nodes[node].disk.wipe();
            self.nodes[node].disk.set_failing(self.nodes[node].is_disk_full);
            self.nodes[node].may_bootstrap = false;
        }
        if self.rng.bool() {
            self.nodes[node].seeds = self.choose_seeds();
        }
    }

    /// Resumes a paused process and delivers the queued events.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].is_paused = false;
        let incarnation = self.nodes[node].incarnation;
        for event in std::mem::take(&mut self.nodes[node].queued_events) {
            self.handle_replica_event(node, incarnation, event);
        }
    }

    /// Heals all links except those of some machines.
    pub fn heal_links(&mut self, except: &BTreeSet<usize>) {
        for envelope in self.network.heal(except) {
            self.schedule(Duration::from_millis(1), SimulationEvent::Deliver(envelope));
        }
    }

    fn remove_machine(&mut self, node: usize) {
        if self.rng.bool() {
            self.crash_process(node);
        } else {
            self.lose_power(node, false);
        }
        self.nodes[node].is_removed = true;
    }

    fn choose_seeds(&mut self) -> Vec<SocketAddr> {
        let present = self.present_nodes();
        let chosen = self.rng.choose_multiple(present, SEED_ADDRESS_COUNT);
        chosen.into_iter().map(address).collect()
    }

    fn add_machine(&mut self) {
        let seeds = self.choose_seeds();
        let node = self.nodes.len();
        self.nodes.push(Node::new(address(node), seeds, false, self.scenario.sync_time));
        self.boot(node);
    }
}
