//! Tests of SIGTERM to a member of the view, with and without a standby machine.

mod support;

use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::operator::Operator;
use lugwharf_emulator::wire::{Connection, Request};
use support::{Fleet, SMALL, Topology, next_configuration};

/// One front-end node and four control machines, one of which is not a member of the view.
const FOUR_CONTROLS: Topology = Topology { fronts: 1, controls: 4, ..SMALL };
/// The number of changes that are made one after the other before and after each event.
const CHANGES: u64 = 6;

/// Returns whether all other machines serve and have a view of three members without the machine `removed`.
async fn serves_without(fleet: &Fleet, removed: usize) -> bool {
    let [peer, _] = fleet.cluster.internal_addresses(removed);
    let peer = serde_json::Value::from(peer.to_string());
    for control in (0..FOUR_CONTROLS.controls).filter(|control| *control != removed) {
        let status = fleet.cluster.control_status(control).await.unwrap_or_default();
        let members = status["Members"].as_array().cloned().unwrap_or_default();
        if members.len() != 3 || members.contains(&peer) || status["Serving"] != true {
            return false;
        }
    }
    true
}

/// Returns the members of the first machine's view, by index.
async fn members(fleet: &Fleet) -> Vec<usize> {
    let status = fleet.cluster.control_status(0).await.unwrap_or_default();
    let named = status["Members"].as_array().cloned().unwrap_or_default();
    let is_named = |control: &usize| {
        let [peer, _] = fleet.cluster.internal_addresses(*control);
        named.contains(&peer.to_string().into())
    };
    (0..FOUR_CONTROLS.controls).filter(is_named).collect()
}

/// Returns whether all these members know a standby machine.
async fn know_a_standby(fleet: &Fleet, members: &[usize]) -> bool {
    for member in members {
        let status = fleet.cluster.control_status(*member).await.unwrap_or_default();
        if status["Standby"] != true {
            return false;
        }
    }
    true
}

/// Commits a change for each of these versions, one after the other.
async fn put_changes(fleet: &Fleet, operator: &Operator, versions: std::ops::Range<u64>) {
    for version in versions {
        let bytes = next_configuration(version, &format!("/added-{version}/")).to_bytes();
        let base = if version == 3 { 1 } else { version - 1 };
        assert_eq!(operator.put(&bytes, base).await.status(), Some(200), "{}", fleet.cluster.logs());
    }
}

#[tokio::test]
async fn leaving_member_is_replaced_before_it_ends() {
    let mut fleet = Fleet::start(FOUR_CONTROLS).await;
    assert!(poll(|| async { members(&fleet).await.len() == 3 }).await, "{}", fleet.cluster.logs());
    let before = members(&fleet).await;
    assert!(poll(|| know_a_standby(&fleet, &before)).await, "{}", fleet.cluster.logs());
    let removed = before[0];
    put_changes(&fleet, &fleet.operator, 3..3 + CHANGES).await;
    fleet.cluster.signal_control(removed, Signal::Terminate).expect("cannot signal the process");
    // Changes commit throughout the handover, whichever machine the operator asks.
    put_changes(&fleet, &fleet.operator, 3 + CHANGES..3 + 2 * CHANGES).await;
    let process =
        fleet.cluster.process(&format!("control-{removed}")).expect("the cluster has no such process");
    assert!(
        poll(|| std::future::ready(process.exit_status().is_some())).await,
        "the leaving process keeps running"
    );
    assert!(poll(|| serves_without(&fleet, removed)).await, "{}", fleet.cluster.logs());
    let log = fleet.cluster.logs();
    assert!(log.contains("shutdown { outcome=left"), "{log}");

    fleet.cluster.kill_control(before[1]).expect("cannot kill the process");
    let rest = (0..FOUR_CONTROLS.controls).filter(|control| *control != removed && *control != before[1]);
    let operator = Operator::new(rest.map(|control| fleet.cluster.control_address(control)).collect());
    put_changes(&fleet, &operator, 3 + 2 * CHANGES..3 + 3 * CHANGES).await;
    assert!(fleet.serves(0, &format!("/added-{}/", 2 + 3 * CHANGES)).await, "{}", fleet.cluster.logs());
}

/// A rolling restart: without a standby machine, the process ends at once, and rejoins with its disk.
#[tokio::test]
async fn leaving_member_without_a_standby_ends_at_once_and_rejoins() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut versions = (3..).step_by(2);
    for control in 0..SMALL.controls {
        fleet.cluster.signal_control(control, Signal::Terminate).expect("cannot signal the process");
        let process =
            fleet.cluster.process(&format!("control-{control}")).expect("the cluster has no such process");
        process.wait().expect("cannot wait for the process");
        let log = process.output();
        assert!(log.contains("shutdown { outcome=stayed"), "{log}");
        fleet.cluster.start_control(control).expect("cannot start the process");
        let version = versions.next().expect("there is no next version");
        put_changes(&fleet, &fleet.operator, version..version + 2).await;
        let is_back = || async {
            let status = fleet.cluster.control_status(control).await.unwrap_or_default();
            status["Member"] == true && status["InTouch"] == true
        };
        assert!(poll(is_back).await, "{}", fleet.cluster.logs());
    }
}

/// Guards against a change that is read whole and cut off without an answer when its control process ends.
/// Without a majority, the change stays undecided until its timeout.
#[tokio::test]
async fn change_in_progress_is_answered_before_its_process_ends() {
    let mut fleet = Fleet::start(SMALL).await;
    for lost in [1, 2] {
        fleet.cluster.kill_control(lost).expect("cannot kill the process");
    }
    let address = fleet.cluster.control_address(0);
    let mut connection = Connection::open(address).await.expect("cannot connect to the control process");
    let mut request = Request::new("PUT", "/config");
    request.headers.push("Host", address.to_string());
    request.headers.push("If-Match", "1");
    request.headers.push("Expect", "100-continue");
    request.body = next_configuration(3, "/added/").to_bytes();
    let bytes = request.encode();
    let (head, body) = bytes.split_at(bytes.len() - request.body.len());
    connection.write(head).await.expect("cannot send the head");
    connection.fill().await.expect("cannot receive the interim response");
    assert!(connection.unread().starts_with(b"HTTP/1.1 100 "), "{:?}", connection.unread());
    fleet.cluster.signal_control(0, Signal::Terminate).expect("cannot terminate the process");
    connection.write(body).await.expect("cannot send the body");
    let response = connection.read_response().await.expect("no response");
    assert_eq!(response.status, 503, "{}", fleet.cluster.logs());
    assert_eq!(response.headers.get("connection"), Some("close"));
}
