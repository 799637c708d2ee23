//! The owner of all state of a control process. It works through its queue one command at a time, hands events to the
//! state machines and carries their actions out.

use crate::command::Command;
use crate::lease::HeldRole;
use crate::logs::{self, Hash};
use crate::message::{PeerBody, RecordOwner, Written};
use crate::metrics::{Metrics, Refusals};
use crate::orders::{self, OrderCall};
use crate::peers::Peers;
use crate::pulls::Pulls;
use crate::reader;
use crate::storage::{self, Batch};
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
#[path = "owner_tests.rs"]
mod owner_tests;

mod agents_seen;
#[cfg(test)]
mod agents_seen_tests;
mod calls;
mod commits;
mod departure;
mod loads;
mod processes;
#[cfg(test)]
mod processes_tests;
mod reach;
#[cfg(test)]
mod reach_tests;
mod report;
mod role;
mod seeds;
mod settings;
mod stages;
mod standstill;
#[cfg(test)]
mod standstill_tests;
mod tables;
mod view;

use agents_seen::AgentsSeen;
use commits::Commits;
use departure::Departure;
use loads::Loads;
use processes::Processes;
use reach::Reach;
use settings::{elector_settings, replica_settings, seeds};
use stages::{EngineTerms, engine_terms};
use standstill::Standstill;

/// Configurations that a front is sent within the time in which each has to be in force: a wait for the next one leaves most of
/// that time for the way.
const CONFIGURATIONS_IN_BOUND: u64 = 4;
/// Orders that may wait for their calls.
const ORDERS: usize = 256;

/// All state of a control process.
pub struct Owner {
    settings: Settings,
    started: Instant,
    me: SocketAddr,
    replica: Replica,
    elector: Elector,
    tables: Tables,
    census: Census,
    agents: AgentsSeen,
    commits: Commits,
    loads: Loads,
    stages: Planner,
    stage_tuning: StageTuning,
    orders: mpsc::Sender<OrderCall>,
    /// What the newest configuration says of model services.
    engines: BTreeMap<String, EngineTerms>,
    pulls: Pulls,
    peers: Peers,
    batches: Sender<Batch>,
    /// Operator calls by ticket.
    calls: BTreeMap<u64, oneshot::Sender<OperatorResponse>>,
    next_ticket: u64,
    role: watch::Sender<Option<HeldRole>>,
    /// When the others were last told what this process has.
    exchanged: Option<Duration>,
    /// The number of the view that the elector was told last.
    elected_view: u64,
    /// The number of the last view in which the elector was told to grant nothing more.
    sealed_view: u64,
    /// The last holder of the list reader's role that was heard of, and since when.
    holder: Option<election::LeaseHolder>,
    holder_since: Duration,
    metrics: Metrics,
    reach: Reach,
    processes: Processes,
    standstill: Standstill,
    /// Under way since SIGTERM.
    departure: Option<Departure>,
}

/// Whether a replica can be recovered from these marked records.
fn is_readable(settings: &Settings, records: &[Vec<u8>]) -> bool {
    let me = SocketAddr::new(settings.ip, settings.internal_ports().peer);
    let records = RecordOwner::Chain.records(records);
    let recovered =
        Replica::recover(replica_settings(settings, me, 0, false), &records, Duration::ZERO, &mut Vec::new());
    recovered.inspect_err(|error| error!("log_file", kv: { outcome = "unreadable", reason: = error })).is_ok()
}

impl Owner {
    /// Recovers the state from the disk and starts the threads and tasks that serve it.
    pub fn start(
        settings: Settings, stage_tuning: StageTuning, commands: mpsc::Sender<Command>, refusals: &Refusals,
    ) -> Result<Owner> {
        let directory = settings.data_dir.clone().ok_or_else(|| eyre!("settings: DataDir is missing"))?;
        let opened = storage::open(&directory, commands.clone(), |records| is_readable(&settings, records))
            .wrap_err_with(|| format!("the log in {}", directory.display()))?;
        let started = Instant::now();
        let ports = settings.internal_ports();
        let me = SocketAddr::new(settings.ip, ports.peer);
        let seed = fastrand::u64(..);
        let mut out = Vec::new();
        let replica_settings = replica_settings(&settings, me, seed, opened.lost);
        let records = RecordOwner::Chain.records(&opened.records);
        let replica = Replica::recover(replica_settings, &records, Duration::ZERO, &mut out)
            .map_err(|error| eyre!("the log in {}: {error}", directory.display()))?;
        let records = RecordOwner::Election.records(&opened.records);
        let elector = Elector::recover(elector_settings(me, seed), &records, Duration::ZERO);
        let (role, holding) = watch::channel(None);
        let (orders, order_calls) = mpsc::channel(ORDERS);
        tokio::spawn(orders::run(order_calls, commands.clone()));
        if let Some(cloud) = settings.cloud.clone() {
            tokio::spawn(reader::first_look(cloud.clone(), commands.clone()));
            tokio::spawn(reader::run(cloud, holding, commands));
        }
        let pulls = Pulls::paced(Duration::from_millis(settings.bounds.config_ms / CONFIGURATIONS_IN_BOUND));
        let peers = Peers::new(me, settings.bind);
        let mut owner = Owner {
            settings,
            started,
            me,
            replica,
            elector,
            tables: Tables::new(),
            census: Census::new(CensusSettings::default(), Duration::ZERO),
            agents: AgentsSeen::default(),
            commits: Commits::default(),
            loads: Loads::default(),
            stages: Planner::new(PlannerSettings::default()),
            stage_tuning,
            orders,
            engines: BTreeMap::new(),
            pulls,
            peers,
            batches: opened.batches,
            calls: BTreeMap::new(),
            next_ticket: 1,
            role,
            exchanged: None,
            elected_view: 0,
            sealed_view: 0,
            holder: None,
            holder_since: Duration::ZERO,
            metrics: Metrics::new(refusals),
            reach: Reach::default(),
            processes: Processes::default(),
            standstill: Standstill::default(),
            departure: None,
        };
        owner.carry_out_chain(out);
        owner.follow_view();
        Ok(owner)
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
        self.standstill.look(self.now());
        match command {
            Command::Tick => self.tick(),
            Command::Peer { from, body } => self.peer(from, body),
            Command::Written(written) => self.written(written),
            Command::Pull { request, reply } => self.pull(request, reply),
            Command::Submit { base, version, request, bytes, reply } => {
                let ticket = self.open_call(reply);
                self.chain(chain::Event::Submit { id: ticket, base, version, request_hash: request, bytes });
            }
            Command::Read { reply } => {
                let ticket = self.open_call(reply);
                self.chain(chain::Event::Read { id: ticket });
            }
            Command::Status { reply } => drop(reply.send(self.status())),
            Command::Metrics { reply } => drop(reply.send(self.metrics_text())),
            Command::Listed { epoch, entries } => self.listed(epoch, entries),
            Command::LacksListing { reply } => drop(reply.send(self.lacks_listing())),
            Command::FirstListed { entries } => self.first_listed(entries),
            Command::ListingFailed { epoch, give_up } => self.listing_failed(epoch, give_up),
            Command::Ordered { id, answer } => self.ordered(&id, answer),
            Command::Announcement { reply } => drop(reply.send(self.announcement())),
            Command::Named { addresses } => self.learn_named(&addresses),
            Command::Reload { settings } => self.reload(*settings),
            Command::Shutdown { done } => self.begin_departure(done),
        }
    }

