//! The faults of a schedule: the kinds of faults, what each kind may disrupt, and scheduled instances of
//! them.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

macro_rules! fault_kinds {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// A kind of fault that the harness can inject.
        ///
        /// Names are fixed, since schedules on disk and `--only` use them. The order of the variants is fixed
        /// as well, since the draws of a schedule index into it.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $($(#[doc = $help])+ $variant,)+
        }

        impl FaultKind {
            /// All kinds, in the order that the draws of a schedule index into.
            pub const ALL: &'static [FaultKind] = &[$(FaultKind::$variant,)+];

            /// The name of the kind in schedules, summaries and `--only`.
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
    ControlPause => "control_freeze",
    /// A control process is killed (SIGKILL), loses its disk and is restarted.
    ControlDiskLoss => "control_wipe",
    /// All control processes are killed (SIGKILL) at the same time and restarted.
    AllControlKill => "control_herd",
    /// A control node is replaced by an empty one at another address.
    ControlReplace => "control_replace",
    /// The links between two control nodes drop all bytes, in both directions.
    PairBlackhole => "pair_silent",
    /// Connections between two control nodes are reset.
    PairReset => "pair_reset",
    /// The link from one control node to another drops all bytes. The opposite direction works.
    PairOneWayBlackhole => "pair_one_way",
    /// The links between two control nodes have added latency.
    PairLatency => "pair_slow",
    /// The control nodes are partitioned into two groups. All other machines reach both groups.
    ControlPartition => "halves",
    /// All links from one control node to the others drop all bytes. The opposite directions work.
    ControlOutboundBlackhole => "mute",
    /// The links between an agent and one control node drop all bytes.
    AgentLinkBlackhole => "agent_silent",
    /// The links from all control nodes to an agent drop all bytes. The opposite directions work.
    AgentInboundBlackhole => "agent_deaf",
    /// Connections between an agent and all control nodes are reset.
    AgentReset => "agent_reset",
    /// A proxy is killed (SIGKILL) and restarted.
    ProxyKill => "proxy_kill",
    /// An agent is killed (SIGKILL) and restarted.
    AgentKill => "agent_kill",
    /// Both processes of a front-end node are terminated (SIGTERM) and restarted.
    FrontTerm => "front_term",
    /// Both processes of a front-end node are paused (SIGSTOP).
    FrontPause => "front_freeze",
    /// A control process runs out of file descriptors.
    ControlDescriptorExhaustion => "control_descriptors",
    /// A proxy runs out of file descriptors.
    ProxyDescriptorExhaustion => "proxy_descriptors",
    /// An agent runs out of file descriptors.
    AgentDescriptorExhaustion => "agent_descriptors",
    /// More idle connections are opened to a proxy than it accepts.
    ConnectionFlood => "crowd",
    /// All processes reload their settings (SIGHUP).
    Reload => "reload",
    /// The platform does not respond.
    PlatformBlackhole => "platform_dark",
    /// The platform resets connections.
    PlatformReset => "platform_reset",
    /// A server crashes. A new instance starts at its address.
    ServerCrash => "server_crash",
    /// A server is listed as draining, then removed from the list and stopped. A new instance starts at its
    /// address.
    ServerDrain => "server_drain",
    /// A server does not respond.
    ServerBlackhole => "server_dark",
    /// A server fails all requests that it executes.
    ServerFailing => "server_failing",
    /// Servers execute requests, and the responses are lost.
    ResponsesLost => "answers_lost",
    /// Servers respond with bytes that are not a valid response.
    ResponsesMalformed => "answers_garbled",
    /// Servers respond twice, or with the id of another request.
    ResponsesUnmatched => "answers_surplus",
    /// Streams are truncated in the middle of an event.
    StreamsTruncated => "streams_cut",
    /// Servers drop idle connections without closing them. The next request on such a connection is reset.
    IdleConnectionRace => "idle_race",
    /// Two operators concurrently write different configurations on the same base version.
    ConcurrentConfigWrites => "config_race",
    /// Operators write configurations in quick succession.
    ConfigWriteBurst => "config_burst",
    /// A sender outside the fleet orders a model server to change its stage, under a fencing token above all
    /// others.
    HigherFencingToken => "higher_token",
    /// The disk of a control process is full: every write fails.
    ControlDiskFull => "control_disk_full",
    /// The processes of a control node and of a front-end node are stopped for 60 ms of each 100 ms, as under
    /// a CPU quota.
    ProcessorQuota => "processor_quota",
    /// The settings files of all processes are replaced, with the seeds in another order, without a signal.
    /// Opt-in, so that the schedules of earlier seeds stay as they are.
    SettingsChange => "settings_changed",
}

