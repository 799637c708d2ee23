//! A proxy that can open no more descriptors has itself to blame, not its servers.

mod support;

use lugwharf_emulator::client::{Client, Outcome};
use lugwharf_emulator::cluster::poll;
use lugwharf_emulator::fault::Reachability;
use support::{Fleet, SMALL};
use tokio::task::JoinSet;

/// Clients with a connection of their own; more than the servers' kept connections.
const CLIENTS: usize = 8;
/// Enough descriptors for the small fleet.
const MANY: usize = 1_024;

/// The value of a counter of the proxy, by its name and label.
async fn sends(fleet: &Fleet, outcome: &str) -> u64 {
    let [proxy, _] = fleet.cluster.front_metrics(0).await;
    let text = proxy.unwrap_or_default();
    let start = format!("lugwharf_proxy_sends_total{{outcome=\"{outcome}\"}} ");
    text.lines()
        .find_map(|line| line.strip_prefix(start.as_str()))
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

#[tokio::test]
async fn descriptors_that_run_out_are_not_a_servers_failure() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let mut client = Client::new(fleet.cluster.front_address(0));
        let outcome = client.send(&fleet.work()).await;
        assert!(outcome.is_success() && client.is_connected(), "{outcome:?}");
        clients.push(client);
    }
    let before = sends(&fleet, "connect").await;
    // All requests are under way at once, as no server answers until then.
    fleet.plain.iter().for_each(|server| server.set_reachability(Reachability::Blackholed));
    let proxy = fleet.cluster.process("front-0-proxy").expect("a process");
    let open = proxy.open_descriptors();
    proxy.limit_open_descriptors(open).expect("a limit");
    let mut under_way = JoinSet::new();
    for mut client in clients {
        let request = fleet.work();
        under_way.spawn(async move { client.send(&request).await });
    }
    // The first ones that no connection is left for are answered.
    let first: Outcome = under_way.join_next().await.expect("an answer").expect("a client");
    assert_eq!(first.status, Some(503), "{first:?}");
    fleet.plain.iter().for_each(|server| server.set_reachability(Reachability::Serving));
    let outcomes = under_way.join_all().await;
    let proxy = fleet.cluster.process("front-0-proxy").expect("a process");
    proxy.limit_open_descriptors(MANY).expect("a limit");
    assert!(
        poll(|| async { sends(&fleet, "moot").await > 0 }).await,
        "{outcomes:?}\n{}",
        fleet.cluster.logs()
    );
    assert_eq!(sends(&fleet, "connect").await, before, "{}", fleet.cluster.logs());
    let request = fleet.work();
    assert!(fleet.send(0, &request).await.is_success());
}
