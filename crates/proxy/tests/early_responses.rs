//! Responses that arrive before their request has been sent completely: they are forwarded, and their
//! connections are not reused, since another request would be read as the rest of the first.

mod support;

use support::*;

/// The length of a body that exceeds the socket buffers of both ends.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;

fn long_bodies(kind: &'static str) -> Scenario {
    Scenario::new(kind).max_attempts(2).max_body_bytes(LONG_BODY_BYTES).retry_budget(10.0)
}

fn is_part_of_body(rest: &[u8]) -> bool {
    rest.len() < LONG_BODY_BYTES && rest.iter().all(|byte| *byte == b'x')
}

#[tokio::test]
async fn early_response_is_forwarded_and_its_connection_is_not_reused() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_head().await.is_some());
        early.send(&ok_response("r1", "early")).await;
        assert_eq!(client.read_response().await.body, "early");
        client.send(&request("r2", "", "second")).await;
        let mut next = proxy.accept("a").await;
        assert_eq!(next.read_request().await.body, "second");
        next.send(&ok_response("r2", "ok")).await;
        assert_eq!(client.read_response().await.body, "ok");
        assert!(is_part_of_body(&early.read_to_end().await));
    })
    .await;
}

#[tokio::test]
async fn early_rejection_sends_the_complete_body_to_another_server() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let (mut early, first) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(early.read_head().await.is_some());
        early.send(&rejection("r1", 503)).await;
        let (mut server, second) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        assert_eq!(server.read_request().await.body.len(), LONG_BODY_BYTES);
        server.send(&ok_response("r1", "there")).await;
        assert_eq!(client.read_response().await.body, "there");
        assert!(is_part_of_body(&early.read_to_end().await));
    })
    .await;
}

#[tokio::test]
async fn interim_response_does_not_stop_the_body() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        let head = server.read_head().await.expect("a complete head is received");
        assert!(head.contains(&format!("Content-Length: {LONG_BODY_BYTES}\r\n")), "{head}");
        server.send("HTTP/1.1 100 Continue\r\n\r\n").await;
        assert_eq!(server.read_exactly(LONG_BODY_BYTES).await.map(|body| body.len()), Some(LONG_BODY_BYTES));
        server.send(&ok_response("r1", "whole")).await;
        assert_eq!(client.read_response().await.body, "whole");
    })
    .await;
}

/// The last byte of an unsafe request is withheld for a short time. A response that arrives during that time
/// belongs to this request.
#[tokio::test]
async fn response_before_the_last_byte_is_forwarded_and_the_request_is_not_retried() {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        tokio::time::pause();
        let mut client = proxy.send_request("r1", "").await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_until(ALL_BUT_LAST_BYTE).await.is_some());
        early.send(&ok_response("r1", "early")).await;
        assert_eq!(client.read_response().await.body, "early");
        assert!(early.is_closed().await, "neither the last byte nor another request is sent");
    })
    .await;
}

#[tokio::test]
async fn early_response_followed_by_a_close_is_forwarded() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_head().await.is_some());
        early.send(&ok_response("r1", "early")).await;
        early.shutdown_write().await;
        assert_eq!(client.read_response().await.body, "early");
    })
    .await;
}
