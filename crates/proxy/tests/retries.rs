//! Retries of requests to services without stages. A request is retried on another server, within the retry
//! budget, and only if it was provably not executed or its route is `safe`.

mod support;

use rstest::rstest;
use support::*;

#[tokio::test]
async fn unsafe_request_is_not_retried_after_a_reset() {
    with_proxy(Scenario::new("unsafe").max_attempts(3), async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        server.reset();
        let response = client.read_response().await;
        assert_eq!(response.status(), 502, "the request may have been executed");
        assert_eq!(response.header("server-stamp"), None);
    })
    .await;
}

#[tokio::test]
async fn safe_request_is_retried_on_another_server_after_a_reset() {
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(10.0), async |proxy| {
        let (mut client, server, first) = proxy.dispatch("r1", "").await;
        server.reset();
        let (mut server, _, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        server.send(&ok_response("r1", "again")).await;
        assert_eq!(client.read_response().await.body, "again");
    })
    .await;
}

#[tokio::test]
async fn without_retry_budget_a_safe_request_is_not_retried() {
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(0.0), async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

#[rstest]
#[case::overloaded(503)]
#[case::too_many_requests(429)]
#[case::misdirected(421)]
#[tokio::test]
async fn rejected_request_is_retried_on_another_server(#[case] status: u16) {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        let (mut client, mut server, first) = proxy.dispatch("r1", "").await;
        server.send(&rejection("r1", status)).await;
        let (mut server, _, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        server.send(&ok_response("r1", "there")).await;
        assert_eq!(client.read_response().await.body, "there");
        if status == 421 {
            // The server whose address now belongs to another instance is excluded afterwards.
            for round in 2..6 {
                client.send(&request(&format!("r{round}"), "", "body")).await;
                server.read_request().await;
                server.send(&ok_response(&format!("r{round}"), "there")).await;
                client.read_response().await;
            }
        }
    })
    .await;
}

#[tokio::test]
async fn request_rejected_by_all_servers_gets_503_with_retry_after() {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        for _ in 0..2 {
            let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
            server.send(&rejection("r1", 503)).await;
        }
        let response = client.read_response().await;
        assert_eq!(response.status(), 503);
        let after: f64 = response
            .header("retry-after")
            .expect("the response has Retry-After")
            .parse()
            .expect("the value is a number");
        assert!((0.05..0.5).contains(&after), "{after}");
    })
    .await;
}

#[tokio::test]
async fn server_that_refuses_connections_is_skipped() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        proxy.stop_server("a");
        for round in 0..6 {
            let id = format!("r{round}");
            let mut client = proxy.send_request(&id, "Connection: close\r\n").await;
            let (mut server, _) = proxy.receive("b").await;
            let reply = closing(&ok_response(&id, "ok"));
            server.send(&reply).await;
            assert_eq!(client.read_response().await.body, "ok");
        }
    })
    .await;
}
