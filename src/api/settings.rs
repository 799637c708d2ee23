//! What a balancer is configured with: the classes of requests, what the deployment permits, and prices.

use std::time::Duration;

/// Whether the deployment permits something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// The balancer may do it.
    Granted,
    /// The balancer must not do it.
    Denied,
}

/// The servers that recognise a repeat of a keyed request and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers in the zone of the server that had the first copy.
    Zone,
    /// The servers in its cell.
    Cell,
}

/// Whether a request of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// It may run at any time, anywhere, any number of times.
    Idempotent,
    /// It carries an idempotency key: servers in the scope drop a repeat that arrives within the window.
    Keyed {
        /// The servers that drop the repeat.
        scope: DedupScope,
        /// How long they remember the key, counted from the first attempt that may have run.
        window: Duration,
    },
    /// It may be sent again only when every earlier attempt is known not to have run.
    NonIdempotent,
}

impl Idempotency {
    /// How long after the first attempt that may have run a retry may still reach its server.
    pub fn window(self) -> Duration {
        if let Idempotency::Keyed { window, .. } = self { window } else { Duration::MAX }
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// An answer within this time earns the full value.
    pub latency_target: Duration,
    /// How long a client waits in all, over its own retries; zero if unknown.
    pub deadline: Duration,
    /// The latency target grows by this multiple of the request's own work ([`Arrival::cost`](super::Arrival::cost)).
    pub latency_target_per_work: f64,
    /// The value of one request, or of one unit of its work; see [`ValueBasis`].
    pub value: f64,
    /// The share of the value that an answer after the latency target earns, from 0 to 1.
    pub late_value_share: f64,
    /// Whether a request may run again.
    pub idempotency: Idempotency,
}

/// What [`RequestClass::value`] is counted by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueBasis {
    /// Each request has the value of its class.
    PerRequest,
    /// Each unit of work (a millisecond of expected latency) has the value of its class.
    PerWork,
}

/// How the server list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// The caller follows the list by itself; [`Action::Subscribe`](super::Action::Subscribe) is never asked for.
    Pushed,
    /// The caller follows the list once the module asks for it.
    OnRequest {
        /// A sidecar without a subscription has to ask at least this often.
        max_poll_interval: Duration,
    },
}

/// How servers behave after a start.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowStart {
    /// The share of its capacity that a server has at its start, at least.
    pub initial_capacity: f64,
    /// A server has its full capacity this long after its start, at the latest.
    pub ramp_time: Duration,
    /// A server that is sent more than this multiple of its current capacity for a while fails.
    pub overload_multiple: f64,
}

/// The weights of what good service consists of.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the served share of all value.
    pub total_value: f64,
    /// Weight of that share in the class that is served worst.
    pub worst_class: f64,
}

/// The configuration of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The zone of this sidecar.
    pub zone: u16,
    /// The number of this sidecar among all sidecars, from 0; subsetting starts from it.
    pub sidecar_index: u32,
    /// How many sidecars there are.
    pub sidecar_count: u32,
    /// An upstream connection that is idle for this long is closed.
    pub keep_alive: Duration,
    /// The classes, by index.
    pub classes: Vec<RequestClass>,
    /// What value is counted by.
    pub value_basis: ValueBasis,
    /// The price of an attempt that leaves the zone, in the value of an average request.
    pub cross_zone_price: f64,
    /// The price of a probe, in the value of an average request.
    pub probe_price: f64,
    /// The price of a new connection, in the value of an average request.
    pub handshake_price: f64,
    /// Whether load reports say how many requests a server has in flight.
    pub is_load_reported: bool,
    /// What good service consists of.
    pub objective: ObjectiveWeights,
    /// Attempts that a request may have in all, the first included.
    pub max_attempts: usize,
    /// Whether an attempt may be cancelled.
    pub cancel: Permission,
    /// Whether servers may be probed.
    pub probes: Permission,
    /// The longest `Retry-After` that clients heed; `None` where they heed none.
    pub max_retry_after: Option<Duration>,
    /// How the list arrives.
    pub discovery: Discovery,
    /// How servers warm up.
    pub slow_start: SlowStart,
    /// The resolution of the caller's timers: what falls due within one tick counts as due.
    pub tick: Duration,
}

/// The careful choice: what need not be granted is denied, nothing has a price, and there is no class yet.
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
