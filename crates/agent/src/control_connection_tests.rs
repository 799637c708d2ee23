//! Tests of the timeouts of a call. The clock is paused, so a timeout expires as soon as no other task can
//! make progress.

use crate::control_connection::{ControlConnection, send_and_receive};
use lugwharf_protocol::{AgentRequest, ControlReply, FrameError, Update, VersionVector, encode, read_frame};
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::sleep;

const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(900);

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

/// How much of a reply the peer sends before it stops.
#[derive(Clone, Copy, Debug)]
enum PeerSends {
    AllButOneByte,
    Nothing,
    /// The peer closes the connection instead.
    Close,
}

async fn call(sends: PeerSends) -> (Result<ControlReply, FrameError>, Duration) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let (keep_open, closed) = oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        read_frame::<AgentRequest>(&mut stream).await.expect("cannot read the request");
        let bytes = encode(&reply()).expect("cannot encode the message");
        let end = match sends {
            PeerSends::AllButOneByte => bytes.len() - 1,
            PeerSends::Nothing => 0,
            PeerSends::Close => return,
        };
        stream.write_all(&bytes[..end]).await.expect("cannot write to the connection");
        // Keeps the connection open until the test ends.
        drop(closed.await);
    });
    let mut connection =
        ControlConnection::open(address, None).await.expect("cannot connect to the listener");
    tokio::time::pause();
    let started_at = tokio::time::Instant::now();
    let result = connection.call(&request(), FIRST_BYTE_TIMEOUT).await;
    drop(keep_open);
    (result, started_at.elapsed())
}

#[tokio::test]
async fn complete_replies_are_returned() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        while let Ok(Some(_)) = read_frame::<AgentRequest>(&mut stream).await {
            stream
                .write_all(&encode(&reply()).expect("cannot encode the message"))
                .await
                .expect("cannot write to the connection");
        }
    });
    let mut connection =
        ControlConnection::open(address, None).await.expect("cannot connect to the listener");
    for _ in 0..3 {
        assert_eq!(
            connection.call(&request(), Duration::from_secs(60)).await.expect("the call failed"),
            reply()
        );
    }
}

#[rstest]
#[case::silent(PeerSends::Nothing, FIRST_BYTE_TIMEOUT)]
#[case::stuck(PeerSends::AllButOneByte, Duration::from_secs(2))]
#[tokio::test]
async fn a_reply_that_stalls_times_out(#[case] sends: PeerSends, #[case] max_time: Duration) {
    let (result, took) = call(sends).await;
    assert!(result.is_err());
    assert!(took <= max_time + FIRST_BYTE_TIMEOUT, "{took:?}");
}

#[tokio::test]
async fn a_closed_connection_fails_the_call() {
    let (result, _) = call(PeerSends::Close).await;
    assert!(matches!(result, Err(FrameError::Io(_))), "{result:?}");
}

/// Guards against a late reply being taken for the reply to the next call: the first call times out or is
/// cancelled, and its reply arrives when the second call is made.
#[rstest]
#[case::timed_out(true)]
#[case::cancelled(false)]
#[tokio::test]
async fn a_late_reply_is_not_taken_for_the_reply_to_the_next_call(#[case] times_out: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let mut connection = ControlConnection::open(
        listener.local_addr().expect("cannot read the address of the listener"),
        None,
    )
    .await
    .expect("cannot connect to the listener");
    let (mut peer, _) = listener.accept().await.expect("cannot accept a connection");
    if times_out {
        tokio::time::pause();
        assert!(connection.call(&request(), FIRST_BYTE_TIMEOUT).await.is_err());
        tokio::time::resume();
    } else {
        let received = async { read_frame::<AgentRequest>(&mut peer).await };
        let first = request();
        tokio::select! {
            reply = connection.call(&first, Duration::from_secs(60)) => panic!("not cancelled: {reply:?}"),
            request = received => assert!(request.expect("cannot read the request").is_some()),
        }
    }
    // The write fails if the connection is already closed.
    drop(peer.write_all(&encode(&reply()).expect("cannot encode the message")).await);
    let second = connection.call(&request(), FIRST_BYTE_TIMEOUT).await;
    assert!(matches!(second, Err(FrameError::Io(_))), "{second:?}");
}

/// Just below the timeout of the write.
const SLOW_WRITE: Duration = Duration::from_millis(850);

/// The timeout of the complete reply is 3.9 s and counts from the end of the write, so a slow write must not
/// shorten it. The peer reads the request slowly, then takes 3.7 s or 4.1 s to send the reply.
#[rstest]
#[case::within_the_limit(Duration::from_millis(3_700), true)]
#[case::beyond_the_limit(Duration::from_millis(4_100), false)]
#[tokio::test(start_paused = true)]
async fn slow_write_leaves_all_of_the_time_for_the_reply(
    #[case] reply_time: Duration, #[case] is_in_time: bool,
) {
    const PIECES: usize = 11;
    let (mut stream, mut peer) = tokio::io::duplex(8);
    tokio::spawn(async move {
        sleep(SLOW_WRITE).await;
        read_frame::<AgentRequest>(&mut peer).await.expect("cannot read the request");
        let bytes = encode(&reply()).expect("cannot encode the message");
        for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
            sleep(reply_time / PIECES as u32).await;
            peer.write_all(piece).await.expect("cannot write to the connection");
        }
    });
    let result = send_and_receive(&mut stream, &request(), FIRST_BYTE_TIMEOUT).await;
    assert_eq!(result.is_ok(), is_in_time, "{result:?}");
}
