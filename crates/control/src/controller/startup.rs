//! Starts a controller: recovers the state machines from the log, and starts the tasks that act under the
//! lease.

use super::Controller;
use super::agent_registry::AgentRegistry;
use super::bootstrap_warning::BootstrapWarning;
use super::commit_history::CommitHistory;
use super::fleet_load::FleetLoad;
use super::gap_recovery::GapRecovery;
use super::list_watcher_role::ListWatcherRole;
use super::min_interval::MinInterval;
use super::pause_detector::PauseDetector;
use super::peer_exchange::EXCHANGE_INTERVAL;
use super::pending_requests::PendingRequests;
use super::platform_reachability::PlatformReachability;
use super::process_directory::ProcessDirectory;
use super::server_list::RESTATEMENT_INTERVAL;
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
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The maximum number of configurations that a front-end node is sent within `ConfigMs`, the time in which a
/// configuration has to be in effect. Waiting for the next interval then takes at most a quarter of that
/// time, and three quarters remain for the distribution.
const CONFIGS_PER_BOUND: u64 = 4;
/// The capacity of the queue of orders to send.
const ORDER_QUEUE_CAPACITY: usize = 256;

/// The capacity of the queue of report requests. For servers beyond it, planning uses the stage in the list.
const REPORT_QUEUE_CAPACITY: usize = 4_096;

/// The replica and the elector as recovered from the log, with the first actions of the replica.
struct Recovered {
    replica: Replica,
    elector: Elector,
    actions: Vec<chain::Action>,
}

/// Returns the peer address of this process.
fn local_address(settings: &Settings) -> SocketAddr {
    SocketAddr::new(settings.ip, settings.internal_ports().peer)
}

/// Whether a replica can be recovered from these tagged records. If not, the reason is logged.
fn is_recoverable(settings: &Settings, records: &[Vec<u8>]) -> bool {
    let replica_settings = replica_settings(settings, local_address(settings), 0, false);
    let records = RecordOwner::Chain.untagged_records(records);
    let recovered = Replica::recover(replica_settings, &records, Duration::ZERO, &mut Vec::new());
    recovered
        .inspect_err(|error| error!("log_file", kv: { outcome = "unrecoverable", error: = error }))
        .is_ok()
}

/// Recovers the replica and the elector from the records of the log. Both use the same seed for their random
/// delays.
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

/// The objects that control the tasks that act under the lease.
struct LeaseTasks {
    list_watcher_role: ListWatcherRole,
    stage_planning: StagePlanning,
    /// The address of the platform for the list watcher; `None` if the deployment has no platform.
    platform_address: Option<watch::Sender<SocketAddr>>,
}

/// Starts the tasks that act under the lease: the list watcher, the sender of orders and the reader of server
/// reports. Returns the objects that control them.
fn start_lease_tasks(
    settings: &Settings, stage_tuning: StageTuning, commands: &mpsc::Sender<Command>,
) -> LeaseTasks {
    let (list_watcher_role, lease) = ListWatcherRole::new();
    let (order_queue, orders) = mpsc::channel(ORDER_QUEUE_CAPACITY);
    let lease = LeaseWatch::new(lease);
    let (report_queue, report_requests) = mpsc::channel(REPORT_QUEUE_CAPACITY);
    tokio::spawn(orders::run(orders, lease.clone(), commands.clone()));
    tokio::spawn(server_reports::run(report_requests, lease.clone(), commands.clone()));
    let platform_address = settings.cloud.as_ref().map(|cloud| {
        let (sender, address) = watch::channel(cloud.address);
        tokio::spawn(list_watcher::initial_read(cloud.address, commands.clone()));
        tokio::spawn(list_watcher::run(address, lease, commands.clone()));
        sender
    });
    let stage_planning = StagePlanning::new(stage_tuning, order_queue, report_queue);
    LeaseTasks { list_watcher_role, stage_planning, platform_address }
}

impl Controller {
    /// Recovers the state from the log, and starts the threads and tasks that perform the I/O for the
    /// controller.
    ///
    /// # Errors
    /// `DataDir` is missing from the settings, the log can't be opened, or the replica can't be recovered
    /// from its records.
    pub fn start(
        settings: Settings, stage_tuning: StageTuning, commands: mpsc::Sender<Command>,
        rejections: &RejectionCounters,
    ) -> Result<Controller> {
        let directory = settings.data_dir.clone().ok_or_else(|| eyre!("settings: DataDir is missing"))?;
        let log = storage::open(&directory, commands.clone(), |records| is_recoverable(&settings, records))
            .wrap_err_with(|| format!("opening the log in {}", directory.display()))?;
        let started_at = Instant::now();
        let Recovered { replica, elector, actions } = recover(&settings, &log)
            .map_err(|error| eyre!("recovering from the log in {}: {error}", directory.display()))?;
        let LeaseTasks { list_watcher_role, stage_planning, platform_address } =
            start_lease_tasks(&settings, stage_tuning, &commands);
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
            platform_address,
            process_directory: ProcessDirectory::default(),
            report_schedule: MinInterval::new(EXCHANGE_INTERVAL),
            gap_recovery: GapRecovery::default(),
            list_restatement: MinInterval::new(RESTATEMENT_INTERVAL),
            platform_reachability: PlatformReachability::default(),
            pause_detector: PauseDetector::default(),
            bootstrap_warning: BootstrapWarning::default(),
            log_writer: log.writer,
            metrics: Metrics::new(rejections),
            shutdown: None,
        };
        controller.apply_replica_actions(actions);
        controller.report_view_to_elector();
        Ok(controller)
    }
}
