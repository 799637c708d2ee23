//! The parts of model servers: planned by the holder of the list reader's role, who alone gives orders.

use super::Controller;
use crate::metrics::order_answer_name;
use crate::orders::AuthorizedOrder;
use lugwharf_config::Configuration;
use lugwharf_protocol::ServerEntry;
use lugwharf_stages::target::Demand;
use lugwharf_stages::{OrderOutcome, StageTuning};
use spdlog::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::mpsc::error::TrySendError;

/// What a server takes to change its part, where the configuration does not say it.
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
    let terms = engines.map(|(name, engine)| {
        let switch = Duration::try_from_secs_f64(engine.switch_s).unwrap_or(DEFAULT_SWITCH);
        (name, EngineProfile { slots: engine.slots, switch })
    });
    terms.collect()
}

impl Controller {
    /// Looks at a fresh listing, service by service.
    pub(super) fn plan_stages(&mut self, now: Duration, entries: &[ServerEntry]) {
        if !self.stage_tuning.orders {
            return;
        }
        let mut services: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        for entry in entries.iter().filter(|entry| entry.stage.is_some()) {
            services.entry(entry.service.as_str()).or_default().push(entry);
        }
        for (service, servers) in services {
            let Some(terms) = self.engine_profiles.get(service) else { continue };
            let decode_in_flight = f64::from(self.fleet_load.decode_in_flight(now, service));
            let StageTuning { min_decode_share, max_decode_utilization, .. } = self.stage_tuning;
            let demand = Demand {
                decode_in_flight,
                slots: terms.slots,
                min_decode_share,
                max_utilization: max_decode_utilization,
            };
            self.stage_planner.plan(now, service, &servers, &demand);
        }
    }

    /// Sends the orders that are due, as long as this process holds the role.
    pub(super) fn send_due_orders(&mut self) {
        let now = self.now();
        let Some(lease) = self.held_lease() else { return };
        for order in self.stage_planner.due_orders(now) {
            info!("order", kv: { outcome = "given", id = order.id.as_str(), stage:? = order.stage, token = lease.token });
            let call = AuthorizedOrder { order, holder: self.settings.node.clone(), lease };
            if let Err(error) = self.order_queue.try_send(call) {
                warn!("order", kv: { outcome = "dropped", error: = error });
                let call = match error {
                    TrySendError::Full(call) | TrySendError::Closed(call) => call,
                };
                // It was never sent, so that the server need not stay out for it.
                self.stage_planner.record_outcome(
                    now,
                    &call.order.id,
                    OrderOutcome::Rejected,
                    Duration::ZERO,
                );
            }
        }
    }

    /// An order has ended.
    pub(super) fn order_completed(&mut self, id: &str, answer: OrderOutcome) {
        let now = self.now();
        let service = self.tables.servers().get(id).map(|entry| entry.service.as_str());
        let terms = service.and_then(|service| self.engine_profiles.get(service));
        let switch = terms.map_or(DEFAULT_SWITCH, |terms| terms.switch);
        info!("order", kv: { outcome = order_answer_name(answer), id });
        self.metrics.record_order(answer);
        self.stage_planner.record_outcome(now, id, answer, switch);
    }
}
