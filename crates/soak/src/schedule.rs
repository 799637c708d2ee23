//! Scenarios, and the schedules of faults drawn for them.
//!
//! A schedule is a function of its scenario. The number and order of random draws are fixed, so that a seed
//! always yields the same schedule; `schedule_tests` contains digests of schedules.

use crate::fault::{FaultKind, ParseFaultError, ScheduledFault};
use lugwharf_emulator::cluster::ControlPlacement;
use std::fmt;
use std::time::Duration;

/// The earliest start of a fault, after the fleet came into service.
const EARLIEST_START: Duration = Duration::from_millis(500);
/// The range that the start of the first fault of each sequence is drawn from, in ms after
/// [`EARLIEST_START`].
const START_JITTER_MS: std::ops::Range<u64> = 0..1_500;
/// The range that the pause between two faults of a sequence is drawn from, in ms. The pauses are short, so
/// that the next fault often starts while the fleet still recovers from the previous one.
const PAUSE_MS: std::ops::Range<u64> = 0..1_200;
/// The shortest duration of a fault, in ms.
const MIN_DURATION_MS: u64 = 300;
/// The upper bound of the drawn duration of a fault, in ms, not included. A drain lasts [`DRAIN_DURATION`]
/// longer. The bound exceeds the heartbeat intervals of all processes, and `LeaseMs` (3,000), `ContactMs`
/// (3,000), `CatchUpS` (4 s) and `AckMs` (4,000) of the fleet's settings.
const MAX_DURATION_MS: u64 = 4_500;
/// How long a draining server continues to run: `DrainMs` of the fleet's settings (3,000 ms) and a margin of
/// 500 ms. Front-end nodes must stop sending to it earlier.
const DRAIN_DURATION: Duration = Duration::from_millis(3_500);
/// The maximum number of disk losses in a run. With a fault tolerance of one, a second loss is tolerated only
/// after a replica has caught up with the history again.
const MAX_DISK_LOSSES: usize = 1;
/// The number of values that the target and the peer of a fault are drawn from. Both are later taken modulo
/// the number of machines or servers.
const SELECTOR_COUNT: usize = 64;

/// The maximum number of faults that are active at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap(pub usize);

/// The fleet of a run, and the conditions of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// The seed of all random draws of the run.
    pub seed: u64,
    /// The initial number of control nodes: 3, or 5 to tolerate the loss of two.
    pub control_count: usize,
    /// The number of front-end nodes.
    pub front_count: usize,
    /// The machines that run the control processes.
    pub placement: ControlPlacement,
    /// The maximum number of faults that are active at the same time.
    pub overlap: Overlap,
    /// How long faults are injected.
    pub fault_phase: Duration,
    /// Whether processes are killed and paused while the fleet starts for the first time.
    pub has_startup_faults: bool,
}

impl Scenario {
    /// The scenario of a seed with dedicated control nodes. Every fourth seed has five control nodes, the
    /// others three.
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

    /// The scenario of a seed whose front-end nodes host control, with one additional front-end node that
    /// does not.
    pub fn without_core(seed: u64, overlap: Overlap, fault_phase: Duration) -> Scenario {
        let scenario = Scenario::with_core(seed, overlap, fault_phase);
        Scenario {
            front_count: scenario.control_count + 1,
            placement: ControlPlacement::FrontEndNodes,
            ..scenario
        }
    }

    /// Whether the harness can inject faults of this kind in the scenario. Replacing a node that hosts
    /// control would move a front-end node to another address, which the clients of the harness do not
    /// support.
    fn supports(&self, kind: FaultKind) -> bool {
        self.placement == ControlPlacement::Dedicated || kind != FaultKind::ControlReplace
    }
}

/// All faults of a run, ordered by start time. The text form has one line per fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The faults.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws a schedule of faults of the default kinds.
    pub fn draw(scenario: &Scenario) -> Schedule {
        Schedule::draw_from_kinds(scenario, &FaultKind::default_kinds())
    }

    /// Draws a schedule of faults of the given kinds. It consists of `scenario.overlap` sequences; the faults
    /// of each sequence do not overlap.
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

    /// The same schedule with `offset` added to all start times.
    pub fn shifted_by(&self, offset: Duration) -> Schedule {
        let mut shifted = self.clone();
        shifted.faults.iter_mut().for_each(|fault| fault.start += offset);
        shifted
    }

    /// Parses the text form. Empty lines are ignored.
    ///
    /// # Errors
    /// A line is not a valid fault. The error quotes the first such line.
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
    // No kind is left if only kinds that lose a disk were selected and a disk has been lost. A reload of the
    // settings disrupts nothing.
    let kind = rng.choice(&allowed).copied().unwrap_or(FaultKind::Reload);
    // Short, medium and long faults are equally likely.
    let duration = Duration::from_millis(match rng.u32(..3) {
        0 => rng.u64(MIN_DURATION_MS..800),
        1 => rng.u64(800..2_000),
        _ => rng.u64(2_000..MAX_DURATION_MS),
    });
    let duration = if kind == FaultKind::ServerDrain { duration + DRAIN_DURATION } else { duration };
    ScheduledFault {
        kind,
        start,
        duration,
        target: rng.usize(..SELECTOR_COUNT),
        peer: rng.usize(..SELECTOR_COUNT),
    }
}
