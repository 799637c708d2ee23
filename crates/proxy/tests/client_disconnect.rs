//! Client disconnects: whatever the state of the request, nothing more is sent for it, and every attempt is
//! cancelled within 500 ms.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::prefill::*;
use support::*;
use tokio::time::{Instant, timeout};

/// The maximum time between the disconnect and the cancellation of attempts.
const MAX_CANCELLATION_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disconnect {
    Close,
    Reset,
}

fn disconnect(client: Connection, how: Disconnect) {
    match how {
        Disconnect::Close => drop(client),
        Disconnect::Reset => client.reset(),
    }
}

/// Disconnects the client with the clock paused, and returns the time. A paused clock advances when all tasks
/// are idle, so that waiting for a timer becomes visible as elapsed time.
fn disconnect_and_pause(client: Connection, how: Disconnect) -> Instant {
    tokio::time::pause();
    disconnect(client, how);
    Instant::now()
}

/// Lets all tasks process pending input without advancing the paused clock.
async fn process_pending_input() {
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
}

/// Checks that the attempt at this server is cancelled in time.
async fn expect_cancelled(server: &mut Connection, since: Instant) {
    assert!(server.is_closed().await, "nothing more is sent");
    assert!(since.elapsed() < MAX_CANCELLATION_TIME, "{:?}", since.elapsed());
}

/// Checks that no further connection to these servers is opened within 10 s.
async fn expect_no_attempt(proxy: &TestProxy, servers: &[&'static str]) {
    assert!(timeout(Duration::from_secs(10), proxy.accept_any(servers)).await.is_err());
}

#[rstest]
#[tokio::test]
async fn disconnect_during_execution_cancels_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
    #[values("safe", "unsafe", "streaming")] kind: &'static str,
) {
    with_proxy(Scenario::new(kind).max_attempts(3).retry_budget(10.0), async |proxy| {
        let (client, mut server, _) = proxy.dispatch("r1", "").await;
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut server, since).await;
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_a_retry_cancels_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::new("safe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&rejection("r1", 503)).await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut server, since).await;
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_prefill_cancels_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _) = proxy.receive("p").await;
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut prefill_server, since).await;
        expect_no_attempt(proxy, &["p", "d"]).await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_kv_transfer_cancels_it_and_releases_the_handle(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let (client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut server, since).await;
        serve_release(&mut prefill_server).await;
        assert!(since.elapsed() < MAX_CANCELLATION_TIME, "{:?}", since.elapsed());
        expect_no_attempt(proxy, &["p", "d"]).await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_a_stream_cancels_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(3).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _, _) = receive_decode(proxy).await;
        server.start_stream("r1", 1).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some(event(1))));
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut server, since).await;
        expect_no_attempt(proxy, &["d", "e"]).await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_before_the_body_is_complete_sends_nothing(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::new("safe"), async |proxy| {
        let mut client = proxy.connect().await;
        let complete = request("r1", "", "body");
        client.send(&complete[..complete.len() - 1]).await;
        assert_eq!(proxy.readiness_status().await, 200, "the incomplete body has been read");
        disconnect_and_pause(client, how);
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

/// The last byte of an unsafe request on a new connection is withheld for a short time. After the disconnect,
/// it is never sent.
#[rstest]
#[tokio::test]
async fn disconnect_while_the_last_byte_is_withheld_never_sends_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        tokio::time::pause();
        let client = proxy.send_request("r1", "").await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(server.read_until(ALL_BUT_LAST_BYTE).await.is_some());
        let since = Instant::now();
        disconnect(client, how);
        process_pending_input().await;
        expect_cancelled(&mut server, since).await;
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

/// The server has received a part of a long body and reads no further.
#[rstest]
#[tokio::test]
async fn disconnect_while_the_body_is_being_sent_stops_it(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;
    with_proxy(Scenario::new("unsafe").max_body_bytes(LONG_BODY_BYTES), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(server.read_head().await.is_some());
        let since = disconnect_and_pause(client, how);
        assert_eq!(proxy.readiness_status().await, 200);
        assert!(server.read_to_end().await.len() < LONG_BODY_BYTES, "the rest is never sent");
        assert!(since.elapsed() < MAX_CANCELLATION_TIME, "{:?}", since.elapsed());
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

/// The end of the connection follows more pipelined bytes than the proxy reads ahead.
#[rstest]
#[tokio::test]
async fn disconnect_behind_pipelined_requests_cancels_the_current_one(
    #[values(Disconnect::Close, Disconnect::Reset)] how: Disconnect,
) {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        for _ in 0..8 {
            client.send(&request("r2", &format!("X: {}\r\n", "x".repeat(3_000)), "body")).await;
        }
        assert_eq!(proxy.readiness_status().await, 200, "the proxy has read ahead up to its limit");
        let since = disconnect_and_pause(client, how);
        expect_cancelled(&mut server, since).await;
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}

/// The client disconnects before its connection is accepted, as when the proxy is busy or paused.
#[rstest]
#[tokio::test]
async fn disconnect_before_the_request_is_read_sends_nothing(
    #[values("safe", "unsafe", "streaming")] kind: &'static str,
) {
    use std::io::Write;
    with_proxy(Scenario::new(kind).max_attempts(3).retry_budget(10.0), async |proxy| {
        // There is no await in between, so that the proxy sees the connection, the request and the close at
        // the same time.
        let mut client =
            std::net::TcpStream::connect(proxy.front_address).expect("the connection is established");
        client.write_all(request("r1", "", "body").as_bytes()).expect("the bytes are written");
        drop(client);
        tokio::time::pause();
        expect_no_attempt(proxy, &PLAIN_SERVERS).await;
    })
    .await;
}
