//! The state of all servers, and the budgets of their services.

use crate::phase::Phase;
use crate::retry_budget::RetryBudgetConfig;
use crate::server::{Server, ServerKey};
use crate::service_pool::ServicePool;
use crate::tuning::Tuning;
use lugwharf_protocol::TablePosition;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// The load balancer of one proxy: all listed servers, what was measured about them, and the retry budgets of their services.
///
/// The caller applies list updates ([`Balancer::apply`]), selects a server ([`Balancer::select`]), and reports what became of
/// the attempt: [`Balancer::record_start`], [`Balancer::record_observation`] and [`Balancer::record_end`], in this order.
/// `now` is the time since any fixed point, and must not go back.
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
    /// The eligible servers of a selection; retained only for its allocation.
    pub(crate) eligible: Vec<ServerKey>,
    /// 0 while unknown.
    live_proxies: u32,
    retry_budget: RetryBudgetConfig,
}

impl Balancer {
    /// A balancer without servers. `retry_budget.local_share` is replaced by [`Tuning::retry_budget_share`].
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

    /// The constants in use.
    pub fn tuning(&self) -> &Tuning {
        &self.tuning
    }

    /// Sets the number of live proxies of the fleet; 0 if it is not known.
    pub fn set_live_proxies(&mut self, live: u32) {
        self.live_proxies = live;
    }

    /// The number of live proxies: as reported, or else [`Tuning::assumed_proxies`].
    pub fn proxy_count(&self) -> u32 {
        if self.live_proxies == 0 { self.tuning.assumed_proxies } else { self.live_proxies }
    }

    /// The number of live proxies as it was reported last; 0 if it was not.
    pub fn reported_proxy_count(&self) -> u32 {
        self.live_proxies
    }

    /// Replaces the rule of the retry budgets; what was counted so far stays. As in [`Balancer::new`], `local_share` comes from
    /// the tuning.
    pub fn set_retry_budget(&mut self, retry_budget: RetryBudgetConfig) {
        self.retry_budget = RetryBudgetConfig { local_share: self.tuning.retry_budget_share, ..retry_budget };
    }

    /// A client has sent a request for the service: deposits into its retry budget.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        let config = self.retry_budget;
        self.pool_mut(service).retry_budget.deposit(now, &config);
    }

    /// Withdraws one delivery beyond a request's first from the service's retry budget. Returns whether there was one left.
    pub fn try_withdraw_retry(&mut self, now: Duration, service: &str) -> bool {
        let (config, proxies) = (self.retry_budget, self.retry_budget_proxies());
        self.pool_mut(service).retry_budget.try_withdraw(now, &config, proxies)
    }

    /// The proxies that share a retry budget. A fleet that seems small may have grown since the last report, so that half of
    /// [`Tuning::assumed_proxies`] is assumed at least.
    fn retry_budget_proxies(&self) -> u32 {
        self.proxy_count().max(self.tuning.assumed_proxies / 2)
    }

    /// Whether a KV cache transfer between servers of the service may be attempted now; see
    /// [`KvTransferBreaker::try_acquire`](crate::KvTransferBreaker::try_acquire).
    pub fn try_kv_transfer(&mut self, now: Duration, service: &str) -> bool {
        self.pool_mut(service).kv_transfers.try_acquire(now)
    }

    /// Records the outcome of a KV cache transfer between servers of the service.
    pub fn record_kv_transfer(&mut self, now: Duration, service: &str, succeeded: bool) {
        self.pool_mut(service).kv_transfers.record(now, succeeded);
    }

    /// Whether an attempt of `phase` may still be sent to the server. The list may change while a connection is established, so
    /// that this is to be asked right before each attempt is written.
    pub fn is_eligible(&self, now: Duration, key: ServerKey, phase: Phase) -> bool {
        self.servers.get(&key).is_some_and(|server| server.accepts(phase, None, now))
    }

    /// Whether the service is disaggregated: it has servers with a stage, prefill or decode.
    pub fn is_disaggregated(&self, service: &str) -> bool {
        let keys = self.service_servers(service);
        keys.iter().any(|key| self.servers.get(key).is_some_and(|server| server.entry.stage.is_some()))
    }

    /// Whether the server is listed, eligible or not.
    pub fn is_listed(&self, key: ServerKey) -> bool {
        self.servers.contains_key(&key)
    }

    /// The id, which names the incarnation, of a listed server.
    pub fn server_id(&self, key: ServerKey) -> Option<&str> {
        self.servers.get(&key).map(|server| &*server.id)
    }

    /// The requests of this proxy in flight at the server in one phase.
    pub fn in_flight(&self, key: ServerKey, phase: Phase) -> u32 {
        self.servers.get(&key).map_or(0, |server| server.phases[phase.index()].in_flight)
    }

    /// Drops the budgets of services that neither `is_known` nor have servers.
    pub fn retain_services(&mut self, is_known: impl Fn(&str) -> bool) {
        self.services.retain(|name, pool| !pool.servers.is_empty() || is_known(name));
    }

    /// The servers of a service in the order in which they were listed.
    pub(crate) fn service_servers(&self, service: &str) -> &[ServerKey] {
        self.services.get(service).map_or(&[], |pool| &pool.servers)
    }

    /// The pool of a service; an empty one is created if there is none.
    pub(crate) fn pool_mut(&mut self, service: &str) -> &mut ServicePool {
        self.services.entry(service.to_owned()).or_default()
    }
}
