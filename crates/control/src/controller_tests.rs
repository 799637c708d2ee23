//! Tests of a controller that is the only process of its control plane: bootstrap, lease, server list,
//! shutdown, and a restart in the view recovered from disk.

use super::Controller;
use crate::command::Command;
use crate::message::{PeerMessage, TablesMessage};
use crate::metrics::RejectionCounters;
use crate::shutdown::ShutdownOutcome;
use crate::status_tests::server;
use lugwharf_election::FencingToken;
use lugwharf_invariants::suppress_panics;
use lugwharf_protocol::{
    AgentRequest, ControlReply, ServerDelta, ServerEntry, ServerState, TablePosition, Update, VersionVector,
    decode, read_frame,
};
use lugwharf_settings::Settings;
use lugwharf_stages::{OrderOutcome, StageTuning};
use rstest::rstest;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::oneshot;
use tokio::time::timeout;

/// The maximum number of steps in which a control plane of one process must bootstrap.
const MAX_STEPS: usize = 1_000;
/// A step ends with the next command, or after this time.
const STEP_TIMEOUT: Duration = Duration::from_millis(20);

fn settings(directory: &Path) -> Settings {
    let text = format!(
        r#"
        Node = "core-1"
        Ip = "127.0.0.1"
        PortRange = [7000, 7009]
        Seeds = ["127.0.0.1:9000"]
        Bootstrap = true
        DataDir = "{}"
        [FaultTolerance]
        Machines = 0
        "#,
        directory.display()
    );
    Settings::parse(&text).expect("cannot parse the settings")
}

fn start(directory: &Path) -> (Controller, Sender<Command>, Receiver<Command>) {
    let (commands, queue) = mpsc::channel(64);
    let controller = Controller::start(
        settings(directory),
        StageTuning::default(),
        commands.clone(),
        &RejectionCounters::default(),
    )
    .expect("cannot start the controller");
    (controller, commands, queue)
}

async fn step(controller: &mut Controller, queue: &mut Receiver<Command>) {
    controller.handle(Command::Tick);
    if let Ok(Some(command)) = timeout(STEP_TIMEOUT, queue.recv()).await {
        controller.handle(command);
    }
}

/// Creates an empty directory for one test.
fn empty_directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("lugwharf-controller-{name}-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&directory));
    std::fs::create_dir_all(&directory).expect("cannot create the directory");
    directory
}

/// Steps until a control plane of one process has bootstrapped.
async fn bootstrap(controller: &mut Controller, queue: &mut Receiver<Command>) {
    let mut steps = 0;
    while !controller.replica.status().is_serving && steps < MAX_STEPS {
        step(controller, queue).await;
        steps += 1;
    }
}

/// Whether the reply to an agent without any tables reports a quorum.
fn has_quorum_for_agents(controller: &mut Controller) -> bool {
    let (reply, mut answer) = oneshot::channel();
    let (node, incarnation, loads) = ("front-1".to_owned(), 1, Vec::new());
    let request = AgentRequest::Pull { node, incarnation, have: VersionVector::default(), wait_ms: 0, loads };
    controller.handle(Command::Pull { request, reply });
    let frame = answer.try_recv().expect("no reply was sent");
    let ControlReply::Update { has_quorum, .. } =
        decode(&frame[size_of::<u32>()..]).expect("cannot decode the reply");
    has_quorum
}

