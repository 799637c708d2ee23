//! The owner of all state of a control process. It works through its queue one command at a time, hands events to the
//! state machines and carries their actions out.

use crate::command::Command;
use crate::lease::HeldLease;
use crate::list_watcher;
use crate::logs::{self, Hash};
use crate::message::{PeerMessage, PersistOutcome, RecordOwner};
use crate::metrics::{Metrics, RejectionCounters};
use crate::orders::{self, AuthorizedOrder};
use crate::peer_transport::PeerTransport;
use crate::pulls::PendingPulls;
use crate::storage::{self, LogBatch};
use eyre::{Result, WrapErr, eyre};
use lugwharf_chain::{self as chain, OperatorResponse, Replica};
use lugwharf_distribution::Tables;
use lugwharf_election::{self as election, Elector};
use lugwharf_invariants::{Invariant, check};
use lugwharf_membership::{Census, CensusSettings};
use lugwharf_protocol::ConfigRecord;
use lugwharf_settings::Settings;
use lugwharf_stages::{Planner, PlannerSettings, StageTuning};
use spdlog::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

#[cfg(test)]
#[path = "controller_tests.rs"]
mod controller_tests;

mod agent_registry;
#[cfg(test)]
mod agent_registry_tests;
mod commit_history;
mod fleet_load;
mod graceful_shutdown;
mod list_watcher_role;
mod pause_detector;
#[cfg(test)]
mod pause_detector_tests;
mod pending_requests;
mod platform_reachability;
#[cfg(test)]
mod platform_reachability_tests;
mod process_directory;
#[cfg(test)]
mod process_directory_tests;
mod seed_discovery;
mod stage_planning;
mod state_machine_settings;
mod status_report;
mod tables;
mod view_tracking;

use agent_registry::AgentRegistry;
use commit_history::CommitHistory;
use fleet_load::FleetLoad;
use graceful_shutdown::GracefulShutdown;
use pause_detector::PauseDetector;
use platform_reachability::PlatformReachability;
use process_directory::ProcessDirectory;
use stage_planning::{EngineProfile, engine_profiles};
use state_machine_settings::{elector_settings, replica_settings, seeds};

/// Configurations that a front is sent within the time in which each has to be in force: a wait for the next one leaves most of
/// that time for the way.
const CONFIGS_PER_BOUND: u64 = 4;
/// Orders that may wait for their calls.
const ORDER_QUEUE: usize = 256;

/// All state of a control process.
pub struct Controller {
    settings: Settings,
    started: Instant,
    local_address: SocketAddr,
    replica: Replica,
    elector: Elector,
    tables: Tables,
    census: Census,
    agent_registry: AgentRegistry,
    commit_history: CommitHistory,
    fleet_load: FleetLoad,
    stage_planner: Planner,
    stage_tuning: StageTuning,
    order_queue: mpsc::Sender<AuthorizedOrder>,
    /// What the newest configuration says of model services.
    engine_profiles: BTreeMap<String, EngineProfile>,
    pending_pulls: PendingPulls,
    peer_transport: PeerTransport,
    log_writer: Sender<LogBatch>,
    /// Operator calls by ticket.
    pending_requests: BTreeMap<u64, oneshot::Sender<OperatorResponse>>,
    next_ticket: u64,
    lease_sender: watch::Sender<Option<HeldLease>>,
    /// When the others were last told what this process has.
    last_exchange_at: Option<Duration>,
    /// The number of the view that the elector was told last.
    current_view: u64,
    /// The number of the last view in which the elector was told to grant nothing more.
    sealed_view: u64,
    /// The last holder of the list reader's role that was heard of, and since when.
    known_holder: Option<election::LeaseHolder>,
    known_holder_since: Duration,
    metrics: Metrics,
    platform_reachability: PlatformReachability,
    process_directory: ProcessDirectory,
    pause_detector: PauseDetector,
    /// Under way since SIGTERM.
    shutdown: Option<GracefulShutdown>,
}

