//! At-most-once execution of requests that are not idempotent.
//!
//! A request that a server may have executed is sent again only if its route allows that (`safe`, or a
//! resumable stream), whatever happens while the request is in flight: a new configuration, a restart of the
//! agent, a shutdown, a truncated response, or a response to another request. The number of attempts that provably
//! did not execute the request is limited as well.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::clock::with_frozen_clock;
use support::*;

/// More servers than one request may be sent to.
const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

fn route_with_attempts(kind: &'static str, attempts: u32) -> Route {
    Route::new(kind).max_attempts(attempts)
}

/// A request is served according to the route that was in force when it arrived, until it ends.
#[rstest]
#[case::kind(route_with_attempts("unsafe", 3), vec![route_with_attempts("safe", 3)])]
#[case::attempts(route_with_attempts("safe", 1), vec![route_with_attempts("safe", 5)])]
#[case::both(route_with_attempts("unsafe", 1), vec![route_with_attempts("safe", 5)])]
#[case::removed(route_with_attempts("unsafe", 3), vec![])]
#[tokio::test]
async fn in_flight_request_keeps_its_retry_policy_when_configuration_relaxes_it(
    #[case] before: Route, #[case] after: Vec<Route>,
) {
    let scenario = Scenario::new("unsafe").route(before).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        assert_eq!(proxy.configure(2, &after).await.config, 2);
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

#[tokio::test]
async fn in_flight_request_keeps_its_retry_when_configuration_forbids_retries() {
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(10.0), async |proxy| {
        let (mut client, server, first) = proxy.dispatch("r1", "").await;
        proxy.configure(2, &[route_with_attempts("unsafe", 1)]).await;
        server.reset();
        let (mut server, _, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        server.send(&ok_response("r1", "again")).await;
        assert_eq!(client.read_response().await.body, "again");
    })
    .await;
}

/// The restarted agent sends a configuration that allows retries, and the endpoint list again.
#[tokio::test]
async fn unsafe_request_is_not_retried_after_agent_restart() {
    with_proxy(Scenario::new("unsafe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        proxy.reconnect_agent().await;
        proxy.configure(2, &[route_with_attempts("safe", 3)]).await;
        proxy.list_all().await;
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

/// Servers keep their identities across a restart of the agent, so a server that rejected the request is not
/// tried again.
#[tokio::test]
async fn attempted_servers_are_excluded_after_agent_restart() {
    with_proxy(Scenario::new("unsafe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, mut server, first) = proxy.dispatch("r1", "").await;
        proxy.reconnect_agent().await;
        proxy.list_all().await;
        server.send(&rejection("r1", 503)).await;
        let (mut server, _, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        server.send(&rejection("r1", 503)).await;
        assert_eq!(client.read_response().await.status(), 503);
    })
    .await;
}

#[tokio::test]
async fn unsafe_request_is_not_retried_during_shutdown() {
    with_proxy_until_shutdown(Scenario::new("unsafe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        server.reset();
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("connection")), (502, Some("close")));
        tokio::time::pause();
    })
    .await;
}

/// Nothing was sent, so the response may guarantee that the request was not executed.
#[tokio::test]
async fn request_whose_deadline_passes_during_connect_is_rejected() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", "Deadline-Ms: 30\r\n").await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503, "an unsent request was not executed");
    })
    .await;
}

/// Further attempts and the retry budget would allow a retry. Only the possible execution forbids it.
#[rstest]
#[case::reset("", 502)]
#[case::response_to_another_request(
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
    502
)]
#[case::rejection_of_another_request(
    "HTTP/1.1 503 No\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    502
)]
#[case::rejection_without_request_id("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 502)]
#[case::unavailable_without_not_executed(
    "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
    502
)]
#[case::without_server_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno", 502)]
#[case::truncated_head("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", 502)]
#[case::truncated_body(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf",
    502
)]
#[case::truncated_chunk(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
    502
)]
#[case::duplicate_content_length(
    "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
    502
)]
#[case::switching_protocols("HTTP/1.1 101 Switch\r\nRequest-Id: r1\r\n\r\n", 502)]
#[case::server_error(
    "HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    500
)]
#[case::server_timeout(
    "HTTP/1.1 504 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    504
)]
#[tokio::test]
async fn unsafe_request_that_may_have_executed_is_not_retried(#[case] reply: &str, #[case] status: u16) {
    with_proxy(Scenario::new("unsafe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(reply).await;
        drop(server);
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept_any(&PLAIN_SERVERS) => panic!("the request was retried"),
        };
        assert_eq!(response.status(), status);
    })
    .await;
}

/// `MaxAttempts` is 2, which allows one retry, on another server.
#[rstest]
#[case::reset("")]
#[case::without_server_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno")]
#[case::truncated_body(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf"
)]
#[case::server_error("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn safe_request_is_retried_once_on_another_server(#[case] reply: &str) {
    const NAMES: [&str; 3] = ["a", "b", "c"];
    let scenario = Scenario::new("safe").servers(&NAMES).max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut attempted = Vec::new();
        for _ in 0..2 {
            let (mut server, _, name) = proxy.receive_any(&NAMES).await;
            assert!(!attempted.contains(&name), "each server is tried once");
            attempted.push(name);
            server.send(reply).await;
        }
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept_any(&NAMES) => panic!("the request was sent a third time"),
        };
        assert!(response.status() == 502 || response.status() == 500, "{}", response.head);
    })
    .await;
}

