//! State of all servers, and the retry budgets of their services.

use crate::phase::Phase;
use crate::retry_budget::RetryBudgetConfig;
use crate::server::{Server, ServerKey};
use crate::service_pool::ServicePool;
use crate::tuning::Tuning;
use lugwharf_protocol::TablePosition;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// The load balancer of one proxy: all listed servers, their measurements, and the retry budgets of their
/// services.
///
/// The caller applies list updates ([`Balancer::apply`]), selects a server ([`Balancer::select`]), and
/// reports each attempt with [`Balancer::record_start`], [`Balancer::record_observation`] and
/// [`Balancer::record_end`], in this order. `now` is the time since an arbitrary fixed point and must not
/// decrease.
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
    /// Buffer for the eligible servers of a selection; kept between calls to reuse its allocation.
    pub(crate) eligible: Vec<ServerKey>,
    /// The reported number of live proxies; 0 while unknown.
    live_proxies: u32,
    retry_budget: RetryBudgetConfig,
}

impl Balancer {
    /// Creates a balancer without servers. `retry_budget.local_share` is overridden by
    /// [`Tuning::retry_budget_share`].
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
            eligible: Vec::new(),
            live_proxies: 0,
            retry_budget,
        }
    }

    /// Returns the tuning in use.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Sets the number of live proxies in the fleet; 0 means unknown.
    pub fn set_live_proxies(&mut self, live: u32) {
        self.live_proxies = live;
    }

    /// Returns the reported number of live proxies, or [`Tuning::assumed_proxies`] while it is unknown.
    pub fn proxy_count(&self) -> u32 {
        if self.live_proxies == 0 { self.tuning.assumed_proxies } else { self.live_proxies }
    }

    /// Returns the number of live proxies as last reported; 0 while unknown.
    pub fn reported_proxy_count(&self) -> u32 {
        self.live_proxies
    }

    /// Replaces the configuration of the retry budgets and keeps their counts. As in [`Balancer::new`],
    /// `local_share` is overridden by the tuning.
    pub fn set_retry_budget(&mut self, retry_budget: RetryBudgetConfig) {
        self.retry_budget = RetryBudgetConfig { local_share: self.tuning.retry_budget_share, ..retry_budget };
    }

    /// Records a client request for the service, which deposits into the service's retry budget.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let config = self.retry_budget;
        self.pool_mut(service).retry_budget.deposit(now, &config);
    }

    /// Withdraws one retry, a delivery of a request after its first, from the service's retry budget. Returns
    /// whether the budget allowed it.
    pub fn try_withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        let (config, proxies) = (self.retry_budget, self.retry_budget_proxies());
        self.pool_mut(service).retry_budget.try_withdraw(now, &config, proxies)
    }

    /// Returns the number of proxies assumed to share a retry budget: at least half of
    /// [`Tuning::assumed_proxies`], since a fleet that was reported as small may have grown since the last
    /// report.
    fn retry_budget_proxies(&self) -> u32 {
        self.proxy_count().max(self.tuning.assumed_proxies / 2)
    }

    /// Returns whether a KV cache transfer between servers of the service may be attempted now; see
    /// [`KvTransferBreaker::try_acquire`](crate::KvTransferBreaker::try_acquire).
    pub fn try_kv_transfer(&mut self, now: Duration, service: &str) -> bool {
        self.pool_mut(service).kv_transfers.try_acquire(now)
    }

    /// Records the outcome of a KV cache transfer between servers of the service.
    pub fn record_kv_transfer(&mut self, now: Duration, service: &str, succeeded: bool) {
        self.pool_mut(service).kv_transfers.record(now, succeeded);
    }

    /// Returns whether an attempt of `phase` may still be sent to the server. The endpoint list may change
    /// while a connection is being established, so the caller must check eligibility right before it writes
    /// each attempt.
    pub fn is_eligible(&self, now: Duration, key: ServerKey, phase: Phase) -> bool {
        self.servers.get(&key).is_some_and(|server| server.accepts(phase, None, now))
    }

    /// Returns whether the service is disaggregated, that is, has servers with a prefill or decode stage.
    pub fn is_disaggregated(&self, service: &str) -> bool {
        let keys = self.service_servers(service);
        keys.iter().any(|key| self.servers.get(key).is_some_and(|server| server.entry.stage.is_some()))
    }

    /// Returns whether the server is listed, even if it is not eligible.
    pub fn is_listed(&self, key: ServerKey) -> bool {
        self.servers.contains_key(&key)
    }

    /// Returns the id of a listed server. The id identifies the incarnation.
    pub fn server_id(&self, key: ServerKey) -> Option<&str> {
        self.servers.get(&key).map(|server| &*server.id)
    }

    /// Returns the number of requests that this proxy has in flight at the server in one phase.
    pub fn in_flight(&self, key: ServerKey, phase: Phase) -> u32 {
        self.servers.get(&key).map_or(0, |server| server.phases[phase.index()].in_flight)
    }

    /// Removes the state of services that have no servers and for which `is_known` returns false.
    pub fn retain_services(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|name, pool| !pool.servers.is_empty() || is_known(name));
    }

    /// Returns the servers of a service in listing order.
    pub(crate) fn service_servers(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], |pool| &pool.servers)
    }

    /// Returns the pool of a service; creates an empty one if there is none.
    pub(crate) fn pool_mut(&mut self, service: &str) -> &mut ServicePool {
        self.services.entry(service.to_owned()).or_default()
    }
}
