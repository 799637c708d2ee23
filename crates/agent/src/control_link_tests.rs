//! Tests of which updates an agent applies. Control processes on loopback reply as scripted.

use super::{ControlLink, StopReason, must_stop_redirects, run, with_requested_base};
use crate::ControlPlaneStatus;
use crate::table_owner::{Command, PullReport};
use lugwharf_protocol::{
    AgentRequest, ConfigRecord, ControlReply, FrameError, ServerDelta, TablePosition, Update, VersionVector,
    encode, read_frame,
};
use lugwharf_settings::Settings;
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

/// How a control process replies to one pull.
#[derive(Clone, Copy, Debug)]
enum Reply {
    /// It reports a quorum and sends a configuration of this version.
    Quorum(u64),
    /// It reports no quorum and sends a configuration of this version.
    NoQuorum(u64),
    /// It sends no reply and keeps the connection open.
    None,
}

impl Reply {
    fn message(self) -> Option<ControlReply> {
        let (has_quorum, version) = match self {
            Reply::Quorum(version) => (true, version),
            Reply::NoQuorum(version) => (false, version),
            Reply::None => return None,
        };
        let vector = VersionVector { config: version, ..VersionVector::default() };
        let config = Some(ConfigRecord { version, bytes: b"{}".to_vec() });
        let update = Update { vector, config, ..Update::default() };
        Some(ControlReply::Update { has_quorum, control: Vec::new(), update })
    }
}

/// Replies to pulls as scripted, one connection after the other. After the end of the script, each connection
/// is closed without a reply.
async fn serve(listener: TcpListener, replies: Vec<Reply>) {
    let mut replies = replies.into_iter();
    let mut silent = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        while let Ok(Some(_)) = read_frame::<AgentRequest>(&mut stream).await {
            let Some(reply) = replies.next() else { break };
            let Some(reply) = reply.message() else {
                silent.push(stream);
                break;
            };
            stream
                .write_all(&encode(&reply).expect("cannot encode the message"))
                .await
                .expect("cannot write to the connection");
        }
    }
}

