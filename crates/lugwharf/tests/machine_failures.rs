//! Tests of machines that are killed, lose their disks, restart or terminate.

mod support;

use lugwharf_emulator::cluster::{poll, readiness_status};
use lugwharf_emulator::model_server::{ModelParameters, Stage};
use lugwharf_emulator::operator::Operator;
use rstest::rstest;
use std::io::Write;
use support::{Fleet, SMALL, Topology, next_configuration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[rstest]
#[case(0)]
#[case(1)]
#[case(2)]
#[tokio::test]
async fn change_commits_without_one_control_machine(#[case] killed: usize) {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_control(killed).expect("cannot kill the process");
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(bytes));
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn killed_control_machine_recovers_from_its_disk() {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_control(0).expect("cannot kill the process");
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.start_control(0).expect("cannot start the process");
    let single_operator = Operator::new(vec![fleet.cluster.control_address(0)]);
    assert_eq!(single_operator.get().await.body(), bytes, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn wiped_control_machine_rejoins_and_votes() {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_control(2).expect("cannot kill the process");
    fleet.cluster.wipe_control_disk(2).expect("cannot wipe the disk of the machine");
    let second = next_configuration(3, "/second/").to_bytes();
    assert_eq!(fleet.operator.put(&second, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.start_control(2).expect("cannot start the process");
    let wiped_operator = Operator::new(vec![fleet.cluster.control_address(2)]);
    assert_eq!(wiped_operator.get().await.body(), second, "{}", fleet.cluster.logs());
    assert!(
        poll(|| fleet.is_in_chain(2, &[0, 1, 2])).await,
        "the wiped machine is not in the chain\n{}",
        fleet.cluster.logs()
    );
    let third = next_configuration(4, "/third/").to_bytes();
    assert_eq!(fleet.operator.put(&third, 3).await.status(), Some(200), "{}", fleet.cluster.logs());
    fleet.cluster.kill_control(0).expect("cannot kill the process");
    let fourth = next_configuration(5, "/fourth/").to_bytes();
    assert_eq!(fleet.operator.put(&fourth, 4).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await, Some(fourth));
}

#[tokio::test]
async fn all_control_machines_recover_the_configuration() {
    let mut fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    for index in 0..3 {
        fleet.cluster.kill_control(index).expect("cannot kill the process");
    }
    let request = fleet.work();
    assert!(
        fleet.send(0, &request).await.is_success(),
        "the data plane keeps serving\n{}",
        fleet.cluster.logs()
    );
    for index in 0..3 {
        fleet.cluster.start_control(index).expect("cannot start the process");
    }
    assert_eq!(fleet.read_back().await, Some(bytes), "{}", fleet.cluster.logs());
    let next = next_configuration(4, "/next/").to_bytes();
    assert_eq!(fleet.operator.put(&next, 3).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/next/").await, "{}", fleet.cluster.logs());
}

/// The bytes that a crash leaves after the last record of a log.
#[derive(Clone, Copy, Debug)]
enum Corruption {
    Garbage,
    HalfRecord,
    Zeros,
}

#[rstest]
#[case(Corruption::Garbage)]
#[case(Corruption::HalfRecord)]
#[case(Corruption::Zeros)]
#[tokio::test]
async fn corrupt_log_tail_loses_no_acknowledged_change(#[case] corruption: Corruption) {
    let mut fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    for index in 0..3 {
        fleet.cluster.kill_control(index).expect("cannot kill the process");
    }
    corrupt_log(&fleet, 1, corruption);
    for index in 0..3 {
        fleet.cluster.start_control(index).expect("cannot start the process");
    }
    for index in 0..3 {
        let single_operator = Operator::new(vec![fleet.cluster.control_address(index)]);
        assert_eq!(single_operator.get().await.body(), bytes, "control {index}\n{}", fleet.cluster.logs());
    }
}

/// Appends corrupt bytes to the largest file in the data directory of a control machine.
fn corrupt_log(fleet: &Fleet, control: usize, corruption: Corruption) {
    let files =
        std::fs::read_dir(fleet.cluster.data_directory(control)).expect("cannot read the data directory");
    let sizes = files.flatten().filter_map(|file| Some((file.metadata().ok()?, file.path())));
    let logs = sizes.filter(|(meta, _)| meta.is_file() && meta.len() > 0);
    let (_, path) = logs.max_by_key(|(meta, _)| meta.len()).expect("the data directory has no log");
    let mut log = std::fs::File::options().append(true).open(&path).expect("cannot open the log");
    let tail: Vec<u8> = match corruption {
        Corruption::Garbage => (0..200_u32).map(|index| (index * 37 % 251) as u8).collect(),
        Corruption::HalfRecord => {
            let complete = std::fs::read(&path).expect("cannot read the log");
            complete.get(..complete.len() / 2).unwrap_or_default().to_vec()
        }
        Corruption::Zeros => vec![0; 4_096],
    };
    log.write_all(&tail).expect("cannot write to the log");
}

#[tokio::test]
async fn garbage_on_an_internal_port_closes_that_connection_only() {
    let mut fleet = Fleet::start(SMALL).await;
    let garbage: [&[u8]; 3] = [b"GET / HTTP/1.1\r\n\r\n", &[0xff; 4_096], &[0, 0, 0, 5, 1, 2, 3, 4, 5, 6]];
    for index in 0..3 {
        for address in fleet.cluster.internal_addresses(index) {
            for bytes in garbage {
                let mut stream = TcpStream::connect(address).await.expect("cannot connect to the process");
                let _ = stream.write_all(bytes).await;
                let _ = stream.shutdown().await;
                let mut rest = Vec::new();
                let end =
                    tokio::time::timeout(std::time::Duration::from_secs(10), stream.read_to_end(&mut rest));
                assert!(
                    end.await.is_ok(),
                    "{address} keeps a connection with garbage open\n{}",
                    fleet.cluster.logs()
                );
            }
        }
        let process =
            fleet.cluster.process(&format!("control-{index}")).expect("the cluster has no such process");
        assert_eq!(process.exit_status(), None);
    }
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn terminated_front_finishes_its_requests() {
    let slow = ModelParameters {
        step_ms: 5.0,
        tokens_per_event: 4,
        ..ModelParameters::small_and_fast(Stage::Decode)
    };
    let mut fleet = Fleet::start_with_decode(Topology { fronts: 2, controls: 3, ..SMALL }, slow).await;
    let request = fleet.generation(200);
    let address = fleet.cluster.front_address(0);
    let id = request.request_id.clone();
    let in_flight =
        tokio::spawn(async move { lugwharf_emulator::client::Client::new(address).send(&request).await });
    assert!(
        poll(|| async { !fleet.environment.request_log().executions_of(&id).is_empty() }).await,
        "{}",
        fleet.cluster.logs()
    );
    fleet.cluster.terminate_front(0).expect("cannot signal the processes of the node");
    let outcome = in_flight.await.expect("the client task panicked");
    assert!(
        outcome.is_success() && outcome.failed_checks.is_empty(),
        "{outcome:?}\n{}",
        fleet.cluster.logs()
    );
    assert!(poll(|| async { readiness_status(fleet.cluster.ready_address(0)).await != Some(200) }).await);
    for role in ["proxy", "agent"] {
        let process =
            fleet.cluster.process(&format!("front-0-{role}")).expect("the cluster has no such process");
        let has_ended = poll(|| std::future::ready(process.exit_status().is_some())).await;
        assert!(has_ended, "{role} keeps running\n{}", fleet.cluster.logs());
    }
    let request = fleet.work();
    assert!(fleet.send(1, &request).await.is_success(), "the other front-end node serves");
}

#[rstest]
#[case::agent("agent")]
#[case::proxy("proxy")]
#[tokio::test]
async fn killed_front_process_recovers(#[case] role: &str) {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.cluster.kill_front(0, role).expect("cannot kill the process");
    if role == "agent" {
        let request = fleet.work();
        assert!(fleet.send(0, &request).await.is_success(), "a proxy serves without its agent");
    }
    fleet.cluster.start_front_process(0, role).expect("cannot start the process");
    assert!(fleet.cluster.wait_front_ready(0).await, "{}", fleet.cluster.logs());
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn all_machines_recover_from_a_simultaneous_kill() {
    let mut fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    fleet.cluster.kill_all().expect("cannot kill all processes");
    fleet.cluster.start_all().expect("cannot start all processes");
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
    assert!(fleet.cluster.wait_front_ready(0).await);
    assert_eq!(fleet.read_back().await, Some(bytes));
}