/// Whether a replica can be recovered from these marked records.
fn is_recoverable(settings: &Settings, records: &[Vec<u8>]) -> bool {
    let local_address = SocketAddr::new(settings.ip, settings.internal_ports().peer);
    let records = RecordOwner::Chain.untagged_records(records);
    let recovered = Replica::recover(
        replica_settings(settings, local_address, 0, false),
        &records,
        Duration::ZERO,
        &mut Vec::new(),
    );
    recovered.inspect_err(|error| error!("log_file", kv: { outcome = "unreadable", reason: = error })).is_ok()
}

impl Controller {
    /// Recovers the state from the disk and starts the threads and tasks that serve it.
    pub fn start(
        settings: Settings, stage_tuning: StageTuning, commands: mpsc::Sender<Command>,
        rejections: &RejectionCounters,
    ) -> Result<Controller> {
        let directory = settings.data_dir.clone().ok_or_else(|| eyre!("settings: DataDir is missing"))?;
        let opened =
            storage::open(&directory, commands.clone(), |records| is_recoverable(&settings, records))
                .wrap_err_with(|| format!("the log in {}", directory.display()))?;
        let started = Instant::now();
        let ports = settings.internal_ports();
        let local_address = SocketAddr::new(settings.ip, ports.peer);
        let seed = fastrand::u64(..);
        let mut out = Vec::new();
        let replica_settings = replica_settings(&settings, local_address, seed, opened.was_quarantined);
        let records = RecordOwner::Chain.untagged_records(&opened.records);
        let replica = Replica::recover(replica_settings, &records, Duration::ZERO, &mut out)
            .map_err(|error| eyre!("the log in {}: {error}", directory.display()))?;
        let records = RecordOwner::Election.untagged_records(&opened.records);
        let elector = Elector::recover(elector_settings(local_address, seed), &records, Duration::ZERO);
        let (lease_sender, lease) = watch::channel(None);
        let (order_queue, orders) = mpsc::channel(ORDER_QUEUE);
        tokio::spawn(orders::run(orders, commands.clone()));
        if let Some(cloud) = settings.cloud.clone() {
            tokio::spawn(list_watcher::initial_read(cloud.clone(), commands.clone()));
            tokio::spawn(list_watcher::run(cloud, lease, commands));
        }
        let pending_pulls = PendingPulls::with_config_interval(Duration::from_millis(
            settings.bounds.config_ms / CONFIGS_PER_BOUND,
        ));
        let peer_transport = PeerTransport::new(local_address, settings.bind);
        let mut controller = Controller {
            settings,
            started,
            local_address,
            replica,
            elector,
            tables: Tables::new(),
            census: Census::new(CensusSettings::default(), Duration::ZERO),
            agent_registry: AgentRegistry::default(),
            commit_history: CommitHistory::default(),
            fleet_load: FleetLoad::default(),
            stage_planner: Planner::new(PlannerSettings::default()),
            stage_tuning,
            order_queue,
            engine_profiles: BTreeMap::new(),
            pending_pulls,
            peer_transport,
            log_writer: opened.writer,
            pending_requests: BTreeMap::new(),
            next_ticket: 1,
            lease_sender,
            last_exchange_at: None,
            current_view: 0,
            sealed_view: 0,
            known_holder: None,
            known_holder_since: Duration::ZERO,
            metrics: Metrics::new(rejections),
            platform_reachability: PlatformReachability::default(),
            process_directory: ProcessDirectory::default(),
            pause_detector: PauseDetector::default(),
            shutdown: None,
        };
        controller.carry_out_chain(out);
        controller.follow_view();
        Ok(controller)
    }