/// A control link, the versions that it has applied, and the tasks that it communicates with.
struct Harness {
    link: ControlLink,
    applied: Arc<Mutex<Vec<u64>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Starts control processes with these scripts. The link tries them in the order of the scripts.
async fn harness(scripts: Vec<Vec<Reply>>) -> Harness {
    let mut listeners = Vec::new();
    for _ in &scripts {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener"));
    }
    let address =
        |listener: &TcpListener| listener.local_addr().expect("cannot read the address of the listener");
    let seeds: Vec<SocketAddr> = listeners.iter().map(address).collect();
    let (commands, queue) = mpsc::channel(4);
    let applied = Arc::new(Mutex::new(Vec::new()));
    let control = Vec::new();
    let metrics = Arc::default();
    let (node, incarnation, source) = ("front-1".to_owned(), 1, None);
    let control_plane = ControlPlaneStatus::default();
    let link = ControlLink { node, incarnation, seeds, control, source, metrics, commands, control_plane };
    let candidates = link.candidates();
    listeners.sort_by_key(|listener| candidates.iter().position(|known| *known == address(listener)));
    let servers = listeners.into_iter().zip(scripts);
    let mut tasks: Vec<_> = servers.map(|(listener, script)| tokio::spawn(serve(listener, script))).collect();
    tasks.push(tokio::spawn(own_tables(queue, applied.clone())));
    Harness { link, applied, tasks }
}

/// Acts as the table owner: records which versions are applied, and always reports empty tables.
async fn own_tables(mut queue: mpsc::Receiver<Command>, applied: Arc<Mutex<Vec<u64>>>) {
    while let Some(command) = queue.recv().await {
        match command {
            Command::GetPullReport { reply } => {
                let _ = reply.send(PullReport { have: VersionVector::default(), loads: Vec::new() });
            }
            Command::Apply { update, reply } => {
                applied
                    .lock()
                    .expect("another thread panicked while it held the lock")
                    .push(update.vector.config);
                let _ = reply.send(update.vector);
            }
            Command::RecordLoads(_) | Command::AwaitUpdate { .. } | Command::GetSummary { .. } => {}
        }
    }
}

const STALE: Reply = Reply::NoQuorum(3);
const FRESH: Reply = Reply::Quorum(5);

#[rstest]
#[case::one_with_a_quorum(vec![vec![FRESH]], true, &[5])]
#[case::one_without_a_quorum_is_skipped(vec![vec![STALE], vec![FRESH]], true, &[5])]
#[case::also_after_one_with_a_quorum(vec![vec![FRESH], vec![STALE]], true, &[5])]
#[case::also_between_silent_ones(vec![vec![Reply::None], vec![STALE], vec![Reply::None], vec![FRESH]], true, &[5])]
#[case::the_only_one_is_the_fallback(vec![vec![STALE]], false, &[3])]
#[case::the_only_one_that_replies(vec![vec![Reply::None], vec![STALE], vec![]], false, &[3])]
#[case::the_newest_of_several_fallbacks(vec![vec![STALE], vec![Reply::NoQuorum(4)], vec![Reply::NoQuorum(2)]], false, &[4])]
#[case::none_replies(vec![vec![Reply::None], vec![]], false, &[])]
#[case::one_that_loses_its_quorum(vec![vec![FRESH, Reply::NoQuorum(6)], vec![]], true, &[5])]
#[tokio::test]
async fn a_pass_applies(#[case] scripts: Vec<Vec<Reply>>, #[case] served: bool, #[case] versions: &[u64]) {
    let mut harness = harness(scripts).await;
    assert_eq!(harness.link.try_candidates().await, served);
    assert_eq!(*harness.applied.lock().expect("another thread panicked while it held the lock"), versions);
}

#[tokio::test]
async fn the_next_pass_falls_back_to_a_process_that_lost_its_quorum() {
    let lost = Reply::NoQuorum(6);
    let mut harness = harness(vec![vec![FRESH, lost, lost], vec![]]).await;
    assert!(harness.link.try_candidates().await);
    assert!(!harness.link.try_candidates().await);
    assert_eq!(*harness.applied.lock().expect("another thread panicked while it held the lock"), [5, 6]);
}

/// Requests are redirected to the followed process, and no longer redirected after the agent has stopped
/// following it.
#[tokio::test]
async fn publishes_the_followed_process_until_it_stops_following() {
    let mut harness = harness(vec![vec![FRESH, STALE], vec![]]).await;
    let mut followed = harness.link.control_plane.followed.subscribe();
    let process = harness.link.candidates()[0];
    let watching = tokio::spawn(async move {
        let mut seen = Vec::new();
        while followed.changed().await.is_ok() {
            seen.push(*followed.borrow_and_update());
        }
        seen
    });
    assert!(harness.link.try_candidates().await);
    drop(harness);
    let seen = watching.await.expect("the watching task panicked");
    assert_eq!(seen.last(), Some(&None));
    assert!(seen.contains(&Some(process)), "{seen:?}");
}

/// While the agent switches to its preferred process, the earlier one stays published as the target of
/// redirects.
#[rstest]
#[case::return_to_preferred(Ok(StopReason::ReturnToPreferred), false)]
#[case::no_quorum(Ok(StopReason::NoQuorum), true)]
#[case::shutting_down(Ok(StopReason::ShuttingDown), true)]
#[case::failed(Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())), true)]
fn only_a_return_to_the_preferred_process_keeps_redirects(
    #[case] stopped: Result<StopReason, FrameError>, #[case] expected: bool,
) {
    assert_eq!(must_stop_redirects(&stopped), expected);
}

/// After a start only the seeds are known, and these may host no replica, so announced processes are tried
/// first.
#[tokio::test]
async fn tries_announced_processes_before_the_seeds() {
    let mut harness = harness(vec![vec![], vec![]]).await;
    let announced: SocketAddr = "127.0.0.9:1".parse().expect("cannot parse the address");
    harness.link.control = vec!["127.0.0.8:1".parse().expect("cannot parse the address")];
    let known = harness.link.control[0];
    harness.link.control_plane.announced.send_replace(vec![announced, known]);
    let candidates = harness.link.candidates();
    assert_eq!((candidates[0], candidates[1], candidates.len()), (known, announced, 4));
}

/// A pass lasts as long as a control process serves. If SIGHUP arrives several times in one pass, the next
/// pass must use the last settings.
#[tokio::test]
async fn pass_begins_with_the_newest_settings() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let last = listener.local_addr().expect("cannot read the address of the listener");
    let with_seed = |seed: SocketAddr| {
        let port = seed.port();
        let text = format!(
            "Node = \"front-1\"\nIp = \"127.0.0.1\"\nPortRange = [{}, {}]\nSeeds = [\"{seed}\"]\n",
            port - 1,
            port.saturating_add(10)
        );
        Settings::parse(&text).expect("cannot parse the settings")
    };
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    let (reload, reloads) = watch::channel(with_seed(unused));
    reload.send_replace(with_seed(unused));
    reload.send_replace(with_seed(last));
    let (commands, mut queue) = mpsc::channel(4);
    let link = tokio::spawn(run(reloads, Arc::default(), commands, ControlPlaneStatus::default()));
    tokio::select! {
        accepted = listener.accept() => drop(accepted.expect("cannot accept a connection")),
        () = async { while queue.recv().await.is_some() {} } => panic!("the link ended before it connected"),
    }
    link.abort();
}

/// Guards against deltas of an earlier version, which state no base, that an agent refuses for ever.
#[rstest]
#[case::of_an_earlier_version(None, false, Some(4))]
#[case::with_a_base(Some(3), false, Some(3))]
#[case::full_list(None, true, None)]
fn delta_without_a_base_was_computed_for_the_versions_in_the_request(
    #[case] base: Option<u64>, #[case] is_full: bool, #[case] expected: Option<u64>,
) {
    let position = |sequence| TablePosition { epoch: 7, sequence };
    let request = AgentRequest::Pull {
        node: String::new(),
        incarnation: 1,
        have: VersionVector { servers: position(4), ..VersionVector::default() },
        wait_ms: 0,
        loads: Vec::new(),
    };
    let delta = ServerDelta { base: base.map(position), is_full, ..ServerDelta::default() };
    let update = with_requested_base(Update { servers: Some(delta), ..Update::default() }, &request);
    assert_eq!(update.servers.and_then(|delta| delta.base), expected.map(position));
}
