//! The routes change while client connections are open. A request uses the routes in force when it has been
//! received completely, and keeps them to its end.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::*;
use tokio::time::Instant;

/// Limits under which a client may pause for longer than the timeouts of the routes below.
fn scenario(timeout_ms: u64) -> Scenario {
    let limits = lugwharf_config::Limits::default();
    Scenario::new("unsafe").limits(limits).route(route(timeout_ms))
}

fn route(timeout_ms: u64) -> Route {
    Route::new("unsafe").timeout_ms(timeout_ms)
}

/// Guards against a connection that keeps the routes of the version in force when it began to rest.
#[tokio::test]
async fn rested_connection_follows_added_and_removed_routes() {
    with_proxy(Scenario::new("unsafe").servers(&["a"]), async |proxy| {
        let mut client = proxy.connect().await;
        proxy.wait_until_received().await;
        for (version, routes) in (2..).zip([&[][..], &[route(1_000)], &[]]) {
            proxy.configure(version, routes).await;
            client.send(&request("r1", "", "body")).await;
            if routes.is_empty() {
                assert_eq!(client.read_response().await.status(), 404);
            } else {
                let (mut server, _) = proxy.receive("a").await;
                server.send(&closing(&ok_response("r1", "ok"))).await;
                assert_eq!(client.read_response().await.body, "ok");
            }
        }
    })
    .await;
}

/// Guards against a timeout that a connection keeps from an earlier version, and against one that cuts off or
/// prolongs a request in progress.
#[rstest]
#[case::after_it_was_raised(true, 1_000, 3_000, 3_000)]
#[case::after_it_was_lowered(true, 3_000, 1_000, 1_000)]
#[case::in_progress_when_it_is_raised(false, 1_000, 3_000, 1_000)]
#[case::in_progress_when_it_is_lowered(false, 3_000, 1_000, 3_000)]
#[tokio::test]
async fn request_keeps_the_timeout_in_force_when_it_was_received(
    #[case] is_sent_after: bool, #[case] older_ms: u64, #[case] newer_ms: u64, #[case] expected_ms: u64,
) {
    with_proxy(scenario(older_ms), async |proxy| {
        let (mut client, mut server) = proxy.idle_connections().await;
        let mut since = Instant::now();
        if !is_sent_after {
            client.send(&request("r2", "", "body")).await;
            server.read_request().await;
        }
        proxy.configure(2, &[route(newer_ms)]).await;
        if is_sent_after {
            since = Instant::now();
            client.send(&request("r2", "", "body")).await;
            server.read_request().await;
        }
        tokio::time::pause();
        assert_eq!(client.read_response().await.status(), 504);
        assert_ends_after(since, expected_ms);
    })
    .await;
}

/// The body of a request is received under the timeout in force when its head arrived, so that the version
/// cannot change in the middle of it. The client may retry a request that ended by it.
#[rstest]
#[case::raised(1_000, 2_500)]
#[case::lowered(2_500, 1_000)]
#[tokio::test]
async fn upload_keeps_the_timeout_in_force_when_its_head_arrived(
    #[case] older_ms: u64, #[case] newer_ms: u64,
) {
    with_proxy(scenario(older_ms), async |proxy| {
        let mut client = proxy.connect().await;
        let text = request("r1", "", "body");
        let since = Instant::now();
        client.send(&text[..text.len() - 1]).await;
        proxy.wait_until_received().await;
        proxy.configure(2, &[route(newer_ms)]).await;
        tokio::time::pause();
        assert_eq!(client.read_response().await.status(), 408);
        assert_ends_after(since, older_ms);
    })
    .await;
}

/// Asserts that about `expected_ms` have passed. The proxy answers up to 25 ms before a timeout.
fn assert_ends_after(since: Instant, expected_ms: u64) {
    let (elapsed, expected) = (since.elapsed(), Duration::from_millis(expected_ms));
    let is_expected =
        elapsed + Duration::from_millis(50) > expected && elapsed < expected + Duration::from_millis(500);
    assert!(is_expected, "{elapsed:?}, expected {expected:?}");
}
