//! What is sent again, and what is not.

mod common;

use common::*;
use rstest::rstest;

#[tokio::test]
async fn unsafe_request_is_not_retried_after_a_reset() {
    with_world(setup("unsafe", r#","MaxAttempts":3"#), async |world| {
        let mut client = world.ask("r1", "").await;
        let (server, _, _) = world.offer_either("a", "b").await;
        server.reset();
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 502, "no promise: it may have run");
        assert_eq!(got.header("server-stamp"), None);
    })
    .await;
}

#[tokio::test]
async fn safe_request_is_retried_on_another_server_after_a_reset() {
    let setup = Setup { retry_budget: 10.0, ..setup("safe", r#","MaxAttempts":2"#) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (server, _, first) = world.offer_either("a", "b").await;
        server.reset();
        let (mut server, second) = world.accept_either("a", "b").await;
        assert_ne!(first, second);
        assert!(server.message().await.is_some());
        server.send(&answer("r1", "again")).await;
        assert_eq!(client.message().await.expect("an answer").body, "again");
    })
    .await;
}

#[tokio::test]
async fn without_retry_budget_a_safe_request_is_not_retried() {
    let setup = Setup { retry_budget: 0.0, ..setup("safe", r#","MaxAttempts":2"#) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (server, _, _) = world.offer_either("a", "b").await;
        server.reset();
        assert_eq!(client.message().await.expect("an answer").status(), 502);
    })
    .await;
}

#[rstest]
#[case::full(503)]
#[case::too_many(429)]
#[case::misdirected(421)]
#[tokio::test]
async fn rejected_request_is_retried_on_another_server(#[case] status: u16) {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, first) = world.offer_either("a", "b").await;
        server.send(&not_executed("r1", status)).await;
        let (mut server, second) = world.accept_either("a", "b").await;
        assert_ne!(first, second);
        assert!(server.message().await.is_some());
        server.send(&answer("r1", "there")).await;
        assert_eq!(client.message().await.expect("an answer").body, "there");
        if status == 421 {
            // The one that is another server is left out from then on.
            for round in 2..6 {
                client.send(&request(&format!("r{round}"), "", "body")).await;
                assert!(server.message().await.is_some());
                server.send(&answer(&format!("r{round}"), "there")).await;
                assert!(client.message().await.is_some());
            }
        }
    })
    .await;
}

#[tokio::test]
async fn request_rejected_by_all_servers_gets_503_with_retry_after() {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        for _ in 0..2 {
            let (mut server, _, _) = world.offer_either("a", "b").await;
            server.send(&not_executed("r1", 503)).await;
        }
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503);
        let after: f64 = got.header("retry-after").expect("a time").parse().expect("a number");
        assert!((0.05..0.5).contains(&after), "{after}");
    })
    .await;
}

#[tokio::test]
async fn server_that_refuses_connections_is_skipped() {
    with_world(setup("unsafe", ""), async |world| {
        world.end("a");
        for round in 0..6 {
            let id = format!("r{round}");
            let mut client = world.ask(&id, "Connection: close\r\n").await;
            let (mut server, _) = world.offer("b").await;
            let said = answer(&id, "ok").replace("Content-Length", "Connection: close\r\nContent-Length");
            server.send(&said).await;
            assert_eq!(client.message().await.expect("an answer").body, "ok");
        }
    })
    .await;
}
