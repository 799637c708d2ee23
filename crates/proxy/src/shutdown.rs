//! Graceful shutdown, in four steps: the process reports not ready; it goes on accepting connections until the platform has
//! noticed; it stops accepting; requests in progress complete. All of it ends before the platform kills the process.

use crate::inbound::connections::ClientConnections;
use crate::inbound::listener::{admit_accepted, listen};
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// How long the platform takes to stop sending clients: it checks once a second, and does so after two failed checks.
const PLATFORM_NOTICE: Duration = Duration::from_millis(2_300);
/// The process ends this much before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(300);
/// The least idle time of connections that are closed: a client that has just connected, or received a response, may have a
/// request on its way.
const MIN_IDLE: Duration = Duration::from_millis(250);
/// How often idle connections are asked to close.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts down. Returns once no connection is open, or shortly before the end of `grace`.
pub async fn drain(
    state: &Rc<ProxyState>, connections: &Rc<ClientConnections>, listener: TcpListener, grace: Duration,
) {
    let started = Instant::now();
    state.drain();
    let end = started + grace.saturating_sub(KILL_MARGIN);
    let noticed = (started + PLATFORM_NOTICE).min(end);
    // Runs into its deadline: it never ends by itself.
    let _ = timeout_at(noticed, listen(state, connections, &listener)).await;
    admit_accepted(state, connections, listener);
    state.close();
    connections.close_idle(MIN_IDLE);
    while connections.count() > 0 && Instant::now() < end {
        let next = (Instant::now() + CHECK_INTERVAL).min(end);
        // Either a connection has closed or it is time for the next check.
        let _ = timeout_at(next, connections.wait_for_close()).await;
        connections.close_idle(MIN_IDLE);
    }
    let elapsed_ms = started.elapsed().as_millis();
    spdlog::info!(
        "shutdown outcome=completed open_connections={} elapsed_ms={elapsed_ms}",
        connections.count()
    );
}
