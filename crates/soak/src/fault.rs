//! The faults that a schedule is made of: their kinds, what each kind may disrupt, and one scheduled instance.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

macro_rules! fault_kinds {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// A kind of fault that the harness can inject.
        ///
        /// Names are fixed: schedules on disk and `--only` use them. Variants are their names in camel case. Their order
        /// is fixed as well: the draws of a schedule index into it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[doc = $help])+ $variant,)+
        }

        impl FaultKind {
            /// All kinds, in the order in which schedules draw them.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$variant,)+];

            /// The name in schedules, summaries and `--only`.
            pub fn name(self) -> &'static str {
                match self {
                    $(FaultKind::$variant => $name,)+
                }
            }
        }
    };
}

fault_kinds! {
    /// A control process is killed (SIGKILL) and restarted.
    ControlKill => "control_kill",
    /// A control process is terminated (SIGTERM) and restarted.
    ControlTerm => "control_term",
    /// A control process is paused (SIGSTOP).
    ControlFreeze => "control_freeze",
    /// A control process is killed, loses its disk and is restarted.
    ControlWipe => "control_wipe",
    /// All control processes are killed at once and restarted.
    ControlHerd => "control_herd",
    /// A control node is replaced by an empty one at another address.
    ControlReplace => "control_replace",
    /// The links between two control nodes drop all bytes, in both directions.
    PairSilent => "pair_silent",
    /// Connections between two control nodes are reset.
    PairReset => "pair_reset",
    /// The link from one control node to another drops all bytes; the opposite direction works.
    PairOneWay => "pair_one_way",
    /// The links between two control nodes have added latency.
    PairSlow => "pair_slow",
    /// The control nodes are partitioned into two groups; all other machines reach both.
    Halves => "halves",
    /// A control node receives from its peers, and none of them receives from it.
    Mute => "mute",
    /// The links between an agent and one control node drop all bytes.
    AgentSilent => "agent_silent",
    /// An agent receives from no control node, though all of them receive from it.
    AgentDeaf => "agent_deaf",
    /// Connections between an agent and all control nodes are reset.
    AgentReset => "agent_reset",
    /// A proxy is killed (SIGKILL) and restarted.
    ProxyKill => "proxy_kill",
    /// An agent is killed (SIGKILL) and restarted.
    AgentKill => "agent_kill",
    /// Both processes of a front-end node are terminated (SIGTERM) and restarted.
    FrontTerm => "front_term",
    /// Both processes of a front-end node are paused (SIGSTOP).
    FrontFreeze => "front_freeze",
    /// A control process runs out of file descriptors.
    ControlDescriptors => "control_descriptors",
    /// A proxy runs out of file descriptors.
    ProxyDescriptors => "proxy_descriptors",
    /// An agent runs out of file descriptors.
    AgentDescriptors => "agent_descriptors",
    /// More idle connections are opened to a proxy than it accepts.
    Crowd => "crowd",
    /// All processes reload their settings (SIGHUP).
    Reload => "reload",
    /// The platform does not respond.
    PlatformDark => "platform_dark",
    /// The platform resets connections.
    PlatformReset => "platform_reset",
    /// A server crashes; its successor takes its address.
    ServerCrash => "server_crash",
    /// A server is listed as draining, then leaves the list and ends; its successor takes its address.
    ServerDrain => "server_drain",
    /// A server does not respond.
    ServerDark => "server_dark",
    /// Executions at a server end with a failure of its own.
    ServerFailing => "server_failing",
    /// Servers execute requests and their responses are lost.
    AnswersLost => "answers_lost",
    /// Servers respond with bytes that are no response.
    AnswersGarbled => "answers_garbled",
    /// Servers respond twice, or with the id of another request.
    AnswersSurplus => "answers_surplus",
    /// Streams are cut in the middle of an event.
    StreamsCut => "streams_cut",
    /// Servers drop idle connections without closing them; the next request on one is reset.
    IdleRace => "idle_race",
    /// Two operators write different configurations on one base version.
    ConfigRace => "config_race",
    /// Operators write configurations in quick succession.
    ConfigBurst => "config_burst",
    /// A stranger orders a model server to change its stage, under a fencing token above all others.
    HigherToken => "higher_token",
    /// The disk of a control process rejects every write, as a full one does.
    ControlDiskFull => "control_disk_full",
    /// The processes of a control node and of a front-end node stand still for most of each tenth of a second, as under a quota
    /// of processor time.
    ProcessorQuota => "processor_quota",
}

