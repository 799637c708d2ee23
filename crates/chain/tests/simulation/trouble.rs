//! Carrying out troubles, and rounds of them with a calm time behind.

use crate::fault::{Fault, Round, When};
use crate::node::Node;
use crate::operator::Wish;
use crate::world::{Happening, World, address};
use lugwharf_chain::{Event, LeaveState, ReplicaStatus};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Troubles of a round begin and end within this.
const TROUBLED: Duration = Duration::from_secs(12);
/// The core counts as stable this long after the last trouble.
const CONTACT: Duration = Duration::from_secs(3);
/// A change must be acknowledged within this while the core is stable.
const ACK: Duration = Duration::from_secs(4);
/// A process that was told to end waits this long to be left out.
const FAREWELL: Duration = Duration::from_millis(1_500);
/// A machine counts as lost for this long after it came back.
const CATCH_UP: Duration = Duration::from_secs(4);

impl World {
    pub fn inflict(&mut self, fault: Fault) {
        self.trace(|| format!("FAULT {fault:?}"));
        match fault {
            Fault::Kill { nodes, back_after } => {
                for (node, after) in nodes.into_iter().zip(back_after) {
                    self.kill(node);
                    self.schedule(after, Happening::Boot { node });
                }
            }
            Fault::PowerLoss { nodes, wiped, back_after } => {
                for (node, after) in nodes.into_iter().zip(back_after) {
                    self.lose_power(node, wiped.contains(&node));
                    self.schedule(after, Happening::Boot { node });
                }
            }
            Fault::Freeze { node } => self.nodes[node].frozen = self.nodes[node].is_up(),
            Fault::Thaw { node } => self.thaw(node),
            Fault::Cut { links, mode } => {
                for (from, to) in links {
                    self.network.cut(from, to, mode);
                }
            }
            Fault::HealCuts => self.heal_cuts(&BTreeSet::new()),
            Fault::DiskFull { node, full } => {
                self.nodes[node].disk_full = full;
                self.nodes[node].disk.set_refuses(full);
            }
            Fault::DiskFactor { node, factor } => self.nodes[node].disk_factor = factor,
            Fault::DiskHang { node, time } => self.nodes[node].disk_hangs_until = self.now + time,
            Fault::Terminate { node, back_after } => self.terminate(node, back_after),
            Fault::Remove { node } => self.remove(node),
            Fault::Add => self.add(),
        }
    }

    fn end_process(&mut self, node: usize) {
        let mut rng = self.rng.fork();
        self.nodes[node].kill(&mut rng);
        self.network.reset(node);
    }

    fn kill(&mut self, node: usize) {
        if !self.nodes[node].is_up() {
            return;
        }
        self.end_process(node);
        for peer in 0..self.nodes.len() {
            if self.nodes[peer].is_up() && !self.network.is_cut(node, peer) {
                let epoch = self.nodes[peer].epoch;
                let happening = Happening::LinkDown { node: peer, epoch, peer: node };
                self.schedule(Duration::from_millis(2), happening);
            }
        }
    }

    fn terminate(&mut self, node: usize, back_after: Option<Duration>) {
        let epoch = self.nodes[node].epoch;
        self.feed(node, epoch, Event::Leave);
        let deadline = self.now + FAREWELL;
        self.depart(node, epoch, deadline, back_after);
    }

    /// Ends a process that was told to end, if it was left out or its time is over.
    pub fn depart(&mut self, node: usize, epoch: u64, deadline: Duration, back_after: Option<Duration>) {
        if self.nodes[node].epoch != epoch || !self.nodes[node].is_up() {
            return;
        }
        let left = matches!(self.status(node).leave, LeaveState::Left | LeaveState::OutOfChain);
        if !left && self.now < deadline {
            let happening = Happening::Departure { node, epoch, deadline, back_after };
            return self.schedule(Duration::from_millis(20), happening);
        }
        self.trace(|| format!("{node} ends, left out: {left}"));
        self.kill(node);
        match back_after {
            Some(after) => self.schedule(after, Happening::Boot { node }),
            None => self.nodes[node].gone = true,
        }
    }

    fn lose_power(&mut self, node: usize, wiped: bool) {
        self.end_process(node);
        let mut rng = self.rng.fork();
        self.nodes[node].disk.lose_power(&mut rng);
        if wiped {
            self.nodes[node].disk.wipe();
            self.nodes[node].disk.set_refuses(self.nodes[node].disk_full);
            self.nodes[node].bootstrap = false;
        }
        if self.rng.bool() {
            self.nodes[node].seeds = self.draw_seeds();
        }
    }

    fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        let epoch = self.nodes[node].epoch;
        for event in std::mem::take(&mut self.nodes[node].held) {
            self.feed(node, epoch, event);
        }
    }

    fn heal_cuts(&mut self, except: &BTreeSet<usize>) {
        for parcel in self.network.heal(except) {
            self.schedule(Duration::from_millis(1), Happening::Deliver(parcel));
        }
    }

    fn remove(&mut self, node: usize) {
        if self.rng.bool() {
            self.kill(node);
        } else {
            self.lose_power(node, false);
        }
        self.nodes[node].gone = true;
    }

    pub fn present(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|node| !self.nodes[*node].gone).collect()
    }

    fn draw_seeds(&mut self) -> Vec<SocketAddr> {
        let present = self.present();
        let chosen = self.rng.choose_multiple(present, 3);
        chosen.into_iter().map(address).collect()
    }

    fn add(&mut self) {
        let seeds = self.draw_seeds();
        let node = self.nodes.len();
        self.nodes.push(Node::new(address(node), seeds, false, self.scenario.sync));
        self.boot(node);
    }

    /// The first start: the first change is taken.
    pub fn begin_day(&mut self) -> Result<(), String> {
        let wish = self.proper_change();
        self.begin(0, wish, Some(Duration::from_secs(8)));
        self.run_until(Duration::from_secs(1))?;
        for node in &mut self.nodes {
            node.bootstrap = false;
        }
        self.run_until(Duration::from_secs(8))?;
        if self.oracle.acknowledged == 0 {
            return Err("ACKS the first configuration is not taken".to_owned());
        }
        Ok(())
    }

    /// A round of troubles.
    pub fn trouble(&mut self, round: Round) -> Result<(), String> {
        self.trace(|| format!("ROUND {round:?}"));
        self.busy = true;
        for operator in 0..self.operators.len() {
            self.nudge(operator);
        }
        for (when, fault) in round.faults {
            match when {
                When::At(after) if after >= TROUBLED => {}
                When::At(after) => self.schedule(after, Happening::Fault(fault)),
                When::AfterAck(after) => self.after_ack.push((after, fault)),
                When::AfterProposal(after) => self.after_proposal.push((after, fault)),
                When::AfterView(after) => self.after_view.push((after, fault)),
            }
        }
        self.run_for(TROUBLED)
    }

    /// A round of troubles, then a calm time in which changes must be acknowledged.
    pub fn play(&mut self, round: Round) -> Result<(), String> {
        let minority = round.minority.clone();
        self.trouble(round)?;
        self.end_troubles(&minority);
        self.run_for(Duration::from_millis(500))?;
        self.run_for(CONTACT)?;
        for _ in 0..3 {
            self.must_take_change()?;
        }
        self.must_read_back()?;
        self.end_troubles(&BTreeSet::new());
        self.run_for(CATCH_UP + Duration::from_millis(500))
    }

    fn nudge(&mut self, operator: usize) {
        if self.operators[operator].call.is_none() {
            self.operators[operator].generation += 1;
            let generation = self.operators[operator].generation;
            self.schedule(Duration::ZERO, Happening::Wake { operator, generation });
        }
    }

    pub fn end_troubles(&mut self, minority: &BTreeSet<usize>) {
        self.trace(|| format!("CALM but for {minority:?}"));
        self.busy = false;
        self.after_ack.clear();
        self.after_proposal.clear();
        self.after_view.clear();
        self.network.loses_one_in = 0;
        self.heal_cuts(minority);
        for node in self.present() {
            if minority.contains(&node) {
                continue;
            }
            self.inflict(Fault::DiskFull { node, full: false });
            self.nodes[node].disk_factor = 1;
            self.nodes[node].disk_hangs_until = self.now;
            if self.nodes[node].frozen {
                self.thaw(node);
            }
            if !self.nodes[node].is_up() {
                self.schedule(Duration::from_millis(200), Happening::Boot { node });
            }
        }
    }

    pub fn must_take_change(&mut self) -> Result<(), String> {
        let wish = self.proper_change();
        self.must_finish(wish)
    }

    pub fn must_read_back(&mut self) -> Result<(), String> {
        let wish = Wish::Read { at_least: self.oracle.newest_acked() };
        self.must_finish(wish)
    }

    pub fn must_finish(&mut self, wish: Wish) -> Result<(), String> {
        // A change of before may still be on its way; it may win, and then this one may be refused.
        for operator in &mut self.operators {
            operator.call = None;
            operator.generation += 1;
        }
        let (acks, refusals) = (self.oracle.acknowledged, self.oracle.refusals);
        let submits = matches!(wish, Wish::Submit { .. });
        let end = self.now + ACK;
        self.begin(0, wish, Some(end));
        while self.operators[0].call.is_some() && self.now < end {
            self.run_for(Duration::from_millis(50))?;
        }
        if self.operators[0].call.is_some() {
            return Err(format!("ACKS at {:?}: no answer in a calm time", self.now));
        }
        if submits && self.oracle.acknowledged == acks && self.oracle.refusals == refusals {
            return Err(format!("ACKS at {:?}: not acknowledged in a calm time", self.now));
        }
        Ok(())
    }

    /// What a process that runs says of itself.
    pub fn status(&self, node: usize) -> ReplicaStatus {
        self.nodes[node].process.as_ref().expect("the process runs").replica.status()
    }
}
