//! Updates of the configuration and of the endpoint list by the agent.

mod support;

use rstest::rstest;
use support::*;

#[rstest]
#[case(HOST, "/other/x", 404)]
#[case("other.example", "/r/x", 404)]
#[tokio::test]
async fn request_without_a_route_gets_404(#[case] host: &str, #[case] path: &str, #[case] status: u16) {
    with_proxy(Scenario::new("safe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n")).await;
        assert_eq!(client.read_response().await.status(), status);
    })
    .await;
}

#[tokio::test]
async fn before_the_first_configuration_requests_and_readiness_get_503() {
    with_proxy(Scenario::new("safe").unconfigured(), async |proxy| {
        assert_eq!(proxy.readiness_status().await, 503);
        let mut client = proxy.send_request("r1", "").await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
        let route = Route::new("safe").timeout_ms(1).without_slo();
        proxy.configure(3, &[route]).await;
        assert_eq!(proxy.readiness_status().await, 503, "no endpoint list has been received yet");
        proxy.list_all().await;
        assert_eq!(proxy.readiness_status().await, 200);
    })
    .await;
}

#[tokio::test]
async fn older_configuration_never_replaces_a_newer_one() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        assert_eq!(proxy.configure(7, &[]).await.config, 7);
        let route = Route::new("safe").timeout_ms(1).without_slo();
        assert_eq!(proxy.configure(5, &[route]).await.config, 7);
        let mut client = proxy.send_request("r1", "").await;
        assert_eq!(client.read_response().await.status(), 404);
    })
    .await;
}

#[tokio::test]
async fn reconnected_agent_gets_the_applied_versions() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        let have = proxy.reconnect_agent().await;
        assert_eq!((have.config, have.servers.sequence), (1, 1));
        assert_eq!(
            proxy.readiness_status().await,
            200,
            "the applied versions stay in force during the reconnect"
        );
    })
    .await;
}

#[tokio::test]
async fn draining_server_gets_no_new_requests() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        proxy.list_draining(&["a"]).await;
        for round in 0..8 {
            let id = format!("r{round}");
            let mut client = proxy.send_request(&id, "").await;
            let (mut server, _) = proxy.receive("b").await;
            server.send(&closing(&ok_response(&id, "ok"))).await;
            client.read_response().await;
        }
    })
    .await;
}
