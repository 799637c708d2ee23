//! The end of the process: not ready first, then whoever comes until the platform has noticed is served, then what is under
//! way comes to its end, all before the platform kills the process.

use crate::inbound::connections::ClientConnections;
use crate::inbound::listener::{admit_accepted, listen};
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout_at};

/// The platform checks once a second, and sends nobody any more after two misses.
const NOTICED: Duration = Duration::from_millis(2_300);
/// The process ends this much before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(300);
/// Whoever has just connected, or been answered, may have a request on its way.
const MAYBE_CLOSED_AFTER: Duration = Duration::from_millis(250);
/// How often connections that rest are told to close.
const LOOK: Duration = Duration::from_millis(50);

/// Shuts down, and returns once nothing is owed or the time is over.
pub async fn drain(
    state: &Rc<ProxyState>, clients: &Rc<ClientConnections>, listener: TcpListener, grace: Duration,
) {
    let begun = Instant::now();
    state.drain();
    let end = begun + grace.saturating_sub(BEFORE_KILL);
    let noticed = (begun + NOTICED).min(end);
    let _ = timeout_at(noticed, listen(state, clients, &listener)).await;
    admit_accepted(state, clients, listener);
    state.close();
    clients.close_idle(MAYBE_CLOSED_AFTER);
    while clients.count() > 0 && Instant::now() < end {
        let next = (Instant::now() + LOOK).min(end);
        let _ = timeout_at(next, clients.ended()).await;
        clients.close_idle(MAYBE_CLOSED_AFTER);
    }
    spdlog::info!("shutdown outcome=done open={} ms={}", clients.count(), begun.elapsed().as_millis());
}
