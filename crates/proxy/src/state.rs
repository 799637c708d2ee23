//! What all tasks of the process share: the tables, the connections to servers, whether it is shutting down.
//!
//! Everything runs on one thread. The feed's task is the only writer of the tables; request tasks take a snapshot of the
//! configuration and borrow the balancer for the length of one decision.

use crate::outbound::ConnectionPool;
use crate::routes::Routes;
use crate::telemetry::metrics::Metrics;
use lugwharf_config::{Configuration, Limits};
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{Update, VersionVector};
use lugwharf_routing::{Balancer, RetryBudgetConfig, Tuning};
use lugwharf_settings::{Bounds, Settings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Bytes of request bodies that are held at once, as a share of the process's memory.
const BODIES_SHARE: u64 = 4;

/// ProxyState by all tasks.
pub struct ProxyState {
    /// The zone of this machine.
    pub zone: String,
    /// The balancer; borrowed for one decision at a time, never across a wait.
    pub balancer: RefCell<Balancer>,
    /// Connections to servers.
    pub pool: ConnectionPool,
    /// Bytes of request bodies that may still be accepted in.
    pub free_body_bytes: Cell<u64>,
    /// What is counted.
    pub metrics: Metrics,
    routes: RefCell<Option<Rc<Routes>>>,
    limits: RefCell<Limits>,
    draining: Cell<bool>,
    /// Whether nobody more is let in.
    closed: Cell<bool>,
    max_body_bytes_in_flight: u64,
    started: Instant,
    jitter: RefCell<fastrand::Rng>,
}

impl ProxyState {
    /// Before anything is known.
    pub fn new(settings: &Settings, tuning: Tuning, seed: u64) -> Rc<ProxyState> {
        let pool = if tuning.reuses_connections {
            ConnectionPool::default()
        } else {
            ConnectionPool::without_reuse()
        };
        let balancer = Balancer::new(tuning, terms(&settings.bounds), seed);
        let max_body_bytes_in_flight = settings.limits.memory_mb.max(16) * 1024 * 1024 / BODIES_SHARE;
        Rc::new(ProxyState {
            zone: settings.zone.clone(),
            balancer: RefCell::new(balancer),
            pool,
            free_body_bytes: Cell::new(max_body_bytes_in_flight),
            max_body_bytes_in_flight,
            metrics: Metrics::default(),
            routes: RefCell::default(),
            limits: RefCell::default(),
            draining: Cell::new(false),
            closed: Cell::new(false),
            started: Instant::now(),
            jitter: RefCell::new(fastrand::Rng::with_seed(seed ^ u64::MAX)),
        })
    }

    /// The time as the balancer counts it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.borrow().clone()
    }

    /// What clients may send.
    pub fn limits(&self) -> Limits {
        self.limits.borrow().clone()
    }

    /// Whether requests can be served and are wanted.
    pub fn is_ready(&self) -> bool {
        let has_tables = self.routes.borrow().is_some() && self.balancer.borrow().has_servers();
        has_tables && !self.is_draining()
    }

    /// Whether the process is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// The process begins to shut down.
    pub fn drain(&self) {
        self.draining.set(true);
    }

    /// From now on nobody is let in.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Somebody was let in.
    pub fn record_admission(&self) {
        check(Invariant::NothingNewAfterDrain, !self.closed.get(), || "a connection was let in".to_owned());
    }

    /// Bytes of request bodies that are held.
    pub fn body_bytes(&self) -> u64 {
        self.max_body_bytes_in_flight.saturating_sub(self.free_body_bytes.get())
    }

    /// Gives bytes of a request's body back.
    pub fn release_body_bytes(&self, bytes: u64) {
        let (room, most) = (self.free_body_bytes.get() + bytes, self.max_body_bytes_in_flight);
        check(Invariant::BodyBytesBounded, room <= most, || format!("room of {room} bytes of {most}"));
        self.free_body_bytes.set(room);
    }

    /// A random number from 0 to below 1.
    pub fn random_fraction(&self) -> f64 {
        self.jitter.borrow_mut().f64()
    }

    /// Takes over what may change while the process runs.
    pub fn reload(&self, settings: &Settings) {
        self.balancer.borrow_mut().set_retry_budget(terms(&settings.bounds));
    }

    /// What this process has.
    pub fn have(&self) -> VersionVector {
        let balancer = self.balancer.borrow();
        let config = self.routes.borrow().as_ref().map_or(0, |routes| routes.version());
        VersionVector { config, servers: balancer.position(), live_proxies: balancer.reported_proxy_count() }
    }

    /// Takes an update over; what is older than what is held changes nothing.
    pub fn apply(&self, update: &Update) {
        if let Some(fleet) = update.fleet {
            self.balancer.borrow_mut().set_live_proxies(fleet.live_proxies);
        }
        if let Some(delta) = &update.servers {
            let mut balancer = self.balancer.borrow_mut();
            if balancer.apply(self.now(), delta) {
                self.pool.retain(|key| balancer.is_listed(key));
                spdlog::debug!("servers epoch={} sequence={}", delta.position.epoch, delta.position.sequence);
            }
        }
        if let Some(record) = &update.config
            && record.version > self.have().config
        {
            match Configuration::parse_unchecked(&record.bytes) {
                Ok(configuration) => self.enforce(configuration),
                Err(error) => {
                    spdlog::error!("config version={} outcome=unreadable error={error}", record.version)
                }
            }
        }
    }

    fn enforce(&self, configuration: Configuration) {
        let (before, version) = (self.have().config, configuration.version);
        check(Invariant::ProxyVersionClimbs, version > before, || format!("{version} after {before}"));
        spdlog::info!("config version={} routes={}", configuration.version, configuration.routes.len());
        self.balancer.borrow_mut().retain_services(|name| configuration.service(name).is_some());
        *self.limits.borrow_mut() = configuration.limits.clone();
        *self.routes.borrow_mut() = Some(Rc::new(Routes::new(configuration, || self.random_fraction())));
    }
}

fn terms(bounds: &Bounds) -> RetryBudgetConfig {
    RetryBudgetConfig {
        ratio: bounds.retry_budget,
        reserve: bounds.budget_slack,
        window: Duration::from_secs_f64(bounds.budget_window_s.clamp(0.1, 3_600.0)),
        local_share: 1.0,
    }
}
