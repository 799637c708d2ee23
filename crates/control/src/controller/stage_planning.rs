//! Plans which model servers are in the prefill stage and which in the decode stage. Only the lease holder
//! plans and sends orders.

use super::Controller;
use super::fleet_load::FleetLoad;
use crate::lease::ROLE_NAME;
use crate::metrics::order_outcome_name;
use crate::orders::AuthorizedOrder;
use crate::server_reports::ReportRequest;
use lugwharf_config::Configuration;
use lugwharf_election::{self as election, FencingToken};
use lugwharf_protocol::{ServerEntry, ServerState};
use lugwharf_stages::target::Demand;
use lugwharf_stages::{Order, OrderOutcome, Planner, PlannerSettings, StageReport, StageTuning};
use spdlog::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// The time that a server takes to change its stage, if the configuration does not specify it.
const DEFAULT_SWITCH_TIME: Duration = Duration::from_secs(3);

/// The properties of a service's engine that planning needs, from the configuration.
#[derive(Clone, Copy)]
pub struct EngineProfile {
    slots: u32,
    switch_time: Duration,
}

/// Returns the engines of a configuration by service. Empty if the configuration can't be parsed.
pub fn engine_profiles(bytes: &[u8]) -> BTreeMap<String, EngineProfile> {
    let Ok(configuration) = Configuration::parse_unchecked(bytes) else { return BTreeMap::new() };
    let services = configuration.services.into_iter();
    let engines = services.filter_map(|service| Some((service.name, service.engine?)));
    let profiles = engines.map(|(name, engine)| {
        let switch_time = Duration::try_from_secs_f64(engine.switch_s).unwrap_or(DEFAULT_SWITCH_TIME);
        (name, EngineProfile { slots: engine.slots, switch_time })
    });
    profiles.collect()
}

/// The planner with its inputs, and the queues of orders and report requests to send.
pub struct StagePlanning {
    planner: Planner,
    tuning: StageTuning,
    /// The engines of the newest configuration, by service.
    engines: BTreeMap<String, EngineProfile>,
    order_queue: mpsc::Sender<AuthorizedOrder>,
    report_queue: mpsc::Sender<ReportRequest>,
}

impl StagePlanning {
    /// Creates a planner without a configuration. Orders are sent to `order_queue`, and requests for server
    /// reports to `report_queue`.
    pub fn new(
        tuning: StageTuning, order_queue: mpsc::Sender<AuthorizedOrder>,
        report_queue: mpsc::Sender<ReportRequest>,
    ) -> StagePlanning {
        let planner = Planner::new(PlannerSettings::default());
        StagePlanning { planner, tuning, engines: BTreeMap::new(), order_queue, report_queue }
    }

    /// Reads the engines from a committed configuration.
    pub fn set_configuration(&mut self, bytes: &[u8]) {
        self.engines = engine_profiles(bytes);
    }

    /// Starts planning after this process has acquired the lease.
    pub fn lease_acquired(&mut self, now: Duration) {
        self.planner.lease_acquired(now);
    }

    /// Stops planning after this process has lost the lease.
    pub fn lease_lost(&mut self) {
        self.planner.lease_lost();
    }

    /// Queues requests for the reports of servers in the list, under the lease with this fencing token.
    pub fn request_reports(&mut self, now: Duration, entries: &[ServerEntry], token: FencingToken) {
        if !self.tuning.orders {
            return;
        }
        for entry in self.planner.servers_to_query(now, entries) {
            let request = ReportRequest { id: entry.id.clone(), address: entry.address, token };
            if let Err(error) = self.report_queue.try_send(request) {
                warn!("report", kv: { outcome = "dropped", error: = error });
                return;
            }
        }
    }

    /// Records the report of a server that is listed as `entry`.
    pub fn record_report(&mut self, now: Duration, entry: &ServerEntry, report: StageReport) {
        let switch_time = self.switch_time(Some(&entry.service));
        self.planner.record_report(now, entry, report, switch_time);
    }

    /// Plans for a list that was just read, then marks the servers that are about to change their stage as
    /// draining in the list.
    pub fn plan(&mut self, now: Duration, entries: &mut [ServerEntry], load: &FleetLoad) {
        self.planner.confirm_changes(entries);
        self.plan_services(now, entries, load);
        self.planner.mark_changing_as_draining(entries);
    }

    fn plan_services(&mut self, now: Duration, entries: &[ServerEntry], load: &FleetLoad) {
        if !self.tuning.orders {
            return;
        }
        let mut services: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        for entry in entries.iter().filter(|entry| entry.stage.is_some()) {
            services.entry(entry.service.as_str()).or_default().push(entry);
        }
        for (service, servers) in services {
            let Some(engine) = self.engines.get(service) else { continue };
            let StageTuning { min_decode_share, max_decode_utilization, .. } = self.tuning;
            let demand = Demand {
                decode_in_flight: f64::from(load.decode_in_flight(now, service)),
                slots: engine.slots,
                min_decode_share,
                max_utilization: max_decode_utilization,
            };
            self.planner.plan(now, service, &servers, &demand);
        }
    }

