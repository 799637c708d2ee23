//! The controller: the single task that owns all state of a control process.
//!
//! The controller handles one [`Command`] at a time. It translates the command to an event of a state machine
//! (replica, elector, tables, planner) and executes the actions that the state machine returns. Nothing else
//! changes the state, so no locks are needed. Each of these files extends [`Controller`] by one concern:
//!
//! | file | concern |
//! | --- | --- |
//! | `startup` | recovery from the log |
//! | `replication` | the replica of the configuration, and the log |
//! | `agent_requests` | pulls from agents, and whether agents may rely on this process |
//! | `peer_exchange` | reports to and from the other control processes |
//! | `server_list` | the platform's server list, from the list watcher to agents and peers |
//! | `list_watcher_role` | the elector and the lease |
//! | `stage_planning` | orders to model servers |
//! | `view_changes` | reports views of the replica to the elector |
//! | `seed_discovery` | finds control processes through seeds that run none |
//! | `bootstrap_warning` | a warning if the first start waits too long for its seeds |
//! | `graceful_shutdown` | the steps after SIGTERM |
//! | `status_report` | `GET /status`, `GET /metrics` |
//!
//! Only [`Controller::start`] returns errors. After that, a failed write is an event of its state machine,
//! and all other failures are logged and retried.

use crate::command::Command;
use crate::message::PeerMessage;
use crate::metrics::Metrics;
use crate::peer_transport::PeerTransport;
use crate::pulls::PendingPulls;
use crate::reply::send_reply;
use crate::storage::LogBatch;
use lugwharf_chain::{self as chain, Replica};
use lugwharf_distribution::Tables;
use lugwharf_election::{self as election, Elector};
use lugwharf_membership::LiveNodeCounter;
use lugwharf_settings::Settings;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

#[cfg(test)]
#[path = "controller_tests.rs"]
mod controller_tests;

mod agent_registry;
#[cfg(test)]
mod agent_registry_tests;
mod agent_requests;
mod bootstrap_warning;
#[cfg(test)]
mod bootstrap_warning_tests;
mod commit_history;
mod fleet_load;
mod gap_recovery;
#[cfg(test)]
mod gap_recovery_tests;
mod graceful_shutdown;
mod list_watcher_role;
#[cfg(test)]
mod list_watcher_role_tests;
mod min_interval;
#[cfg(test)]
mod min_interval_tests;
mod pause_detector;
#[cfg(test)]
mod pause_detector_tests;
mod peer_exchange;
mod pending_requests;
#[cfg(test)]
mod pending_requests_tests;
mod platform_reachability;
#[cfg(test)]
mod platform_reachability_tests;
mod process_directory;
#[cfg(test)]
mod process_directory_tests;
mod replication;
mod seed_discovery;
mod server_list;
mod stage_planning;
#[cfg(test)]
mod stage_planning_tests;
mod startup;
mod state_machine_settings;
mod status_report;
mod view_changes;
mod view_tracker;
#[cfg(test)]
mod view_tracker_tests;

use agent_registry::AgentRegistry;
use bootstrap_warning::BootstrapWarning;
use commit_history::CommitHistory;
use fleet_load::FleetLoad;
use gap_recovery::GapRecovery;
use graceful_shutdown::GracefulShutdown;
use list_watcher_role::ListWatcherRole;
use min_interval::MinInterval;
use pause_detector::PauseDetector;
use pending_requests::PendingRequests;
use platform_reachability::PlatformReachability;
use process_directory::ProcessDirectory;
use stage_planning::StagePlanning;
use state_machine_settings::replica_seeds;
use view_tracker::ViewTracker;

/// All state of a control process.
pub struct Controller {
    settings: Settings,
    /// The time origin of the state machines.
    started_at: Instant,
    /// The peer address of this process.
    local_address: SocketAddr,
    /// The replica of the configuration and its views.
    replica: Replica,
    /// The elector of the list watcher.
    elector: Elector,
    /// Tracks which view was last reported to the elector.
    views: ViewTracker,
    list_watcher_role: ListWatcherRole,
    /// Operator requests that wait for the replica.
    pending_requests: PendingRequests,
    /// The tables that agents pull: the configuration, the server list, the number of live proxies.
    tables: Tables,
    pending_pulls: PendingPulls,
    agent_registry: AgentRegistry,
    commit_history: CommitHistory,
    /// Counts the live front-end nodes.
    live_nodes: LiveNodeCounter,
    fleet_load: FleetLoad,
    stage_planning: StagePlanning,
    /// The address of the platform for the list watcher; `None` if the deployment has no platform.
    platform_address: Option<watch::Sender<SocketAddr>>,
    peer_transport: PeerTransport,
    process_directory: ProcessDirectory,
    report_schedule: MinInterval,
    gap_recovery: GapRecovery,
    list_restatement: MinInterval,
    platform_reachability: PlatformReachability,
    pause_detector: PauseDetector,
    bootstrap_warning: BootstrapWarning,
    log_writer: Sender<LogBatch>,
    metrics: Metrics,
    /// The shutdown in progress, if SIGTERM was received.
    shutdown: Option<GracefulShutdown>,
}

