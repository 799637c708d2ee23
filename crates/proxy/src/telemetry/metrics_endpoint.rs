//! Renders the metrics of this process for `GET /metrics`.

use crate::inbound::connections::ClientConnections;
use crate::state::ProxyState;
use lugwharf_telemetry::{Exposition, MetricsEndpoint};
use std::rc::Rc;

/// The prefix of the names of all metrics.
const PREFIX: &str = "lugwharf_proxy";

/// Answers requests for the metrics until the endpoint closes.
pub async fn serve(state: Rc<ProxyState>, clients: Rc<ClientConnections>, endpoint: MetricsEndpoint) {
    let MetricsEndpoint { mut requests } = endpoint;
    while let Some(reply) = requests.recv().await {
        // The error is ignored: a closed channel means that the client has disconnected.
        let _ = reply.send(render(&state, &clients));
    }
}

/// Renders the current values as text.
pub fn render(state: &ProxyState, clients: &ClientConnections) -> String {
    let mut exposition = Exposition::new(PREFIX);
    state.metrics.expose(&mut exposition);
    let versions = state.versions();
    let gauges = [
        ("uptime_seconds", "Time since the start of the process", state.now().as_secs()),
        ("clients", "Open connections of clients", clients.count() as u64),
        ("body_bytes", "Bytes of request bodies in memory", state.body_bytes()),
        ("config_version", "Version of the configuration in force; 0 for none", versions.config),
        ("list_epoch", "Epoch of the endpoint list", versions.servers.epoch),
        ("list_sequence", "Sequence of the endpoint list in its epoch", versions.servers.sequence),
        ("live_proxies", "Live proxies of the fleet as last reported", versions.live_proxies.into()),
        ("ready", "Whether the process is ready for requests", state.is_ready().into()),
        ("draining", "Whether the process is draining", state.is_draining().into()),
    ];
    for (name, help, value) in gauges {
        exposition.gauge(name, help, value);
    }
    exposition.finish()
}
