//! The time of a request: no server is handed more than is left, and a final answer is there soon after the route's time.

mod common;

use common::pairs::*;
use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// The time of the tests' route.
const TIMEOUT: Duration = Duration::from_millis(5_000);
/// A final answer is there so long after the route's time at the latest.
const LATE: Duration = Duration::from_millis(500);
/// What a server takes in these tests.
const TAKES: Duration = Duration::from_millis(1_000);

fn deadline(seen: &Message) -> Duration {
    let ms = seen.header("deadline-ms").expect("a deadline").parse().expect("a number");
    Duration::from_millis(ms)
}

/// Lets time pass at once, for all.
async fn pass(time: Duration) {
    tokio::time::pause();
    tokio::time::advance(time).await;
    tokio::time::resume();
}

#[rstest]
#[case::the_clients("Deadline-Ms: 3000\r\n", 3_000)]
#[case::a_fraction("Deadline-Ms: 2999.5\r\n", 2_999)]
#[case::beyond_the_routes("Deadline-Ms: 60000\r\n", 5_000)]
#[case::none("", 5_000)]
#[case::unreadable("Deadline-Ms: soon\r\n", 5_000)]
#[case::negative("Deadline-Ms: -1\r\n", 5_000)]
#[tokio::test]
async fn every_attempt_carries_the_remaining_deadline(#[case] more: &str, #[case] most: u64) {
    let most = Duration::from_millis(most);
    let setup = Setup { retry_budget: 10.0, ..setup("safe", r#","MaxAttempts":2"#) };
    with_world(setup, async |world| {
        let _client = world.ask("r1", more).await;
        let (mut server, seen, _) = world.offer_either("a", "b").await;
        let first = deadline(&seen);
        assert!(first <= most && first > most / 2, "{first:?}");
        pass(TAKES).await;
        server.send(&not_executed("r1", 503)).await;
        let (_server, seen, _) = world.offer_either("a", "b").await;
        let second = deadline(&seen);
        assert!(second <= first - TAKES, "{second:?} after {first:?}");
        assert_eq!(seen.head.to_lowercase().matches("deadline-ms").count(), 1);
    })
    .await;
}

#[rstest]
#[case::the_clients("Deadline-Ms: 4000\r\n", 4_000)]
#[case::none("", 5_000)]
#[tokio::test]
async fn prefill_decode_and_resumption_carry_the_remaining_deadline(#[case] more: &str, #[case] most: u64) {
    let most = Duration::from_millis(most);
    let route = r#","Resumable":true,"MaxAttempts":2"#;
    let setup = Setup { retry_budget: 10.0, ..split(route, &["d", "e"]) };
    with_world(setup, async |world| {
        let _client = world.ask("r1", more).await;
        let (mut reader, seen) = world.offer("p").await;
        assert!(deadline(&seen) <= most);
        pass(Duration::from_millis(500)).await;
        reader.send(&prefilled("r1")).await;
        let (mut server, seen, _) = offer_decode(world).await;
        let run = deadline(&seen);
        assert!(run <= most - Duration::from_millis(500), "{run:?}");
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        pass(TAKES).await;
        server.reset();
        let (_server, seen, _) = offer_decode(world).await;
        assert!(deadline(&seen) <= run - TAKES);
    })
    .await;
}

/// A client's time runs from when it has sent a request, also where an earlier one on its connection takes long.
#[rstest]
#[case::sent_together(true)]
#[case::sent_meanwhile(false)]
#[tokio::test]
async fn deadline_of_a_pipelined_request_includes_its_wait(#[case] together: bool) {
    let next = request("r2", "Deadline-Ms: 3000\r\n", "body");
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.client().await;
        let first = request("r1", "", "body");
        client.send(&if together { first + next.as_str() } else { first }).await;
        let (mut server, _) = world.offer("a").await;
        if !together {
            client.send(&next).await;
            // Read in once a later connection has been served.
            assert_eq!(world.readiness().await, 200);
        }
        pass(TAKES).await;
        server.send(&answer("r1", "ok")).await;
        let seen = server.message().await.expect("a request");
        assert_eq!(seen.header("request-id"), Some("r2"));
        assert!(deadline(&seen) <= Duration::from_millis(3_000) - TAKES, "{:?}", deadline(&seen));
    })
    .await;
}