#[tokio::test]
async fn shutdown_sends_agents_to_other_processes_until_the_end() {
    let directory = empty_directory("end");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    assert!(has_quorum_for_agents(&mut controller));
    let (done, mut outcome) = oneshot::channel();
    controller.handle(Command::Shutdown { done });
    assert!(!has_quorum_for_agents(&mut controller));
    let mut steps = 0;
    while outcome.is_empty() && steps < MAX_STEPS {
        step(&mut controller, &mut queue).await;
        steps += 1;
    }
    assert_eq!(outcome.try_recv(), Ok(ShutdownOutcome::Stayed));
    assert!(!has_quorum_for_agents(&mut controller));
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn view_found_on_disk_is_reported_to_the_elector() {
    let directory = empty_directory("view");
    let (mut controller, commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let view = controller.views.current();
    assert!(controller.replica.status().is_serving && view > 0, "{:?}", controller.replica.status());
    drop((controller, commands, queue));

    // No new view is agreed: the control plane continues in the recovered view.
    let (controller, _commands, _queue) = start(&directory);
    assert_eq!(controller.views.current(), view);
    drop(std::fs::remove_dir_all(directory));
}

/// Steps until this process, the only one of its control plane, holds the lease. Returns the fencing token.
async fn acquire_lease(controller: &mut Controller, queue: &mut Receiver<Command>) -> FencingToken {
    for _ in 0..MAX_STEPS {
        if let Some(lease) = controller.held_lease() {
            return lease.token;
        }
        step(controller, queue).await;
    }
    panic!("no lease was acquired in {MAX_STEPS} steps: {:?}", controller.replica.status());
}

fn server_ids(controller: &Controller) -> Vec<String> {
    controller.tables.servers().entries().map(|entry| entry.id.clone()).collect()
}

fn list(id: &str) -> Vec<ServerEntry> {
    vec![server(id, "model", ServerState::Ready, None)]
}

#[tokio::test]
async fn list_is_applied_only_under_the_token_of_the_held_lease() {
    let directory = empty_directory("list");
    let (mut controller, _commands, mut queue) = start(&directory);
    controller.handle(Command::ListRead { token: FencingToken(1), entries: list("without-lease") });
    assert!(server_ids(&controller).is_empty());
    bootstrap(&mut controller, &mut queue).await;
    let token = acquire_lease(&mut controller, &mut queue).await;
    controller.handle(Command::ListRead { token: FencingToken(token.0 - 1), entries: list("older-token") });
    assert!(server_ids(&controller).is_empty());
    controller.handle(Command::ListRead { token, entries: list("current") });
    assert_eq!(server_ids(&controller), ["current"]);
    assert_eq!(controller.tables.servers().position().epoch, token.0);
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn initial_list_is_applied_once_and_replaced_by_the_list_of_the_lease_holder() {
    let directory = empty_directory("initial-list");
    let (mut controller, _commands, mut queue) = start(&directory);
    assert!(controller.needs_initial_list());
    controller.handle(Command::InitialListRead { entries: list("first") });
    assert!(!controller.needs_initial_list());
    controller.handle(Command::InitialListRead { entries: list("second") });
    assert_eq!(server_ids(&controller), ["first"]);
    bootstrap(&mut controller, &mut queue).await;
    let token = acquire_lease(&mut controller, &mut queue).await;
    controller.handle(Command::ListRead { token, entries: list("holder") });
    assert_eq!(server_ids(&controller), ["holder"]);
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn lease_is_retained_while_no_peer_may_reach_the_platform() {
    let directory = empty_directory("retained");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let token = acquire_lease(&mut controller, &mut queue).await;
    controller.handle(Command::ListReadFailed { token, should_step_down: true });
    assert_eq!(controller.held_lease().map(|lease| lease.token), Some(token));
    assert_eq!((controller.metrics.list_failures.get(), controller.metrics.stand_downs.get()), (1, 0));
    drop(std::fs::remove_dir_all(directory));
}

/// After a server has seen a higher token, no further action may be performed under the present one, and the
/// next lease must have a higher token. A refusal of an earlier token must not affect a later lease.
#[tokio::test]
async fn refused_token_ends_its_lease_at_once_and_no_later_one() {
    let directory = empty_directory("refused-token");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let token = acquire_lease(&mut controller, &mut queue).await;
    let refused_by = |id: &str, token| Command::OrderCompleted {
        id: id.to_owned(),
        token,
        outcome: OrderOutcome::StaleToken,
    };
    let refused = |token| refused_by("i-1", token);
    controller.handle(refused_by("i-0", FencingToken(token.0 - 1)));
    assert_eq!(
        controller.held_lease().map(|lease| lease.token),
        Some(token),
        "the refused token is of an earlier lease"
    );
    controller.handle(refused(token));
    assert_eq!(controller.held_lease(), None);
    assert_eq!(controller.list_watcher_role.published(), None, "tasks must not act under the lost lease");
    controller.handle(Command::ListRead { token, entries: list("late") });
    assert!(server_ids(&controller).is_empty());
    let next = acquire_lease(&mut controller, &mut queue).await;
    assert!(next > token);
    controller.handle(refused(token));
    assert_eq!(
        controller.held_lease().map(|lease| lease.token),
        Some(next),
        "a repeated refusal of the earlier token has no effect"
    );
    assert_eq!((controller.metrics.stand_downs.get(), controller.metrics.suspensions.get()), (1, 0));
    controller.handle(refused(next));
    assert_eq!((controller.metrics.stand_downs.get(), controller.metrics.suspensions.get()), (2, 1));
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn reply_to_an_announcement_names_this_process_and_never_has_a_quorum() {
    let directory = empty_directory("announcement");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    assert!(has_quorum_for_agents(&mut controller));
    let (reply, mut response) = oneshot::channel();
    let request = AgentRequest::Announce { control: Vec::new() };
    controller.handle(Command::Pull { request, reply });
    let frame = response.try_recv().expect("no reply was sent");
    let agent_port = controller.settings.internal_ports().agent;
    let expected = ControlReply::Update {
        has_quorum: false,
        control: vec![SocketAddr::new(controller.local_address.ip(), agent_port)],
        update: Update::default(),
    };
    assert_eq!(
        decode::<ControlReply>(&frame[size_of::<u32>()..]).expect("cannot decode the reply"),
        expected
    );
    drop(std::fs::remove_dir_all(directory));
}

#[tokio::test]
async fn member_lists_only_processes_that_send_messages_themselves() {
    let directory = empty_directory("named");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let [from, named] = [1, 2].map(|host| SocketAddr::from(([10, 0, 0, host], 7_700)));
    let report = TablesMessage::Report {
        vector: VersionVector::default(),
        front_count: 0,
        loads: Vec::new(),
        is_platform_reachable: true,
        processes: vec![named],
        list_digest: None,
    };
    controller.handle(Command::PeerMessageReceived { from, body: PeerMessage::Tables(report) });
    let listed = controller.process_directory.all(controller.now(), controller.local_address, &[]);
    assert!(listed.contains(&from) && !listed.contains(&named), "{listed:?}");
    drop(std::fs::remove_dir_all(directory));
}

/// One frame from a control process, without its sender.
#[derive(Deserialize)]
struct ReceivedFrame {
    body: PeerMessage,
}

/// A delta of the server list that leads to the position `sequence` of epoch 7.
fn update_to(sequence: u64, id: &str, delta: ServerDelta) -> PeerMessage {
    let position = TablePosition { epoch: 7, sequence };
    let servers = Some(ServerDelta { position, entries: list(id), ..delta });
    PeerMessage::Tables(TablesMessage::Update(Update { servers, ..Update::default() }))
}

/// Guards against a process that misses a change of the list and applies the next one. It would have the
/// position of the lease holder without its content, and hand on the gap to agents (`review/4`).
#[rstest]
#[case::of_this_version(Some(TablePosition { epoch: 7, sequence: 2 }), TablePosition { epoch: 7, sequence: 1 })]
#[case::of_an_earlier_version(None, TablePosition::default())]
#[tokio::test]
async fn change_after_a_lost_one_is_not_applied_and_what_is_missing_is_requested(
    #[case] base: Option<TablePosition>, #[case] reported: TablePosition,
) {
    let directory = empty_directory(&format!("gap-{}", base.is_some()));
    let (mut controller, _commands, _queue) = start(&directory);
    let holder = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let from = holder.local_addr().expect("cannot read the address of the listener");
    let full = ServerDelta { is_full: true, ..ServerDelta::default() };
    controller.handle(Command::PeerMessageReceived { from, body: update_to(1, "first", full) });
    let incremental = ServerDelta { base, ..ServerDelta::default() };
    controller.handle(Command::PeerMessageReceived { from, body: update_to(3, "third", incremental) });
    assert_eq!(server_ids(&controller), ["first"]);
    let (mut stream, _) = holder.accept().await.expect("no connection was opened");
    let received = read_frame::<ReceivedFrame>(&mut stream).await.expect("cannot read the frame");
    let Some(ReceivedFrame { body: PeerMessage::Tables(TablesMessage::Report { vector, .. }) }) = received
    else {
        panic!("no report was sent");
    };
    assert_eq!(vector.servers, reported);
    drop(std::fs::remove_dir_all(directory));
}

/// Returns a report of a peer that has a list with this digest at `position`.
fn report_of_list(position: TablePosition, list_digest: u64) -> PeerMessage {
    PeerMessage::Tables(TablesMessage::Report {
        vector: VersionVector { servers: position, ..VersionVector::default() },
        front_count: 0,
        loads: Vec::new(),
        is_platform_reachable: true,
        processes: Vec::new(),
        list_digest: Some(list_digest),
    })
}

/// Guards against a list with a gap that nothing repairs, whatever its cause: the lease holder restates its
/// list, at most every 30 s, and each reader gets it in full.
#[tokio::test]
async fn lease_holder_restates_its_list_if_a_peer_has_another_one_at_the_same_position() {
    let directory = empty_directory("restated");
    let (mut controller, _commands, mut queue) = start(&directory);
    bootstrap(&mut controller, &mut queue).await;
    let token = acquire_lease(&mut controller, &mut queue).await;
    controller.handle(Command::ListRead { token, entries: list("a") });
    let from = SocketAddr::from(([10, 0, 0, 1], 7_700));
    let (first, digest) = (controller.tables.servers().position(), controller.tables.servers().digest());
    for (position, digest) in [(first, digest), (TablePosition::default(), !digest)] {
        controller.handle(Command::PeerMessageReceived { from, body: report_of_list(position, digest) });
        assert_eq!(controller.tables.servers().position(), first, "nothing contradicts the list");
    }
    let restated = TablePosition { sequence: first.sequence + 1, ..first };
    let _suppressed = suppress_panics();
    for position in [first, restated] {
        controller.handle(Command::PeerMessageReceived { from, body: report_of_list(position, !digest) });
        assert_eq!(controller.tables.servers().position(), restated);
    }
    let delta = controller.tables.servers().delta_since(first).expect("the list has advanced");
    assert!(delta.is_full && delta.entries.len() == 1, "{delta:?}");
    drop(std::fs::remove_dir_all(directory));
}
