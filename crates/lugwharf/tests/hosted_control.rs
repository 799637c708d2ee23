//! Tests of a fleet without control machines: the agents of some front-end nodes host control processes, and
//! those of the others redirect callers to them (gateways).

mod support;

use lugwharf_emulator::cluster::{ControlPlacement, Signal, poll};
use lugwharf_emulator::operator::{CallOutcome, Operator, call_once};
use lugwharf_emulator::wire::Request;
use rstest::rstest;
use serde_json::json;
use support::{Fleet, HOST, PLAIN_SERVICE, Topology, next_configuration};

/// Three front-end nodes that host control processes, and one gateway.
const HOSTED: Topology = Topology { fronts: 4, controls: 3, placement: ControlPlacement::FrontEndNodes };
/// The index of the front-end node that is a gateway.
const GATEWAY: usize = 3;

async fn start() -> Fleet {
    Fleet::start(HOSTED).await
}

/// Returns an operator that calls only the gateway.
fn gateway_operator(fleet: &Fleet) -> Operator {
    Operator::new(vec![fleet.cluster.gateway_address(GATEWAY)])
}

/// Returns a patch that adds a route.
fn patch(version: u64, prefix: &str) -> Vec<u8> {
    let route = json!({
        "Name": format!("added-{version}"), "Host": HOST, "PathPrefix": prefix, "RouteKind": "unsafe",
        "TimeoutMs": 5_000, "SloMs": 500, "Service": PLAIN_SERVICE
    });
    json!({"Version": version, "Upsert": {"Routes": [route]}}).to_string().into_bytes()
}

fn status(outcome: &CallOutcome) -> Option<u16> {
    outcome.status()
}

#[tokio::test]
async fn gateway_forwards_operator_requests() {
    let mut fleet = start().await;
    let address = fleet.cluster.gateway_address(GATEWAY);
    let response = call_once(address, &Request::new("GET", "/config")).await.expect("the call failed");
    assert_eq!(response.status, 200);
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&gateway_operator(&fleet).put(&bytes, 1).await), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(gateway_operator(&fleet).get().await.body(), bytes);
    for front in 0..HOSTED.fronts {
        assert!(fleet.serves(front, "/added/").await, "front {front}\n{}", fleet.cluster.logs());
    }
}

/// Any machine that answers for control may be a seed; here all seeds are gateways.
#[tokio::test]
async fn processes_find_control_through_seeds_without_a_replica() {
    let mut fleet = Fleet::start(Topology { fronts: 5, ..HOSTED }).await;
    fleet.cluster.set_seeds(vec![fleet.cluster.gateway_address(GATEWAY)]);
    fleet.cluster.kill_control(2).expect("cannot kill the process");
    fleet.cluster.wipe_control_disk(2).expect("cannot wipe the disk of the machine");
    fleet.cluster.kill_front(GATEWAY + 1, "agent").expect("cannot kill the process");
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.start_control(2).expect("cannot start the process");
    fleet.cluster.start_front_process(GATEWAY + 1, "agent").expect("cannot start the process");
    assert!(poll(|| fleet.is_in_chain(2, &[0, 1, 2])).await, "{}", fleet.cluster.logs());
    assert!(fleet.serves(GATEWAY + 1, "/added/").await, "{}", fleet.cluster.logs());
}

/// After the loss of all processes, agents know only their seeds, and replicas know only each other.
#[tokio::test]
async fn fleet_recovers_where_no_seed_hosts_a_replica() {
    let topology = Topology { fronts: 5, ..HOSTED };
    let mut fleet = Fleet::start(topology).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200));
    fleet
        .cluster
        .set_seeds([GATEWAY, GATEWAY + 1].map(|front| fleet.cluster.gateway_address(front)).to_vec());
    fleet.cluster.kill_all().expect("cannot kill all processes");
    fleet.cluster.start_all().expect("cannot start all processes");
    for front in 0..topology.fronts {
        assert!(fleet.serves(front, "/added/").await, "front {front}\n{}", fleet.cluster.logs());
    }
    assert_eq!(fleet.read_back().await, Some(bytes), "{}", fleet.cluster.logs());
}

/// Guards against seeds that change without a signal and that running processes never learn of (`review/2`):
/// machines that restart afterwards know the new seeds alone, and no control process announces itself to them.
#[tokio::test]
async fn restarted_machines_find_control_after_seeds_changed_without_a_signal() {
    let mut fleet = Fleet::start(Topology { fronts: 5, ..HOSTED }).await;
    let gateways = [GATEWAY, GATEWAY + 1];
    let seeds = gateways.map(|front| fleet.cluster.gateway_address(front)).to_vec();
    fleet.cluster.replace_seeds_without_signal(seeds).expect("cannot replace the settings files");
    let reloaded = || async { fleet.cluster.logs().matches("outcome=reloaded seeds=2").count() >= 3 };
    assert!(poll(reloaded).await, "{}", fleet.cluster.logs());
    for front in gateways {
        for role in ["proxy", "agent"] {
            fleet.cluster.kill_front(front, role).expect("cannot kill the process");
        }
    }
    gateways.iter().for_each(|front| fleet.cluster.start_front(*front).expect("cannot start the processes"));
    for front in gateways {
        assert!(fleet.serves(front, "/work/").await, "front {front}\n{}", fleet.cluster.logs());
    }
}

