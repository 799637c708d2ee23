//! Reading clients' requests: what is refused unread, and how long a client may take.

mod common;

use common::*;
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

#[rstest]
#[case::two_lengths("Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400)]
#[case::length_and_chunks(
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /r/x HTTP/1.1\r\n",
    400
)]
#[case::chunks_and_length(
    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\nPOST /r/x HTTP/1.1\r\n",
    400
)]
#[case::another_coding("Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400)]
#[case::a_signed_length("Content-Length: +1\r\n\r\nx", 400)]
#[case::a_space_before_the_colon("Content-Length : 1\r\n\r\nx", 400)]
#[case::a_bare_newline("X: 1\nContent-Length: 1\r\n\r\nx", 400)]
#[case::a_folded_line("X: 1\r\n 2\r\nContent-Length: 1\r\n\r\nx", 400)]
#[case::a_chunk_that_is_none("Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400)]
#[case::two_hosts("Host: other.example\r\nContent-Length: 0\r\n\r\n", 400)]
#[case::a_body_too_large("Content-Length: 1001\r\n\r\n", 413)]
#[tokio::test]
async fn ambiguous_or_oversized_request_is_rejected_and_closes_the_connection(
    #[case] rest: &str, #[case] status: u16,
) {
    with_world(setup("safe", ""), async |world| {
        let mut client = world.client().await;
        client.send(&format!("POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n{rest}")).await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), status);
        assert_eq!(got.header("server-stamp"), None);
        // A request without a route is answered and may stay; what can't be read closes.
        if rest.starts_with("Host") {
            return;
        }
        assert_eq!(got.header("connection"), Some("close"));
        assert!(client.is_closed().await);
    })
    .await;
}

#[tokio::test]
async fn head_and_chunked_body_limits_are_enforced() {
    with_world(setup("safe", ""), async |world| {
        let long = "x".repeat(5_000);
        let mut client = world.ask("r1", &format!("X: {long}\r\n")).await;
        assert_eq!(client.message().await.expect("an answer").status(), 431);
        let mut client = world.client().await;
        let head = format!("POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nTransfer-Encoding: chunked\r\n\r\n");
        client.send(&head).await;
        client.send(&chunk(&"x".repeat(1_001))).await;
        assert_eq!(client.message().await.expect("an answer").status(), 413);
    })
    .await;
}

#[tokio::test]
async fn slow_request_head_or_body_times_out_with_408() {
    with_world(setup("safe", ""), async |world| {
        let mut in_head = world.client().await;
        in_head.send("POST /r/x HT").await;
        let mut in_body = world.client().await;
        in_body.send(&request("r1", "", "body")[..request("r1", "", "body").len() - 1]).await;
        // Both have been taken in once a later request has been answered.
        let mut other = world.client().await;
        other.send("GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(other.message().await.expect("an answer").status(), 404);
        tokio::time::pause();
        assert_eq!(in_head.message().await.expect("an answer").status(), 408);
        assert_eq!(in_body.message().await.expect("an answer").status(), 408);
    })
    .await;
}

#[tokio::test]
async fn idle_client_connection_outlives_the_idle_timeout_and_is_then_closed() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.client().await;
        client.send("GET /none/ HTTP/1.1\r\nHost: x\r\n\r\n").await;
        assert_eq!(client.message().await.expect("an answer").status(), 404);
        tokio::time::pause();
        let since = Instant::now();
        assert!(client.is_closed().await);
        let rested = since.elapsed();
        assert!(rested >= Duration::from_millis(5_000) && rested < Duration::from_secs(12), "{rested:?}");
    })
    .await;
}
