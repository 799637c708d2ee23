//! Answers that come before their request was sent whole: they go on, and the rest of that request never stands where something
//! else is due.

mod common;

use common::*;

/// More than the buffers of both ends of a connection take.
const LONG: usize = 16 * 1024 * 1024;

fn long_bodies(kind: &str) -> Setup {
    Setup { max_body: LONG, retry_budget: 10.0, ..setup(kind, r#","MaxAttempts":2"#) }
}

fn is_part_of_body(rest: &[u8]) -> bool {
    rest.len() < LONG && rest.iter().all(|byte| *byte == b'x')
}

#[tokio::test]
async fn early_response_is_forwarded_and_its_connection_is_not_reused() {
    with_world(long_bodies("unsafe"), async |world| {
        world.list(&["b"]).await;
        let mut client = world.client().await;
        client.send(&request("r1", "", &"x".repeat(LONG))).await;
        let mut early = world.accept("a").await;
        assert!(early.until("\r\n\r\n").await.is_some());
        early.send(&answer("r1", "early")).await;
        assert_eq!(client.message().await.expect("an answer").body, "early");
        client.send(&request("r2", "", "second")).await;
        let mut next = world.accept("a").await;
        assert_eq!(next.message().await.expect("a request").body, "second");
        next.send(&answer("r2", "ok")).await;
        assert_eq!(client.message().await.expect("an answer").body, "ok");
        assert!(is_part_of_body(&early.rest().await));
    })
    .await;
}

#[tokio::test]
async fn early_rejection_sends_the_complete_body_to_another_server() {
    with_world(long_bodies("unsafe"), async |world| {
        let mut client = world.client().await;
        client.send(&request("r1", "", &"x".repeat(LONG))).await;
        let (mut early, first) = world.accept_either("a", "b").await;
        assert!(early.until("\r\n\r\n").await.is_some());
        early.send(&not_executed("r1", 503)).await;
        let (mut server, second) = world.accept_either("a", "b").await;
        assert_ne!(first, second);
        assert_eq!(server.message().await.expect("a request").body.len(), LONG);
        server.send(&answer("r1", "there")).await;
        assert_eq!(client.message().await.expect("an answer").body, "there");
        assert!(is_part_of_body(&early.rest().await));
    })
    .await;
}

#[tokio::test]
async fn interim_response_does_not_stop_the_body() {
    with_world(long_bodies("unsafe"), async |world| {
        let mut client = world.client().await;
        client.send(&request("r1", "", &"x".repeat(LONG))).await;
        let (mut server, _) = world.accept_either("a", "b").await;
        let head = server.until("\r\n\r\n").await.expect("a head");
        assert!(head.contains(&format!("Content-Length: {LONG}\r\n")), "{head}");
        server.send("HTTP/1.1 100 Continue\r\n\r\n").await;
        assert_eq!(server.exactly(LONG).await.map(|body| body.len()), Some(LONG));
        server.send(&answer("r1", "whole")).await;
        assert_eq!(client.message().await.expect("an answer").body, "whole");
    })
    .await;
}

/// The last byte of an unrepeatable request is held back for a moment: an answer that comes then is to this request.
#[tokio::test]
async fn response_before_the_last_byte_is_forwarded_and_the_request_is_not_retried() {
    with_world(Setup { retry_budget: 10.0, ..setup("unsafe", "") }, async |world| {
        world.list(&["b"]).await;
        tokio::time::pause();
        let mut client = world.ask("r1", "").await;
        let mut early = world.accept("a").await;
        assert!(early.until("\r\n\r\nbod").await.is_some());
        early.send(&answer("r1", "early")).await;
        assert_eq!(client.message().await.expect("an answer").body, "early");
        assert!(early.is_closed().await, "neither the last byte nor another request comes");
    })
    .await;
}

#[tokio::test]
async fn early_response_followed_by_a_close_is_forwarded() {
    with_world(long_bodies("unsafe"), async |world| {
        world.list(&["b"]).await;
        let mut client = world.client().await;
        client.send(&request("r1", "", &"x".repeat(LONG))).await;
        let mut early = world.accept("a").await;
        assert!(early.until("\r\n\r\n").await.is_some());
        early.send(&answer("r1", "early")).await;
        early.finish().await;
        assert_eq!(client.message().await.expect("an answer").body, "early");
    })
    .await;
}