    /// Queues the orders that are due, under the lease with this fencing token. `node` is the name of this
    /// node.
    pub fn send_due(&mut self, now: Duration, node: &str, token: FencingToken) {
        for order in self.planner.take_due_orders(now) {
            info!("order", kv: { outcome = "sent", id = order.id.as_str(), stage:? = order.stage, token = token.0 });
            self.enqueue(now, AuthorizedOrder { order, holder: node.to_owned(), token });
        }
    }

    fn enqueue(&mut self, now: Duration, order: AuthorizedOrder) {
        let Err(error) = self.order_queue.try_send(order) else { return };
        warn!("order", kv: { outcome = "dropped", error: = error });
        let (TrySendError::Full(dropped) | TrySendError::Closed(dropped)) = error;
        let Order { id, .. } = dropped.order;
        // The order was never sent, so the server may be used again immediately.
        self.planner.record_outcome(now, &id, OrderOutcome::Rejected, Duration::ZERO);
    }

    /// Records the outcome of the order to a server of this service. If the service is unknown, the change of
    /// stage is assumed to take [`DEFAULT_SWITCH_TIME`].
    pub fn record_order_outcome(
        &mut self, now: Duration, id: &str, service: Option<&str>, outcome: OrderOutcome,
    ) {
        let switch_time = self.switch_time(service);
        self.planner.record_outcome(now, id, outcome, switch_time);
    }

    /// Returns the time that the servers of a service take to change their stage.
    fn switch_time(&self, service: Option<&str>) -> Duration {
        let engine = service.and_then(|service| self.engines.get(service));
        engine.map_or(DEFAULT_SWITCH_TIME, |engine| engine.switch_time)
    }

    /// Records that a server rejected a fencing token of this process. Returns whether orders to this server
    /// are now suspended.
    pub fn record_stale_token(&mut self, now: Duration, id: &str, token: FencingToken) -> bool {
        self.planner.record_stale_token(now, id, token.0)
    }

    /// Returns the ids of those servers in `entries` that have been ordered to change their stage, or are
    /// about to be.
    pub fn changing_server_ids<'a>(
        &self, entries: impl Iterator<Item = &'a ServerEntry>,
    ) -> BTreeSet<String> {
        let as_ready = |entry: &ServerEntry| ServerEntry { state: ServerState::Ready, ..entry.clone() };
        let mut shown: Vec<ServerEntry> = entries.map(as_ready).collect();
        self.planner.mark_changing_as_draining(&mut shown);
        let changing = shown.into_iter().filter(|entry| entry.state == ServerState::Draining);
        changing.map(|entry| entry.id).collect()
    }
}

impl Controller {
    /// Sends the orders that are due, if this process holds the lease.
    pub(super) fn send_due_orders(&mut self) {
        let now = self.now();
        let Some(lease) = self.held_lease() else { return };
        self.stage_planning.send_due(now, &self.settings.node, lease.token);
    }

    /// Handles the outcome of an order that was sent under the lease with this fencing token. Orders of an
    /// earlier lease do not affect the planning under the present one.
    pub(super) fn handle_order_outcome(&mut self, id: &str, token: FencingToken, outcome: OrderOutcome) {
        let now = self.now();
        info!("order", kv: { outcome = order_outcome_name(outcome), id, token = token.0 });
        self.metrics.record_order(outcome);
        if self.holds_lease(token) {
            let service = self.tables.servers().get(id).map(|entry| entry.service.as_str());
            self.stage_planning.record_order_outcome(now, id, service, outcome);
        }
        if outcome == OrderOutcome::StaleToken {
            self.handle_refused_token(now, id, token);
        }
    }

    /// Handles the report of a server that was requested under the lease with this fencing token.
    pub(super) fn handle_server_report(&mut self, id: &str, token: FencingToken, report: StageReport) {
        let now = self.now();
        if !self.holds_lease(token) {
            return;
        }
        debug!("report", kv: { outcome = "received", id, stage:? = report.stage, busy = report.is_changing_stage, revision = report.revision });
        if let Some(entry) = self.tables.servers().get(id) {
            self.stage_planning.record_report(now, entry, report);
        }
    }

    /// Handles that a server has seen a higher fencing token than this one: this process performs no further
    /// action under this token, including reads of the list.
    fn handle_refused_token(&mut self, now: Duration, id: &str, token: FencingToken) {
        if self.stage_planning.record_stale_token(now, id, token) {
            warn!("order", kv: { outcome = "suspended", id, token = token.0 });
            self.metrics.suspensions.inc();
        }
        if self.holds_lease(token) {
            warn!("lease", kv: { role = ROLE_NAME, outcome = "stepped_down", reason = "stale_token", token = token.0 });
            self.metrics.stand_downs.inc();
        }
        self.handle_elector_event(election::Event::TokenRefused { token });
    }
}