/// An error that is caused by the request itself would recur on any server.
#[tokio::test]
async fn client_error_response_is_final() {
    with_proxy(Scenario::new("safe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send("HTTP/1.1 404 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(client.read_response().await.status(), 404);
    })
    .await;
}

/// A rejected attempt did not execute the request, so `MaxAttempts` does not limit it. Rejections are limited
/// separately, to 4 servers.
#[tokio::test]
async fn rejected_attempts_of_an_unsafe_request_are_limited() {
    let scenario = Scenario::new("unsafe").servers(&NAMES).max_attempts(1).retry_budget(100.0);
    with_proxy(scenario, async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (response, attempts) = proxy.reject_all_attempts(&mut client, "r1", &NAMES).await;
        assert_eq!((response.status(), attempts), (503, 4));
    })
    .await;
}

/// The only server reports that all its slots are in use, and its latency exceeds the time left: the request
/// is rejected at once.
#[tokio::test]
async fn request_that_cannot_meet_its_deadline_is_rejected_without_being_sent() {
    with_proxy(Scenario::new("unsafe").max_attempts(1).retry_budget(10.0), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut idle, _) = proxy.receive("a").await;
        let reply = with_headers(&ok_response("r1", "slow"), "Load-Report: 8,4,8\r\n");
        with_frozen_clock(async {
            tokio::time::advance(Duration::from_secs(2)).await;
            idle.send(&reply).await;
            client.read_response().await;
            client.send(&request("r2", "Deadline-Ms: 900\r\n", "body")).await;
            let response = tokio::select! {
                response = client.read_message() => response.expect("a complete response is received"),
                received = idle.read_until(ALL_BUT_LAST_BYTE) => panic!("the request was sent: {received:?}"),
            };
            assert_eq!(response.status(), 503);
            // With more time left, the request is sent.
            client.send(&request("r3", "", "body")).await;
            assert!(idle.read_until(ALL_BUT_LAST_BYTE).await.is_some());
        })
        .await;
    })
    .await;
}

#[tokio::test]
async fn attempts_with_refused_connections_are_limited() {
    let scenario = Scenario::new("unsafe").servers(&NAMES).max_attempts(1).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        NAMES.iter().for_each(|name| proxy.stop_server(name));
        let mut client = proxy.send_request("r1", "").await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503, "nothing was sent");
    })
    .await;
}

/// Nothing was executed, but each attempt may have used capacity of a saturated server. Such attempts are
/// limited to 5.
#[tokio::test]
async fn attempts_reset_before_the_last_byte_are_limited() {
    let scenario = Scenario::new("unsafe").servers(&NAMES).max_attempts(1).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut attempts = 0;
        let response = with_frozen_clock(async {
            loop {
                let mut server = tokio::select! {
                    response = client.read_message() => break response.expect("a complete response is received"),
                    (accepted, _) = proxy.accept_any(&NAMES) => accepted,
                };
                assert!(server.read_until(ALL_BUT_LAST_BYTE).await.is_some());
                server.reset();
                attempts += 1;
            }
        })
        .await;
        assert_eq!((response.status(), attempts), (503, 5));
    })
    .await;
}

/// The first attempt may have executed the request, and a 503 would guarantee that it was not executed. So
/// the retry is sent although it will probably be late.
#[tokio::test]
async fn retry_that_cannot_meet_its_deadline_is_still_sent() {
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(10.0), async |proxy| {
        proxy.list_all_except(&["a"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut slow, _) = proxy.receive("b").await;
        proxy.list_all().await;
        let reply = with_headers(&ok_response("r1", "slow"), "Load-Report: 8,4,8\r\n");
        with_frozen_clock(async {
            tokio::time::advance(Duration::from_secs(2)).await;
            slow.send(&reply).await;
            client.read_response().await;
            client.send(&request("r2", "Deadline-Ms: 900\r\n", "body")).await;
            let (server, _) = proxy.receive("a").await;
            server.reset();
            slow.read_request().await;
            slow.send(&ok_response("r2", "again")).await;
            assert_eq!(client.read_response().await.body, "again");
        })
        .await;
    })
    .await;
}

/// If the deadline passes within the head or the body of a response, nothing is withdrawn from the retry
/// budget.
#[rstest]
#[case::silent("")]
#[case::truncated_body(
    "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf"
)]
#[tokio::test]
async fn deadline_exceeded_withdraws_nothing_from_the_retry_budget(#[case] reply: &str) {
    let scenario = Scenario::new("safe").max_attempts(2).retry_budget(1.0);
    with_proxy(scenario, async |proxy| {
        // This proxy may use half a retry per request: one retry after two requests, one and a half after
        // three.
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&closing(&ok_response("r1", "ok"))).await;
        client.read_response().await;
        let (mut client, mut server, _) = proxy.dispatch("r2", "Deadline-Ms: 900\r\n").await;
        server.send(reply).await;
        tokio::time::pause();
        assert_eq!(client.read_response().await.status(), 504);
        tokio::time::resume();
        let (mut client, server, _) = proxy.dispatch("r3", "").await;
        server.reset();
        let (mut server, _) = tokio::select! {
            accepted = proxy.accept_any(&PLAIN_SERVERS) => accepted,
            response = client.read_message() => panic!("the retry budget was exhausted: {response:?}"),
        };
        server.read_request().await;
    })
    .await;
}
