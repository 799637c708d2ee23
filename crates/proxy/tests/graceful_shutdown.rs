//! Graceful shutdown: readiness checks fail at once, requests in flight are completed, and the process exits
//! within the grace period.

mod support;

use lugwharf_config::Limits;
use rstest::rstest;
use std::time::Duration;
use support::*;
use tokio::io::AsyncReadExt;
use tokio::time::Instant;

#[tokio::test]
async fn shutdown_fails_readiness_at_once_and_serves_until_idle() {
    with_proxy_until_shutdown(Scenario::new("unsafe"), async |proxy| {
        let mut idle = proxy.send_request("r0", "").await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        server.send(&closing(&ok_response("r0", "before"))).await;
        assert_eq!(idle.read_response().await.header("connection"), None);
        proxy.list_all_except(&["b"]).await;
        assert_eq!(proxy.readiness_status().await, 200);
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        // A request on an idle connection and one on a new connection are served. `Connection: close`
        // announces that these are the last requests on both.
        idle.send(&request("r1", "", "body")).await;
        let mut late = proxy.send_request("r2", "").await;
        for _ in 0..2 {
            let (mut server, received) = proxy.receive("a").await;
            let id = received.header("request-id").expect("the request has Request-Id").to_owned();
            server.send(&ok_response(&id, "still")).await;
        }
        for client in [&mut idle, &mut late] {
            let response = client.read_response().await;
            assert_eq!((response.body.as_str(), response.header("connection")), ("still", Some("close")));
        }
        tokio::time::pause();
    })
    .await;
}

#[tokio::test]
async fn shutdown_waits_for_in_flight_requests_and_closes_idle_connections() {
    with_proxy_until_shutdown(Scenario::new("unsafe"), async |proxy| {
        let mut slow = proxy.send_request("r1", "").await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        let mut idle = proxy.connect().await;
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        tokio::time::pause();
        assert!(idle.is_closed().await);
        server.send(&ok_response("r1", "late")).await;
        assert_eq!(slow.read_response().await.body, "late");
    })
    .await;
}

/// Guards against a connection without a request that counts as busy, which kept the process up to the end
/// of the grace period.
#[tokio::test]
async fn shutdown_closes_a_connection_that_has_sent_nothing() {
    let limits = Limits { header_timeout_ms: 60_000, idle_timeout_ms: 60_000, ..Limits::default() };
    let mut begun_at = Instant::now();
    with_proxy_until_shutdown(Scenario::new("unsafe").limits(limits), async |proxy| {
        let mut unused = proxy.connect().await;
        proxy.wait_until_received().await;
        begun_at = Instant::now();
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        tokio::time::pause();
        assert!(unused.is_closed().await);
    })
    .await;
    let elapsed = begun_at.elapsed();
    assert!(elapsed < Duration::from_secs(4), "{elapsed:?}");
}

/// Guards against a request that is cut off without an answer when the grace period ends, and against one
/// that was read behind it. The first may have been executed, the second never will be.
#[tokio::test]
async fn shutdown_answers_remaining_requests_before_the_grace_period_ends() {
    let scenario = Scenario::new("unsafe").route(Route::new("unsafe").timeout_ms(60_000));
    let mut begun_at = Instant::now();
    with_proxy_until_shutdown(scenario, async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        client.send(&request("r2", "", "body")).await;
        proxy.wait_until_received().await;
        tokio::time::pause();
        begun_at = Instant::now();
        proxy.begin_shutdown();
        for (status, connection) in [(504, None), (503, Some("close"))] {
            let response = client.read_response().await;
            assert_eq!((response.status(), response.header("connection")), (status, connection));
        }
        assert!(server.is_closed().await);
    })
    .await;
    let elapsed = begun_at.elapsed();
    assert!(elapsed >= Duration::from_secs(7) && elapsed < Duration::from_secs(8), "{elapsed:?}");
}

/// Guards against a stream that looks complete although it was cut off when the grace period ended: the close
/// of the connection ends the stream of an HTTP/1.0 client.
#[rstest]
#[case::http11("HTTP/1.1")]
#[case::http10("HTTP/1.0")]
#[tokio::test]
async fn stream_that_outlasts_the_grace_period_is_visibly_incomplete(#[case] version: &str) {
    let scenario = Scenario::new("streaming").route(Route::new("streaming").timeout_ms(60_000));
    with_proxy_until_shutdown(scenario, async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", "body").replace("HTTP/1.1", version)).await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        server.start_stream("r1", 1).await;
        assert!(client.read_until("id: 1").await.is_some());
        tokio::time::pause();
        proxy.begin_shutdown();
        let mut rest = Vec::new();
        let ended = client.stream.read_to_end(&mut rest).await;
        let is_reset = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset);
        assert_eq!(is_reset, version == "HTTP/1.0");
        assert!(!String::from_utf8_lossy(&rest).contains(LAST_CHUNK));
    })
    .await;
}
