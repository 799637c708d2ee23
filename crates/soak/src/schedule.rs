//! The troubles of a seed.

use lugwharf_emulator::cluster::Placement;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// No trouble begins before: the fleet serves by then.
const EARLIEST_START: Duration = Duration::from_millis(500);
/// The shortest trouble that lasts.
const MIN_DURATION_MS: u64 = 300;
/// The longest, in ms: longer than leases, heartbeats and patience of any process.
const MAX_DURATION_MS: u64 = 4_500;
/// `DrainMs` of the fleet's settings, and some.
const DRAIN: Duration = Duration::from_millis(3_500);
/// A disk is lost at most once in a run: with a tolerance of one the second one would need the time to catch up in between.
const MAX_DISK_LOSSES: usize = 1;

macro_rules! kinds {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// What goes wrong.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[doc = $help])+ $variant,)+
        }

        impl FaultKind {
            /// All kinds.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$variant,)+];

            /// The name in schedules and summaries.
            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$variant => $name,)+
                }
            }
        }
    };
}

kinds! {
    /// A control process is killed and starts again.
    ControlKill => "control_kill",
    /// A control process is told to end and starts again.
    ControlTerm => "control_term",
    /// A control process stands still.
    ControlFreeze => "control_freeze",
    /// A control process is killed, loses its disk and starts again.
    ControlWipe => "control_wipe",
    /// All control processes are killed at once and start again.
    ControlHerd => "control_herd",
    /// A control machine is replaced by an empty one at another address.
    ControlReplace => "control_replace",
    /// Nothing comes through between two control machines.
    PairSilent => "pair_silent",
    /// Connections between two control machines are reset.
    PairReset => "pair_reset",
    /// Nothing comes through from one control machine to another one, though it does the other way.
    PairOneWay => "pair_one_way",
    /// Links between two control machines are slow.
    PairSlow => "pair_slow",
    /// The control machines are cut into two halves; all others reach both.
    Halves => "halves",
    /// A control machine hears the others and is heard by none of them.
    Mute => "mute",
    /// Nothing comes through between the agent of a front and one control machine.
    AgentSilent => "agent_silent",
    /// The agent of a front hears no control machine, though they hear it.
    AgentDeaf => "agent_deaf",
    /// Connections between the agent of a front and all control machines are reset.
    AgentReset => "agent_reset",
    /// A proxy is killed and starts again.
    ProxyKill => "proxy_kill",
    /// An agent is killed and starts again.
    AgentKill => "agent_kill",
    /// Both processes of a front are told to end and start again.
    FrontTerm => "front_term",
    /// Both processes of a front stand still.
    FrontFreeze => "front_freeze",
    /// A control process can open no more descriptors.
    ControlDescriptors => "control_descriptors",
    /// A proxy can open no more descriptors.
    ProxyDescriptors => "proxy_descriptors",
    /// An agent can open no more descriptors.
    AgentDescriptors => "agent_descriptors",
    /// More connections are opened to a front than it takes, and rest.
    Crowd => "crowd",
    /// All processes read their settings again.
    Reload => "reload",
    /// The platform does not answer.
    PlatformDark => "platform_dark",
    /// The platform resets connections.
    PlatformReset => "platform_reset",
    /// A server crashes; another one takes its address.
    ServerCrash => "server_crash",
    /// A server is listed as draining, then leaves the list and ends; another one takes its address.
    ServerDrain => "server_drain",
    /// A server does not answer.
    ServerDark => "server_dark",
    /// Runs at a server end with its own failure.
    ServerFailing => "server_failing",
    /// Servers run requests and their answers are lost.
    AnswersLost => "answers_lost",
    /// Servers answer with bytes that are no answer.
    AnswersGarbled => "answers_garbled",
    /// Servers answer twice, or with another id.
    AnswersSurplus => "answers_surplus",
    /// Streams are broken off in the middle of an event.
    StreamsCut => "streams_cut",
    /// Servers forget kept connections without a word; what is sent on one next is reset.
    IdleRace => "idle_race",
    /// Two operators send different changes on one version.
    ConfigRace => "config_race",
    /// Configurations come in quick succession.
    ConfigBurst => "config_burst",
}

