//! Decides which servers change their stage, and when.

use crate::change::{Change, ChangeState};
use crate::load::DecayingPeak;
use crate::order::{Order, OrderOutcome};
use crate::report::{StageReport, opposite};
use crate::settings::PlannerSettings;
use crate::stale_tokens::StaleTokens;
use crate::target::{Demand, decode_targets};
use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

/// Under load, decode servers are reassigned only if at least this many are surplus. Otherwise a load that
/// varies by one server's worth would move that server back and forth, out of service for seconds each time.
const MIN_SURPLUS: usize = 2;
/// Below this number of requests in flight a service is idle.
const MIN_LOAD: f64 = 1.0;

/// Limits on the number of servers that change at once.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Whether the service is idle: all surplus servers of a zone then change at once. Under load, one server
    /// of a zone changes at a time.
    is_idle: bool,
    /// Whether decode servers may become prefill servers.
    may_reduce_decode: bool,
}

/// A change of up to `max_count` servers of a zone from one stage to the other.
#[derive(Clone, Copy, Debug)]
struct Reassignment {
    from: Stage,
    to: Stage,
    max_count: usize,
}

/// Plans the stages of the servers of all services.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: PlannerSettings,
    /// When the lease was acquired; `None` while it is not held.
    acquired_at: Option<Duration>,
    /// The changes by server id.
    changes: BTreeMap<String, Change>,
    /// By service: the time before which no change starts.
    cooldown_until: BTreeMap<String, Duration>,
    /// The load by service.
    loads: BTreeMap<String, DecayingPeak>,
    /// Whether the servers' reports have been requested under this lease.
    has_requested_reports: bool,
    /// By server id: the revision that the server reported under this lease; removed when it gets an order.
    revisions: BTreeMap<String, u64>,
    /// The servers that rejected fencing tokens of this process; kept from lease to lease.
    stale_tokens: StaleTokens,
}

impl Planner {
    /// Creates a planner that plans nothing before [`Planner::lease_acquired`].
    pub fn new(settings: PlannerSettings) -> Planner {
        Planner {
            settings,
            acquired_at: None,
            changes: BTreeMap::new(),
            cooldown_until: BTreeMap::new(),
            loads: BTreeMap::new(),
            has_requested_reports: false,
            revisions: BTreeMap::new(),
            stale_tokens: StaleTokens::default(),
        }
    }

    /// Starts planning: this process has acquired the lease of the list watcher's role.
    pub fn lease_acquired(&mut self, now: Duration) {
        self.acquired_at = Some(now);
        self.changes.clear();
        self.cooldown_until.clear();
        self.loads.clear();
        self.has_requested_reports = false;
        self.revisions.clear();
    }

    /// Stops planning: this process has lost the lease. No more orders are returned.
    pub fn lease_lost(&mut self) {
        self.acquired_at = None;
        self.changes.clear();
    }

