//! Faults, their triggers, and fault schedules.

use super::network::{CutMode, Link};
use std::collections::BTreeSet;
use std::time::Duration;

/// A fault, or the end of a fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Processes crash, and each restarts after its delay.
    CrashProcesses {
        nodes: Vec<usize>,
        restart_after: Vec<Duration>,
    },
    /// Machines lose power and all unsynced data, and each restarts after its delay. The wiped ones also lose
    /// their disks.
    LosePower {
        nodes: Vec<usize>,
        wiped: BTreeSet<usize>,
        restart_after: Vec<Duration>,
    },
    /// A process is paused, as by `SIGSTOP`: it handles no ticks, and incoming events are queued.
    Pause {
        node: usize,
    },
    /// A paused process is resumed.
    Resume {
        node: usize,
    },
    CutLinks {
        links: Vec<Link>,
        mode: CutMode,
    },
    HealLinks,
    /// A disk rejects writes, or accepts them again.
    FillDisk {
        node: usize,
        is_full: bool,
    },
    /// A disk becomes slower by this factor.
    SlowDisk {
        node: usize,
        factor: u32,
    },
    /// A disk completes no write for this long.
    HangDisk {
        node: usize,
        time: Duration,
    },
    /// A process leaves gracefully. It ends once it is removed from the chain, or at a deadline. It then
    /// restarts after a delay, or its machine is permanently removed.
    LeaveGracefully {
        node: usize,
        restart_after: Option<Duration>,
    },
    /// A machine is permanently removed without notice.
    RemoveMachine {
        node: usize,
    },
    /// An empty machine starts at a new address.
    AddMachine,
}

impl Fault {
    /// Creates a crash of processes that restart after a delay.
    pub fn crash(nodes: &[usize], restart_after: Duration) -> Fault {
        Fault::CrashProcesses { nodes: nodes.to_vec(), restart_after: vec![restart_after; nodes.len()] }
    }

    /// Creates a power loss of machines that restart after a delay. The wiped ones also lose their disks.
    pub fn power_loss(nodes: &[usize], wiped: &[usize], restart_after: Duration) -> Fault {
        Fault::LosePower {
            nodes: nodes.to_vec(),
            wiped: wiped.iter().copied().collect(),
            restart_after: vec![restart_after; nodes.len()],
        }
    }

    /// Whether the fault permanently destroys a disk.
    pub fn destroys_disk(&self) -> bool {
        match self {
            Fault::LosePower { wiped, .. } => !wiped.is_empty(),
            Fault::RemoveMachine { .. } | Fault::LeaveGracefully { restart_after: None, .. } => true,
            _ => false,
        }
    }
}

/// A fault that affects a history chunk in transit, its sender or its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFault {
    Lost,
    SenderCrashes,
    ReceiverCrashes,
    BothLosePower,
    ReceiverLosesDisk,
}

/// The trigger of a fault.
#[derive(Clone, Debug)]
pub enum FaultTrigger {
    /// A delay after the start of the schedule.
    At(Duration),
    /// A delay after the next acknowledgement.
    AfterAcknowledgement(Duration),
    /// A delay after the next proposal of a view.
    AfterProposal(Duration),
    /// A delay after the next time a process enters a view.
    AfterViewChange(Duration),
}

/// A fault that is injected after a delay, once it is triggered.
pub struct DelayedFault {
    /// The delay between the trigger and the fault.
    pub after: Duration,
    pub fault: Fault,
}

/// The faults that wait for a trigger.
#[derive(Default)]
pub struct TriggeredFaults {
    /// Faults that are all triggered by the next acknowledgement.
    pub after_acknowledgement: Vec<DelayedFault>,
    /// Faults of which each proposal triggers the last one.
    pub after_proposal: Vec<DelayedFault>,
    /// Faults of which each entry into a view triggers the last one.
    pub after_view_change: Vec<DelayedFault>,
}

impl TriggeredFaults {
    /// Drops the faults that were not triggered.
    pub fn clear(&mut self) {
        self.after_acknowledgement.clear();
        self.after_proposal.clear();
        self.after_view_change.clear();
    }
}

/// A fault with its trigger.
#[derive(Debug)]
pub struct ScheduledFault {
    pub trigger: FaultTrigger,
    pub fault: Fault,
}

impl ScheduledFault {
    /// Creates a fault that happens at a time after the start of the schedule.
    pub fn at(at: Duration, fault: Fault) -> ScheduledFault {
        ScheduledFault { trigger: FaultTrigger::At(at), fault }
    }
}

/// The faults of a round.
#[derive(Debug, Default)]
pub struct FaultSchedule {
    pub faults: Vec<ScheduledFault>,
    /// The machines that stay faulty while the cluster counts as stable.
    pub faulty_minority: BTreeSet<usize>,
}

/// The limits on a generated schedule.
pub struct FaultLimits<'a> {
    /// The machines that were not removed.
    pub present: &'a [usize],
    /// The number of disks that may be lost.
    pub max_lost_disks: usize,
    /// The maximum factor by which a disk may be slowed down.
    pub max_disk_slowdown: u32,
}