    /// Takes over what may change while the process runs: the seeds. What it listens on and where its disk is stays.
    fn reload(&mut self, settings: Settings) {
        info!("settings", kv: { outcome = "reloaded", seeds = settings.seeds.len() });
        self.replica.set_seeds(seeds(&settings));
        self.settings = settings;
    }

    fn tick(&mut self) {
        self.drop_abandoned();
        self.chain(chain::Event::Tick);
        self.elect(election::Event::Tick);
        self.exchange();
        self.give_orders();
        self.serve_pulls();
        self.go_on_departing();
    }

    fn peer(&mut self, from: SocketAddr, body: PeerBody) {
        self.processes.heard(self.now(), from);
        match body {
            PeerBody::Chain(message) => self.chain(chain::Event::Message { from, message }),
            PeerBody::Election(message) => self.elect(election::Event::Message { from, message }),
            PeerBody::Tables(message) => self.tables_message(from, message),
        }
    }

    fn written(&mut self, written: Written) {
        let Written { owner, number, synced } = written;
        match owner {
            RecordOwner::Chain if synced => self.chain(chain::Event::Persisted { batch: number }),
            RecordOwner::Chain => self.chain(chain::Event::PersistFailed { batch: number }),
            RecordOwner::Election => {
                let batch = election::BatchId(number);
                self.elect(match synced {
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
                    note_passed_on(to, &message);
                    self.peers.send(to, PeerBody::Chain(message));
                }
                chain::Action::Persist { batch, records } => {
                    self.store(RecordOwner::Chain, batch, records, false);
                }
                chain::Action::RewriteLog { batch, records } => {
                    self.store(RecordOwner::Chain, batch, records, true);
                }
                chain::Action::Respond { id, response } => self.answer_call(id, response),
                chain::Action::Committed { config } => self.committed(&config),
                // The view is read from the replica's status after each event.
                chain::Action::ViewChanged(_) => {}
                chain::Action::Log(line) => logs::chain(&spdlog::default_logger(), &line),
            }
        }
    }

    /// Hands a batch to the storage thread. A rewrite of the chain's records carries the election's along.
    fn store(&mut self, owner: RecordOwner, number: u64, records: Vec<Vec<u8>>, rewrite: bool) {
        let mut marked: Vec<Vec<u8>> = records.into_iter().map(|record| owner.mark(record)).collect();
        if rewrite {
            let election = self.elector.snapshot_records();
            marked.extend(election.into_iter().map(|record| RecordOwner::Election.mark(record)));
        }
        // The thread ends only with the process.
        drop(self.batches.send(Batch { owner, number, records: marked, rewrite }));
    }

    fn committed(&mut self, config: &chain::CommittedConfig) {
        let record = ConfigRecord { version: config.version, bytes: config.bytes.to_vec() };
        let before = self.tables.vector().config;
        check(Invariant::CommittedVersionClimbs, record.version > before, || {
            format!("version {} after {before}", record.version)
        });
        if self.tables.advance_config(Arc::new(record)) {
            self.commits.note(self.now(), config.version);
            self.metrics.commits.inc();
            info!("config", kv: {
                outcome = "committed", version = config.version, base = config.base, hash: = Hash(&config.bytes)
            });
            self.engines = engine_terms(&config.bytes);
            self.serve_pulls();
        }
    }
}

/// A change on its way to the head, or down the chain.
fn note_passed_on(to: SocketAddr, message: &chain::Message) {
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
