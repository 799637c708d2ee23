//! The state shared by all tasks: the configuration, the balancer, the connection pool, and whether the
//! process is shutting down.
//!
//! All tasks run on one thread. Only the agent feed's task applies updates. The task of a request takes a
//! snapshot of the routes, and borrows the balancer for one decision at a time.

use crate::outbound::ConnectionPool;
use crate::routes::Routes;
use crate::shutdown::ServiceEnd;
use crate::telemetry::metrics::{Metrics, increment};
use lugwharf_config::{Configuration, Limits};
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::{Update, VersionVector};
use lugwharf_routing::{Balancer, RetryBudgetConfig, Tuning};
use lugwharf_settings::{Bounds, Settings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The divisor that gives the memory for request bodies: a quarter of the process's memory.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// The minimum assumed for the process's memory, in MiB.
const MIN_MEMORY_MB: u64 = 16;

/// The state shared by all tasks.
pub struct ProxyState {
    /// The zone of this node.
    pub zone: String,
    /// The balancer. It must be borrowed for one decision at a time, never across an await point.
    pub balancer: RefCell<Balancer>,
    /// The pool of connections to servers.
    pub pool: ConnectionPool,
    /// The memory that is still available for request bodies, in bytes.
    pub free_body_bytes: Cell<u64>,
    /// The counters for `GET /metrics`.
    pub metrics: Metrics,
    routes: RefCell<Option<Rc<Routes>>>,
    /// Idle client connections wait for changes of the limits, so that the idle timeout follows them.
    limits: watch::Sender<Limits>,
    /// The version that could not be read last, or 0.
    unreadable_version: Cell<u64>,
    /// `None` until the process drains.
    service_end: Cell<Option<ServiceEnd>>,
    /// Whether client connections are no longer admitted.
    is_admission_stopped: Cell<bool>,
    max_body_bytes: u64,
    started: Instant,
    rng: RefCell<fastrand::Rng>,
}

impl ProxyState {
    /// Creates the state of a process that has no configuration and no endpoint list yet.
    pub fn new(settings: &Settings, tuning: Tuning, seed: u64) -> Rc<ProxyState> {
        let pool = if tuning.reuses_connections {
            ConnectionPool::default()
        } else {
            ConnectionPool::without_reuse()
        };
        let balancer = Balancer::new(tuning, retry_budget_config(&settings.bounds), seed);
        let memory = settings.limits.memory_mb.max(MIN_MEMORY_MB) * 1024 * 1024;
        let max_body_bytes = memory / BODY_MEMORY_DIVISOR;
        Rc::new(ProxyState {
            zone: settings.zone.clone(),
            balancer: RefCell::new(balancer),
            pool,
            free_body_bytes: Cell::new(max_body_bytes),
            max_body_bytes,
            metrics: Metrics::new(),
            routes: RefCell::default(),
            limits: watch::Sender::default(),
            unreadable_version: Cell::new(0),
            service_end: Cell::new(None),
            is_admission_stopped: Cell::new(false),
            started: Instant::now(),
            // A separate generator, so that the balancer's random draws do not depend on how often other code
            // draws.
            rng: RefCell::new(fastrand::Rng::with_seed(seed ^ u64::MAX)),
        })
    }

    /// Returns the time since the start of the process, which is the balancer's clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the routes in force, or `None` if no configuration has been received.
    pub fn routes(&self) -> Option<Rc<Routes>> {
        self.routes.borrow().clone()
    }

    /// Returns the configured limits on what clients may send.
    pub fn limits(&self) -> Limits {
        self.limits.borrow().clone()
    }

    /// Returns a receiver of changes of the limits.
    pub fn watch_limits(&self) -> watch::Receiver<Limits> {
        self.limits.subscribe()
    }

    /// Returns whether the process is ready: it has a configuration and at least one server, and is not
    /// draining.
    pub fn is_ready(&self) -> bool {
        let has_tables = self.routes.borrow().is_some() && self.balancer.borrow().has_servers();
        has_tables && !self.is_draining()
    }

    /// Returns whether the process is draining.
    pub fn is_draining(&self) -> bool {
        self.service_end.get().is_some()
    }

    /// Starts draining: the process is no longer ready, and client connections close once the requests that
    /// have arrived on them are answered.
    pub fn start_draining(&self, service_end: ServiceEnd) {
        self.service_end.set(Some(service_end));
    }

    /// Returns whether a request that arrived at `arrived` and is due at `deadline` may be forwarded.
    pub fn may_forward(&self, arrived: Instant, deadline: Instant) -> bool {
        self.service_end.get().is_none_or(|end| end.allows(arrived, deadline))
    }

    /// Records that no client connection may be admitted from now on.
    pub fn stop_admission(&self) {
        self.is_admission_stopped.set(true);
    }

    /// Records the admission of a client connection, and checks that admission has not been stopped.
    pub fn record_admission(&self) {
        check(Invariant::NothingNewAfterDrain, !self.is_admission_stopped.get(), || {
            "a client connection was admitted after admission had stopped".to_owned()
        });
    }

    /// Returns the memory reserved for request bodies, in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.max_body_bytes.saturating_sub(self.free_body_bytes.get())
    }

    /// Releases `bytes` that were reserved for the body of a request.
    pub fn release_body_bytes(&self, bytes: u64) {
        let (free, max) = (self.free_body_bytes.get() + bytes, self.max_body_bytes);
        check(Invariant::BodyBytesBounded, free <= max, || {
            format!("{free} free bytes for request bodies, of at most {max}")
        });
        self.free_body_bytes.set(free);
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn random_fraction(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    /// Applies the only setting that may change while the process runs: the retry budget.
    pub fn reload(&self, settings: &Settings) {
        self.balancer.borrow_mut().set_retry_budget(retry_budget_config(&settings.bounds));
    }

    /// Returns the versions of the tables in force, with zeros for those that have not been received.
    pub fn versions(&self) -> VersionVector {
        let balancer = self.balancer.borrow();
        let config = self.routes.borrow().as_ref().map_or(0, |routes| routes.version());
        VersionVector { config, servers: balancer.position(), live_proxies: balancer.reported_proxy_count() }
    }

    /// Applies an update from the agent. Tables that are older than those in force are ignored.
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
            && record.version > self.versions().config
        {
            match Configuration::parse_unchecked(&record.bytes) {
                Ok(configuration) => {
                    let (version, hash) = (configuration.version, record.hash());
                    spdlog::info!(
                        "config version={version} routes={} hash={hash}",
                        configuration.routes.len()
                    );
                    self.set_configuration(configuration);
                }
                Err(error) => self.record_unreadable(record.version, &error),
            }
        }
    }

    /// Counts a configuration that can't be read, and logs it once: the agent sends it again.
    fn record_unreadable(&self, version: u64, error: &serde_json::Error) {
        increment(&self.metrics.unreadable_configs);
        if self.unreadable_version.replace(version) != version {
            spdlog::error!("config version={version} outcome=unreadable error={error}");
        }
    }

    fn set_configuration(&self, configuration: Configuration) {
        let (before, version) = (self.versions().config, configuration.version);
        check(Invariant::ProxyVersionClimbs, version > before, || {
            format!("configuration version {version} after {before}")
        });
        self.balancer.borrow_mut().retain_services(|name| configuration.service(name).is_some());
        // Most versions do not change the limits, and wake no idle connection.
        self.limits.send_if_modified(|limits| {
            let is_changed = *limits != configuration.limits;
            limits.clone_from(&configuration.limits);
            is_changed
        });
        *self.routes.borrow_mut() = Some(Rc::new(Routes::new(configuration, || self.random_fraction())));
    }
}

/// Returns the retry budget of the whole fleet from the settings. The balancer sets this proxy's share of it.
fn retry_budget_config(bounds: &Bounds) -> RetryBudgetConfig {
    RetryBudgetConfig {
        ratio: bounds.retry_budget,
        reserve: bounds.budget_slack,
        window: Duration::from_secs_f64(bounds.budget_window_s.clamp(0.1, 3_600.0)),
        local_share: 1.0,
    }
}
