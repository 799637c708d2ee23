//! Reuse of connections to servers.
//!
//! An outstanding response on a connection is never taken for the response to another request: responses are
//! matched by their request id, connections with an outstanding response or surplus bytes are closed, and
//! idle connections that their server may be about to close are not used.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::clock::with_frozen_clock;
use support::prefill::{expect_release, prefill_response};
use support::*;

/// For a resumed stream, the prompt is prefilled again with the same request id on the same server, which
/// also sends a duplicate of its first response.
#[tokio::test]
async fn second_prefill_ignores_a_duplicate_of_the_first_prefill_response() {
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(3).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _) = proxy.receive("p").await;
        prefill_server.send(&prefill_response("r1", "one")).await;
        let (mut server, _, _) = proxy.receive_any(&["d", "e"]).await;
        server.start_stream("r1", 1).await;
        server.reset();
        let second = tokio::select! {
            received = prefill_server.read_message() => {
                assert!(received.is_some());
                None
            }
            accepted = proxy.accept("p") => Some(accepted),
        };
        prefill_server.send(&prefill_response("r1", "one")).await;
        match second {
            Some(mut accepted) => {
                let received = accepted.read_request().await;
                assert_eq!(received.header("serving-stage"), Some("prefill"));
                accepted.send(&prefill_response("r1", "two")).await;
            }
            None => prefill_server.send(&prefill_response("r1", "two")).await,
        }
        let (mut server, _) = proxy.accept_any(&["d", "e"]).await;
        let source = format!("{}/two", proxy.address("p"));
        assert_eq!(server.read_request().await.header("kv-from"), Some(source.as_str()));
    })
    .await;
}

#[tokio::test]
async fn duplicate_responses_of_earlier_requests_are_skipped() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = proxy.idle_connections().await;
        client.send(&request("r2", "", "body")).await;
        assert!(server.read_message().await.is_some(), "the idle connection is reused");
        server.send(&ok_response("r1", "first")).await;
        server.send(&rejection("r0", 503)).await;
        server.send(&ok_response("r2", "own")).await;
        assert_eq!(client.read_response().await.body, "own");
    })
    .await;
}

/// The response to such a request can't be distinguished from a duplicate of an earlier response.
#[rstest]
#[case::without_request_id(format!("POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n\r\nbody"))]
#[case::head_request(format!("HEAD /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r2\r\n\r\n"))]
#[tokio::test]
async fn request_without_distinguishable_response_gets_its_own_connection(#[case] second: String) {
    with_proxy(Scenario::new("safe"), async |proxy| {
        let (mut client, mut idle) = proxy.idle_connections().await;
        client.send(&second).await;
        let mut own = tokio::select! {
            received = idle.read_message() => panic!("received on the idle connection: {received:?}"),
            accepted = proxy.accept("a") => accepted,
        };
        assert!(own.read_head().await.is_some());
        let reply = ok_response("r2", "");
        own.send(&reply).await;
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (200, Some("stamp-r2")));
        if second.starts_with("POST") {
            assert_eq!(own.read_until("body").await.as_deref(), Some("body"));
        }
        assert!(own.is_closed().await, "the connection is not reused");
        // The idle connection can still be reused.
        client.send(&request("r3", "", "body")).await;
        assert_eq!(idle.read_request().await.header("request-id"), Some("r3"));
    })
    .await;
}

/// The response to `DELETE` carries no request id, so a duplicate of another response could be taken for it.
#[tokio::test]
async fn connection_that_released_a_handle_is_not_reused() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _) = proxy.receive("p").await;
        prefill_server.send(&prefill_response("r1", "one")).await;
        let (_server, _) = proxy.receive("d").await;
        drop(client);
        let release = expect_release(&mut prefill_server, "one").await;
        assert_eq!(
            release.header("expect-instance"),
            Some("i-p"),
            "the address may belong to another instance"
        );
        prefill_server.send(&prefill_response("r1", "one")).await;
        let _other = proxy.send_request("r2", "").await;
        let mut second = tokio::select! {
            received = prefill_server.read_message() => panic!("received before the response to DELETE: {received:?}"),
            accepted = proxy.accept("p") => accepted,
        };
        assert_eq!(second.read_request().await.header("request-id"), Some("r2"));
        prefill_server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert!(prefill_server.is_closed().await);
    })
    .await;
}

/// Nothing is sent to the address of a server that was removed from the endpoint list, since the address may
/// belong to another server.
#[tokio::test]
async fn handle_of_a_removed_server_is_not_released() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _) = proxy.receive("p").await;
        prefill_server.send(&prefill_response("r1", "one")).await;
        let (mut server, _) = proxy.receive("d").await;
        proxy.list_all_except(&["p"]).await;
        assert!(prefill_server.is_closed().await, "the connection is closed when its incarnation is removed");
        drop(client);
        assert!(server.is_closed().await);
        let _other = proxy.send_request("r2", "").await;
        tokio::select! {
            biased;
            _ = proxy.accept("p") => panic!("a request was sent to the address of a removed server"),
            _ = proxy.accept("d") => {}
        }
    })
    .await;
}

