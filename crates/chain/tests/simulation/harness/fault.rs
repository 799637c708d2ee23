//! Faults, when they happen, and schedules of them.

use super::network::{CutMode, Link};
use std::collections::BTreeSet;
use std::time::Duration;

/// One fault, or the end of one.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Processes die, and start again, each after its time.
    CrashProcesses { nodes: Vec<usize>, restart_after: Vec<Duration> },
    /// Machines lose power and what was not synced, and start again, each after its time. Wiped ones lose their disks too.
    LosePower { nodes: Vec<usize>, wiped: BTreeSet<usize>, restart_after: Vec<Duration> },
    /// A process stops, as with `SIGSTOP`: it ticks no more, and what arrives waits for it.
    Pause { node: usize },
    /// A paused process goes on.
    Resume { node: usize },
    /// Links are cut.
    CutLinks { links: Vec<Link>, mode: CutMode },
    /// All links are healed.
    HealLinks,
    /// A disk refuses writes, or takes them again.
    FillDisk { node: usize, is_full: bool },
    /// A disk gets this many times slower than usual.
    SlowDisk { node: usize, factor: u32 },
    /// A disk finishes no write for this long.
    HangDisk { node: usize, time: Duration },
    /// A process leaves gracefully. It ends once it is left out of the view, or at a deadline all the same. It starts again after
    /// a time, or its machine is removed for good.
    LeaveGracefully { node: usize, restart_after: Option<Duration> },
    /// A machine is removed for good, without notice.
    RemoveMachine { node: usize },
    /// An empty machine starts at a new address.
    AddMachine,
}

impl Fault {
    /// Processes die and start again after a time.
    pub fn crash(nodes: &[usize], restart_after: Duration) -> Fault {
        Fault::CrashProcesses { nodes: nodes.to_vec(), restart_after: vec![restart_after; nodes.len()] }
    }

    /// Machines lose power, some of them their disks too, and start again after a time.
    pub fn power_loss(nodes: &[usize], wiped: &[usize], restart_after: Duration) -> Fault {
        Fault::LosePower {
            nodes: nodes.to_vec(),
            wiped: wiped.iter().copied().collect(),
            restart_after: vec![restart_after; nodes.len()],
        }
    }

    /// Whether a disk is lost for good.
    pub fn destroys_disk(&self) -> bool {
        match self {
            Fault::LosePower { wiped, .. } => !wiped.is_empty(),
            Fault::RemoveMachine { .. } | Fault::LeaveGracefully { restart_after: None, .. } => true,
            _ => false,
        }
    }
}

/// What happens to a chunk of a history that is sent, or to its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFault {
    Lost,
    SenderCrashes,
    ReceiverCrashes,
    BothLosePower,
    ReceiverLosesDisk,
}

/// When a fault happens.
#[derive(Clone, Debug)]
pub enum FaultTrigger {
    /// This long after the start of the schedule.
    At(Duration),
    /// This long after the next acknowledgement.
    AfterAcknowledgement(Duration),
    /// This long after the next time a process proposes a view.
    AfterProposal(Duration),
    /// This long after the next time a process enters a view.
    AfterViewChange(Duration),
}

/// A fault that waits for something to happen.
pub struct WaitingFault {
    /// The time between what happens and the fault.
    pub after: Duration,
    pub fault: Fault,
}

/// Faults that wait for something to happen.
#[derive(Default)]
pub struct TriggeredFaults {
    /// All of them follow the next acknowledgement.
    pub after_acknowledgement: Vec<WaitingFault>,
    /// One of them, the last, follows each proposal.
    pub after_proposal: Vec<WaitingFault>,
    /// One of them, the last, follows each time a process enters a view.
    pub after_view_change: Vec<WaitingFault>,
}

impl TriggeredFaults {
    /// Drops the faults that have not happened.
    pub fn clear(&mut self) {
        self.after_acknowledgement.clear();
        self.after_proposal.clear();
        self.after_view_change.clear();
    }
}

/// A fault with what triggers it.
#[derive(Debug)]
pub struct ScheduledFault {
    pub trigger: FaultTrigger,
    pub fault: Fault,
}

impl ScheduledFault {
    /// A fault at a time after the start of the schedule.
    pub fn at(at: Duration, fault: Fault) -> ScheduledFault {
        ScheduledFault { trigger: FaultTrigger::At(at), fault }
    }
}

/// The faults of a round.
#[derive(Debug, Default)]
pub struct FaultSchedule {
    pub faults: Vec<ScheduledFault>,
    /// Machines that stay faulty while the cluster counts as stable.
    pub faulty_minority: BTreeSet<usize>,
}

/// What a schedule may do.
pub struct FaultLimits<'a> {
    /// The machines that are not removed.
    pub present: &'a [usize],
    /// How many disks may be lost.
    pub max_lost_disks: usize,
    /// How many times slower a disk may get.
    pub max_disk_slowdown: u32,
}
