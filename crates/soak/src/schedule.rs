//! Scenarios, and the schedule of faults that a seed draws for one.
//!
//! A schedule is a function of its scenario. The number and order of draws are fixed, so that a seed always names the same
//! schedule; `schedule_tests` has the digests.

use crate::fault::{FaultKind, ParseFaultError, ScheduledFault};
use lugwharf_emulator::cluster::ControlPlacement;
use std::fmt;
use std::time::Duration;

/// No fault starts earlier after the fleet serves.
const EARLIEST_START: Duration = Duration::from_millis(500);
/// The range from which the first start of each strand is drawn, in ms after [`EARLIEST_START`].
const START_JITTER_MS: std::ops::Range<u64> = 0..1_500;
/// The range from which the pause between two faults of one strand is drawn, in ms. It is short: the next fault often
/// starts while the fleet recovers from the last one.
const PAUSE_MS: std::ops::Range<u64> = 0..1_200;
/// The shortest duration, in ms.
const MIN_DURATION_MS: u64 = 300;
/// The longest duration, in ms: longer than leases, heartbeats and timeouts of any process.
const MAX_DURATION_MS: u64 = 4_500;
/// A draining server runs on for `DrainMs` of the fleet's settings (3,000 ms) and a margin of 500 ms, which is longer than
/// the front-end nodes may send to it.
const DRAIN_DURATION: Duration = Duration::from_millis(3_500);
/// At most one disk is lost in a run: with a fault tolerance of one, a second loss would need time to catch up in between.
const MAX_DISK_LOSSES: usize = 1;
/// Targets and peers are drawn below this and taken modulo the number of machines.
const SELECTORS: usize = 64;

/// The number of faults that may be active at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap(pub usize);

/// The fleet of one run and the conditions under which it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// The seed of all random draws of the run.
    pub seed: u64,
    /// Control nodes at the start: 3, or 5 to tolerate the loss of two.
    pub control_count: usize,
    /// Front-end nodes.
    pub front_count: usize,
    /// Which machines run control.
    pub placement: ControlPlacement,
    /// Faults at a time.
    pub overlap: Overlap,
    /// For how long faults are injected.
    pub fault_phase: Duration,
    /// Whether processes are killed and paused while the fleet starts for the first time.
    pub has_startup_faults: bool,
}

impl Scenario {
    /// The scenario of a seed whose control nodes are machines of their own; every fourth seed has five of them.
    pub fn with_core(seed: u64, overlap: Overlap, fault_phase: Duration) -> Scenario {
        Scenario {
            seed,
            control_count: if seed % 4 == 3 { 5 } else { 3 },
            front_count: 2,
            placement: ControlPlacement::Dedicated,
            overlap,
            fault_phase,
            has_startup_faults: false,
        }
    }

    /// The scenario of a seed whose front-end nodes host control, with one more front-end node that does not.
    pub fn without_core(seed: u64, overlap: Overlap, fault_phase: Duration) -> Scenario {
        let scenario = Scenario::with_core(seed, overlap, fault_phase);
        Scenario {
            front_count: scenario.control_count + 1,
            placement: ControlPlacement::FrontEndNodes,
            ..scenario
        }
    }

    /// Whether the harness can inject such a fault here. A replacement of a node that hosts control would move a front-end
    /// node to another address, which the clients of the harness do not follow.
    fn supports(&self, kind: FaultKind) -> bool {
        self.placement == ControlPlacement::Dedicated || kind != FaultKind::ControlReplace
    }
}

/// All faults of a run, by start. Its text form has one line per fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws faults of the default kinds.
    pub fn draw(scenario: &Scenario) -> Schedule {
        Schedule::draw_from_kinds(scenario, &FaultKind::default_kinds())
    }

    /// Draws faults of these kinds: as many strands as may overlap, each with one fault after the other.
    pub fn draw_from_kinds(scenario: &Scenario, kinds: &[FaultKind]) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0x50a4);
        let kinds: Vec<FaultKind> = kinds.iter().copied().filter(|kind| scenario.supports(*kind)).collect();
        let mut faults = Vec::new();
        for _ in 0..scenario.overlap.0 {
            let mut start = EARLIEST_START + Duration::from_millis(rng.u64(START_JITTER_MS));
            while start < scenario.fault_phase {
                let fault = draw_fault(&mut rng, &kinds, start, &faults);
                start = fault.end() + Duration::from_millis(rng.u64(PAUSE_MS));
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.start);
        Schedule { faults }
    }

    /// This schedule with all starts later by `offset`.
    pub fn shifted_by(&self, offset: Duration) -> Schedule {
        let mut shifted = self.clone();
        shifted.faults.iter_mut().for_each(|fault| fault.start += offset);
        shifted
    }

    /// Reads the text form. Empty lines are ignored.
    ///
    /// # Errors
    /// The first line that is no fault.
    pub fn parse(text: &str) -> Result<Schedule, ParseFaultError> {
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let faults = lines.map(str::parse).collect::<Result<Vec<ScheduledFault>, ParseFaultError>>()?;
        Ok(Schedule { faults })
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

fn draw_fault(
    rng: &mut fastrand::Rng, kinds: &[FaultKind], start: Duration, drawn: &[ScheduledFault],
) -> ScheduledFault {
    let disk_losses = drawn.iter().filter(|fault| fault.kind.loses_disk()).count();
    let allowed: Vec<FaultKind> =
        kinds.iter().copied().filter(|kind| !kind.loses_disk() || disk_losses < MAX_DISK_LOSSES).collect();
    // Nothing is allowed where only losses of disks were asked for and there was one. A reload does no harm.
    let kind = rng.choice(&allowed).copied().unwrap_or(FaultKind::Reload);
    let duration = Duration::from_millis(match rng.u32(..3) {
        0 => rng.u64(MIN_DURATION_MS..800),
        1 => rng.u64(800..2_000),
        _ => rng.u64(2_000..MAX_DURATION_MS),
    });
    let duration = if kind == FaultKind::ServerDrain { duration + DRAIN_DURATION } else { duration };
    ScheduledFault { kind, start, duration, target: rng.usize(..SELECTORS), peer: rng.usize(..SELECTORS) }
}