/// When an agent is lost, so is its replica. The proxy of the machine keeps serving.
#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn changes_and_service_survive_the_loss_of_a_hosting_machine(#[case] machine: usize) {
    let mut fleet = start().await;
    fleet.cluster.kill_control(machine).expect("cannot kill the process");
    let request = fleet.work();
    assert!(fleet.send(machine, &request).await.is_success(), "{}", fleet.cluster.logs());
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(bytes));
    fleet.cluster.start_control(machine).expect("cannot start the process");
    assert!(fleet.serves(machine, "/added/").await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn wiped_hosting_machine_rejoins_and_votes() {
    let mut fleet = start().await;
    fleet.cluster.kill_control(2).expect("cannot kill the process");
    fleet.cluster.wipe_control_disk(2).expect("cannot wipe the disk of the machine");
    let second = next_configuration(3, "/second/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&second, 1).await), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.start_control(2).expect("cannot start the process");
    assert!(poll(|| fleet.is_in_chain(2, &[0, 1, 2])).await, "{}", fleet.cluster.logs());
    fleet.cluster.kill_control(0).expect("cannot kill the process");
    let third = next_configuration(4, "/third/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&third, 3).await), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(third));
}

#[tokio::test]
async fn fleet_recovers_from_a_kill_of_all_processes() {
    let mut fleet = start().await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200));
    fleet.cluster.kill_all().expect("cannot kill all processes");
    fleet.cluster.start_all().expect("cannot start all processes");
    assert_eq!(fleet.read_back().await, Some(bytes), "{}", fleet.cluster.logs());
    for front in 0..HOSTED.fronts {
        assert!(fleet.serves(front, "/added/").await, "front {front}\n{}", fleet.cluster.logs());
    }
}

/// The replica fails at each start, as its log can't be opened; the agent feeds its proxy meanwhile, and the
/// replica recovers by itself once the disk is healthy.
#[tokio::test]
async fn agent_survives_the_replica_that_it_hosts() {
    let mut fleet = start().await;
    fleet.cluster.kill_control(2).expect("cannot kill the process");
    fleet.cluster.wipe_control_disk(2).expect("cannot wipe the disk of the machine");
    let obstacle = fleet.cluster.data_directory(2).join("log");
    std::fs::create_dir_all(&obstacle).expect("cannot create the directory");
    fleet.cluster.start_control(2).expect("cannot start the process");
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(2, "/added/").await, "{}", fleet.cluster.logs());
    assert!(fleet.cluster.logs().contains("hosted_replica { outcome=failed"), "{}", fleet.cluster.logs());
    std::fs::remove_dir(&obstacle).expect("cannot remove the directory");
    assert!(poll(|| fleet.is_in_chain(2, &[0, 1, 2])).await, "{}", fleet.cluster.logs());
}

/// Both processes of a machine receive SIGTERM at the same time.
#[tokio::test]
async fn hosting_machine_terminates_gracefully_and_rejoins() {
    let mut fleet = start().await;
    fleet.cluster.signal_front(1, Signal::Terminate).expect("cannot signal the processes of the node");
    for name in ["control-1", "front-1-proxy"] {
        let process = fleet.cluster.process(name).expect("the cluster has no such process");
        let has_ended = poll(|| std::future::ready(process.exit_status().is_some())).await;
        let status = process.exit_status();
        assert!(
            has_ended && status.is_some_and(|status| status.success()),
            "{name}: {status:?}\n{}",
            fleet.cluster.logs()
        );
    }
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(status(&fleet.operator.put(&bytes, 1).await), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.start_front(1).expect("cannot start the processes of the node");
    assert!(fleet.serves(1, "/added/").await, "{}", fleet.cluster.logs());
}

/// Two patches are committed, and both are repeated at each machine.
#[tokio::test]
async fn patch_changes_named_items_and_is_acknowledged_again_everywhere() {
    let mut fleet = start().await;
    let first = patch(3, "/third/");
    let second = patch(5, "/fifth/");
    assert_eq!(status(&fleet.operator.patch(&first, 1).await), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(status(&fleet.operator.patch(&second, 3).await), Some(200), "{}", fleet.cluster.logs());
    for prefix in ["/third/", "/fifth/", "/work/"] {
        assert!(fleet.serves(GATEWAY, prefix).await, "{prefix}\n{}", fleet.cluster.logs());
    }
    for machine in 0..HOSTED.controls {
        let single_operator = Operator::new(vec![fleet.cluster.control_address(machine)]);
        for (body, base) in [(&second, 3), (&first, 1)] {
            assert_eq!(
                status(&single_operator.patch(body, base).await),
                Some(200),
                "{}",
                fleet.cluster.logs()
            );
        }
        let other = patch(4, "/other/");
        assert_eq!(status(&single_operator.patch(&other, 1).await), Some(412), "{}", fleet.cluster.logs());
    }
    let before = fleet.read_back().await.expect("cannot read the configuration back");
    let unknown = br#"{"Version":9,"Remove":{"Routes":["nowhere"]}}"#;
    assert_eq!(status(&fleet.operator.patch(unknown, 5).await), Some(400));
    assert_eq!(fleet.read_back().await, Some(before));
}
