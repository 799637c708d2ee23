//! Deadline propagation: every attempt carries the remaining time, and the final response is sent at most 500
//! ms after the timeout of the route, whatever the servers do.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::clock::advance_clock;
use support::prefill::*;
use support::*;
use tokio::time::Instant;

/// `TimeoutMs` of the route.
const TIMEOUT: Duration = Duration::from_millis(5_000);
/// The maximum delay of the final response after the timeout.
const GRACE: Duration = Duration::from_millis(500);
/// The time that a server takes to respond.
const SERVER_DELAY: Duration = Duration::from_millis(1_000);

fn remaining_time(received: &Message) -> Duration {
    let ms = received
        .header("deadline-ms")
        .expect("the request has Deadline-Ms")
        .parse()
        .expect("the value is a number");
    Duration::from_millis(ms)
}

#[rstest]
#[case::of_the_client("Deadline-Ms: 3000\r\n", 3_000)]
#[case::fraction("Deadline-Ms: 2999.5\r\n", 2_999)]
#[case::above_the_route_timeout("Deadline-Ms: 60000\r\n", 5_000)]
#[case::none("", 5_000)]
#[case::unreadable("Deadline-Ms: soon\r\n", 5_000)]
#[case::negative("Deadline-Ms: -1\r\n", 5_000)]
#[tokio::test]
async fn every_attempt_carries_the_remaining_deadline(#[case] headers: &str, #[case] max_ms: u64) {
    let max = Duration::from_millis(max_ms);
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(10.0), async |proxy| {
        let _client = proxy.send_request("r1", headers).await;
        let (mut server, received, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        let first = remaining_time(&received);
        assert!(first <= max && first > max / 2, "{first:?}");
        advance_clock(SERVER_DELAY).await;
        server.send(&rejection("r1", 503)).await;
        let (_server, received, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        let second = remaining_time(&received);
        assert!(second <= first - SERVER_DELAY, "{second:?} after {first:?}");
        assert_eq!(received.head.to_lowercase().matches("deadline-ms").count(), 1);
    })
    .await;
}

#[rstest]
#[case::of_the_client("Deadline-Ms: 4000\r\n", 4_000)]
#[case::none("", 5_000)]
#[tokio::test]
async fn prefill_decode_and_resumption_carry_the_remaining_deadline(
    #[case] headers: &str, #[case] max_ms: u64,
) {
    let max = Duration::from_millis(max_ms);
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let _client = proxy.send_request("r1", headers).await;
        let (mut prefill_server, received) = proxy.receive("p").await;
        assert!(remaining_time(&received) <= max);
        advance_clock(Duration::from_millis(500)).await;
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (mut server, received, _) = receive_decode(proxy).await;
        let decode = remaining_time(&received);
        assert!(decode <= max - Duration::from_millis(500), "{decode:?}");
        server.start_stream("r1", 1).await;
        advance_clock(SERVER_DELAY).await;
        server.reset();
        let (_server, received, _) = receive_decode(proxy).await;
        assert!(remaining_time(&received) <= decode - SERVER_DELAY);
    })
    .await;
}

/// The deadline is relative to the arrival of the request, even if an earlier request on its connection is
/// still being served.
#[rstest]
#[case::sent_with_the_first(true)]
#[case::sent_during_the_first(false)]
#[tokio::test]
async fn deadline_of_a_pipelined_request_includes_its_wait(#[case] is_sent_together: bool) {
    let next = request("r2", "Deadline-Ms: 3000\r\n", "body");
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        let first = request("r1", "", "body");
        client.send(&if is_sent_together { first + next.as_str() } else { first }).await;
        let (mut server, _) = proxy.receive("a").await;
        if !is_sent_together {
            client.send(&next).await;
            // The request has been received once a later connection has been served.
            assert_eq!(proxy.readiness_status().await, 200);
        }
        advance_clock(SERVER_DELAY).await;
        server.send(&ok_response("r1", "ok")).await;
        let received = server.read_request().await;
        assert_eq!(received.header("request-id"), Some("r2"));
        assert!(
            remaining_time(&received) <= Duration::from_millis(3_000) - SERVER_DELAY,
            "{:?}",
            remaining_time(&received)
        );
    })
    .await;
}

