//! The owner of everything that is known of servers, and what it is told of sends.

use crate::kv_transfer::KvTransferBreaker;
use crate::load_report::LoadReport;
use crate::observation::{Observation, Phase, value};
use crate::prompt::Prompt;
use crate::retry_budget::{RetryBudget, RetryBudgetConfig};
use crate::server::{Server, ServerKey};
use crate::tuning::Tuning;
use lugwharf_protocol::TablePosition;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// At most this share of a pool is ejected: where most look bad it isn't them.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// The servers of one service, and what is counted for it.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    pub servers: Vec<ServerKey>,
    pub retry_budget: RetryBudget,
    pub median_latencies: [MedianLatency; Phase::COUNT],
    pub kv_transfers: KvTransferBreaker,
}

/// The median of the known averages in one phase, looked at again after a while.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MedianLatency {
    pub value: f64,
    pub valid_until: Duration,
}

/// All servers, their states and the budgets of their services.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) tuning: Tuning,
    pub(crate) rng: fastrand::Rng,
    pub(crate) servers: HashMap<ServerKey, Server>,
    pub(crate) by_id: HashMap<Rc<str>, ServerKey>,
    pub(crate) services: HashMap<String, ServicePool>,
    pub(crate) zones: HashSet<Rc<str>>,
    pub(crate) position: TablePosition,
    pub(crate) next_key: u32,
    pub(crate) live_proxies: u32,
    pub(crate) scratch: Vec<ServerKey>,
    retry_budget: RetryBudgetConfig,
}

impl Balancer {
    /// One that knows of no server. `retry_budget.local_share` is taken from `tuning`.
    pub fn new(tuning: Tuning, retry_budget: RetryBudgetConfig, seed: u64) -> Balancer {
        let retry_budget = RetryBudgetConfig { local_share: tuning.retry_budget_share, ..retry_budget };
        Balancer {
            tuning,
            rng: fastrand::Rng::with_seed(seed),
            servers: HashMap::new(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            zones: HashSet::new(),
            position: TablePosition::default(),
            next_key: 0,
            live_proxies: 0,
            scratch: Vec::new(),
            retry_budget,
        }
    }

    /// The figures in use.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// How many proxies are alive; 0 if that is not known.
    pub fn set_live_proxies(&mut self, live: u32) {
        self.live_proxies = live;
    }

    /// Proxies that are assumed to be alive.
    pub fn proxy_count(&self) -> u32 {
        if self.live_proxies == 0 { self.tuning.assumed_proxies } else { self.live_proxies }
    }

    /// Proxies that were told to be alive; 0 if nothing was.
    pub fn reported_proxy_count(&self) -> u32 {
        self.live_proxies
    }

    /// Replaces the config of the retry budget.
    pub fn set_retry_budget(&mut self, retry_budget: RetryBudgetConfig) {
        self.retry_budget = RetryBudgetConfig { local_share: self.tuning.retry_budget_share, ..retry_budget };
    }

    /// A client's request for a service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let config = self.retry_budget;
        self.pool(service).retry_budget.deposit(now, &config);
    }