    /// Works until nobody can ask any more.
    pub async fn run(mut self, mut queue: mpsc::Receiver<Command>) {
        while let Some(command) = queue.recv().await {
            self.handle(command);
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle(&mut self, command: Command) {
        self.pause_detector.observe(self.now());
        match command {
            Command::Tick => self.tick(),
            Command::Peer { from, body } => self.peer(from, body),
            Command::Persisted(outcome) => self.batch_persisted(outcome),
            Command::Pull { request, reply } => self.pull(request, reply),
            Command::Submit { base, version, request, bytes, reply } => {
                let id = self.open_request(reply);
                self.chain(chain::Event::Submit { id, base, version, request_hash: request, bytes });
            }
            Command::Read { reply } => {
                let id = self.open_request(reply);
                self.chain(chain::Event::Read { id });
            }
            Command::Status { reply } => drop(reply.send(self.status())),
            Command::Metrics { reply } => drop(reply.send(self.metrics_text())),
            Command::ListRead { epoch, entries } => self.list_read(epoch, entries),
            Command::NeedsInitialList { reply } => drop(reply.send(self.needs_initial_list())),
            Command::InitialListRead { entries } => self.initial_list_read(entries),
            Command::ListReadFailed { epoch, should_step_down } => {
                self.list_read_failed(epoch, should_step_down)
            }
            Command::OrderCompleted { id, answer } => self.order_completed(&id, answer),
            Command::GetAnnouncement { reply } => drop(reply.send(self.announcement())),
            Command::PeersAnnounced { addresses } => self.learn_announced_processes(&addresses),
            Command::Reload { settings } => self.reload(*settings),
            Command::Shutdown { done } => self.begin_shutdown(done),
        }
    }

    /// Takes over what may change while the process runs: the seeds. What it listens on and where its disk is stays.
    fn reload(&mut self, settings: Settings) {
        info!("settings", kv: { outcome = "reloaded", seeds = settings.seeds.len() });
        self.replica.set_seeds(seeds(&settings));
        self.settings = settings;
    }

    fn tick(&mut self) {
        self.cancel_abandoned_requests();
        self.chain(chain::Event::Tick);
        self.elect(election::Event::Tick);
        self.exchange();
        self.send_due_orders();
        self.serve_pulls();
        self.continue_shutdown();
    }

    fn peer(&mut self, from: SocketAddr, body: PeerMessage) {
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

    /// Hands an event to the replica and carries out what it wants.
    fn chain(&mut self, event: chain::Event) {
        let mut out = Vec::new();
        self.replica.handle(self.now(), event, &mut out);
        self.carry_out_chain(out);
        self.follow_view();
    }

    fn carry_out_chain(&mut self, actions: Vec<chain::Action>) {
        for action in actions {
            match action {
                chain::Action::Send { to, message } => {
                    log_forwarded(to, &message);
                    self.peer_transport.send(to, PeerMessage::Chain(message));
                }
                chain::Action::Persist { batch, records } => {
                    self.store(RecordOwner::Chain, batch, records, false);
                }
                chain::Action::RewriteLog { batch, records } => {
                    self.store(RecordOwner::Chain, batch, records, true);
                }
                chain::Action::Respond { id, response } => self.respond(id, response),
                chain::Action::Committed { config } => self.committed(&config),
                // The view is read from the replica's status after each event.
                chain::Action::ViewChanged(_) => {}
                chain::Action::Log(line) => logs::chain(&spdlog::default_logger(), &line),
            }
        }
    }

    /// Hands a batch to the storage thread. A rewrite of the chain's records carries the election's along.
    fn store(&mut self, owner: RecordOwner, number: u64, records: Vec<Vec<u8>>, is_rewrite: bool) {
        let mut tagged: Vec<Vec<u8>> = records.into_iter().map(|record| owner.tag_record(record)).collect();
        if is_rewrite {
            let election = self.elector.snapshot_records();
            tagged.extend(election.into_iter().map(|record| RecordOwner::Election.tag_record(record)));
        }
        // The thread ends only with the process.
        drop(self.log_writer.send(LogBatch { owner, number, records: tagged, is_rewrite }));
    }

    fn committed(&mut self, config: &chain::CommittedConfig) {
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
            self.engine_profiles = engine_profiles(&config.bytes);
            self.serve_pulls();
        }
    }
}

/// A change on its way to the head, or down the chain.
fn log_forwarded(to: SocketAddr, message: &chain::Message) {
    match message {
        chain::Message::Submit { version, base, bytes, .. } => {
            debug!("config", kv: { outcome = "forwarded", version = *version, base = *base, hash: = Hash(bytes), to: = to });
        }
        chain::Message::Replicate { entry, .. } => {
            let (version, base) = (entry.header.version, entry.header.base);
            debug!("config", kv: { outcome = "replicated", version, base, hash: = Hash(&entry.bytes), to: = to });
        }
        _ => {}
    }
}
