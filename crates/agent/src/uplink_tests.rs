//! Which control process an agent believes: processes of a few lines answer on loopback, one round at a time.

use super::{Left, Uplink, is_unfit};
use crate::ControlPlaneStatus;
use crate::owner::{Command, Report};
use lugwharf_protocol::{
    AgentRequest, ConfigRecord, ControlReply, FrameError, Update, VersionVector, encode, read_frame,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// What a control process says to one pull.
#[derive(Clone, Copy, Debug)]
enum Says {
    /// It is in touch and has this configuration.
    InTouch(u64),
    /// It is out of touch and has this configuration.
    OutOfTouch(u64),
    /// Nothing; the link stays open.
    Nothing,
}

impl Says {
    fn reply(self) -> Option<ControlReply> {
        let (has_quorum, version) = match self {
            Says::InTouch(version) => (true, version),
            Says::OutOfTouch(version) => (false, version),
            Says::Nothing => return None,
        };
        let vector = VersionVector { config: version, ..VersionVector::default() };
        let config = Some(ConfigRecord { version, bytes: b"{}".to_vec() });
        let update = Update { vector, config, ..Update::default() };
        Some(ControlReply::Update { has_quorum, control: Vec::new(), update })
    }
}

/// Answers the pulls of one link after the other as written, then closes each link at once.
async fn answer(listener: TcpListener, says: Vec<Says>) {
    let mut says = says.into_iter();
    let mut silent = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        while let Ok(Some(_)) = read_frame::<AgentRequest>(&mut stream).await {
            let Some(said) = says.next() else { break };
            let Some(reply) = said.reply() else {
                silent.push(stream);
                break;
            };
            stream.write_all(&encode(&reply).expect("a frame")).await.expect("a write");
        }
    }
}

/// An uplink, the versions that it applies, and the control processes that it knows.
struct Bench {
    uplink: Uplink,
    applied: Arc<Mutex<Vec<u64>>>,
    processes: Vec<JoinHandle<()>>,
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.processes.iter().for_each(JoinHandle::abort);
    }
}

/// Control processes that say this, in the order in which the uplink asks them.
async fn bench(says: Vec<Vec<Says>>) -> Bench {
    let mut listeners = Vec::new();
    for _ in &says {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.expect("a listener"));
    }
    let address = |listener: &TcpListener| listener.local_addr().expect("an address");
    let seeds: Vec<SocketAddr> = listeners.iter().map(address).collect();
    let (commands, queue) = mpsc::channel(4);
    let applied = Arc::new(Mutex::new(Vec::new()));
    let control = Vec::new();
    let figures = Arc::default();
    let (node, incarnation, source) = ("front-1".to_owned(), 1, None);
    let control_plane = ControlPlaneStatus::default();
    let uplink = Uplink { node, incarnation, seeds, control, source, figures, commands, control_plane };
    let order = uplink.order();
    listeners.sort_by_key(|listener| order.iter().position(|known| *known == address(listener)));
    let answers = listeners.into_iter().zip(says);
    let mut processes: Vec<_> =
        answers.map(|(listener, says)| tokio::spawn(answer(listener, says))).collect();
    processes.push(tokio::spawn(own(queue, applied.clone())));
    Bench { uplink, applied, processes }
}

/// Notes what is applied, and has nothing all the while.
async fn own(mut queue: mpsc::Receiver<Command>, applied: Arc<Mutex<Vec<u64>>>) {
    while let Some(command) = queue.recv().await {
        match command {
            Command::Report { reply } => {
                let _ = reply.send(Report { have: VersionVector::default(), loads: Vec::new() });
            }
            Command::Apply { update, reply } => {
                applied.lock().expect("a list").push(update.vector.config);
                let _ = reply.send(update.vector);
            }
            Command::Loads(_) | Command::Newer { .. } | Command::Holdings { .. } => {}
        }
    }
}