/// The cases give what the server sends before it stops responding.
#[rstest]
#[case::nothing_to_a_safe_request("safe", "", Some(504))]
#[case::nothing_to_an_unsafe_request("unsafe", "", Some(504))]
#[case::head_and_partial_body(
    "unsafe",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf",
    Some(504)
)]
#[case::partial_head("unsafe", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", Some(504))]
#[case::long_body_being_forwarded(
    "unsafe",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 99999\r\n\r\nhalf",
    None
)]
#[tokio::test]
async fn final_response_comes_soon_after_the_route_timeout(
    #[case] kind: &'static str, #[case] reply: &str, #[case] status: Option<u16>,
) {
    with_proxy(Scenario::new(kind), async |proxy| {
        let since = Instant::now();
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(reply).await;
        tokio::time::pause();
        let response = client.read_message().await;
        assert_eq!(response.map(|response| response.status()), status);
        let elapsed = since.elapsed();
        assert!(elapsed > TIMEOUT / 2 && elapsed < TIMEOUT + GRACE, "{elapsed:?}");
        assert!(server.is_closed().await, "the attempt is cancelled");
        assert!(since.elapsed() < TIMEOUT + GRACE);
    })
    .await;
}

#[tokio::test]
async fn request_with_a_silent_prefill_server_is_answered_in_time() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let since = Instant::now();
        let mut client = proxy.send_request("r1", "").await;
        let (_prefill_server, _) = proxy.receive("p").await;
        tokio::time::pause();
        let response = client.read_response().await;
        assert!([503, 504].contains(&response.status()), "{}", response.status());
        assert!(since.elapsed() < TIMEOUT + GRACE, "{:?}", since.elapsed());
    })
    .await;
}

/// A body that arrives slowly, but without long pauses, does not extend the deadline.
#[tokio::test]
async fn request_with_an_incomplete_body_gets_408_in_time() {
    let step = Duration::from_millis(200);
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let since = Instant::now();
        let mut client = proxy.connect().await;
        let complete = request("r1", "", &"x".repeat(100));
        client.send(&complete[..complete.len() - 100]).await;
        while since.elapsed() < TIMEOUT + step {
            client.send("x").await;
            assert_eq!(proxy.readiness_status().await, 200);
            advance_clock(step).await;
        }
        tokio::time::pause();
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("connection")), (408, Some("close")));
        assert!(since.elapsed() < TIMEOUT + GRACE, "{:?}", since.elapsed());
    })
    .await;
}

#[tokio::test]
async fn stream_that_exceeds_the_route_timeout_is_truncated() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let since = Instant::now();
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        server.start_stream("r1", 1).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some(event(1))));
        tokio::time::pause();
        assert_eq!(client.read_stream().await, (String::new(), false));
        assert!(server.is_closed().await);
        assert!(since.elapsed() < TIMEOUT + GRACE, "{:?}", since.elapsed());
    })
    .await;
}

/// A pause within the deadline does not matter, whichever part of the response it interrupts.
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
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(before).await;
        advance_clock(TIMEOUT - Duration::from_millis(500)).await;
        server.send(after).await;
        assert_eq!(client.read_response().await.body, body);
    })
    .await;
}

#[rstest]
#[case::between_events("", "id: 2\ndata: 2\n\n")]
#[case::inside_an_event("id: 2\nda", "ta: 2\n\n")]
#[tokio::test]
async fn server_pause_within_the_deadline_does_not_end_a_stream(#[case] before: &str, #[case] after: &str) {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&(event(1) + before))).await;
        advance_clock(TIMEOUT - Duration::from_millis(500)).await;
        server.send(&chunk(after)).await;
        server.send(LAST_CHUNK).await;
        assert_eq!(client.read_response().await.body, events(2));
    })
    .await;
}
