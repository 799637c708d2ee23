//! Tests that a proxy without free file descriptors does not count its failed connections as failures of its
//! servers.

mod support;

use lugwharf_emulator::client::{AttemptOutcome, Client};
use lugwharf_emulator::cluster::poll;
use lugwharf_emulator::fault::Reachability;
use support::{Fleet, SMALL};
use tokio::task::JoinSet;

/// The number of clients, each with its own connection. There are fewer idle connections to servers.
const CLIENTS: usize = 8;
/// A descriptor limit that is sufficient for the small fleet.
const AMPLE_DESCRIPTORS: usize = 1_024;

/// Returns the proxy's count of attempts with this outcome.
async fn attempts_with(fleet: &Fleet, outcome: &str) -> u64 {
    let [proxy, _] = fleet.cluster.front_metrics(0).await;
    let text = proxy.unwrap_or_default();
    let start = format!("lugwharf_proxy_sends_total{{outcome=\"{outcome}\"}} ");
    text.lines()
        .find_map(|line| line.strip_prefix(start.as_str()))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

#[tokio::test]
async fn exhausted_descriptors_are_not_counted_as_server_failures() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let mut client = Client::new(fleet.cluster.front_address(0));
        let outcome = client.send(&fleet.work()).await;
        assert!(outcome.is_success() && client.is_connected(), "{outcome:?}");
        clients.push(client);
    }
    let before = attempts_with(&fleet, "connect").await;
    // No server responds from now on, so that all requests are in flight at once.
    fleet.plain_servers.iter().for_each(|server| server.set_reachability(Reachability::Blackholed));
    let proxy = fleet.cluster.process("front-0-proxy").expect("the cluster has no such process");
    let open = proxy.open_descriptors();
    proxy.limit_open_descriptors(open).expect("cannot limit the open descriptors");
    let mut in_flight = JoinSet::new();
    for mut client in clients {
        let request = fleet.work();
        in_flight.spawn(async move { client.send(&request).await });
    }
    // Requests without a connection are refused first.
    let first: AttemptOutcome =
        in_flight.join_next().await.expect("no request is in flight").expect("the client task panicked");
    assert_eq!(first.status, Some(503), "{first:?}");
    fleet.plain_servers.iter().for_each(|server| server.set_reachability(Reachability::Serving));
    let outcomes = in_flight.join_all().await;
    let proxy = fleet.cluster.process("front-0-proxy").expect("the cluster has no such process");
    proxy.limit_open_descriptors(AMPLE_DESCRIPTORS).expect("cannot limit the open descriptors");
    assert!(
        poll(|| async { attempts_with(&fleet, "moot").await > 0 }).await,
        "{outcomes:?}\n{}",
        fleet.cluster.logs()
    );
    assert_eq!(attempts_with(&fleet, "connect").await, before, "{}", fleet.cluster.logs());
    let request = fleet.work();
    assert!(fleet.send(0, &request).await.is_success());
}