impl Controller {
    /// Handles commands until all senders are dropped.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        while let Some(command) = queue.recv().await {
            self.handle(command);
        }
    }

    /// Returns the time since the start, which is the clock of all state machines.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle(&mut self, command: Command) {
        self.pause_detector.observe(self.now());
        match command {
            Command::Tick => self.tick(),
            Command::PeerMessageReceived { from, body } => self.handle_peer_message(from, body),
            Command::PeerDisconnected { peer } => self.handle_replica_event(chain::Event::LinkDown { peer }),
            Command::Persisted(outcome) => self.handle_persist_outcome(outcome),
            Command::Pull { request, reply } => self.handle_agent_request(request, reply),
            Command::SubmitConfig { base, version, request, bytes, reply } => {
                let id = self.pending_requests.register(reply);
                self.handle_replica_event(chain::Event::Submit {
                    id,
                    base,
                    version,
                    request_hash: request,
                    bytes,
                });
            }
            Command::ReadConfig { reply } => {
                let id = self.pending_requests.register(reply);
                self.handle_replica_event(chain::Event::Read { id });
            }
            Command::GetStatus { reply } => send_reply(reply, self.status()),
            Command::GetMetrics { reply } => send_reply(reply, self.metrics_text()),
            Command::ListRead { token, entries } => self.handle_list_read(token, entries),
            Command::NeedsInitialList { reply } => send_reply(reply, self.needs_initial_list()),
            Command::InitialListRead { entries } => self.handle_initial_list_read(entries),
            Command::ListReadFailed { token, should_step_down } => {
                self.handle_list_read_failure(token, should_step_down);
            }
            Command::OrderCompleted { id, token, outcome } => self.handle_order_outcome(&id, token, outcome),
            Command::ServerReported { id, token, report } => self.handle_server_report(&id, token, report),
            Command::GetAnnouncement { reply } => send_reply(reply, self.announcement()),
            Command::PeersAnnounced { addresses } => self.contact_announced_processes(&addresses),
            Command::Reload { settings } => self.reload(*settings),
            Command::Shutdown { done } => self.begin_shutdown(done),
        }
    }

    /// Applies the settings that may change while the process runs: the seeds, and the address of the platform
    /// if the process started with one. This also discards the seeds that were learned from announcements. The
    /// listening addresses and the data directory do not change.
    fn reload(&mut self, settings: Settings) {
        info!("settings", kv: { outcome = "reloaded", seeds = settings.seeds.len() });
        self.replica.set_seeds(replica_seeds(&settings));
        if let (Some(address), Some(cloud)) = (&self.platform_address, &settings.cloud) {
            address.send_replace(cloud.address);
        }
        self.settings = settings;
    }

    fn tick(&mut self) {
        for id in self.pending_requests.remove_abandoned() {
            self.handle_replica_event(chain::Event::Cancel { id });
        }
        self.handle_replica_event(chain::Event::Tick);
        self.handle_elector_event(election::Event::Tick);
        self.report_if_due();
        self.send_due_orders();
        self.serve_pulls();
        self.warn_of_delayed_bootstrap();
        self.continue_shutdown();
    }

    fn handle_peer_message(&mut self, from: SocketAddr, body: PeerMessage) {
        self.process_directory.record_message(self.now(), from);
        match body {
            PeerMessage::Chain(message) => self.handle_replica_event(chain::Event::Message { from, message }),
            PeerMessage::Election(message) => {
                self.handle_elector_event(election::Event::Message { from, message })
            }
            PeerMessage::Tables(message) => self.handle_tables_message(from, message),
        }
    }
}

/// Converts a duration to whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
