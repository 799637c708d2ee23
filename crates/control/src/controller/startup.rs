//! The start of a controller: recovery of the state machines from the log, and the tasks that act under the lease.

use super::Controller;
use super::agent_registry::AgentRegistry;
use super::bootstrap_notice::BootstrapNotice;
use super::commit_history::CommitHistory;
use super::fleet_load::FleetLoad;
use super::list_watcher_role::ListWatcherRole;
use super::pause_detector::PauseDetector;
use super::peer_exchange::ReportSchedule;
use super::pending_requests::PendingRequests;
use super::platform_reachability::PlatformReachability;
use super::process_directory::ProcessDirectory;
use super::stage_planning::StagePlanning;
use super::state_machine_settings::{elector_settings, replica_settings};
use super::view_tracker::ViewTracker;
use crate::command::Command;
use crate::lease::LeaseWatch;
use crate::list_watcher;
use crate::metrics::{Metrics, RejectionCounters};
use crate::orders;
use crate::peer_transport::PeerTransport;
use crate::pulls::PendingPulls;
use crate::record_owner::RecordOwner;
use crate::server_reports;
use crate::storage::{self, OpenedLog};
use eyre::{Result, WrapErr, eyre};
use lugwharf_chain::{self as chain, Replica};
use lugwharf_distribution::Tables;
use lugwharf_election::Elector;
use lugwharf_membership::{LiveNodeCounter, LiveNodeCounterSettings};
use lugwharf_settings::Settings;
use lugwharf_stages::StageTuning;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Configurations that a front may be sent within `ConfigMs`, in which each one has to be in force: waiting for the next one
/// leaves three quarters of that time for the way.
const CONFIGS_PER_BOUND: u64 = 4;
/// Orders that may wait to be sent.
const ORDER_QUEUE_LENGTH: usize = 256;

/// Servers that may wait to be asked for their reports; those beyond are planned as they are listed.
const REPORT_QUEUE_LENGTH: usize = 4_096;

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
    let rng_seed = fastrand::u64(..);
    let mut actions = Vec::new();
    let replica_settings = replica_settings(settings, local_address, rng_seed, log.was_quarantined);
    let records = RecordOwner::Chain.untagged_records(&log.records);
    let replica = Replica::recover(replica_settings, &records, Duration::ZERO, &mut actions)?;
    let records = RecordOwner::Election.untagged_records(&log.records);
    let elector = Elector::recover(elector_settings(local_address, rng_seed), &records, Duration::ZERO);
    Ok(Recovered { replica, elector, actions })
}

/// Starts the list watcher and the sender of orders, which act under the lease; returns what they are controlled by.
fn start_lease_tasks(
    settings: &Settings, stage_tuning: StageTuning, commands: &mpsc::Sender<Command>,
) -> (ListWatcherRole, StagePlanning) {
    let (list_watcher_role, lease) = ListWatcherRole::new();
    let (order_queue, orders) = mpsc::channel(ORDER_QUEUE_LENGTH);
    let lease = LeaseWatch::new(lease);
    let (report_queue, report_requests) = mpsc::channel(REPORT_QUEUE_LENGTH);
    tokio::spawn(orders::run(orders, lease.clone(), commands.clone()));
    tokio::spawn(server_reports::run(report_requests, lease.clone(), commands.clone()));
    if let Some(cloud) = settings.cloud.clone() {
        tokio::spawn(list_watcher::initial_read(cloud.clone(), commands.clone()));
        tokio::spawn(list_watcher::run(cloud, lease, commands.clone()));
    }
    (list_watcher_role, StagePlanning::new(stage_tuning, order_queue, report_queue))
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
            live_nodes: LiveNodeCounter::new(LiveNodeCounterSettings::default(), Duration::ZERO),
            fleet_load: FleetLoad::default(),
            stage_planning,
            process_directory: ProcessDirectory::default(),
            report_schedule: ReportSchedule::default(),
            platform_reachability: PlatformReachability::default(),
            pause_detector: PauseDetector::default(),
            bootstrap_notice: BootstrapNotice::default(),
            log_writer: log.writer,
            metrics: Metrics::new(rejections),
            shutdown: None,
        };
        controller.apply_replica_actions(actions);
        controller.follow_view();
        Ok(controller)
    }
}
