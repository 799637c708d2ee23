//! Plans which model servers are in the prefill and the decode stage. Only the lease holder plans and sends orders.

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

/// How long a server takes to change its stage, where the configuration does not say so.
const DEFAULT_SWITCH: Duration = Duration::from_secs(3);

/// What the configuration says of a service's engine, as far as planning needs it.
#[derive(Clone, Copy)]
pub struct EngineProfile {
    slots: u32,
    switch: Duration,
}

/// The engines of a configuration, by service.
pub fn engine_profiles(bytes: &[u8]) -> BTreeMap<String, EngineProfile> {
    let Ok(configuration) = Configuration::parse_unchecked(bytes) else { return BTreeMap::new() };
    let services = configuration.services.into_iter();
    let engines = services.filter_map(|service| Some((service.name, service.engine?)));
    let profiles = engines.map(|(name, engine)| {
        let switch = Duration::try_from_secs_f64(engine.switch_s).unwrap_or(DEFAULT_SWITCH);
        (name, EngineProfile { slots: engine.slots, switch })
    });
    profiles.collect()
}

/// The planner with what it plans by, and the queue of orders to be sent.
pub struct StagePlanning {
    planner: Planner,
    tuning: StageTuning,
    /// The engines of the newest configuration, by service.
    engines: BTreeMap<String, EngineProfile>,
    order_queue: mpsc::Sender<AuthorizedOrder>,
    report_queue: mpsc::Sender<ReportRequest>,
}

impl StagePlanning {
    /// Planning without a configuration; orders go to `order_queue`, and servers that are to be asked for their reports to
    /// `report_queue`.
    pub fn new(
        tuning: StageTuning, order_queue: mpsc::Sender<AuthorizedOrder>,
        report_queue: mpsc::Sender<ReportRequest>,
    ) -> StagePlanning {
        let planner = Planner::new(PlannerSettings::default());
        StagePlanning { planner, tuning, engines: BTreeMap::new(), order_queue, report_queue }
    }

    /// Takes the engines from a committed configuration.
    pub fn set_configuration(&mut self, bytes: &[u8]) {
        self.engines = engine_profiles(bytes);
    }

    /// This process has acquired the lease.
    pub fn lease_acquired(&mut self, now: Duration) {
        self.planner.lease_acquired(now);
    }

    /// This process has lost the lease.
    pub fn lease_lost(&mut self) {
        self.planner.lease_lost();
    }

    /// Has servers of a list asked for their reports, under the lease with this fencing token.
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
        let switch = self.switch_time(Some(&entry.service));
        self.planner.record_report(now, entry, report, switch);
    }

    /// Plans by a list that was just read, then marks the servers that are about to change their stage as draining in it.
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

    /// Queues the orders that are due, under the lease with this fencing token.
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
        // The order was never sent, so the server may be used again at once.
        self.planner.record_outcome(now, &id, OrderOutcome::Rejected, Duration::ZERO);
    }

    /// Records how the order to a server of this service ended. An unknown server has [`DEFAULT_SWITCH`].
    pub fn complete(&mut self, now: Duration, id: &str, service: Option<&str>, outcome: OrderOutcome) {
        let switch = self.switch_time(service);
        self.planner.record_outcome(now, id, outcome, switch);
    }

    /// How long the servers of a service take to change their stage.
    fn switch_time(&self, service: Option<&str>) -> Duration {
        let engine = service.and_then(|service| self.engines.get(service));
        engine.map_or(DEFAULT_SWITCH, |engine| engine.switch)
    }

    /// Records that a server rejected a fencing token of this process; returns whether it gets no more orders for a while.
    pub fn record_stale_token(&mut self, now: Duration, id: &str, token: FencingToken) -> bool {
        self.planner.record_stale_token(now, id, token.0)
    }

    /// Ids of these servers that have been ordered to change their stage, or are about to be.
    pub fn changing<'a>(&self, entries: impl Iterator<Item = &'a ServerEntry>) -> BTreeSet<String> {
        let as_ready = |entry: &ServerEntry| ServerEntry { state: ServerState::Ready, ..entry.clone() };
        let mut shown: Vec<ServerEntry> = entries.map(as_ready).collect();
        self.planner.mark_changing_as_draining(&mut shown);
        let changing = shown.into_iter().filter(|entry| entry.state == ServerState::Draining);
        changing.map(|entry| entry.id).collect()
    }
}

impl Controller {
    /// Sends the orders that are due, while this process holds the lease.
    pub(super) fn send_due_orders(&mut self) {
        let now = self.now();
        let Some(lease) = self.held_lease() else { return };
        self.stage_planning.send_due(now, &self.settings.node, lease.token);
    }

    /// An order under the lease with this fencing token has ended. What an earlier lease began changes nothing in this one.
    pub(super) fn order_completed(&mut self, id: &str, token: FencingToken, outcome: OrderOutcome) {
        let now = self.now();
        info!("order", kv: { outcome = order_outcome_name(outcome), id, token = token.0 });
        self.metrics.record_order(outcome);
        if self.holds_lease(token) {
            let service = self.tables.servers().get(id).map(|entry| entry.service.as_str());
            self.stage_planning.complete(now, id, service, outcome);
        }
        if outcome == OrderOutcome::StaleToken {
            self.token_refused(now, id, token);
        }
    }

    /// A server has reported its stage, to the holder of the lease with this fencing token.
    pub(super) fn server_reported(&mut self, id: &str, token: FencingToken, report: StageReport) {
        let now = self.now();
        if !self.holds_lease(token) {
            return;
        }
        debug!("report", kv: { outcome = "received", id, stage:? = report.stage, busy = report.is_changing_stage, revision = report.revision });
        if let Some(entry) = self.tables.servers().get(id) {
            self.stage_planning.record_report(now, entry, report);
        }
    }

    /// A server has seen a higher fencing token than this one: nothing more is done under it, also no read of the list.
    fn token_refused(&mut self, now: Duration, id: &str, token: FencingToken) {
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