impl FaultKind {
    /// Whether requests of clients may fail by it.
    pub fn disrupts_requests(self) -> bool {
        self.disrupts_fronts() || self.disrupts_servers()
    }

    /// Whether a run without a cause for failing requests may fail them on a busy machine: the proxy waits 2 ms for the reset of
    /// a connection that was forgotten, and the rig's servers need a turn of the processor to send it.
    pub fn needs_idle_machine(self) -> bool {
        self == FaultKind::IdleRace
    }

    /// The kinds that are drawn where none are named.
    pub fn default_kinds() -> Vec<FaultKind> {
        FaultKind::ALL.iter().copied().filter(|kind| !kind.needs_idle_machine()).collect()
    }

    /// Whether a front or its feed stops.
    pub fn disrupts_fronts(self) -> bool {
        matches!(
            self,
            FaultKind::ProxyKill
                | FaultKind::FrontTerm
                | FaultKind::FrontFreeze
                | FaultKind::ProxyDescriptors
                | FaultKind::Crowd
        )
    }

    /// Whether the list of servers may reach the fronts late.
    pub fn delays_server_lists(self) -> bool {
        let harmless = matches!(
            self,
            FaultKind::Reload
                | FaultKind::ConfigRace
                | FaultKind::ConfigBurst
                | FaultKind::Crowd
                | FaultKind::IdleRace
        );
        !harmless && !self.disrupts_servers()
    }

    /// Whether the control machines or the links between them are in trouble.
    pub fn disrupts_control(self) -> bool {
        matches!(
            self,
            FaultKind::ControlKill
                | FaultKind::ControlTerm
                | FaultKind::ControlFreeze
                | FaultKind::ControlWipe
                | FaultKind::ControlHerd
                | FaultKind::ControlReplace
                | FaultKind::ControlDescriptors
                | FaultKind::PairSilent
                | FaultKind::PairReset
                | FaultKind::PairOneWay
                | FaultKind::PairSlow
                | FaultKind::Halves
                | FaultKind::Mute
        )
    }

    /// Whether servers fail requests.
    pub fn disrupts_servers(self) -> bool {
        matches!(
            self,
            FaultKind::ServerCrash
                | FaultKind::ServerDrain
                | FaultKind::ServerDark
                | FaultKind::ServerFailing
                | FaultKind::AnswersLost
                | FaultKind::AnswersGarbled
                | FaultKind::AnswersSurplus
                | FaultKind::StreamsCut
        )
    }
}

/// How many troubles go on at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overlap(pub usize);

/// One trouble.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When, since the fleet serves.
    pub start: Duration,
    /// For how long, where it lasts; else the time before what was ended starts again.
    pub duration: Duration,
    /// Which machine or server, to be taken modulo how many there are.
    pub target: usize,
    /// Which other one.
    pub peer: usize,
}

impl ScheduledFault {
    /// When it is over.
    pub fn end(&self) -> Duration {
        self.start + self.duration
    }
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ScheduledFault { kind, start, duration, target, peer } = self;
        write!(f, "{} {} {} {target} {peer}", kind.name(), start.as_millis(), duration.as_millis())
    }
}

impl FromStr for ScheduledFault {
    type Err = String;

    fn from_str(line: &str) -> Result<ScheduledFault, String> {
        let wrong = || format!("no trouble: {line:?}");
        let mut words = line.split_whitespace();
        let name = words.next().ok_or_else(wrong)?;
        let kind = *FaultKind::ALL.iter().find(|kind| kind.name() == name).ok_or_else(wrong)?;
        let mut number = || words.next().and_then(|word| word.parse::<u64>().ok()).ok_or_else(wrong);
        Ok(ScheduledFault {
            kind,
            start: Duration::from_millis(number()?),
            duration: Duration::from_millis(number()?),
            target: number()? as usize,
            peer: number()? as usize,
        })
    }
}

/// What one run consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// All else is drawn from it.
    pub seed: u64,
    /// Control machines of the first start: 3, or 5 to bear the loss of two.
    pub controls: usize,
    /// Fronts.
    pub fronts: usize,
    /// Where control runs.
    pub placement: Placement,
    /// Troubles at a time.
    pub overlap: Overlap,
    /// For how long troubles go on.
    pub fault_phase: Duration,
    /// Whether processes are ended and frozen while everything starts for the first time.
    pub has_startup_faults: bool,
}