#[rstest]
#[case::deadline_exceeded(true)]
#[case::client_disconnected(false)]
#[tokio::test]
async fn connection_with_an_outstanding_response_is_not_reused(#[case] is_late: bool) {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "Deadline-Ms: 900\r\n").await;
        let (mut server, _) = proxy.receive("a").await;
        if is_late {
            tokio::time::pause();
            assert_eq!(client.read_response().await.status(), 504);
            tokio::time::resume();
        } else {
            drop(client);
        }
        assert!(server.is_closed().await);
        let _other = proxy.send_request("r2", "").await;
        let mut server = proxy.accept("a").await;
        assert_eq!(server.read_request().await.header("request-id"), Some("r2"));
    })
    .await;
}

#[tokio::test]
async fn connection_of_a_cancelled_stream_is_not_reused() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        proxy.list_all_except(&["p"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, _) = proxy.receive("d").await;
        server.start_stream("r1", 1).await;
        assert!(client.read_head().await.is_some());
        drop(client);
        assert!(server.is_closed().await);
        let _other = proxy.send_request("r2", "").await;
        let mut server = proxy.accept("d").await;
        assert_eq!(server.read_request().await.header("request-id"), Some("r2"));
    })
    .await;
}

/// The rest of the rejection, if it arrived, would be taken for the start of the next response.
#[tokio::test]
async fn incomplete_rejection_closes_its_connection() {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        let reply = rejection("r1", 503).replace("Content-Length: 0", "Content-Length: 2");
        with_frozen_clock(async {
            server.send(&reply).await;
            assert!(server.is_closed().await);
        })
        .await;
        let (_server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
    })
    .await;
}

#[tokio::test]
async fn connection_close_header_is_honoured() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, _) = proxy.receive("a").await;
        let reply = closing(&ok_response("r1", "ok"));
        with_frozen_clock(async {
            server.send(&reply).await;
            assert_eq!(client.read_response().await.body, "ok");
            assert!(server.is_closed().await);
        })
        .await;
    })
    .await;
}

#[rstest]
#[case::garbage("surplus".to_owned())]
#[case::duplicate_response(ok_response("r1", "ok"))]
#[tokio::test]
async fn surplus_bytes_after_a_response_close_the_connection_at_once(#[case] surplus: String) {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, _) = proxy.receive("a").await;
        with_frozen_clock(async {
            server.send(&format!("{}{surplus}", ok_response("r1", "ok"))).await;
            assert_eq!(client.read_response().await.body, "ok");
            assert!(server.is_closed().await);
        })
        .await;
    })
    .await;
}

/// Servers close idle connections, so a connection that is near its `Keep-Alive` timeout, or has been idle
/// for long, may be about to close. A higher risk is accepted for safe requests, since they may be retried.
#[rstest]
#[case::near_keep_alive_timeout("unsafe", "Keep-Alive: timeout=1\r\n", 700, false)]
#[case::before_keep_alive_timeout("unsafe", "Keep-Alive: timeout=1\r\n", 300, true)]
#[case::long_idle_unsafe("unsafe", "", 2_600, false)]
#[case::long_idle_safe("safe", "", 2_600, true)]
#[case::too_long_idle_safe("safe", "", 4_100, false)]
#[tokio::test]
async fn idle_connection_that_may_be_closing_is_not_reused(
    #[case] kind: &'static str, #[case] headers: &str, #[case] idle_ms: u64, #[case] expected: bool,
) {
    with_proxy(Scenario::new(kind), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut idle, _) = proxy.receive("a").await;
        idle.send(&with_headers(&ok_response("r1", "ok"), headers)).await;
        client.read_response().await;
        with_frozen_clock(async {
            tokio::time::advance(Duration::from_millis(idle_ms)).await;
            client.send(&request("r2", "", "body")).await;
            let is_reused = tokio::select! {
                // The last byte may be withheld.
                received = idle.read_until(ALL_BUT_LAST_BYTE) => received.is_some(),
                _ = proxy.accept("a") => false,
            };
            assert_eq!(is_reused, expected);
        })
        .await;
    })
    .await;
}

/// The connections to an incarnation of a server are closed when it is removed, even if the next incarnation
/// has the same address.
#[tokio::test]
async fn connections_are_not_inherited_by_the_next_incarnation_at_an_address() {
    with_proxy(Scenario::new("safe").servers(&["a"]), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut idle, _) = proxy.receive("a").await;
        idle.send(&ok_response("r1", "ok")).await;
        client.read_response().await;
        proxy.list_all_except(&["a"]).await;
        assert!(idle.is_closed().await);
        proxy.list_all().await;
        client.send(&request("r2", "", "body")).await;
        let mut server = proxy.accept("a").await;
        assert_eq!(server.read_request().await.header("request-id"), Some("r2"));
    })
    .await;
}