impl FaultKind {
    /// The kinds that are drawn unless others are named.
    pub fn default_kinds() -> Vec<FaultKind> {
        FaultKind::ALL.iter().copied().filter(|kind| !kind.needs_idle_machine()).collect()
    }

    /// Whether the fault may fail requests that it should not on a busy machine. The proxy waits 2 ms for the reset of a
    /// dropped idle connection, and the emulated servers need a turn of the processor to send it.
    pub fn needs_idle_machine(self) -> bool {
        self == FaultKind::IdleRace
    }

    /// Whether client requests may fail because of it.
    pub fn disrupts_requests(self) -> bool {
        self.disrupts_fronts() || self.disrupts_servers()
    }

    /// Whether the proxy of a front-end node stops or rejects connections.
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
                | FaultKind::HigherToken
        )
    }

    /// Whether the agent of a front-end node fails, or its links to control. Where agents host control, this hits the control
    /// process of that node.
    pub fn disrupts_agents(self) -> bool {
        matches!(
            self,
            FaultKind::AgentSilent
                | FaultKind::AgentDeaf
                | FaultKind::AgentReset
                | FaultKind::AgentKill
                | FaultKind::AgentDescriptors
                | FaultKind::FrontTerm
                | FaultKind::FrontFreeze
        )
    }

    /// Whether control processes or the links between them fail, whichever machines they run on.
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
                | FaultKind::ControlDiskFull
                | FaultKind::PairSilent
                | FaultKind::PairReset
                | FaultKind::PairOneWay
                | FaultKind::PairSlow
                | FaultKind::Halves
                | FaultKind::Mute
        )
    }

    /// Whether updates of the server list may reach the front-end nodes late.
    pub fn delays_server_lists(self) -> bool {
        let has_no_effect = matches!(
            self,
            FaultKind::Reload
                | FaultKind::ConfigRace
                | FaultKind::ConfigBurst
                | FaultKind::Crowd
                | FaultKind::IdleRace
                | FaultKind::ProcessorQuota
        );
        !has_no_effect && !self.disrupts_servers()
    }

    /// Whether a control node loses its disk.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::ControlWipe | FaultKind::ControlReplace)
    }
}

/// One fault of a schedule. Its text form is `KIND START_MS DURATION_MS TARGET PEER`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// What is injected.
    pub kind: FaultKind,
    /// When it is injected, since the fleet serves.
    pub start: Duration,
    /// The time from injection to recovery. For a process that is killed, the time before it is restarted.
    pub duration: Duration,
    /// Selects the machine or server, modulo how many there are at the injection.
    pub target: usize,
    /// Selects the second machine of a fault between two, modulo how many others there are.
    pub peer: usize,
}

impl ScheduledFault {
    /// When recovery starts.
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

/// A line that is no scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFaultError {
    line: String,
}

impl fmt::Display for ParseFaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no trouble: {:?}", self.line)
    }
}

impl std::error::Error for ParseFaultError {}

impl FromStr for ScheduledFault {
    type Err = ParseFaultError;

    fn from_str(line: &str) -> Result<ScheduledFault, ParseFaultError> {
        let invalid = || ParseFaultError { line: line.to_owned() };
        let mut words = line.split_whitespace();
        let name = words.next().ok_or_else(invalid)?;
        let kind = *FaultKind::ALL.iter().find(|kind| kind.name() == name).ok_or_else(invalid)?;
        let mut number = || words.next().and_then(|word| word.parse::<u64>().ok()).ok_or_else(invalid);
        Ok(ScheduledFault {
            kind,
            start: Duration::from_millis(number()?),
            duration: Duration::from_millis(number()?),
            target: number()? as usize,
            peer: number()? as usize,
        })
    }
}