impl Scenario {
    /// The run of a seed.
    pub fn of(seed: u64, overlap: Overlap, fault_phase: Duration) -> Scenario {
        let controls = if seed % 4 == 3 { 5 } else { 3 };
        let placement = Placement::Core;
        Scenario { seed, controls, fronts: 2, placement, overlap, fault_phase, has_startup_faults: false }
    }

    /// The run of a seed in a fleet whose fronts host control, with one more front that does not.
    pub fn without_core(seed: u64, overlap: Overlap, fault_phase: Duration) -> Scenario {
        let scenario = Scenario::of(seed, overlap, fault_phase);
        Scenario { fronts: scenario.controls + 1, placement: Placement::Fronts, ..scenario }
    }

    /// Whether the rig can bring such a trouble about here. A machine that hosts control is a front as well, whose clients
    /// would have to follow it to another address.
    fn allows(&self, kind: FaultKind) -> bool {
        self.placement == Placement::Core || kind != FaultKind::ControlReplace
    }
}

/// All troubles of a run, by the time at which they begin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The troubles.
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Draws troubles of the usual kinds.
    pub fn draw(scenario: &Scenario) -> Schedule {
        Schedule::draw_from_kinds(scenario, &FaultKind::default_kinds())
    }

    /// Draws troubles of these kinds: as many strands as may overlap, each with one trouble after the other.
    pub fn draw_from_kinds(scenario: &Scenario, kinds: &[FaultKind]) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(scenario.seed ^ 0x50a4);
        let kinds: Vec<FaultKind> = kinds.iter().copied().filter(|kind| scenario.allows(*kind)).collect();
        let mut faults = Vec::new();
        for _ in 0..scenario.overlap.0 {
            let mut start = EARLIEST_START + Duration::from_millis(rng.u64(0..1_500));
            while start < scenario.fault_phase {
                let fault = draw_fault(&mut rng, &kinds, start, &faults);
                // The next one often begins while this one is being repaired.
                start = fault.end() + Duration::from_millis(rng.u64(0..1_200));
                faults.push(fault);
            }
        }
        faults.sort_by_key(|fault| fault.start);
        Schedule { faults }
    }

    /// When the last trouble is over.
    pub fn end(&self) -> Duration {
        self.faults.iter().map(ScheduledFault::end).max().unwrap_or_default()
    }

    /// Whether there is any trouble of such a kind.
    pub fn has(&self, fits: impl Fn(FaultKind) -> bool) -> bool {
        self.faults.iter().any(|fault| fits(fault.kind))
    }

    /// Reads the lines that [`Schedule`] is shown as.
    pub fn parse(text: &str) -> Result<Schedule, String> {
        let lines = text.lines().filter(|line| !line.trim().is_empty());
        let faults = lines.map(str::parse).collect::<Result<Vec<ScheduledFault>, String>>()?;
        Ok(Schedule { faults })
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.faults.iter().try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

fn draw_fault(
    rng: &mut fastrand::Rng, kinds: &[FaultKind], start: Duration, before: &[ScheduledFault],
) -> ScheduledFault {
    let loses_disk = |kind: FaultKind| matches!(kind, FaultKind::ControlWipe | FaultKind::ControlReplace);
    let wipes = before.iter().filter(|fault| loses_disk(fault.kind)).count();
    let allowed: Vec<FaultKind> =
        kinds.iter().copied().filter(|kind| !loses_disk(*kind) || wipes < MAX_DISK_LOSSES).collect();
    // Where only losses of disks were asked for, and there was one, anything else does.
    let kind = rng.choice(&allowed).copied().unwrap_or(FaultKind::Reload);
    let duration = Duration::from_millis(match rng.u32(..3) {
        0 => rng.u64(MIN_DURATION_MS..800),
        1 => rng.u64(800..2_000),
        _ => rng.u64(2_000..MAX_DURATION_MS),
    });
    // A server that drains is left standing for longer than the fronts may send to it.
    let duration = if kind == FaultKind::ServerDrain { duration + DRAIN } else { duration };
    ScheduledFault { kind, start, duration, target: rng.usize(..64), peer: rng.usize(..64) }
}
