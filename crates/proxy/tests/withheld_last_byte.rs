//! The withheld last byte of a request.
//!
//! A server that is saturated, or has closed an idle connection, resets the connection. On a connection that
//! may be reset, the proxy withholds the last byte of an unsafe request for a short time: a reset before the
//! last byte is sent proves that the request was not executed, so that it may be sent to another server.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::clock::with_frozen_clock;
use support::*;

/// A saturated server may reset the new connection. While the last byte is withheld, the request can't have
/// been executed.
#[tokio::test]
async fn last_byte_of_an_unsafe_request_is_withheld_on_a_new_connection() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let (mut client, mut server) = with_frozen_clock(async {
            let client = proxy.send_request("r1", "").await;
            let (mut server, first) = proxy.accept_any(&PLAIN_SERVERS).await;
            assert!(server.read_until(ALL_BUT_LAST_BYTE).await.is_some());
            server.reset();
            let (server, second) = proxy.accept_any(&PLAIN_SERVERS).await;
            assert_ne!(first, second);
            (client, server)
        })
        .await;
        server.read_request().await;
        server.send(&ok_response("r1", "once")).await;
        assert_eq!(client.read_response().await.body, "once");
    })
    .await;
}

#[tokio::test]
async fn last_byte_of_an_unsafe_request_is_withheld_on_an_idle_connection() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let (mut client, mut idle) = proxy.idle_connections().await;
        let mut server = with_frozen_clock(async {
            tokio::time::advance(Duration::from_millis(500)).await;
            client.send(&request("r2", "", "body")).await;
            assert!(idle.read_until(ALL_BUT_LAST_BYTE).await.is_some());
            drop(idle);
            proxy.accept("a").await
        })
        .await;
        server.read_request().await;
        server.send(&ok_response("r2", "once")).await;
        assert_eq!(client.read_response().await.body, "once");
    })
    .await;
}

/// Withholding costs time, so safe requests, and requests on a connection that has just been used, are sent
/// at once.
#[rstest]
#[case::safe("safe", false)]
#[case::just_used("unsafe", true)]
#[tokio::test]
async fn last_byte_is_not_withheld_if_a_retry_is_safe_or_the_connection_is_fresh(
    #[case] kind: &'static str, #[case] is_reused: bool,
) {
    with_proxy(Scenario::new(kind).max_attempts(1).retry_budget(10.0), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        let mut idle = None;
        if is_reused {
            client.send(&request("r1", "", "body")).await;
            let (mut server, _) = proxy.receive("a").await;
            server.send(&ok_response("r1", "ok")).await;
            client.read_response().await;
            idle = Some(server);
        }
        with_frozen_clock(async {
            client.send(&request("r2", "", "body")).await;
            let mut server = match idle {
                Some(idle) => idle,
                None => proxy.accept("a").await,
            };
            server.read_request().await;
        })
        .await;
    })
    .await;
}

/// A server may respond before it has read the complete body. It may then have executed the request.
#[rstest]
#[case::complete(ok_response("r1", "early"), 200)]
#[case::truncated_head("HTTP/1.1 200 OK\r\nRequest-".to_owned(), 502)]
#[case::garbage("\u{1}\u{2}nonsense\r\n\r\n".to_owned(), 502)]
#[tokio::test]
async fn response_before_the_last_byte_belongs_to_the_request(#[case] reply: String, #[case] status: u16) {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut server = with_frozen_clock(async {
            let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
            assert!(server.read_until(ALL_BUT_LAST_BYTE).await.is_some());
            server.send(&reply).await;
            server
        })
        .await;
        if status == 502 {
            server.reset();
        } else {
            // The rest of the body was not sent on this connection, so nothing else may be sent on it.
            let rest = server.read_head().await;
            assert_eq!(rest, None);
        }
        let response = client.read_response().await;
        assert_eq!(response.status(), status, "{}", response.head);
    })
    .await;
}

#[tokio::test]
async fn rejection_before_the_last_byte_is_retried_and_closes_its_connection() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, mut other) = with_frozen_clock(async {
            let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
            assert!(server.read_until(ALL_BUT_LAST_BYTE).await.is_some());
            server.send(&rejection("r1", 503)).await;
            let (other, _) = proxy.accept_any(&PLAIN_SERVERS).await;
            (server, other)
        })
        .await;
        assert!(server.is_closed().await);
        other.read_request().await;
        other.send(&ok_response("r1", "there")).await;
        assert_eq!(client.read_response().await.body, "there");
    })
    .await;
}

/// On a reused connection a duplicate of an earlier response may arrive while the last byte is withheld.
#[tokio::test]
async fn duplicate_response_does_not_stop_the_request() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let (mut client, mut idle) = proxy.idle_connections().await;
        with_frozen_clock(async {
            tokio::time::advance(Duration::from_millis(500)).await;
            client.send(&request("r2", "", "body")).await;
            assert!(idle.read_until(ALL_BUT_LAST_BYTE).await.is_some());
            idle.send(&ok_response("r1", "first")).await;
        })
        .await;
        assert_eq!(idle.read_until("y").await.as_deref(), Some("y"), "the last byte");
        idle.send(&ok_response("r2", "second")).await;
        assert_eq!(client.read_response().await.body, "second");
    })
    .await;
}
