//! The controller: the one task that owns all state of a control process.
//!
//! It handles one [`Command`] at a time: it turns it into an event of a state machine (replica, elector, tables, planner),
//! and carries out the actions that the state machine returns. Nothing else changes the state, so there are no locks. Its
//! files each extend [`Controller`] by one concern:
//!
//! | file | concern |
//! | --- | --- |
//! | `agent_requests` | pulls of agents, and who may rely on this process |
//! | `peer_exchange` | reports to and from the other control processes |
//! | `server_list` | the platform's list, from the list watcher to agents and peers |
//! | `list_watcher_role` | the elector and the lease |
//! | `stage_planning` | orders to model servers |
//! | `view_changes` | views of the replica, for the elector |
//! | `seed_discovery` | seeds that run no control process |
//! | `graceful_shutdown` | the steps after SIGTERM |
//! | `status_report` | `GET /status`, `GET /metrics` |
//!
//! Errors: only [`Controller::start`] returns them. Later a failed write is an event of its state machine, and everything
//! else that fails is logged and retried.

use crate::command::Command;
use crate::list_watcher;
use crate::logs::{self, Hash};
use crate::message::{PeerMessage, PersistOutcome};
use crate::metrics::{Metrics, RejectionCounters};
use crate::orders;
use crate::peer_transport::PeerTransport;
use crate::pulls::PendingPulls;
use crate::record_owner::RecordOwner;
use crate::reply::send_reply;
use crate::storage::{self, LogBatch, OpenedLog};
use eyre::{Result, WrapErr, eyre};
use lugwharf_chain::{self as chain, Replica};
use lugwharf_distribution::Tables;
use lugwharf_election::{self as election, Elector};
use lugwharf_invariants::{Invariant, check};
use lugwharf_membership::{Census, CensusSettings};
use lugwharf_protocol::ConfigRecord;
use lugwharf_settings::Settings;
use lugwharf_stages::StageTuning;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
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
mod seed_discovery;
mod server_list;
mod stage_planning;
mod state_machine_settings;
mod status_report;
mod view_changes;
mod view_tracker;
#[cfg(test)]
mod view_tracker_tests;

use agent_registry::AgentRegistry;
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
use state_machine_settings::{elector_settings, replica_settings, seeds};
use view_tracker::ViewTracker;

/// Configurations that a front may be sent within `ConfigMs`, in which each one has to be in force: waiting for the next one
/// leaves three quarters of that time for the way.
const CONFIGS_PER_BOUND: u64 = 4;
/// Orders that may wait to be sent.
const ORDER_QUEUE_LENGTH: usize = 256;

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
    census: Census,
    fleet_load: FleetLoad,
    stage_planning: StagePlanning,
    peer_transport: PeerTransport,
    process_directory: ProcessDirectory,
    report_schedule: ReportSchedule,
    platform_reachability: PlatformReachability,
    pause_detector: PauseDetector,
    log_writer: Sender<LogBatch>,
    metrics: Metrics,
    /// In progress since SIGTERM.
    shutdown: Option<GracefulShutdown>,
}

/// Replica and elector as recovered from the log, with the first actions of the replica.
struct Recovered {
    replica: Replica,
    elector: Elector,
    actions: Vec<chain::Action>,
}

/// The peer address of this process.
fn local_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.internal_ports().peer)
}

/// Whether a replica can be recovered from these tagged records. The reason why not is logged.
fn is_recoverable(settings: &Settings, records: &[Vec<u8>]) -> bool {
    let replica_settings = replica_settings(settings, local_address(settings), 0, false);
    let records = RecordOwner::Chain.untagged_records(records);
    let recovered = Replica::recover(replica_settings, &records, Duration::ZERO, &mut Vec::new());
    recovered
        .inspect_err(|error| error!("log_file", kv: { outcome = "unrecoverable", error: = error }))
        .is_ok()
}

/// Recovers both state machines from the records of the log, with one seed for their random delays.
fn recover(settings: &Settings, log: &OpenedLog) -> Result<Recovered, chain::RecoverError> {
    let local_address = local_address(settings);
    let seed = fastrand::u64(..);
    let mut actions = Vec::new();
    let replica_settings = replica_settings(settings, local_address, seed, log.was_quarantined);
    let records = RecordOwner::Chain.untagged_records(&log.records);
    let replica = Replica::recover(replica_settings, &records, Duration::ZERO, &mut actions)?;
    let records = RecordOwner::Election.untagged_records(&log.records);
    let elector = Elector::recover(elector_settings(local_address, seed), &records, Duration::ZERO);
    Ok(Recovered { replica, elector, actions })
}