    /// Returns the servers of a list that should be asked for their reports now: all of them once under each
    /// lease, and later those whose change the list should show but does not.
    pub fn servers_to_query<'a>(&mut self, now: Duration, list: &'a [ServerEntry]) -> Vec<&'a ServerEntry> {
        let Some(acquired_at) = self.acquired_at else { return Vec::new() };
        let queries_all = !self.has_requested_reports && now >= acquired_at + self.settings.report_delay;
        self.has_requested_reports |= queries_all;
        let is_unconfirmed = |entry: &ServerEntry| {
            let change = self.changes.get(&entry.id);
            change.is_some_and(|change| matches!(change.state, ChangeState::Unconfirmed { .. }))
        };
        let staged = list.iter().filter(|entry| entry.stage.is_some());
        staged.filter(|entry| queries_all || is_unconfirmed(entry)).collect()
    }

    /// Records the report of a server that the platform lists as `entry`. `switch_time` is the time that the
    /// server needs to change its stage.
    ///
    /// A server that is changing, or has a stage that the list does not show yet, has accepted an order:
    /// under an earlier lease, or under this one if its change takes longer than expected. Its change is
    /// recorded as in progress.
    pub fn record_report(
        &mut self, now: Duration, entry: &ServerEntry, report: StageReport, switch_time: Duration,
    ) {
        let change = self.changes.get(&entry.id);
        let is_known = change.is_some_and(|change| !matches!(change.state, ChangeState::Unconfirmed { .. }));
        if self.acquired_at.is_none() || is_known {
            return;
        }
        // A change that this process ordered has ended, or is recorded again below.
        if self.changes.remove(&entry.id).is_none() {
            self.revisions.insert(entry.id.clone(), report.revision);
        }
        let ongoing = if report.is_changing_stage {
            Some((opposite(report.stage), switch_time))
        } else {
            (entry.stage != Some(report.stage)).then_some((report.stage, Duration::ZERO))
        };
        let Some((stage, remaining)) = ongoing else { return };
        let settled_at = now + remaining + self.settings.list_lag;
        let state = ChangeState::Settling { until: settled_at };
        let change = Change { service: entry.service.clone(), address: entry.address, stage, state };
        self.changes.insert(entry.id.clone(), change);
        self.extend_cooldown(&entry.service, settled_at + self.settings.change_cooldown);
    }

    /// Plans the stages of the servers of one service, as listed by the platform, and announces the necessary
    /// changes.
    pub fn plan(&mut self, now: Duration, service: &str, servers: &[&ServerEntry], demand: &Demand) {
        self.remove_expired(now);
        let demand = self.smooth_demand(now, service, demand);
        if !self.may_order(now) || self.is_cooling_down(now, service) || self.is_changing(service) {
            return;
        }
        let servers_by_zone = ready_servers_by_zone(servers);
        let counts = servers_by_zone.iter().map(|(zone, servers)| (*zone, servers.len())).collect();
        let targets = decode_targets(&counts, &demand);
        let is_idle = demand.decode_in_flight < MIN_LOAD;
        let needed: usize = targets.values().sum();
        let decode_count: usize = servers_by_zone.values().map(|servers| count_decode(servers)).sum();
        let pace = Pace { is_idle, may_reduce_decode: is_idle || decode_count >= needed + MIN_SURPLUS };
        for (zone, servers) in servers_by_zone {
            let target = targets.get(zone).copied().unwrap_or(0);
            if let Some(reassignment) = reassignment(&servers, target, pace) {
                self.announce_changes(now, service, &servers, reassignment);
            }
        }
    }

    /// Returns the orders that are due by now. Each order is returned once.
    pub fn take_due_orders(&mut self, now: Duration) -> Vec<Order> {
        if !self.may_order(now) {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for (id, change) in &mut self.changes {
            if matches!(change.state, ChangeState::Announced { due_at } if now >= due_at) {
                change.state = ChangeState::Ordered;
                let if_revision = self.revisions.remove(id);
                orders.push(Order {
                    id: id.clone(),
                    address: change.address,
                    stage: change.stage,
                    if_revision,
                });
            }
        }
        orders
    }

    /// Records the outcome of an order. `switch_time` is the time that the server needs to change its stage.
    ///
    /// The outcome of an order that is no longer outstanding, such as one given under an earlier lease, is
    /// ignored.
    pub fn record_outcome(&mut self, now: Duration, id: &str, outcome: OrderOutcome, switch_time: Duration) {
        let settings = &self.settings;
        let change = self.changes.get_mut(id).filter(|change| change.state == ChangeState::Ordered);
        let Some(change) = change else { return };
        let settled_at = now + switch_time + settings.list_lag;
        change.state = match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => ChangeState::Settling { until: settled_at },
            OrderOutcome::Rejected | OrderOutcome::StaleToken => {
                ChangeState::CoolingDown { until: now + settings.failure_cooldown }
            }
        };
        self.cooldown_until.insert(change.service.clone(), settled_at + settings.change_cooldown);
    }

    /// Records that a server rejected an order under `token` because it has seen a higher one. Returns
    /// whether this suspends the server, which then gets no orders from this process for
    /// [`PlannerSettings::stale_token_suspension`].
    ///
    /// A lease holder whose token is rejected gives up the lease, so a server that remembers a token that no
    /// holder ever had would end every lease. The second rejection, under a token that a majority has granted
    /// since the first, suspends the server.
    pub fn record_stale_token(&mut self, now: Duration, id: &str, token: u64) -> bool {
        self.stale_tokens.record(now, id, token, self.settings.stale_token_suspension)
    }

    /// Marks the servers that are changing as draining in a list that is about to be published.
    pub fn mark_changing_as_draining(&self, list: &mut [ServerEntry]) {
        for entry in list {
            if self.changes.get(&entry.id).is_some_and(Change::is_in_progress) {
                entry.state = ServerState::Draining;
            }
        }
    }

    /// Ends the changes that a new list shows as done, so that these servers return to service.
    pub fn confirm_changes(&mut self, list: &[ServerEntry]) {
        for entry in list {
            let is_settled = self.changes.get(&entry.id).is_some_and(|change| {
                let is_settling =
                    matches!(change.state, ChangeState::Settling { .. } | ChangeState::Unconfirmed { .. });
                is_settling && entry.stage == Some(change.stage)
            });
            if is_settled {
                self.changes.remove(&entry.id);
            }
        }
    }

    /// Returns whether servers may be ordered to change now.
    fn may_order(&self, now: Duration) -> bool {
        let delay = self.settings.acquisition_delay;
        self.acquired_at.is_some_and(|acquired_at| now >= acquired_at + delay)
    }

    /// Delays the next change of a service to `until`, unless it is already delayed for longer.
    fn extend_cooldown(&mut self, service: &str, until: Duration) {
        let cooldown = self.cooldown_until.entry(service.to_owned()).or_default();
        *cooldown = until.max(*cooldown);
    }

    fn is_cooling_down(&self, now: Duration, service: &str) -> bool {
        self.cooldown_until.get(service).is_some_and(|until| now < *until)
    }

    fn is_changing(&self, service: &str) -> bool {
        self.changes.values().any(|change| change.service == service && change.is_in_progress())
    }

    /// Returns the demand with its load replaced by the decaying peak.
    fn smooth_demand(&mut self, now: Duration, service: &str, demand: &Demand) -> Demand {
        let load = self.loads.entry(service.to_owned()).or_default();
        let decode_in_flight = load.observe(now, demand.decode_in_flight, self.settings.load_decay_time);
        Demand { decode_in_flight, ..demand.clone() }
    }

    fn announce_changes(
        &mut self, now: Duration, service: &str, servers: &[&ServerEntry], reassignment: Reassignment,
    ) {
        let Reassignment { from, to, max_count } = reassignment;
        let candidates = servers.iter().filter(|server| server.stage == Some(from));
        let candidates = candidates.filter(|server| !self.changes.contains_key(&server.id));
        let candidates = candidates.filter(|server| !self.stale_tokens.is_suspended(now, &server.id));
        let chosen: Vec<&&ServerEntry> = candidates.take(max_count).collect();
        for server in chosen {
            let state = ChangeState::Announced { due_at: now + self.settings.announcement_delay };
            let change = Change { service: service.to_owned(), address: server.address, stage: to, state };
            self.changes.insert(server.id.clone(), change);
        }
    }

    fn remove_expired(&mut self, now: Duration) {
        self.changes.retain(|_, change| !change.is_expired(now));
        let until = now + self.settings.confirmation_timeout;
        for change in self.changes.values_mut().filter(|change| change.is_overdue(now)) {
            change.state = ChangeState::Unconfirmed { until };
        }
    }
}