    /// Whether the service may get one more arrival beyond a request's first. It counts as spent.
    pub fn try_withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        let (config, proxies) = (self.retry_budget, self.retry_budget_proxies());
        self.pool(service).retry_budget.try_withdraw(now, &config, proxies)
    }

    /// Whether the memory of prompts is worth handing over between servers of the service now.
    pub fn try_kv_transfer(&mut self, now: Duration, service: &str) -> bool {
        self.pool(service).kv_transfers.try_acquire(now)
    }

    /// A hand-over between servers of the service has ended.
    pub fn record_kv_transfer(&mut self, now: Duration, service: &str, succeeded: bool) {
        self.pool(service).kv_transfers.record(now, succeeded);
    }

    /// A fleet that seems small may have grown unheard: half of the guess is assumed at least.
    fn retry_budget_proxies(&self) -> u32 {
        self.proxy_count().max(self.tuning.assumed_proxies / 2)
    }

    /// Whether a server may still be sent a request for `part`: to be asked right before each send.
    pub fn is_eligible(&self, now: Duration, key: ServerKey, phase: Phase) -> bool {
        self.servers.get(&key).is_some_and(|server| server.accepts(phase, None, now))
    }

    /// Whether any server of a service is listed with a stage.
    pub fn is_disaggregated(&self, service: &str) -> bool {
        let pool = self.services.get(service).map_or(&[][..], |pool| &pool.servers);
        pool.iter().any(|key| self.servers.get(key).is_some_and(|server| server.entry.stage.is_some()))
    }

    /// Whether a server stands in the list at all.
    pub fn is_listed(&self, key: ServerKey) -> bool {
        self.servers.contains_key(&key)
    }

    /// A server was chosen: counts from here on as in flight.
    pub fn record_start(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_add(1);
            server.ejection.record_start();
        }
    }

    /// What was started has ended, however it did.
    pub fn record_end(&mut self, key: ServerKey, phase: Phase) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.phases[phase.index()];
            state.in_flight = state.in_flight.saturating_sub(1);
            server.ejection.record_inconclusive();
        }
    }

    /// The incarnation of a listed server.
    pub fn server_id(&self, key: ServerKey) -> Option<&str> {
        self.servers.get(&key).map(|server| &*server.id)
    }

    /// Own requests in flight.
    pub fn in_flight(&self, key: ServerKey, phase: Phase) -> u32 {
        self.servers.get(&key).map_or(0, |server| server.phases[phase.index()].in_flight)
    }

    /// Folds in what a send showed.
    pub fn record_observation(&mut self, now: Duration, key: ServerKey, phase: Phase, sample: Observation) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if let Some(latency) = value(sample, phase, &self.tuning) {
            let tuning = &self.tuning;
            server.phases[phase.index()].latency.observe(
                now,
                tuning.ewma_decay,
                latency,
                tuning.is_peak_sensitive,
            );
        }
        match sample {
            Observation::Success { .. } => server.ejection.record_success(),
            Observation::Inconclusive => server.ejection.record_inconclusive(),
            Observation::Rejected => {
                server.ejection.record_inconclusive();
                server.mark_overloaded(now, &self.tuning);
            }
            Observation::Failure { kind, .. } => {
                if server.ejection.record_failure(kind, &self.tuning) && self.tuning.ejects_outliers {
                    self.eject(now, key);
                }
            }
        }
    }

    fn eject(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get(&key) else { return };
        let (service, stage) = (server.entry.service.as_str(), server.entry.stage);
        let pool = self.services.get(service).map_or(&[][..], |pool| &pool.servers);
        let peers = pool.iter().filter_map(|other| Some((other, self.servers.get(other)?)));
        let peers = peers.filter(|(_, server)| server.entry.stage == stage);
        let (mut all, mut ejected) = (0, 0);
        for (other, server) in peers {
            all += 1;
            ejected += usize::from(*other != key && server.ejection.is_ejected(now));
        }
        if (ejected + 1) as f64 <= all as f64 * MAX_EJECTED_SHARE
            && let Some(server) = self.servers.get_mut(&key)
        {
            server.ejection.eject(now, &self.tuning);
        }
    }

    /// A server said that it is another one, or has another part (421): left out until the list changes its entry, or for a
    /// while.
    pub fn record_misdirected(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.mark_misdirected(now, &self.tuning);
        }
    }

    /// A server told its load.
    pub fn record_load_report(&mut self, key: ServerKey, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.load_report = Some(report);
        }
    }

    /// A server has read a prompt.
    pub fn record_prefill(&mut self, now: Duration, key: ServerKey, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.prefix_cache.record_prefill(now, prompt, self.tuning.prefix_cache_capacity);
        }
    }

    pub(crate) fn pool(&mut self, service: &str) -> &mut ServicePool {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServicePool::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }

    /// Forgets the budgets of services that neither `is_known` nor have servers.
    pub fn retain_services(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|name, pool| !pool.servers.is_empty() || is_known(name));
    }
}