impl FaultKind {
    /// The kinds that schedules are drawn from by default.
    pub fn default_kinds() -> Vec<FaultKind> {
        let is_default = |kind: &FaultKind| !kind.needs_idle_machine() && *kind != FaultKind::SettingsChange;
        FaultKind::ALL.iter().copied().filter(is_default).collect()
    }

    /// The kinds of planned work: restarts, new settings and new configurations. None of them excuses a request
    /// that is lost.
    pub fn planned_kinds() -> Vec<FaultKind> {
        vec![
            FaultKind::FrontTerm,
            FaultKind::ControlTerm,
            FaultKind::AgentKill,
            FaultKind::Reload,
            FaultKind::SettingsChange,
            FaultKind::ConcurrentConfigWrites,
            FaultKind::ConfigWriteBurst,
        ]
    }

    /// Whether the fault may cause requests to fail on a busy machine that would succeed on an idle one. The
    /// proxy waits 2 ms for the reset of a dropped idle connection, and the emulated server must be scheduled
    /// within that time to send the reset.
    pub fn needs_idle_machine(self) -> bool {
        self == FaultKind::IdleConnectionRace
    }

    /// Whether client requests may fail because of the fault.
    pub fn disrupts_requests(self) -> bool {
        self.disrupts_fronts() || self.disrupts_servers()
    }

    /// Whether the fault may stop the proxy of a front-end node, or make the proxy reject connections.
    pub fn disrupts_fronts(self) -> bool {
        matches!(
            self,
            FaultKind::ProxyKill
                | FaultKind::FrontTerm
                | FaultKind::FrontPause
                | FaultKind::ProxyDescriptorExhaustion
                | FaultKind::ConnectionFlood
        )
    }

    /// Whether the fault may make servers fail requests.
    pub fn disrupts_servers(self) -> bool {
        matches!(
            self,
            FaultKind::ServerCrash
                | FaultKind::ServerDrain
                | FaultKind::ServerBlackhole
                | FaultKind::ServerFailing
                | FaultKind::ResponsesLost
                | FaultKind::ResponsesMalformed
                | FaultKind::ResponsesUnmatched
                | FaultKind::StreamsTruncated
                | FaultKind::HigherFencingToken
        )
    }

    /// Whether the fault affects the agent of a front-end node or its links to control. Where front-end nodes
    /// host control, the fault affects the control process of that node.
    pub fn disrupts_agents(self) -> bool {
        matches!(
            self,
            FaultKind::AgentLinkBlackhole
                | FaultKind::AgentInboundBlackhole
                | FaultKind::AgentReset
                | FaultKind::AgentKill
                | FaultKind::AgentDescriptorExhaustion
                | FaultKind::FrontTerm
                | FaultKind::FrontPause
        )
    }

    /// Whether the fault affects control processes or the links between them, whichever machines they run on.
    pub fn disrupts_control(self) -> bool {
        matches!(
            self,
            FaultKind::ControlKill
                | FaultKind::ControlTerm
                | FaultKind::ControlPause
                | FaultKind::ControlDiskLoss
                | FaultKind::AllControlKill
                | FaultKind::ControlReplace
                | FaultKind::ControlDescriptorExhaustion
                | FaultKind::ControlDiskFull
                | FaultKind::PairBlackhole
                | FaultKind::PairReset
                | FaultKind::PairOneWayBlackhole
                | FaultKind::PairLatency
                | FaultKind::ControlPartition
                | FaultKind::ControlOutboundBlackhole
        )
    }

    /// Whether updates of the server list may reach the front-end nodes late because of the fault.
    pub fn delays_server_lists(self) -> bool {
        let has_no_effect = matches!(
            self,
            FaultKind::Reload
                | FaultKind::SettingsChange
                | FaultKind::ConcurrentConfigWrites
                | FaultKind::ConfigWriteBurst
                | FaultKind::ConnectionFlood
                | FaultKind::IdleConnectionRace
                | FaultKind::ProcessorQuota
        );
        !has_no_effect && !self.disrupts_servers()
    }

    /// Whether a control node loses its disk because of the fault.
    pub fn loses_disk(self) -> bool {
        matches!(self, FaultKind::ControlDiskLoss | FaultKind::ControlReplace)
    }
}

/// One fault of a schedule. Its text form is `KIND START_MS DURATION_MS TARGET PEER`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// When the fault is injected, since the fleet came into service.
    pub start: Duration,
    /// The time from injection to recovery. For a killed process, the time until it is restarted.
    pub duration: Duration,
    /// Selects the affected machine or server, modulo their number at the injection.
    pub target: usize,
    /// Selects the second machine of a fault between two machines, modulo the number of other machines.
    pub peer: usize,
}

impl ScheduledFault {
    /// When the recovery starts.
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

/// An error for a line that is not a valid scheduled fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseFaultError {
    line: String,
}

impl fmt::Display for ParseFaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid fault: {:?}", self.line)
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
