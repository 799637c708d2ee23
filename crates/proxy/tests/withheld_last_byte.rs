//! The last byte of a request: what comes before it is out, and what that proves.

mod clock;
mod common;

use clock::frozen;
use common::*;
use rstest::rstest;
use std::time::Duration;

/// All of the usual request but its last byte.
const ALL_BUT_LAST: &str = "\r\n\r\nbod";

fn route(kind: &str, attempts: u32) -> String {
    format!(
        r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"{kind}","TimeoutMs":5000,"SloMs":300,"Service":"s","MaxAttempts":{attempts}}}"#
    )
}

fn world_of(kind: &str, attempts: u32) -> Setup {
    Setup { routes: vec![route(kind, attempts)], retry_budget: 10.0, ..setup(kind, "") }
}

/// The server that is full may be closing the new connection: while the last byte has not gone out, nothing has run.
#[tokio::test]
async fn last_byte_of_an_unsafe_request_is_withheld_on_a_new_connection() {
    with_world(world_of("unsafe", 1), async |world| {
        let (mut client, mut server) = frozen(async {
            let client = world.ask("r1", "").await;
            let (mut server, first) = world.accept_either("a", "b").await;
            assert!(server.until(ALL_BUT_LAST).await.is_some());
            server.reset();
            let (server, second) = world.accept_either("a", "b").await;
            assert_ne!(first, second);
            (client, server)
        })
        .await;
        assert!(server.message().await.is_some());
        server.send(&answer("r1", "once")).await;
        assert_eq!(client.message().await.expect("an answer").body, "once");
    })
    .await;
}

#[tokio::test]
async fn last_byte_of_an_unsafe_request_is_withheld_on_an_idle_connection() {
    with_world(world_of("unsafe", 1), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut kept = world.accept("a").await;
        assert!(kept.message().await.is_some());
        kept.send(&answer("r1", "ok")).await;
        assert!(client.message().await.is_some());
        let mut server = frozen(async {
            tokio::time::advance(Duration::from_millis(500)).await;
            client.send(&request("r2", "", "body")).await;
            assert!(kept.until(ALL_BUT_LAST).await.is_some());
            drop(kept);
            world.accept("a").await
        })
        .await;
        assert!(server.message().await.is_some());
        server.send(&answer("r2", "once")).await;
        assert_eq!(client.message().await.expect("an answer").body, "once");
    })
    .await;
}

/// Holding back costs time: what may run twice, and what goes on a connection that was used just now, goes out whole.
#[rstest]
#[case::safe("safe", false)]
#[case::just_used("unsafe", true)]
#[tokio::test]
async fn last_byte_is_not_withheld_without_need(#[case] kind: &str, #[case] is_kept: bool) {
    with_world(world_of(kind, 1), async |world| {
        world.list(&["b"]).await;
        let mut client = world.client().await;
        let mut kept = None;
        if is_kept {
            client.send(&request("r1", "", "body")).await;
            let mut server = world.accept("a").await;
            assert!(server.message().await.is_some());
            server.send(&answer("r1", "ok")).await;
            assert!(client.message().await.is_some());
            kept = Some(server);
        }
        frozen(async {
            client.send(&request("r2", "", "body")).await;
            let mut server = match kept {
                Some(kept) => kept,
                None => world.accept("a").await,
            };
            assert!(server.message().await.is_some());
        })
        .await;
    })
    .await;
}

/// A server may answer before it has read the whole body: then it may have run before the last byte was out.
#[rstest]
#[case::whole(answer("r1", "early"), 200)]
#[case::only_begun("HTTP/1.1 200 OK\r\nRequest-".to_owned(), 502)]
#[case::no_answer("\u{1}\u{2}nonsense\r\n\r\n".to_owned(), 502)]
#[tokio::test]
async fn response_before_the_last_byte_belongs_to_the_request(#[case] said: String, #[case] status: u16) {
    with_world(world_of("unsafe", 1), async |world| {
        let mut client = world.ask("r1", "").await;
        let mut server = frozen(async {
            let (mut server, _) = world.accept_either("a", "b").await;
            assert!(server.until(ALL_BUT_LAST).await.is_some());
            server.send(&said).await;
            server
        })
        .await;
        if status == 502 {
            server.reset();
        } else {
            // The rest of the body is due on this connection: nothing else may come there.
            let rest = server.until("\r\n\r\n").await;
            assert_eq!(rest, None);
        }
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), status, "{}", got.head);
    })
    .await;
}

#[tokio::test]
async fn rejection_before_the_last_byte_is_retried_and_closes_its_connection() {
    with_world(world_of("unsafe", 1), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, mut other) = frozen(async {
            let (mut server, _) = world.accept_either("a", "b").await;
            assert!(server.until(ALL_BUT_LAST).await.is_some());
            server.send(&not_executed("r1", 503)).await;
            let (other, _) = world.accept_either("a", "b").await;
            (server, other)
        })
        .await;
        assert!(server.is_closed().await);
        assert!(other.message().await.is_some());
        other.send(&answer("r1", "there")).await;
        assert_eq!(client.message().await.expect("an answer").body, "there");
    })
    .await;
}

/// On a kept connection a late copy of another answer may come while the last byte is held back.
#[tokio::test]
async fn duplicate_response_does_not_end_the_send() {
    with_world(world_of("unsafe", 1), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut kept = world.accept("a").await;
        assert!(kept.message().await.is_some());
        kept.send(&answer("r1", "first")).await;
        assert!(client.message().await.is_some());
        frozen(async {
            tokio::time::advance(Duration::from_millis(500)).await;
            client.send(&request("r2", "", "body")).await;
            assert!(kept.until(ALL_BUT_LAST).await.is_some());
            kept.send(&answer("r1", "first")).await;
        })
        .await;
        assert_eq!(kept.until("y").await.as_deref(), Some("y"), "the last byte");
        kept.send(&answer("r2", "second")).await;
        assert_eq!(client.message().await.expect("an answer").body, "second");
    })
    .await;
}
