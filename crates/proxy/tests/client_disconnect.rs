//! A client that has left: nothing is sent for it any more, and what servers do for it ends within half a second, wherever its
//! request waits.

mod common;

use common::pairs::*;
use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// The servers' work has ended so long after the client left.
const ENDED: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaves {
    Closes,
    Resets,
}

fn leave(client: Peer, how: Leaves) {
    match how {
        Leaves::Closes => drop(client),
        Leaves::Resets => client.reset(),
    }
}

/// The client leaves; from now on time passes as soon as nothing else happens, so that a wait for a timer is seen.
fn leave_and_pause(client: Peer, how: Leaves) -> Instant {
    tokio::time::pause();
    leave(client, how);
    Instant::now()
}

/// Lets everybody see what has come, while the paused time stands still.
async fn settle() {
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
}

async fn is_ended(server: &mut Peer, since: Instant) {
    assert!(server.is_closed().await, "nothing more comes");
    assert!(since.elapsed() < ENDED, "{:?}", since.elapsed());
}

/// No connection comes to these servers within seconds.
async fn nothing_comes(world: &World, one: &'static str, other: &'static str) {
    assert!(timeout(Duration::from_secs(10), world.accept_either(one, other)).await.is_err());
}

#[rstest]
#[tokio::test]
async fn disconnect_during_execution_cancels_it(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
    #[values("safe", "unsafe", "streaming")] kind: &str,
) {
    let setup = Setup { retry_budget: 10.0, ..setup(kind, r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        let client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        let since = leave_and_pause(client, how);
        is_ended(&mut server, since).await;
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_a_retry_cancels_it(#[values(Leaves::Closes, Leaves::Resets)] how: Leaves) {
    let setup = Setup { retry_budget: 10.0, ..setup("safe", r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        let client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&not_executed("r1", 503)).await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        let since = leave_and_pause(client, how);
        is_ended(&mut server, since).await;
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_prefill_cancels_it(#[values(Leaves::Closes, Leaves::Resets)] how: Leaves) {
    with_world(split("", &["d"]), async |world| {
        let client = world.ask("r1", "").await;
        let (mut reader, _) = world.offer("p").await;
        let since = leave_and_pause(client, how);
        is_ended(&mut reader, since).await;
        nothing_comes(world, "p", "d").await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_kv_transfer_cancels_it_and_releases_the_handle(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    with_world(split("", &["d"]), async |world| {
        let (client, mut reader) = ask_and_read(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        let since = leave_and_pause(client, how);
        is_ended(&mut server, since).await;
        is_freed(&mut reader).await;
        assert!(since.elapsed() < ENDED, "{:?}", since.elapsed());
        nothing_comes(world, "p", "d").await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_during_a_stream_cancels_it(#[values(Leaves::Closes, Leaves::Resets)] how: Leaves) {
    let setup = Setup { retry_budget: 10.0, ..split(r#","Resumable":true,"MaxAttempts":3"#, &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, _reader) = ask_and_read(world, "r1").await;
        let (mut server, _, _) = offer_decode(world).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1))));
        let since = leave_and_pause(client, how);
        is_ended(&mut server, since).await;
        nothing_comes(world, "d", "e").await;
    })
    .await;
}

#[rstest]
#[tokio::test]
async fn disconnect_before_the_body_is_complete_sends_nothing(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    with_world(setup("safe", ""), async |world| {
        let mut client = world.client().await;
        let whole = request("r1", "", "body");
        client.send(&whole[..whole.len() - 1]).await;
        assert_eq!(world.readiness().await, 200, "what was sent before has been read");
        leave_and_pause(client, how);
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

/// The last byte of an unrepeatable request on a new connection is held back for a moment, and then never goes out.
#[rstest]
#[tokio::test]
async fn disconnect_while_the_last_byte_is_withheld_never_sends_it(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    with_world(setup("unsafe", ""), async |world| {
        tokio::time::pause();
        let client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.until("\r\n\r\nbod").await.is_some());
        let since = Instant::now();
        leave(client, how);
        settle().await;
        is_ended(&mut server, since).await;
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

/// A server that reads nothing has a part of a long body.
#[rstest]
#[tokio::test]
async fn disconnect_while_the_body_is_being_sent_stops_it(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    const LONG: usize = 16 * 1024 * 1024;
    with_world(Setup { max_body: LONG, ..setup("unsafe", "") }, async |world| {
        let mut client = world.client().await;
        client.send(&request("r1", "", &"x".repeat(LONG))).await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.until("\r\n\r\n").await.is_some());
        let since = leave_and_pause(client, how);
        assert_eq!(world.readiness().await, 200);
        assert!(server.rest().await.len() < LONG, "the rest never comes");
        assert!(since.elapsed() < ENDED, "{:?}", since.elapsed());
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

/// Its connection's end stands behind more bytes than are read ahead.
#[rstest]
#[tokio::test]
async fn disconnect_behind_pipelined_requests_cancels_the_current_one(
    #[values(Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        for _ in 0..8 {
            client.send(&request("r2", &format!("X: {}\r\n", "x".repeat(3_000)), "body")).await;
        }
        assert_eq!(world.readiness().await, 200, "what is read ahead has been read");
        let since = leave_and_pause(client, how);
        is_ended(&mut server, since).await;
        nothing_comes(world, "a", "b").await;
    })
    .await;
}

/// The client was gone before its connection was taken from the queue, as where a proxy is busy or stood still.
#[rstest]
#[tokio::test]
async fn disconnect_before_the_request_is_read_sends_nothing(
    #[values("safe", "unsafe", "streaming")] kind: &str,
) {
    use std::io::Write;
    let setup = Setup { retry_budget: 10.0, ..setup(kind, r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        // Without a wait in between, so that the proxy sees all of it at once.
        let mut client = std::net::TcpStream::connect(world.front).expect("a connection");
        client.write_all(request("r1", "", "body").as_bytes()).expect("a write");
        drop(client);
        tokio::time::pause();
        nothing_comes(world, "a", "b").await;
    })
    .await;
}
