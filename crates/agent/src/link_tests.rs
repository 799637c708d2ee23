//! Which replies come in time. The peer decides; the clock is paused, so that a limit passes as soon as nothing else can
//! happen.

use crate::link::Link;
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, Update, VersionVector, encode, read_frame};
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

const LIMIT: Duration = Duration::from_millis(900);

fn request() -> AgentRequest {
    AgentRequest::Pull {
        node: "front-1".to_owned(),
        incarnation: 1,
        have: VersionVector::default(),
        wait_ms: 500,
        loads: Vec::new(),
    }
}

fn reply() -> ControlReply {
    ControlReply::Update { has_quorum: true, control: Vec::new(), update: Update::default() }
}

/// How much of a reply the peer sends before it stays silent.
#[derive(Clone, Copy, Debug)]
enum Sent {
    AllButOneByte,
    Nothing,
    /// It closes the link instead.
    End,
}

async fn call(sent: Sent) -> (Result<ControlReply, FrameError>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (keep, kept) = oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a link");
        read_frame::<AgentRequest>(&mut stream).await.expect("a request");
        let bytes = encode(&reply()).expect("a frame");
        let end = match sent {
            Sent::AllButOneByte => bytes.len() - 1,
            Sent::Nothing => 0,
            Sent::End => return,
        };
        stream.write_all(&bytes[..end]).await.expect("a write");
        // Holds the link open until the test ends.
        drop(kept.await);
    });
    let mut link = Link::open(address, None).await.expect("a link");
    tokio::time::pause();
    let begun = tokio::time::Instant::now();
    let result = link.call(&request(), LIMIT).await;
    drop(keep);
    (result, begun.elapsed())
}

#[tokio::test]
async fn a_whole_reply_is_taken() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a link");
        while let Ok(Some(_)) = read_frame::<AgentRequest>(&mut stream).await {
            stream.write_all(&encode(&reply()).expect("a frame")).await.expect("a write");
        }
    });
    let mut link = Link::open(address, None).await.expect("a link");
    for _ in 0..3 {
        assert_eq!(link.call(&request(), Duration::from_secs(60)).await.expect("a reply"), reply());
    }
}

#[rstest]
#[case::silent(Sent::Nothing, LIMIT)]
#[case::stuck(Sent::AllButOneByte, Duration::from_secs(2))]
#[tokio::test]
async fn a_reply_that_does_not_come_whole_ends_the_call(#[case] sent: Sent, #[case] longest: Duration) {
    let (result, took) = call(sent).await;
    assert!(result.is_err());
    assert!(took <= longest + LIMIT, "{took:?}");
}

#[tokio::test]
async fn a_link_that_ends_ends_the_call() {
    let (result, _) = call(Sent::End).await;
    assert!(matches!(result, Err(FrameError::Io(_))), "{result:?}");
}

/// The first call is given up, or cut short by its caller; its reply comes then, where the next call's is due.
#[rstest]
#[case::over_time(true)]
#[case::dropped(false)]
#[tokio::test]
async fn a_late_reply_is_not_taken_for_the_next_calls(#[case] waits: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let mut link = Link::open(listener.local_addr().expect("an address"), None).await.expect("a link");
    let (mut peer, _) = listener.accept().await.expect("a link");
    if waits {
        tokio::time::pause();
        assert!(link.call(&request(), LIMIT).await.is_err());
        tokio::time::resume();
    } else {
        let asked = async { read_frame::<AgentRequest>(&mut peer).await };
        let first = request();
        tokio::select! {
            reply = link.call(&first, Duration::from_secs(60)) => panic!("{reply:?}"),
            request = asked => assert!(request.expect("a request").is_some()),
        }
    }
    // The peer may find the link closed already.
    drop(peer.write_all(&encode(&reply()).expect("a frame")).await);
    let second = link.call(&request(), LIMIT).await;
    assert!(matches!(second, Err(FrameError::Io(_))), "{second:?}");
}