/// What a silent server has said before.
#[rstest]
#[case::nothing("safe", "", Some(504))]
#[case::nothing_of_what_may_have_run("unsafe", "", Some(504))]
#[case::a_head(
    "unsafe",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf",
    Some(504)
)]
#[case::half_a_head("unsafe", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", Some(504))]
#[case::a_long_body(
    "unsafe",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 99999\r\n\r\nhalf",
    None
)]
#[tokio::test]
async fn final_response_comes_soon_after_the_route_timeout(
    #[case] kind: &str, #[case] said: &str, #[case] status: Option<u16>,
) {
    with_world(setup(kind, ""), async |world| {
        let since = Instant::now();
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(said).await;
        tokio::time::pause();
        let got = client.message().await;
        assert_eq!(got.map(|got| got.status()), status);
        let took = since.elapsed();
        assert!(took > TIMEOUT / 2 && took < TIMEOUT + LATE, "{took:?}");
        assert!(server.is_closed().await, "the server is told");
        assert!(since.elapsed() < TIMEOUT + LATE);
    })
    .await;
}

#[tokio::test]
async fn request_with_a_silent_prefill_server_is_answered_in_time() {
    with_world(split("", &["d"]), async |world| {
        let since = Instant::now();
        let mut client = world.ask("r1", "").await;
        let (_reader, _) = world.offer("p").await;
        tokio::time::pause();
        let got = client.message().await.expect("an answer");
        assert!([503, 504].contains(&got.status()), "{}", got.status());
        assert!(since.elapsed() < TIMEOUT + LATE, "{:?}", since.elapsed());
    })
    .await;
}

/// A body that comes steadily and slowly is no reason to hold its request for longer.
#[tokio::test]
async fn request_with_an_incomplete_body_gets_408_in_time() {
    let step = Duration::from_millis(200);
    with_world(setup("unsafe", ""), async |world| {
        let since = Instant::now();
        let mut client = world.client().await;
        let whole = request("r1", "", &"x".repeat(100));
        client.send(&whole[..whole.len() - 100]).await;
        while since.elapsed() < TIMEOUT + step {
            client.send("x").await;
            assert_eq!(world.readiness().await, 200);
            pass(step).await;
        }
        tokio::time::pause();
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("connection")), (408, Some("close")));
        assert!(since.elapsed() < TIMEOUT + LATE, "{:?}", since.elapsed());
    })
    .await;
}

#[tokio::test]
async fn stream_that_exceeds_the_route_timeout_is_truncated() {
    with_world(split("", &["d"]), async |world| {
        let since = Instant::now();
        let (mut client, _reader) = ask_and_read(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1))));
        tokio::time::pause();
        assert_eq!(client.stream().await, (String::new(), false));
        assert!(server.is_closed().await);
        assert!(since.elapsed() < TIMEOUT + LATE, "{:?}", since.elapsed());
    })
    .await;
}

/// Silence within the request's time ends nothing, whichever part of the answer it falls into.
#[rstest]
#[case::before_the_head(
    "",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
    "ok"
)]
#[case::inside_the_head(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
    "Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
    "ok"
)]
#[case::inside_the_body(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\no",
    "k",
    "ok"
)]
#[case::inside_a_chunk(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\no",
    "k\r\n0\r\n\r\n",
    "ok"
)]
#[tokio::test]
async fn server_pause_within_the_deadline_does_not_end_a_response(
    #[case] before: &str, #[case] after: &str, #[case] body: &str,
) {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(before).await;
        pass(TIMEOUT - Duration::from_millis(500)).await;
        server.send(after).await;
        assert_eq!(client.message().await.expect("an answer").body, body);
    })
    .await;
}

#[rstest]
#[case::between_events("", "id: 2\ndata: 2\n\n")]
#[case::inside_an_event("id: 2\nda", "ta: 2\n\n")]
#[tokio::test]
async fn server_pause_within_the_deadline_does_not_end_a_stream(#[case] before: &str, #[case] after: &str) {
    with_world(split("", &["d"]), async |world| {
        let (mut client, _reader) = ask_and_read(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&(event(1) + before))).await;
        pass(TIMEOUT - Duration::from_millis(500)).await;
        server.send(&chunk(after)).await;
        server.send(LAST_CHUNK).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1) + event(2).as_str());
    })
    .await;
}
