//! Rounds of faults, and the requests that a cluster must answer in the stable period after each.

use super::client::ClientRequest;
use super::cluster::Cluster;
use super::event::SimulationEvent;
use super::fault::{DelayedFault, Fault, FaultSchedule, FaultTrigger, ScheduledFault};
use std::collections::BTreeSet;
use std::time::Duration;

/// The time within which a cluster starts and acknowledges its first change.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(8);
/// The time after which restarted processes no longer take part in bootstrapping.
const BOOTSTRAP_ENABLED_UNTIL: Duration = Duration::from_secs(1);
/// The period in which the faults of a round begin and end.
const FAULT_PERIOD: Duration = Duration::from_secs(12);
/// The time for re-establishing connections once faults have ended.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// The time after the last fault until the cluster counts as stable.
const STABILIZATION_TIME: Duration = Duration::from_secs(3);
/// The time within which a stable cluster responds to a request.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(4);
/// The time for which a restarted machine counts as lost.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// The delay before a machine that is down at the end of the faults is restarted.
const REPAIR_TIME: Duration = Duration::from_millis(200);

impl Cluster {
    /// Runs the first start of the cluster, up to the acknowledgement of its first change.
    pub fn bootstrap(&mut self) -> Result<(), String> {
        let request = self.generate_valid_submission();
        self.start_call(0, request, Some(BOOTSTRAP_TIME));
        self.run_until(BOOTSTRAP_ENABLED_UNTIL)?;
        for node in &mut self.nodes {
            node.may_bootstrap = false;
        }
        self.run_until(BOOTSTRAP_TIME)?;
        if self.checker.acknowledged_count == 0 {
            return Err("ACKS first configuration not acknowledged".to_owned());
        }
        Ok(())
    }

    /// Runs active clients while the faults of a schedule are injected.
    pub fn run_fault_period(&mut self, schedule: FaultSchedule) -> Result<(), String> {
        self.trace(|| format!("ROUND {schedule:?}"));
        self.has_active_clients = true;
        for client in 0..self.clients.len() {
            self.wake_idle_client(client);
        }
        for ScheduledFault { trigger, fault } in schedule.faults {
            let triggered = &mut self.triggered_faults;
            match trigger {
                FaultTrigger::At(after) if after >= FAULT_PERIOD => {}
                FaultTrigger::At(after) => self.schedule(after, SimulationEvent::Fault(fault)),
                FaultTrigger::AfterAcknowledgement(after) => {
                    triggered.after_acknowledgement.push(DelayedFault { after, fault });
                }
                FaultTrigger::AfterProposal(after) => {
                    triggered.after_proposal.push(DelayedFault { after, fault });
                }
                FaultTrigger::AfterViewChange(after) => {
                    triggered.after_view_change.push(DelayedFault { after, fault });
                }
            }
        }
        self.run_for(FAULT_PERIOD)
    }

    /// Runs a period of faults, then a stable period in which changes and a read must be answered.
    pub fn run_round(&mut self, schedule: FaultSchedule) -> Result<(), String> {
        let faulty_minority = schedule.faulty_minority.clone();
        self.run_fault_period(schedule)?;
        self.end_faults(&faulty_minority);
        self.run_for(SETTLING_TIME)?;
        self.run_for(STABILIZATION_TIME)?;
        for _ in 0..3 {
            self.expect_change_acknowledged()?;
        }
        self.expect_read()?;
        self.end_faults(&BTreeSet::new());
        self.run_for(CATCH_UP_TIME + SETTLING_TIME)
    }

    /// Ends all faults except those of a minority of the machines, and stops the clients.
    pub fn end_faults(&mut self, faulty_minority: &BTreeSet<usize>) {
        self.trace(|| format!("STABLE except {faulty_minority:?}"));
        self.has_active_clients = false;
        self.triggered_faults.clear();
        self.network.message_lost_one_in = 0;
        self.heal_links(faulty_minority);
        for node in self.present_nodes() {
            if faulty_minority.contains(&node) {
                continue;
            }
            self.inject(Fault::FillDisk { node, is_full: false });
            self.nodes[node].disk_slowdown = 1;
            self.nodes[node].disk_hangs_until = self.now;
            if self.nodes[node].is_paused {
                self.resume(node);
            }
            if !self.nodes[node].is_up() {
                self.schedule(REPAIR_TIME, SimulationEvent::Boot { node });
            }
        }
    }

    /// Requires that a valid change is acknowledged in time.
    pub fn expect_change_acknowledged(&mut self) -> Result<(), String> {
        let request = self.generate_valid_submission();
        self.expect_response(request)
    }

    /// Requires that a read is answered in time.
    pub fn expect_read(&mut self) -> Result<(), String> {
        let request = ClientRequest::Read { at_least: self.checker.acknowledged_version() };
        self.expect_response(request)
    }

    /// Requires that a request is answered in time. A change must be acknowledged or rejected.
    pub fn expect_response(&mut self, request: ClientRequest) -> Result<(), String> {
        // An earlier change may still be in flight. If it is committed, this change may be rejected.
        for client in &mut self.clients {
            client.call = None;
            client.generation += 1;
        }
        let (acknowledged, rejected) = (self.checker.acknowledged_count, self.checker.rejected_count);
        let is_submission = matches!(request, ClientRequest::Submit { .. });
        let end = self.now + MAX_RESPONSE_TIME;
        self.start_call(0, request, Some(end));
        while self.clients[0].call.is_some() && self.now < end {
            self.run_for(Duration::from_millis(50))?;
        }
        if self.clients[0].call.is_some() {
            return Err(format!("ACKS at {:?}: no response in a stable period", self.now));
        }
        let is_unchanged =
            self.checker.acknowledged_count == acknowledged && self.checker.rejected_count == rejected;
        if is_submission && is_unchanged {
            return Err(format!("ACKS at {:?}: change not acknowledged in a stable period", self.now));
        }
        Ok(())
    }
}
