//! The owner of everything that is known of servers, and what it is told of sends.

use crate::budget::{BudgetTerms, RetryBudget};
use crate::hand_over::HandOver;
use crate::prompt::Prompt;
use crate::report::LoadReport;
use crate::sample::{Part, Sample, value};
use crate::server::{Server, ServerKey};
use crate::tuning::Tuning;
use lugwharf_protocol::TablePosition;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

/// At most this share of a pool is ejected: where most look bad it isn't them.
const MOST_EJECTED: f64 = 0.5;

/// The servers of one service, and what is counted for it.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    pub servers: Vec<ServerKey>,
    pub budget: RetryBudget,
    pub typical: [Typical; Part::COUNT],
    pub hand_over: HandOver,
}

/// The median of the known averages in one part, looked at again after a while.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Typical {
    pub value: f64,
    pub until: Duration,
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
    terms: BudgetTerms,
}

impl Balancer {
    /// One that knows of no server. `terms.share` is taken from `tuning`.
    pub fn new(tuning: Tuning, terms: BudgetTerms, seed: u64) -> Balancer {
        let terms = BudgetTerms { share: tuning.budget_share, ..terms };
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
            terms,
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
    pub fn proxies(&self) -> u32 {
        if self.live_proxies == 0 { self.tuning.proxies_guess } else { self.live_proxies }
    }

    /// Proxies that were told to be alive; 0 if nothing was.
    pub fn known_proxies(&self) -> u32 {
        self.live_proxies
    }

    /// Replaces the terms of the retry budget.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = BudgetTerms { share: self.tuning.budget_share, ..terms };
    }

    /// A client's request for a service.
    pub fn requested(&mut self, now: Duration, service: &str) {
        let terms = self.terms;
        self.pool(service).budget.request(now, &terms);
    }

    /// Whether the service may get one more arrival beyond a request's first. It counts as spent.
    pub fn try_spend(&mut self, now: Duration, service: &str) -> bool {
        let (terms, proxies) = (self.terms, self.budget_proxies());
        self.pool(service).budget.try_spend(now, &terms, proxies)
    }

    /// Whether the memory of prompts is worth handing over between servers of the service now.
    pub fn try_pair(&mut self, now: Duration, service: &str) -> bool {
        self.pool(service).hand_over.try_pair(now)
    }

    /// A hand-over between servers of the service has ended.
    pub fn handed_over(&mut self, now: Duration, service: &str, succeeded: bool) {
        self.pool(service).hand_over.ended(now, succeeded);
    }

    /// A fleet that seems small may have grown unheard: half of the guess is assumed at least.
    fn budget_proxies(&self) -> u32 {
        self.proxies().max(self.tuning.proxies_guess / 2)
    }

    /// Whether a server may still be sent a request for `part`: to be asked right before each send.
    pub fn is_usable(&self, now: Duration, key: ServerKey, part: Part) -> bool {
        self.servers.get(&key).is_some_and(|server| server.takes(part, None, now))
    }

    /// Whether any server of a service is listed with a stage.
    pub fn has_stages(&self, service: &str) -> bool {
        let pool = self.services.get(service).map_or(&[][..], |pool| &pool.servers);
        pool.iter().any(|key| self.servers.get(key).is_some_and(|server| server.entry.stage.is_some()))
    }

    /// Whether a server stands in the list at all.
    pub fn is_listed(&self, key: ServerKey) -> bool {
        self.servers.contains_key(&key)
    }

    /// A server was chosen: counts from here on as in flight.
    pub fn started(&mut self, key: ServerKey, part: Part) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.parts[part.index()];
            state.in_flight = state.in_flight.saturating_add(1);
            server.ejection.started();
        }
    }

    /// What was started has ended, however it did.
    pub fn ended(&mut self, key: ServerKey, part: Part) {
        if let Some(server) = self.servers.get_mut(&key) {
            let state = &mut server.parts[part.index()];
            state.in_flight = state.in_flight.saturating_sub(1);
            server.ejection.ended();
        }
    }

    /// The incarnation of a listed server.
    pub fn id(&self, key: ServerKey) -> Option<&str> {
        self.servers.get(&key).map(|server| &*server.id)
    }

    /// Own requests in flight.
    pub fn in_flight(&self, key: ServerKey, part: Part) -> u32 {
        self.servers.get(&key).map_or(0, |server| server.parts[part.index()].in_flight)
    }

    /// Folds in what a send showed.
    pub fn observed(&mut self, now: Duration, key: ServerKey, part: Part, sample: Sample) {
        let Some(server) = self.servers.get_mut(&key) else { return };
        if let Some(time) = value(sample, part, &self.tuning) {
            let tuning = &self.tuning;
            server.parts[part.index()].latency.fold(now, tuning.tau, time, tuning.rises_at_once);
        }
        match sample {
            Sample::Answered { .. } => server.ejection.succeeded(),
            Sample::Void => server.ejection.ended(),
            Sample::Rejected => {
                server.ejection.ended();
                server.told_full(now, &self.tuning);
            }
            Sample::Failed { failure, .. } => {
                if server.ejection.failed(failure, &self.tuning) && self.tuning.ejects {
                    self.eject(now, key);
                }
            }
        }
    }

    fn eject(&mut self, now: Duration, key: ServerKey) {
        let Some(server) = self.servers.get(&key) else { return };
        let (service, stage) = (server.entry.service.as_str(), server.entry.stage);
        let pool = self.services.get(service).map_or(&[][..], |pool| &pool.servers);
        let alike = pool.iter().filter_map(|other| Some((other, self.servers.get(other)?)));
        let alike = alike.filter(|(_, server)| server.entry.stage == stage);
        let (mut all, mut ejected) = (0, 0);
        for (other, server) in alike {
            all += 1;
            ejected += usize::from(*other != key && server.ejection.is_ejected(now));
        }
        if (ejected + 1) as f64 <= all as f64 * MOST_EJECTED
            && let Some(server) = self.servers.get_mut(&key)
        {
            server.ejection.eject(now, &self.tuning);
        }
    }

    /// A server said that it is another one, or has another part (421): left out until the list changes its entry, or for a
    /// while.
    pub fn misdirected(&mut self, now: Duration, key: ServerKey) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.misdirected(now, &self.tuning);
        }
    }

    /// A server told its load.
    pub fn reported(&mut self, key: ServerKey, report: LoadReport) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.report = Some(report);
        }
    }

    /// A server has read a prompt.
    pub fn read_prompt(&mut self, now: Duration, key: ServerKey, prompt: &Prompt) {
        if let Some(server) = self.servers.get_mut(&key) {
            server.cache.used(now, prompt, self.tuning.cache_parts);
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
