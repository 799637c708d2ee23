//! Configurations and lists of servers as the agent brings them.

mod common;

use common::*;
use rstest::rstest;

#[rstest]
#[case(HOST, "/other/x", 404)]
#[case("other.example", "/r/x", 404)]
#[tokio::test]
async fn request_without_a_route_gets_404(#[case] host: &str, #[case] path: &str, #[case] status: u16) {
    with_world(setup("safe", ""), async |world| {
        let mut client = world.client().await;
        client.send(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n")).await;
        assert_eq!(client.message().await.expect("an answer").status(), status);
    })
    .await;
}

#[tokio::test]
async fn before_the_first_configuration_requests_and_readiness_get_503() {
    let setup = Setup { configured: false, ..setup("safe", "") };
    with_world(setup, async |world| {
        assert_eq!(world.readiness().await, 503);
        let mut client = world.ask("r1", "").await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503);
        assert!(got.header("retry-after").is_some());
        let routes = [format!(
            r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"safe","TimeoutMs":1,"Service":"s"}}"#
        )];
        world.configure(3, &routes, false).await;
        assert_eq!(world.readiness().await, 503, "no servers are known");
        world.list(&[]).await;
        assert_eq!(world.readiness().await, 200);
    })
    .await;
}

#[tokio::test]
async fn older_configuration_never_replaces_a_newer_one() {
    with_world(setup("safe", ""), async |world| {
        assert_eq!(world.configure(7, &[], false).await.config, 7);
        let route = format!(
            r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"safe","TimeoutMs":1,"Service":"s"}}"#
        );
        assert_eq!(world.configure(5, &[route], false).await.config, 7);
        let mut client = world.ask("r1", "").await;
        assert_eq!(client.message().await.expect("an answer").status(), 404);
    })
    .await;
}

#[tokio::test]
async fn reconnected_agent_gets_the_applied_versions() {
    with_world(setup("safe", ""), async |world| {
        let have = world.reconnect().await;
        assert_eq!((have.config, have.servers.sequence), (1, 1));
        assert_eq!(world.readiness().await, 200, "what is known stays in force meanwhile");
    })
    .await;
}

#[tokio::test]
async fn draining_server_gets_no_new_requests() {
    with_world(setup("unsafe", ""), async |world| {
        world.list_draining(&["a"]).await;
        for round in 0..8 {
            let id = format!("r{round}");
            let mut client = world.ask(&id, "").await;
            let (mut server, _) = world.offer("b").await;
            server
                .send(&answer(&id, "ok").replace("Content-Length", "Connection: close\r\nContent-Length"))
                .await;
            assert!(client.message().await.is_some());
        }
    })
    .await;
}
