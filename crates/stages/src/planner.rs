//! The planner: which servers change their part, and when.

use crate::target::{Demand, decode_targets};
use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Under load decode servers are given away only where there are so many too many: a load that moves by one server's worth
/// would send that server to and fro, out of service for seconds each time.
const MIN_SURPLUS: usize = 2;

/// The times and shares of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSettings {
    /// Nothing is ordered for so long after the role was gained: two holders must not take turns within the lease that
    /// the deployment states.
    pub acquisition_delay: Duration,
    /// From the announcement to the order.
    pub announcement_delay: Duration,
    /// What the list lags behind, with the time between two readings.
    pub list_lag: Duration,
    /// The pause after servers have changed their part, before the next change.
    pub change_cooldown: Duration,
    /// A server whose order failed is left alone for so long.
    pub failure_cooldown: Duration,
    /// Time constant of the decay of the load that is planned for.
    pub load_decay_time: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        PlannerSettings {
            acquisition_delay: Duration::from_millis(3_200),
            announcement_delay: Duration::from_millis(300),
            list_lag: Duration::from_millis(2_000),
            change_cooldown: Duration::from_secs(3),
            failure_cooldown: Duration::from_secs(5),
            load_decay_time: Duration::from_secs(20),
        }
    }
}

/// An order to a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The server's incarnation.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// The part that it is to have.
    pub stage: Stage,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server takes it (202), or has that part already (200).
    Accepted,
    /// There was no clear answer: it may have been taken.
    Unknown,
    /// The server refused (4xx).
    Rejected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Announced { due: Duration },
    Ordered,
    Settling { until: Duration },
    Resting { until: Duration },
}

#[derive(Clone, Debug)]
struct Change {
    service: String,
    address: SocketAddr,
    stage: Stage,
    step: Step,
}

impl Change {
    /// Whether the proxies are to leave the server alone.
    fn is_under_way(&self) -> bool {
        !matches!(self.step, Step::Resting { .. })
    }
}

/// Plans the parts of all services.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    gained: Option<Duration>,
    changes: BTreeMap<String, Change>,
    rest_until: BTreeMap<String, Duration>,
    loads: BTreeMap<String, HeldLoad>,
}

/// A load that rises at once and falls by timed decay: servers that a burst needed are not given away right after it, since
/// the next one would find them on their way back.
#[derive(Clone, Copy, Debug, Default)]
struct HeldLoad {
    value: f64,
    at: Duration,
}

impl HeldLoad {
    fn fold(&mut self, now: Duration, sample: f64, decay: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let keep = (-age / decay.as_secs_f64().max(1e-3)).exp();
        self.value = sample.max(sample + (self.value - sample) * keep);
        self.at = now;
        self.value
    }
}

