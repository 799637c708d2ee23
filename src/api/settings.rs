//! The configuration of a balancer: request classes, permissions of the deployment, and prices.

use std::time::Duration;

/// Whether the deployment permits an optional behaviour of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The behaviour is permitted.
    Granted,
    /// The behaviour is forbidden.
    Denied,
}

/// The servers that recognise and drop a repeat of a request by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers in the zone of the server that received the first attempt.
    Zone,
    /// The servers in the cell of the server that received the first attempt.
    Cell,
}

/// Whether a request of a class may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may be executed any number of times, on any server, at any time.
    Idempotent,
    /// The request carries an idempotency key: servers in the scope drop a repeat that arrives within the
    /// window.
    Keyed {
        /// The servers that drop a repeat.
        scope: DedupScope,
        /// How long these servers remember the key, from the first attempt that may have been executed.
        window: Duration,
    },
    /// The request may be sent again only if it is known that no earlier attempt was executed.
    NonIdempotent,
}

impl Idempotency {
    /// Returns the time, measured from the first attempt that may have been executed, within which a retry
    /// must reach its server; [`Duration::MAX`] without an idempotency key.
    pub fn window(self) -> Duration {
        if let Idempotency::Keyed { window, .. } = self { window } else { Duration::MAX }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns the full value of the request.
    pub latency_target: Duration,
    /// The total time that a client waits, including its own retries; zero if unknown.
    pub deadline: Duration,
    /// The latency target grows by this multiple of the request's expected work
    /// ([`Arrival::cost`](super::Arrival::cost)).
    pub latency_target_per_work: f64,
    /// The value of one request, or of one unit of its work; see [`ValueBasis`].
    pub value: f64,
    /// The share of the value that an answer after the latency target still earns, from 0 to 1.
    pub late_value_share: f64,
    /// Whether a request of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// The unit to which [`RequestClass::value`] applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueBasis {
    /// Each request has the value of its class.
    PerRequest,
    /// Each unit of a request's work (a millisecond of expected latency) has the value of its class.
    PerWork,
}

/// How the caller receives the server list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The caller subscribes to the list by itself; the module never returns
    /// [`Action::Subscribe`](super::Action::Subscribe).
    Pushed,
    /// The caller subscribes to the list when the module returns
    /// [`Action::Subscribe`](super::Action::Subscribe).
    OnRequest {
        /// The maximum time between attempts to subscribe, while a sidecar has no subscription.
        max_poll_interval: Duration,
    },
}

/// The capacity of servers after a start.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// The minimum share of its full capacity that a server has at its start.
    pub initial_capacity: f64,
    /// The maximum time after its start until a server has its full capacity.
    pub ramp_time: Duration,
    /// A server fails if it is sent more than this multiple of its current capacity for a sustained time.
    pub overload_multiple: f64,
}

/// The weights of the service objective. The queue serves first the requests that add the most to it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// The weight of the served share of the value of all requests.
    pub total_value: f64,
    /// The weight of the served share of the class for which it is smallest.
    pub worst_class: f64,
}

/// The configuration of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this sidecar.
    pub zone: u16,
    /// The index of this sidecar among all sidecars, from 0. It determines where the sidecar's subset starts.
    pub sidecar_index: u32,
    /// The number of sidecars.
    pub sidecar_count: u32,
    /// The idle time after which an upstream connection is closed.
    pub keep_alive: Duration,
    /// The request classes, by index.
    pub classes: Vec<RequestClass>,
    /// The unit to which the value of a class applies.
    pub value_basis: ValueBasis,
    /// The price of an attempt in another zone, relative to the value of an average request.
    pub cross_zone_price: f64,
    /// The price of a probe, relative to the value of an average request.
    pub probe_price: f64,
    /// The price of a new connection, relative to the value of an average request.
    pub handshake_price: f64,
    /// Whether load reports contain the number of requests that a server has in flight.
    pub is_load_reported: bool,
    /// The weights of the service objective.
    pub objective: ObjectiveWeights,
    /// The maximum number of attempts of a request, including the first one.
    pub max_attempts: usize,
    /// Whether attempts may be cancelled.
    pub cancel: Permission,
    /// Whether servers may be probed.
    pub probes: Permission,
    /// The longest `Retry-After` that clients honour; `None` if they honour none.
    pub max_retry_after: Option<Duration>,
    /// How the caller receives the server list.
    pub discovery: Discovery,
    /// The capacity of servers after a start.
    pub slow_start: SlowStart,
    /// The resolution of the caller's timers. Whatever is due within one tick counts as due.
    pub tick: Duration,
}

/// Conservative defaults: optional behaviours are denied, all prices are zero, and there are no classes.
impl Default for Settings {
    fn default() -> Self {
        Settings {
            zone: 0,
            sidecar_index: 0,
            sidecar_count: 1,
            keep_alive: Duration::from_secs(15),
            classes: Vec::new(),
            value_basis: ValueBasis::PerRequest,
            cross_zone_price: 0.0,
            probe_price: 0.0,
            handshake_price: 0.0,
            is_load_reported: false,
            objective: ObjectiveWeights { total_value: 1.0, worst_class: 0.0 },
            max_attempts: 2,
            cancel: Permission::Denied,
            probes: Permission::Denied,
            max_retry_after: None,
            discovery: Discovery::Pushed,
            slow_start: SlowStart {
                initial_capacity: 0.1,
                ramp_time: Duration::from_secs(30),
                overload_multiple: 2.0,
            },
            tick: Duration::from_millis(1),
        }
    }
}
