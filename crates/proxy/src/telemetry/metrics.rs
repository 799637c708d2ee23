//! What this process counts, and the text in which it tells so.
//!
//! Counts are plain cells of the one thread; the text is made when it is asked for. `docs/OPERATING.md` lists the names.

use crate::inbound::connections::ClientConnections;
use crate::state::ProxyState;
use crate::telemetry::outcome::{AttemptLabel, RequestOutcome};
use lugwharf_telemetry::{Exposition, LogPermit, LogRateLimiter, MetricsEndpoint};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// What all names begin with.
const PREFIX: &str = "lugwharf_proxy";
/// One line in this time, for each way in which requests fail.
const LINE_EVERY: Duration = Duration::from_secs(1);
/// Lines at once, for each way in which requests fail.
const LINE_BURST: u32 = 5;

/// Counts since the start of the process.
pub struct Metrics {
    requests: [Cell<u64>; RequestOutcome::COUNT],
    sends: [Cell<u64>; AttemptLabel::NAMES.len()],
    /// Sends beyond the first that the retry budget did not allow.
    pub budget_denials: Cell<u64>,
    /// Handles that were freed since nobody took them.
    pub handles_freed: Cell<u64>,
    /// Handles that could not be freed and lapse by themselves.
    pub handles_left: Cell<u64>,
    /// Lines about failed requests that were left out.
    lines_omitted: Cell<u64>,
    limits: RefCell<[LogRateLimiter; RequestOutcome::COUNT]>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            requests: std::array::from_fn(|_| Cell::new(0)),
            sends: std::array::from_fn(|_| Cell::new(0)),
            budget_denials: Cell::new(0),
            handles_freed: Cell::new(0),
            handles_left: Cell::new(0),
            lines_omitted: Cell::new(0),
            limits: RefCell::new(std::array::from_fn(|_| LogRateLimiter::new(LINE_EVERY, LINE_BURST))),
        }
    }
}

/// Adds one.
pub fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Metrics {
    /// A request has ended.
    pub fn request_ended(&self, outcome: RequestOutcome) {
        increment(&self.requests[outcome.index()]);
    }

    /// A send has ended.
    pub fn send_ended(&self, outcome: AttemptLabel) {
        increment(&self.sends[outcome.index()]);
    }

    /// Asks whether a line about a request that ended so may be written at `now`.
    pub fn may_write_line(&self, now: Duration, outcome: RequestOutcome) -> Option<LogPermit> {
        let permit = self.limits.borrow_mut()[outcome.index()].try_acquire(now);
        if permit.is_none() {
            increment(&self.lines_omitted);
        }
        permit
    }

    fn write(&self, text: &mut Exposition) {
        let requests = RequestOutcome::all().map(|outcome| (outcome.name(), &self.requests[outcome.index()]));
        text.outcomes("requests", "Requests by their end", requests.map(|(name, count)| (name, count.get())));
        let sends = AttemptLabel::NAMES.into_iter().zip(self.sends.iter().map(Cell::get));
        text.outcomes("sends", "Sends to servers by their end", sends);
        let counters = [
            ("budget_denials", "Sends that the retry budget did not allow", &self.budget_denials),
            ("handles_freed", "Handles freed since nobody took them", &self.handles_freed),
            ("handles_left", "Handles that could not be freed", &self.handles_left),
            ("request_lines_omitted", "Lines about failed requests left out", &self.lines_omitted),
        ];
        for (name, help, count) in counters {
            text.counter(name, help, count.get());
        }
    }
}

/// Answers requests for the metrics for as long as the process runs.
pub async fn serve(state: Rc<ProxyState>, clients: Rc<ClientConnections>, endpoint: MetricsEndpoint) {
    let MetricsEndpoint { mut requests } = endpoint;
    while let Some(reply) = requests.recv().await {
        // Whoever asked may have gone.
        let _ = reply.send(render(&state, &clients));
    }
}

/// The text as things stand.
pub fn render(state: &ProxyState, clients: &ClientConnections) -> String {
    let mut text = Exposition::new(PREFIX);
    state.metrics.write(&mut text);
    let have = state.have();
    let gauges = [
        ("uptime_seconds", "Time since the start of the process", state.now().as_secs()),
        ("clients", "Connections of clients that are open", clients.count() as u64),
        ("body_bytes", "Bytes of request bodies that are held", state.body_bytes()),
        ("config_version", "Configuration in force; 0 for none", have.config),
        ("list_epoch", "Epoch of the list of servers", have.servers.epoch),
        ("list_sequence", "Sequence of the list of servers in its epoch", have.servers.sequence),
        ("live_proxies", "Live proxies of the fleet as last told", have.live_proxies.into()),
        ("ready", "Whether requests can be served and are wanted", state.is_ready().into()),
        ("draining", "Whether the process is shutting down", state.is_draining().into()),
    ];
    for (name, help, value) in gauges {
        text.gauge(name, help, value);
    }
    text.finish()
}
