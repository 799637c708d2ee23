//! The controller: the one task that owns all state of a control process.
//!
//! It handles one [`Command`] at a time: it turns it into an event of a state machine (replica, elector, tables, planner),
//! and carries out the actions that the state machine returns. Nothing else changes the state, so there are no locks. Its
//! files each extend [`Controller`] by one concern:
//!
//! | file | concern |
//! | --- | --- |
//! | `startup` | recovery from the log |
//! | `replication` | the replica of the configuration, and the log |
//! | `agent_requests` | pulls of agents, and who may rely on this process |
//! | `peer_exchange` | reports to and from the other control processes |
//! | `server_list` | the platform's list, from the list watcher to agents and peers |
//! | `list_watcher_role` | the elector and the lease |
//! | `stage_planning` | orders to model servers |
//! | `view_changes` | views of the replica, for the elector |
//! | `seed_discovery` | finds control processes through seeds that run none |
//! | `bootstrap_notice` | what a first start waits for |
//! | `graceful_shutdown` | the steps after SIGTERM |
//! | `status_report` | `GET /status`, `GET /metrics` |
//!
//! Errors: only [`Controller::start`] returns them. Later a failed write is an event of its state machine, and everything
//! else that fails is logged and retried.

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
use tokio::sync::mpsc;
use tokio::time::Instant;

#[cfg(test)]
#[path = "controller_tests.rs"]
mod controller_tests;

mod agent_registry;
#[cfg(test)]
mod agent_registry_tests;
mod agent_requests;
mod bootstrap_notice;
#[cfg(test)]
mod bootstrap_notice_tests;
mod commit_history;
mod fleet_load;
mod graceful_shutdown;
mod list_watcher_role;
#[cfg(test)]
mod list_watcher_role_tests;
mod pause_detector;
#[cfg(test)]
mod pause_detector_tests;
mod peer_exchange;
#[cfg(test)]
mod peer_exchange_tests;
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
use bootstrap_notice::BootstrapNotice;
use commit_history::CommitHistory;
use fleet_load::FleetLoad;
use graceful_shutdown::GracefulShutdown;
use list_watcher_role::ListWatcherRole;
use pause_detector::PauseDetector;
use peer_exchange::ReportSchedule;
use pending_requests::PendingRequests;
use platform_reachability::PlatformReachability;
use process_directory::ProcessDirectory;
use stage_planning::StagePlanning;
use state_machine_settings::replica_seeds;
use view_tracker::ViewTracker;

/// All state of a control process.
pub struct Controller {
    settings: Settings,
    /// The state machines count time from here.
    started_at: Instant,
    /// The peer address of this process.
    local_address: SocketAddr,
    /// The replica of the configuration, and its views.
    replica: Replica,
    /// The election of the list watcher.
    elector: Elector,
    /// Which view the elector knows of.
    views: ViewTracker,
    list_watcher_role: ListWatcherRole,
    /// Requests of the operator that wait for the replica.
    pending_requests: PendingRequests,
    /// What agents pull: the configuration, the server list, the live proxies.
    tables: Tables,
    pending_pulls: PendingPulls,
    agent_registry: AgentRegistry,
    commit_history: CommitHistory,
    /// Counts the live front-end nodes.
    live_nodes: LiveNodeCounter,
    fleet_load: FleetLoad,
    stage_planning: StagePlanning,
    peer_transport: PeerTransport,
    process_directory: ProcessDirectory,
    report_schedule: ReportSchedule,
    platform_reachability: PlatformReachability,
    pause_detector: PauseDetector,
    bootstrap_notice: BootstrapNotice,
    log_writer: Sender<LogBatch>,
    metrics: Metrics,
    /// In progress since SIGTERM.
    shutdown: Option<GracefulShutdown>,
}

impl Controller {
    /// Handles commands until all senders are gone.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        while let Some(command) = queue.recv().await {
            self.handle(command);
        }
    }

    /// The time since the start, which is the clock of all state machines.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn handle(&mut self, command: Command) {
        self.pause_detector.observe(self.now());
        match command {
            Command::Tick => self.tick(),
            Command::Peer { from, body } => self.peer_message(from, body),
            Command::PeerDisconnected { peer } => self.handle_replica_event(chain::Event::LinkDown { peer }),
            Command::Persisted(outcome) => self.batch_persisted(outcome),
            Command::Pull { request, reply } => self.agent_request(request, reply),
            Command::Submit { base, version, request, bytes, reply } => {
                let id = self.pending_requests.register(reply);
                self.handle_replica_event(chain::Event::Submit {
                    id,
                    base,
                    version,
                    request_hash: request,
                    bytes,
                });
            }
            Command::Read { reply } => {
                let id = self.pending_requests.register(reply);
                self.handle_replica_event(chain::Event::Read { id });
            }
            Command::Status { reply } => send_reply(reply, self.status()),
            Command::Metrics { reply } => send_reply(reply, self.metrics_text()),
            Command::ListRead { token, entries } => self.list_read(token, entries),
            Command::NeedsInitialList { reply } => send_reply(reply, self.needs_initial_list()),
            Command::InitialListRead { entries } => self.initial_list_read(entries),
            Command::ListReadFailed { token, should_step_down } => {
                self.list_read_failed(token, should_step_down);
            }
            Command::OrderCompleted { id, token, outcome } => self.order_completed(&id, token, outcome),
            Command::ServerReported { id, token, report } => self.server_reported(&id, token, report),
            Command::GetAnnouncement { reply } => send_reply(reply, self.announcement()),
            Command::PeersAnnounced { addresses } => self.learn_announced_processes(&addresses),
            Command::Reload { settings } => self.reload(*settings),
            Command::Shutdown { done } => self.begin_shutdown(done),
        }
    }

    /// Applies what may change while the process runs: the seeds, which also discards those that were learned from
    /// announcements. Listening addresses and the data directory stay.
    fn reload(&mut self, settings: Settings) {
        info!("settings", kv: { outcome = "reloaded", seeds = settings.seeds.len() });
        self.replica.set_seeds(replica_seeds(&settings));
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
        self.notice_delayed_bootstrap();
        self.continue_shutdown();
    }

    fn peer_message(&mut self, from: SocketAddr, body: PeerMessage) {
        self.process_directory.record_message(self.now(), from);
        match body {
            PeerMessage::Chain(message) => self.handle_replica_event(chain::Event::Message { from, message }),
            PeerMessage::Election(message) => {
                self.handle_elector_event(election::Event::Message { from, message })
            }
            PeerMessage::Tables(message) => self.tables_message(from, message),
        }
    }
}

/// A duration in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
