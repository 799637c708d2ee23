//! Graceful shutdown in four steps: the process fails its readiness checks; it continues to accept
//! connections until the platform has detected that; it stops accepting; requests in progress complete. The
//! last step ends before the platform kills the process: requests that are still in progress then are answered
//! with an error, unless their response has been started. So that none has to be aborted that arrived late,
//! late requests are only forwarded if they are due before that.

use crate::inbound::connections::ClientConnections;
use crate::inbound::listener::ClientListener;
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The time until the platform routes no more clients to this process: the platform checks readiness once a
/// second, and needs two failed checks.
const PLATFORM_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// The shutdown ends this long before the platform would kill the process.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// Requests in progress are aborted this long before the shutdown ends, so that clients receive the responses.
const ABORT_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Requests that arrive later than this after the begin of the shutdown are forwarded only if they are due
/// before its end: the operators excuse the abort of earlier ones alone.
const LATEST_LONG_ARRIVAL: Duration = Duration::from_secs(3);
/// Only connections that have been idle for this long are closed: a client that has just connected, or has
/// just received a response, may already have sent its next request.
const MIN_IDLE_TIME: Duration = Duration::from_millis(250);
/// The interval at which idle connections are asked to close.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// When a shutdown ends the service of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEnd {
    /// Requests that arrive later are forwarded only if they are due before `at`.
    pub latest_long_arrival: Instant,
    /// Requests that are still in progress are aborted.
    pub at: Instant,
}

impl ServiceEnd {
    /// Returns whether a request that arrived at `arrived` and is due at `deadline` may be forwarded now.
    pub fn allows(self, arrived: Instant, deadline: Instant) -> bool {
        let is_due_before_the_end = deadline <= self.at;
        let may_be_aborted = arrived <= self.latest_long_arrival && Instant::now() < self.at;
        is_due_before_the_end || may_be_aborted
    }
}

/// Shuts down gracefully. Returns once no client connection is open, at the latest [`KILL_MARGIN`] before the
/// end of `grace`.
pub async fn drain(
    state: &Rc<ProxyState>, connections: &Rc<ClientConnections>, mut listener: ClientListener,
    grace: Duration,
) {
    let started = Instant::now();
    let shutdown_deadline = started + grace.saturating_sub(KILL_MARGIN);
    let service_end = ServiceEnd {
        latest_long_arrival: started + LATEST_LONG_ARRIVAL,
        at: shutdown_deadline - ABORT_RESPONSE_TIME,
    };
    state.start_draining(service_end);
    let accept_until = (started + PLATFORM_DETECTION_TIME).min(shutdown_deadline);
    // Always times out, since `listen` never returns.
    let _ = timeout_at(accept_until, listener.listen(state, connections)).await;
    listener.admit_accepted(state, connections);
    state.stop_admission();
    close_connections(connections, service_end.at).await;
    connections.abort_requests();
    close_connections(connections, shutdown_deadline).await;
    let elapsed_ms = started.elapsed().as_millis();
    spdlog::info!(
        "shutdown outcome=completed open_connections={} elapsed_ms={elapsed_ms}",
        connections.count()
    );
}

/// Closes connections when they have been idle for [`MIN_IDLE_TIME`]. Returns once none is open, at the latest
/// at `deadline`.
async fn close_connections(connections: &Rc<ClientConnections>, deadline: Instant) {
    connections.close_idle(MIN_IDLE_TIME);
    while connections.count() > 0 && Instant::now() < deadline {
        let next_check = (Instant::now() + IDLE_CHECK_INTERVAL).min(deadline);
        // The result is ignored: the loop continues in the same way after a close and after the interval.
        let _ = timeout_at(next_check, connections.wait_for_close()).await;
        connections.close_idle(MIN_IDLE_TIME);
    }
}
