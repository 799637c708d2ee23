//! Generates random fault schedules.

use super::fault::{Fault, FaultLimits, FaultSchedule, FaultTrigger, ScheduledFault};
use super::network::{CutMode, Link};
use std::collections::BTreeSet;
use std::ops::Range;
use std::time::Duration;

/// The restart delay of a machine that is down in the stable period. It restarts after that period.
const DOWN_TIME: Duration = Duration::from_secs(60);
/// The range of the time after which an added machine counts, in milliseconds. If another machine is removed
/// earlier, two are lost at once.
const CATCH_UP_MS: Range<u64> = 4_000..6_000;

/// Generates a schedule of faults. The order of its draws is part of the meaning of a seed.
pub struct FaultScheduleGenerator<'a> {
    rng: &'a mut fastrand::Rng,
    limits: &'a FaultLimits<'a>,
    /// The number of disks that may still be lost.
    remaining_disks: usize,
    schedule: FaultSchedule,
}

impl<'a> FaultScheduleGenerator<'a> {
    /// Creates a generator with an empty schedule.
    pub fn new(rng: &'a mut fastrand::Rng, limits: &'a FaultLimits<'a>) -> FaultScheduleGenerator<'a> {
        let remaining_disks = limits.max_lost_disks;
        FaultScheduleGenerator { rng, limits, remaining_disks, schedule: FaultSchedule::default() }
    }

    /// Returns the generated schedule.
    pub fn into_schedule(self) -> FaultSchedule {
        self.schedule
    }

    /// Adds one to five faults of any kind, and sometimes a minority that stays faulty.
    pub fn add_random_faults(&mut self) {
        let count = self.rng.u32(1..=5);
        for _ in 0..count {
            self.add_random_fault();
        }
        if self.remaining_disks == self.limits.max_lost_disks && self.rng.u32(..4) == 0 {
            self.add_faulty_minority();
        }
    }

    fn add(&mut self, trigger: FaultTrigger, fault: Fault) {
        self.schedule.faults.push(ScheduledFault { trigger, fault });
    }

    fn add_at(&mut self, at: Duration, fault: Fault) {
        self.add(FaultTrigger::At(at), fault);
    }

    fn millis(&mut self, range: Range<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }

    fn choose_nodes(&mut self, count: usize) -> Vec<usize> {
        self.rng.choose_multiple(self.limits.present.iter().copied(), count)
    }

    /// Chooses at least one of the machines.
    fn choose_one_or_more_nodes(&mut self) -> Vec<usize> {
        let count = self.rng.usize(1..=self.limits.present.len());
        self.choose_nodes(count)
    }

    fn choose_node(&mut self) -> usize {
        self.limits.present[self.rng.usize(..self.limits.present.len())]
    }

    /// Returns a restart delay of 5 ms to `max_ms` for each machine.
    fn restart_times(&mut self, nodes: &[usize], max_ms: u64) -> Vec<Duration> {
        nodes.iter().map(|_| self.millis(5..max_ms)).collect()
    }

    fn trigger(&mut self, at: Duration) -> FaultTrigger {
        // Most races in the decision on a view happen within the time of a few syncs.
        let soon = Duration::from_micros(self.rng.u64(0..60_000));
        match self.rng.u32(..6) {
            0 => FaultTrigger::AfterAcknowledgement(self.millis(0..600)),
            1 => FaultTrigger::AfterAcknowledgement(soon),
            2 => FaultTrigger::AfterProposal(soon),
            3 => FaultTrigger::AfterViewChange(soon),
            _ => FaultTrigger::At(at),
        }
    }

    fn add_random_fault(&mut self) {
        let at = self.millis(0..4_000);
        let trigger = self.trigger(at);
        let count = self.rng.usize(1..=self.limits.present.len());
        match self.rng.u32(..15) {
            0 | 1 => {
                let nodes = self.choose_nodes(count);
                let restart_after = self.restart_times(&nodes, 1_200);
                self.add(trigger, Fault::CrashProcesses { nodes, restart_after });
            }
            2 | 3 => {
                let nodes = self.choose_nodes(count);
                self.add_power_loss(trigger, nodes, 2_500);
            }
            4 if self.remaining_disks > 0 => self.add_disk_loss(trigger),
            5 => self.add_pauses(at),
            6 | 7 => self.add_cut(at),
            8 => self.add_disk_faults(at),
            9 if self.remaining_disks > 0 => self.add_replacement(at),
            10 => self.add_flapping_links(at),
            11 => self.add_rolling_restart(at),
            12 => self.add_power_loss_storm(at),
            13 => self.add_faults_on_view_changes(),
            _ => {}
        }
    }

    fn add_power_loss(&mut self, trigger: FaultTrigger, nodes: Vec<usize>, max_restart_ms: u64) {
        let restart_after = self.restart_times(&nodes, max_restart_ms);
        self.add(trigger, Fault::LosePower { nodes, wiped: BTreeSet::new(), restart_after });
    }

    /// Some machines lose their disks, sometimes while all others lose power.
    fn add_disk_loss(&mut self, trigger: FaultTrigger) {
        let count = self.rng.usize(1..=self.remaining_disks);
        let wiped: BTreeSet<usize> = self.choose_nodes(count).into_iter().collect();
        self.remaining_disks -= wiped.len();
        let all_lose_power = self.rng.bool();
        let present = self.limits.present.iter().copied();
        let nodes: Vec<usize> = present.filter(|node| all_lose_power || wiped.contains(node)).collect();
        let restart_after = self.restart_times(&nodes, 2_500);
        self.add(trigger, Fault::LosePower { nodes, wiped, restart_after });
    }

    fn add_pauses(&mut self, at: Duration) {
        for node in self.choose_one_or_more_nodes() {
            let end = at + self.millis(50..3_500);
            self.add_at(at, Fault::Pause { node });
            self.add_at(end, Fault::Resume { node });
        }
    }

    /// Chooses the links to cut: all links of a machine, those in one direction, those between two groups,
    /// random ones, or those of a pair.
    fn choose_links(&mut self) -> Vec<Link> {
        let present = self.limits.present;
        let pairs =
            present.iter().flat_map(|from| present.iter().map(move |to| Link { from: *from, to: *to }));
        let links = pairs.filter(|link| link.from != link.to);
        let node = self.choose_node();
        let count = self.rng.usize(1..present.len().max(2));
        let side: BTreeSet<usize> = self.choose_nodes(count).into_iter().collect();
        match self.rng.u32(..6) {
            0 => links.filter(|link| link.touches(node)).collect(),
            1 => links.filter(|link| link.from == node).collect(),
            2 => links.filter(|link| link.to == node).collect(),
            3 => links.filter(|link| side.contains(&link.from) != side.contains(&link.to)).collect(),
            4 => links.filter(|_| self.rng.u32(..4) == 0).collect(),
            _ => {
                let other = self.choose_node();
                links.filter(|link| Link::both(node, other).contains(link)).collect()
            }
        }
    }

    fn choose_mode(&mut self) -> CutMode {
        if self.rng.bool() { CutMode::Drop } else { CutMode::Delay }
    }

    fn add_cut(&mut self, at: Duration) {
        let links = self.choose_links();
        let mode = self.choose_mode();
        self.add_at(at, Fault::CutLinks { links, mode });
        if self.rng.bool() {
            let healed_at = at + self.millis(100..5_000);
            self.add_at(healed_at, Fault::HealLinks);
        }
    }

    fn add_flapping_links(&mut self, mut at: Duration) {
        let links = self.choose_links();
        for _ in 0..self.rng.u32(2..6) {
            let mode = self.choose_mode();
            self.add_at(at, Fault::CutLinks { links: links.clone(), mode });
            at += self.millis(100..1_500);
            self.add_at(at, Fault::HealLinks);
            at += self.millis(100..1_500);
        }
    }

    /// Machines lose power repeatedly, faster than views can be decided.
    fn add_power_loss_storm(&mut self, mut at: Duration) {
        for _ in 0..self.rng.u32(5..40) {
            let nodes = self.choose_one_or_more_nodes();
            self.add_power_loss(FaultTrigger::At(at), nodes, 400);
            at += self.millis(20..600);
        }
    }

    /// Up to half of the machines lose power when a view is proposed or entered, and restart immediately.
    pub fn add_faults_on_view_changes(&mut self) {
        for _ in 0..self.rng.u32(4..20) {
            let after = Duration::from_micros(self.rng.u64(0..250_000));
            let trigger = if self.rng.bool() {
                FaultTrigger::AfterProposal(after)
            } else {
                FaultTrigger::AfterViewChange(after)
            };
            let count = self.rng.usize(1..=self.limits.present.len().div_ceil(2));
            let nodes = self.choose_nodes(count);
            self.add_power_loss(trigger, nodes, 120);
        }
        // The pause causes the other processes to propose the first of these views.
        let node = self.choose_node();
        let (paused_at, resumed_at) = (self.millis(0..500), self.millis(1_500..6_000));
        self.add_at(paused_at, Fault::Pause { node });
        self.add_at(resumed_at, Fault::Resume { node });
    }

    fn add_rolling_restart(&mut self, mut at: Duration) {
        for node in self.limits.present.iter().copied() {
            let restart_after = vec![self.millis(100..1_500)];
            self.add_at(at, Fault::CrashProcesses { nodes: vec![node], restart_after });
            at += self.millis(200..2_500);
        }
    }

    /// Adds disks that are full, slow or hanging.
    fn add_disk_faults(&mut self, at: Duration) {
        let count = self.rng.usize(1..=self.limits.present.len());
        let kind = self.rng.u32(..3);
        for node in self.choose_nodes(count) {
            let end = at + self.millis(200..6_000);
            match kind {
                0 => {
                    self.add_at(at, Fault::FillDisk { node, is_full: true });
                    self.add_at(end, Fault::FillDisk { node, is_full: false });
                }
                1 => {
                    let factor = self.rng.u32(2..=25).min(self.limits.max_disk_slowdown);
                    self.add_at(at, Fault::SlowDisk { node, factor });
                    self.add_at(end, Fault::SlowDisk { node, factor: 1 });
                }
                _ => {
                    let time = self.millis(200..5_000);
                    self.add_at(at, Fault::HangDisk { node, time });
                }
            }
        }
    }

    /// A machine is replaced by an empty one, which is added before or after the removal.
    fn add_replacement(&mut self, at: Duration) {
        let node = self.choose_node();
        let is_added_first = self.rng.bool();
        let (added_at, removed_at) = if is_added_first {
            (at, at + self.millis(CATCH_UP_MS))
        } else {
            (at + self.millis(0..4_000), at)
        };
        self.remaining_disks -= 1;
        self.add_at(added_at, Fault::AddMachine);
        self.add_at(removed_at, Fault::RemoveMachine { node });
    }

    /// Processes leave gracefully in addition to the other faults: either all in turn, or one permanently
    /// after another one was added. Sometimes there is one more machine than members.
    pub fn add_graceful_leaves(&mut self) {
        for _ in 0..self.rng.u32(0..2) {
            self.add_at(Duration::ZERO, Fault::AddMachine);
        }
        let mut at = self.millis(0..4_000);
        let loses_disk = self.schedule.faults.iter().any(|scheduled| scheduled.fault.destroys_disk());
        let may_remove = !loses_disk && self.schedule.faulty_minority.is_empty();
        if may_remove && self.limits.max_lost_disks > 0 && self.rng.bool() {
            self.add_at(at, Fault::AddMachine);
            let node = self.choose_node();
            let leaves_at = at + self.millis(CATCH_UP_MS);
            return self.add_at(leaves_at, Fault::LeaveGracefully { node, restart_after: None });
        }
        for node in self.limits.present.iter().copied() {
            let restart_after = Some(self.millis(50..1_500));
            self.add_at(at, Fault::LeaveGracefully { node, restart_after });
            at += self.millis(100..2_500);
        }
    }

    /// Some machines, at most as many as may be lost, stay down, cut off, paused or with a full disk during
    /// the stable period.
    fn add_faulty_minority(&mut self) {
        let present = self.limits.present;
        let count = self.limits.max_lost_disks.min((present.len() - 1) / 2);
        let nodes = self.choose_nodes(count);
        let at = self.millis(3_000..6_000);
        let kind = self.rng.u32(..4);
        for node in nodes {
            let fault = match kind {
                0 => Fault::crash(&[node], DOWN_TIME),
                1 => Fault::FillDisk { node, is_full: true },
                2 => {
                    let others = present.iter().copied().filter(|other| *other != node);
                    let links = others.flat_map(|other| Link::both(node, other)).collect();
                    Fault::CutLinks { links, mode: self.choose_mode() }
                }
                _ => Fault::Pause { node },
            };
            self.schedule.faulty_minority.insert(node);
            self.add_at(at, fault);
        }
    }
}