/// Starts the list watcher and the sender of orders, which act under the lease; returns what they are controlled by.
fn start_lease_tasks(
    settings: &Settings, stage_tuning: StageTuning, commands: &mpsc::Sender<Command>,
) -> (ListWatcherRole, StagePlanning) {
    let (list_watcher_role, lease) = ListWatcherRole::new();
    let (order_queue, orders) = mpsc::channel(ORDER_QUEUE_LENGTH);
    tokio::spawn(orders::run(orders, commands.clone()));
    if let Some(cloud) = settings.cloud.clone() {
        tokio::spawn(list_watcher::initial_read(cloud.clone(), commands.clone()));
        tokio::spawn(list_watcher::run(cloud, lease, commands.clone()));
    }
    (list_watcher_role, StagePlanning::new(stage_tuning, order_queue))
}

impl Controller {
    /// Recovers the state from the log and starts the threads and tasks that the controller hands work to.
    ///
    /// # Errors
    /// `DataDir` is missing, the log can't be opened, or its records can't be read.
    pub fn start(
        settings: Settings, stage_tuning: StageTuning, commands: mpsc::Sender<Command>,
        rejections: &RejectionCounters,
    ) -> Result<Controller> {
        let directory = settings.data_dir.clone().ok_or_else(|| eyre!("settings: DataDir is missing"))?;
        let log = storage::open(&directory, commands.clone(), |records| is_recoverable(&settings, records))
            .wrap_err_with(|| format!("the log in {}", directory.display()))?;
        let started_at = Instant::now();
        let Recovered { replica, elector, actions } =
            recover(&settings, &log).map_err(|error| eyre!("the log in {}: {error}", directory.display()))?;
        let (list_watcher_role, stage_planning) = start_lease_tasks(&settings, stage_tuning, &commands);
        let config_interval = Duration::from_millis(settings.bounds.config_ms / CONFIGS_PER_BOUND);
        let local_address = local_address(&settings);
        let mut controller = Controller {
            peer_transport: PeerTransport::new(local_address, settings.bind),
            settings,
            started_at,
            local_address,
            replica,
            elector,
            views: ViewTracker::default(),
            list_watcher_role,
            pending_requests: PendingRequests::default(),
            tables: Tables::new(),
            pending_pulls: PendingPulls::with_config_interval(config_interval),
            agent_registry: AgentRegistry::default(),
            commit_history: CommitHistory::default(),
            census: Census::new(CensusSettings::default(), Duration::ZERO),
            fleet_load: FleetLoad::default(),
            stage_planning,
            process_directory: ProcessDirectory::default(),
            report_schedule: ReportSchedule::default(),
            platform_reachability: PlatformReachability::default(),
            pause_detector: PauseDetector::default(),
            log_writer: log.writer,
            metrics: Metrics::new(rejections),
            shutdown: None,
        };
        controller.carry_out_chain(actions);
        controller.follow_view();
        Ok(controller)
    }

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
            Command::Persisted(outcome) => self.batch_persisted(outcome),
            Command::Pull { request, reply } => self.agent_request(request, reply),
            Command::Submit { base, version, request, bytes, reply } => {
                let id = self.pending_requests.register(reply);
                self.chain(chain::Event::Submit { id, base, version, request_hash: request, bytes });
            }
            Command::Read { reply } => {
                let id = self.pending_requests.register(reply);
                self.chain(chain::Event::Read { id });
            }
            Command::Status { reply } => send_reply(reply, self.status()),
            Command::Metrics { reply } => send_reply(reply, self.metrics_text()),
            Command::ListRead { epoch, entries } => self.list_read(epoch, entries),
            Command::NeedsInitialList { reply } => send_reply(reply, self.needs_initial_list()),
            Command::InitialListRead { entries } => self.initial_list_read(entries),
            Command::ListReadFailed { epoch, should_step_down } => {
                self.list_read_failed(epoch, should_step_down);
            }
            Command::OrderCompleted { id, answer } => self.order_completed(&id, answer),
            Command::GetAnnouncement { reply } => send_reply(reply, self.announcement()),
            Command::PeersAnnounced { addresses } => self.learn_announced_processes(&addresses),
            Command::Reload { settings } => self.reload(*settings),
            Command::Shutdown { done } => self.begin_shutdown(done),
        }
    }

    /// Applies what may change while the process runs: the seeds. Listening addresses and the data directory stay.
    fn reload(&mut self, settings: Settings) {
        info!("settings", kv: { outcome = "reloaded", seeds = settings.seeds.len() });
        self.replica.set_seeds(seeds(&settings));
        self.settings = settings;
    }

    fn tick(&mut self) {
        for id in self.pending_requests.remove_abandoned() {
            self.chain(chain::Event::Cancel { id });
        }
        self.chain(chain::Event::Tick);
        self.elect(election::Event::Tick);
        self.report_if_due();
        self.send_due_orders();
        self.serve_pulls();
        self.continue_shutdown();
    }

    fn peer_message(&mut self, from: SocketAddr, body: PeerMessage) {
        self.process_directory.record_message(self.now(), from);
        match body {
            PeerMessage::Chain(message) => self.chain(chain::Event::Message { from, message }),
            PeerMessage::Election(message) => self.elect(election::Event::Message { from, message }),
            PeerMessage::Tables(message) => self.tables_message(from, message),
        }
    }

    fn batch_persisted(&mut self, outcome: PersistOutcome) {
        let PersistOutcome { owner, batch, is_synced } = outcome;
        match owner {
            RecordOwner::Chain if is_synced => self.chain(chain::Event::Persisted { batch }),
            RecordOwner::Chain => self.chain(chain::Event::PersistFailed { batch }),
            RecordOwner::Election => {
                let batch = election::BatchId(batch);
                self.elect(match is_synced {
                    true => election::Event::Persisted { batch },
                    false => election::Event::PersistFailed { batch },
                });
            }
        }
    }

    /// Hands an event to the replica and carries out its actions.
    fn chain(&mut self, event: chain::Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.now(), event, &mut actions);
        self.carry_out_chain(actions);
        self.follow_view();
    }

    fn carry_out_chain(&mut self, actions: Vec<chain::Action>) {
        for action in actions {
            match action {
                chain::Action::Send { to, message } => {
                    logs::forwarded_change(to, &message);
                    self.peer_transport.send(to, PeerMessage::Chain(message));
                }
                chain::Action::Persist { batch, records } => {
                    self.persist(RecordOwner::Chain, batch, records, false);
                }
                chain::Action::RewriteLog { batch, records } => {
                    self.persist(RecordOwner::Chain, batch, records, true);
                }
                chain::Action::Respond { id, response } => self.pending_requests.respond(id, response),
                chain::Action::Committed { config } => self.config_committed(&config),
                // The view is read from the replica's status after each event.
                chain::Action::ViewChanged(_) => {}
                chain::Action::Log(line) => logs::chain_event(&spdlog::default_logger(), &line),
            }
        }
    }

    /// Hands a batch to the storage thread. A rewrite of the chain's records carries the election's along, since both share
    /// the log.
    fn persist(&mut self, owner: RecordOwner, number: u64, records: Vec<Vec<u8>>, is_rewrite: bool) {
        let mut tagged: Vec<Vec<u8>> = records.into_iter().map(|record| owner.tag_record(record)).collect();
        if is_rewrite {
            let election = self.elector.snapshot_records();
            tagged.extend(election.into_iter().map(|record| RecordOwner::Election.tag_record(record)));
        }
        // The storage thread ends only with the process.
        let _ = self.log_writer.send(LogBatch { owner, number, records: tagged, is_rewrite });
    }

    /// The replica has learned of a committed configuration: brings it to the agents.
    fn config_committed(&mut self, config: &chain::CommittedConfig) {
        let record = ConfigRecord { version: config.version, bytes: config.bytes.to_vec() };
        let before = self.tables.vector().config;
        check(Invariant::CommittedVersionClimbs, record.version > before, || {
            format!("version {} after {before}", record.version)
        });
        if self.tables.advance_config(Arc::new(record)) {
            self.commit_history.record(self.now(), config.version);
            self.metrics.commits.inc();
            info!("config", kv: {
                outcome = "committed", version = config.version, base = config.base, hash: = Hash(&config.bytes)
            });
            self.stage_planning.set_configuration(&config.bytes);
            self.serve_pulls();
        }
    }
}

/// A duration in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