/// Returns the servers that are ready and have a stage, by zone.
fn ready_servers_by_zone<'a>(servers: &[&'a ServerEntry]) -> BTreeMap<&'a str, Vec<&'a ServerEntry>> {
    let mut servers_by_zone: BTreeMap<&str, Vec<&ServerEntry>> = BTreeMap::new();
    for server in servers.iter().filter(|server| server.state == ServerState::Ready) {
        if server.stage.is_some() {
            servers_by_zone.entry(server.zone.as_str()).or_default().push(server);
        }
    }
    servers_by_zone
}

fn count_decode(servers: &[&ServerEntry]) -> usize {
    servers.iter().filter(|server| server.stage == Some(Stage::Decode)).count()
}

/// Returns the reassignment that moves a zone towards its target; `None` if none is needed or allowed.
fn reassignment(servers: &[&ServerEntry], target: usize, pace: Pace) -> Option<Reassignment> {
    let decode_count = count_decode(servers);
    let (from, to, missing) = match decode_count.cmp(&target) {
        Ordering::Equal => return None,
        Ordering::Greater if !pace.may_reduce_decode => return None,
        Ordering::Greater => (Stage::Decode, Stage::Prefill, decode_count - target),
        Ordering::Less => (Stage::Prefill, Stage::Decode, target - decode_count),
    };
    let max_count = if pace.is_idle { missing } else { 1 };
    Some(Reassignment { from, to, max_count })
}