const OLD: Says = Says::OutOfTouch(3);
const NEW: Says = Says::InTouch(5);

#[rstest]
#[case::the_one_in_touch_alone(vec![vec![NEW]], true, &[5])]
#[case::an_old_one_is_passed_over(vec![vec![OLD], vec![NEW]], true, &[5])]
#[case::also_after_a_newer_one(vec![vec![NEW], vec![OLD]], true, &[5])]
#[case::also_between_silent_ones(vec![vec![Says::Nothing], vec![OLD], vec![Says::Nothing], vec![NEW]], true, &[5])]
#[case::the_only_one_is_the_last_resort(vec![vec![OLD]], false, &[3])]
#[case::the_only_one_that_answers(vec![vec![Says::Nothing], vec![OLD], vec![]], false, &[3])]
#[case::the_newest_of_several(vec![vec![OLD], vec![Says::OutOfTouch(4)], vec![Says::OutOfTouch(2)]], false, &[4])]
#[case::nobody_answers(vec![vec![Says::Nothing], vec![]], false, &[])]
#[case::one_that_loses_touch(vec![vec![NEW, Says::OutOfTouch(6)], vec![]], true, &[5])]
#[tokio::test]
async fn a_round_applies(#[case] says: Vec<Vec<Says>>, #[case] served: bool, #[case] versions: &[u64]) {
    let mut bench = bench(says).await;
    assert_eq!(bench.uplink.round().await, served);
    assert_eq!(*bench.applied.lock().expect("a list"), versions);
}

#[tokio::test]
async fn the_next_round_takes_what_one_has_that_lost_touch_if_it_is_alone() {
    let lost = Says::OutOfTouch(6);
    let mut bench = bench(vec![vec![NEW, lost, lost], vec![]]).await;
    assert!(bench.uplink.round().await);
    assert!(!bench.uplink.round().await);
    assert_eq!(*bench.applied.lock().expect("a list"), [5, 6]);
}

/// Redirects lead to the process that is followed, and nowhere once it is left.
#[tokio::test]
async fn tells_which_process_it_follows_until_it_leaves_it() {
    let mut bench = bench(vec![vec![NEW, OLD], vec![]]).await;
    let mut followed = bench.uplink.control_plane.followed.subscribe();
    let process = bench.uplink.order()[0];
    let watching = tokio::spawn(async move {
        let mut seen = Vec::new();
        while followed.changed().await.is_ok() {
            seen.push(*followed.borrow_and_update());
        }
        seen
    });
    assert!(bench.uplink.round().await);
    drop(bench);
    let seen = watching.await.expect("what was told");
    assert_eq!(seen.last(), Some(&None));
    assert!(seen.contains(&Some(process)), "{seen:?}");
}

/// A front that moves on to its preferred process has one to name all the while.
#[rstest]
#[case::for_preferred(Ok(Left::ForPreferred), false)]
#[case::out_of_touch(Ok(Left::OutOfTouch), true)]
#[case::ending(Ok(Left::Ending), true)]
#[case::failed(Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())), true)]
fn a_process_that_is_left_for_a_better_one_is_still_fit(
    #[case] left: Result<Left, FrameError>, #[case] unfit: bool,
) {
    assert_eq!(is_unfit(&left), unfit);
}

/// After a start nobody is known but the seeds, and they may hold no replica.
#[tokio::test]
async fn asks_whom_it_was_told_of_before_the_seeds() {
    let mut bench = bench(vec![vec![], vec![]]).await;
    let announced: SocketAddr = "127.0.0.9:1".parse().expect("an address");
    bench.uplink.control = vec!["127.0.0.8:1".parse().expect("an address")];
    let known = bench.uplink.control[0];
    bench.uplink.control_plane.announced.send_replace(vec![announced, known]);
    let order = bench.uplink.order();
    assert_eq!((order[0], order[1], order.len()), (known, announced, 4));
}