impl Planner {
    /// One that plans nothing before [`Planner::lease_acquired`].
    pub fn new(settings: PlannerSettings) -> Planner {
        Planner {
            settings,
            gained: None,
            changes: BTreeMap::new(),
            rest_until: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    /// The role was gained.
    pub fn lease_acquired(&mut self, now: Duration) {
        self.gained = Some(now);
        self.changes.clear();
        self.rest_until.clear();
        self.loads.clear();
    }

    /// The role was lost: nothing more is ordered.
    pub fn lease_lost(&mut self) {
        self.gained = None;
        self.changes.clear();
    }

    /// Whether servers may be told to change now.
    fn may_order(&self, now: Duration) -> bool {
        self.gained.is_some_and(|gained| now >= gained + self.settings.acquisition_delay)
    }

    /// Looks at the servers of one service, as the platform lists them, and begins changes where they are due.
    pub fn plan(&mut self, now: Duration, service: &str, servers: &[&ServerEntry], demand: &Demand) {
        self.expire(now);
        let demand = self.held(now, service, demand);
        let resting = self.rest_until.get(service).is_some_and(|until| now < *until);
        let busy = self.changes.values().any(|change| change.service == service && change.is_under_way());
        if !self.may_order(now) || resting || busy {
            return;
        }
        let mut by_zone: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
        for server in servers.iter().filter(|server| server.state == ServerState::Ready) {
            if server.stage.is_some() {
                by_zone.entry(server.zone.as_str()).or_default().push(server);
            }
        }
        let counts = by_zone.iter().map(|(zone, servers)| (*zone, servers.len())).collect();
        let targets = decode_targets(&counts, &demand);
        let idle = demand.decode_in_flight < 1.0;
        let wanted: usize = targets.values().sum();
        let ready = by_zone.values().flatten();
        let decode = ready.filter(|server| server.stage == Some(Stage::Decode)).count();
        let may_lower = idle || decode >= wanted + MIN_SURPLUS;
        for (zone, servers) in by_zone {
            let target = targets.get(zone).copied().unwrap_or(0);
            self.plan_zone(now, service, &servers, target, idle, may_lower);
        }
    }

    /// The demand with the load as it was held.
    fn held(&mut self, now: Duration, service: &str, demand: &Demand) -> Demand {
        let load = self.loads.entry(service.to_owned()).or_default();
        let decode_in_flight = load.fold(now, demand.decode_in_flight, self.settings.load_decay_time);
        Demand { decode_in_flight, ..demand.clone() }
    }

    fn plan_zone(
        &mut self, now: Duration, service: &str, servers: &[&ServerEntry], target: usize, idle: bool,
        may_lower: bool,
    ) {
        let decode = servers.iter().filter(|server| server.stage == Some(Stage::Decode)).count();
        let (from, to, surplus) = match decode.cmp(&target) {
            std::cmp::Ordering::Greater if !may_lower => return,
            std::cmp::Ordering::Greater => (Stage::Decode, Stage::Prefill, decode - target),
            std::cmp::Ordering::Less => (Stage::Prefill, Stage::Decode, target - decode),
            std::cmp::Ordering::Equal => return,
        };
        // Under load one server of a zone changes at a time; without, all do.
        let most = if idle { surplus } else { 1 };
        let candidates = servers.iter().filter(|server| server.stage == Some(from));
        let candidates = candidates.filter(|server| !self.changes.contains_key(&server.id));
        let chosen: Vec<&&ServerEntry> = candidates.take(most).collect();
        for server in chosen {
            let step = Step::Announced { due: now + self.settings.announcement_delay };
            let change = Change { service: service.to_owned(), address: server.address, stage: to, step };
            self.changes.insert(server.id.clone(), change);
        }
    }

    /// The orders that are due now; each is named once.
    pub fn due_orders(&mut self, now: Duration) -> Vec<Order> {
        if !self.may_order(now) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for (id, change) in &mut self.changes {
            if matches!(change.step, Step::Announced { due } if now >= due) {
                change.step = Step::Ordered;
                orders.push(Order { id: id.clone(), address: change.address, stage: change.stage });
            }
        }
        orders
    }

    /// An order has ended. `switch` is what the server takes to change. An answer to an order that is not under way any more, as
    /// one of an earlier tenure of the role, changes nothing.
    pub fn record_outcome(&mut self, now: Duration, id: &str, answer: OrderOutcome, switch: Duration) {
        let settings = &self.settings;
        let Some(change) = self.changes.get_mut(id).filter(|change| change.step == Step::Ordered) else {
            return;
        };
        change.step = match answer {
            OrderOutcome::Accepted | OrderOutcome::Unknown => {
                Step::Settling { until: now + switch + settings.list_lag }
            }
            OrderOutcome::Rejected => Step::Resting { until: now + settings.failure_cooldown },
        };
        let rest = now + switch + settings.list_lag + settings.change_cooldown;
        self.rest_until.insert(change.service.clone(), rest);
    }

    /// Shows the servers that change as leaving.
    pub fn overlay(&self, listing: &mut [ServerEntry]) {
        for entry in listing {
            if self.changes.get(&entry.id).is_some_and(Change::is_under_way) {
                entry.state = ServerState::Draining;
            }
        }
    }

    /// The list shows that servers have their new part: they need not stay out any longer.
    pub fn observe(&mut self, listing: &[ServerEntry]) {
        for entry in listing {
            let settled = self.changes.get(&entry.id).is_some_and(|change| {
                matches!(change.step, Step::Settling { .. }) && entry.stage == Some(change.stage)
            });
            if settled {
                self.changes.remove(&entry.id);
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        self.changes.retain(|_, change| match change.step {
            Step::Settling { until } | Step::Resting { until } => now < until,
            Step::Announced { .. } | Step::Ordered => true,
        });
    }
}
