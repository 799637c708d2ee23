//! Rounds of faults, and what a cluster must answer in the stable period between them.

use super::client::ClientRequest;
use super::cluster::Cluster;
use super::event::SimulationEvent;
use super::fault::{Fault, FaultSchedule, FaultTrigger, ScheduledFault, WaitingFault};
use std::collections::BTreeSet;
use std::time::Duration;

/// A cluster is started, and its first change acknowledged, within this.
const BOOTSTRAP_TIME: Duration = Duration::from_secs(8);
/// After this, a process that starts again takes no part in the first start of the cluster.
const BOOTSTRAP_UNTIL: Duration = Duration::from_secs(1);
/// The faults of a round begin and end within this.
const FAULT_PERIOD: Duration = Duration::from_secs(12);
/// The time that a cluster gets to heal its connections, once faults have ended.
const SETTLING_TIME: Duration = Duration::from_millis(500);
/// The cluster counts as stable this long after the last fault.
const STABILIZATION_TIME: Duration = Duration::from_secs(3);
/// A stable cluster answers a request within this.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(4);
/// A machine that is back counts as lost for this long.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);
/// A machine that is down when faults end starts again after this.
const REPAIR_TIME: Duration = Duration::from_millis(200);

impl Cluster {
    /// The first start of the cluster: the first change is acknowledged.
    pub fn bootstrap(&mut self) -> Result<(), String> {
        let request = self.draw_valid_submission();
        self.start_call(0, request, Some(BOOTSTRAP_TIME));
        self.run_until(BOOTSTRAP_UNTIL)?;
        for node in &mut self.nodes {
            node.may_bootstrap = false;
        }
        self.run_until(BOOTSTRAP_TIME)?;
        if self.checker.acknowledged_count == 0 {
            return Err("ACKS the first configuration is not acknowledged".to_owned());
        }
        Ok(())
    }

    /// Lets clients work while the faults of a schedule are injected.
    pub fn run_fault_period(&mut self, schedule: FaultSchedule) -> Result<(), String> {
        self.trace(|| format!("ROUND {schedule:?}"));
        self.are_clients_active = true;
        for client in 0..self.clients.len() {
            self.wake_idle_client(client);
        }
        for ScheduledFault { trigger, fault } in schedule.faults {
            let triggered = &mut self.triggered_faults;
            match trigger {
                FaultTrigger::At(after) if after >= FAULT_PERIOD => {}
                FaultTrigger::At(after) => self.schedule(after, SimulationEvent::Fault(fault)),
                FaultTrigger::AfterAcknowledgement(after) => {
                    triggered.after_acknowledgement.push(WaitingFault { after, fault });
                }
                FaultTrigger::AfterProposal(after) => {
                    triggered.after_proposal.push(WaitingFault { after, fault });
                }
                FaultTrigger::AfterViewChange(after) => {
                    triggered.after_view_change.push(WaitingFault { after, fault });
                }
            }
        }
        self.run_for(FAULT_PERIOD)
    }

    /// A period of faults, then a stable one in which changes and a read must be answered.
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

    /// Ends all faults but those of a minority of the machines, and lets clients rest.
    pub fn end_faults(&mut self, faulty_minority: &BTreeSet<usize>) {
        self.trace(|| format!("CALM but for {faulty_minority:?}"));
        self.are_clients_active = false;
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

    /// A valid change must be acknowledged now, in time.
    pub fn expect_change_acknowledged(&mut self) -> Result<(), String> {
        let request = self.draw_valid_submission();
        self.expect_response(request)
    }

    /// A read must be answered now, in time.
    pub fn expect_read(&mut self) -> Result<(), String> {
        let request = ClientRequest::Read { at_least: self.checker.acknowledged_version() };
        self.expect_response(request)
    }

    /// A request must be answered now, in time: a change is acknowledged or rejected.
    pub fn expect_response(&mut self, request: ClientRequest) -> Result<(), String> {
        // An earlier change may still be in flight. It may be committed, and then this one may be rejected.
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
            return Err(format!("ACKS at {:?}: no answer in a calm time", self.now));
        }
        let is_unchanged =
            self.checker.acknowledged_count == acknowledged && self.checker.rejected_count == rejected;
        if is_submission && is_unchanged {
            return Err(format!("ACKS at {:?}: not acknowledged in a calm time", self.now));
        }
        Ok(())
    }
}
