//! A 404 is given only under a configuration; before that, and where a route is there and no server, the answer is 503.

mod common;

use common::*;
use rstest::rstest;

async fn status(world: &World, host: &str, path: &str) -> (u16, bool) {
    let mut client = world.client().await;
    client.send(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r1\r\n\r\n")).await;
    let got = client.message().await.expect("an answer");
    (got.status(), got.header("retry-after").is_some())
}

#[rstest]
#[case(HOST, "/r/x")]
#[case(HOST, "/none/x")]
#[case("none.example", "/")]
#[tokio::test]
async fn without_a_configuration_every_request_gets_503_with_retry_after(
    #[case] host: &str, #[case] path: &str,
) {
    let setup = Setup { configured: false, ..setup("safe", "") };
    with_world(setup, async |world| {
        assert_eq!(status(world, host, path).await, (503, true));
        world.list(&[]).await;
        assert_eq!(status(world, host, path).await, (503, true), "a list of servers is no configuration");
        world.configure(1, &[], false).await;
        assert_eq!(status(world, host, path).await, (404, false));
    })
    .await;
}

#[tokio::test]
async fn configuration_stays_in_force_while_the_agent_is_disconnected() {
    with_world(setup("safe", ""), async |world| {
        world.reconnect().await;
        assert_eq!(status(world, HOST, "/none/x").await, (404, false));
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&answer("r1", "ok")).await;
        assert_eq!(client.message().await.expect("an answer").body, "ok");
    })
    .await;
}

#[tokio::test]
async fn route_without_servers_gets_503_not_404() {
    with_world(setup("safe", ""), async |world| {
        world.list(&["a", "b"]).await;
        assert_eq!(status(world, HOST, "/r/x").await, (503, true));
    })
    .await;
}

#[tokio::test]
async fn route_without_a_weighted_service_gets_503_not_404() {
    let split = r#""TrafficSplit":[{"Service":"s","Weight":0}]"#;
    let mut setup = setup("safe", "");
    setup.routes[0] = setup.routes[0].replace(r#""Service":"s""#, split);
    with_world(setup, async |world| {
        assert_eq!(status(world, HOST, "/r/x").await, (503, true));
    })
    .await;
}
