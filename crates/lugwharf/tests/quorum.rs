//! Tests of what the control plane may commit after it has lost machines or disks.

mod support;

use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::configuration::RouteSpec;
use lugwharf_emulator::operator::{CallOutcome, Operator};
use rstest::rstest;
use support::{Fleet, HOST, PLAIN_SERVICE, SMALL, next_configuration};

/// The attempt limit of an operator that is expected to get no answer.
const FEW_ATTEMPTS: usize = 5;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn acknowledged_change_survives_one_lost_disk_and_a_kill_of_all(#[case] wiped: usize) {
    let mut fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    fleet.cluster.kill_all().expect("cannot kill all processes");
    fleet.cluster.wipe_control_disk(wiped).expect("cannot wipe the disk of the machine");
    fleet.cluster.start_all().expect("cannot start all processes");
    assert_eq!(fleet.read_back().await, Some(bytes), "{}", fleet.cluster.logs());
    let next = next_configuration(4, "/next/").to_bytes();
    assert_eq!(fleet.operator.put(&next, 3).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/next/").await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn single_control_machine_commits_nothing() {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_control(0).expect("cannot kill the process");
    fleet.cluster.kill_control(1).expect("cannot kill the process");
    let bytes = next_configuration(3, "/added/").to_bytes();
    let mut limited_operator = fleet.operator.clone();
    limited_operator.max_attempts = FEW_ATTEMPTS;
    assert_eq!(limited_operator.put(&bytes, 1).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    fleet.cluster.start_control(0).expect("cannot start the process");
    fleet.cluster.start_control(1).expect("cannot start the process");
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(bytes));
}

#[tokio::test]
async fn machines_that_all_lost_their_disks_do_not_bootstrap_again() {
    let mut fleet = Fleet::start(SMALL).await;
    for index in 0..3 {
        fleet.cluster.kill_control(index).expect("cannot kill the process");
    }
    for index in 0..3 {
        fleet.cluster.wipe_control_disk(index).expect("cannot wipe the disk of the machine");
        fleet.cluster.start_control(index).expect("cannot start the process");
    }
    fleet.operator.max_attempts = FEW_ATTEMPTS;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 0).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, None);
}

#[tokio::test]
async fn machine_at_a_new_address_replaces_a_lost_one() {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_control(2).expect("cannot kill the process");
    fleet.cluster.start_control(3).expect("cannot start the process");
    let controls = [0, 1, 3];
    assert!(
        poll(|| fleet.is_in_chain(3, &controls)).await,
        "the new machine is not in the chain\n{}",
        fleet.cluster.logs()
    );
    // The lost machine stays a member until its replacement has caught up; the status shows when it is
    // removed.
    assert!(
        poll(|| is_removed(&fleet, 2)).await,
        "the lost machine is still a member\n{}",
        fleet.cluster.logs()
    );
    fleet.operator = Operator::new(controls.map(|index| fleet.cluster.control_address(index)).to_vec());
    let second = next_configuration(3, "/second/").to_bytes();
    assert_eq!(fleet.operator.put(&second, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.kill_control(0).expect("cannot kill the process");
    let third = next_configuration(4, "/third/").to_bytes();
    assert_eq!(fleet.operator.put(&third, 3).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(third));
    assert!(fleet.serves(0, "/third/").await, "{}", fleet.cluster.logs());
}

/// Returns whether the view of the first control machine does not contain the machine `index`.
async fn is_removed(fleet: &Fleet, index: usize) -> bool {
    let [peer, _] = fleet.cluster.internal_addresses(index);
    let status = fleet.cluster.control_status(0).await.unwrap_or_default();
    let members = status["Members"].as_array().cloned().unwrap_or_default();
    !members.is_empty() && !members.contains(&peer.to_string().into())
}

#[tokio::test]
async fn committed_change_is_acknowledged_again_after_a_kill_of_all() {
    let mut fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    for index in 0..3 {
        fleet.cluster.kill_control(index).expect("cannot kill the process");
    }
    for index in 0..3 {
        fleet.cluster.start_control(index).expect("cannot start the process");
    }
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    let other = next_configuration(3, "/other/").to_bytes();
    assert_eq!(fleet.operator.put(&other, 1).await.status(), Some(412), "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn many_changes_and_a_large_one_commit() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut base = 1;
    for version in (3..63).step_by(3) {
        let bytes = next_configuration(version, &format!("/added-{version}/")).to_bytes();
        assert_eq!(fleet.operator.put(&bytes, base).await.status(), Some(200), "{}", fleet.cluster.logs());
        base = version;
    }
    let mut large = next_configuration(100, "/added/");
    for index in 0..2_000 {
        large = large.with_route(RouteSpec::new(HOST, &format!("/large-{index}/"), "unsafe", PLAIN_SERVICE));
    }
    assert_eq!(
        fleet.operator.put(&large.to_bytes(), base).await.status(),
        Some(200),
        "{}",
        fleet.cluster.logs()
    );
    assert!(fleet.serves(0, "/large-1999/").await, "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(large.to_bytes()));
}

#[tokio::test]
async fn settings_reload_interrupts_nothing() {
    let mut fleet = Fleet::start(SMALL).await;
    let address = fleet.cluster.front_address(0);
    let mut client = lugwharf_emulator::client::Client::new(address);
    for turn in 0..20 {
        if turn % 5 == 2 {
            fleet.cluster.signal_front(0, Signal::Reload).expect("cannot signal the processes of the node");
        }
        let request = fleet.work();
        let outcome = client.send(&request).await;
        assert!(
            outcome.is_success() && outcome.failed_checks.is_empty(),
            "{outcome:?}\n{}",
            fleet.cluster.logs()
        );
    }
    for role in ["proxy", "agent"] {
        let process =
            fleet.cluster.process(&format!("front-0-{role}")).expect("the cluster has no such process");
        assert_eq!(process.exit_status(), None);
    }
}
