//! Responses with 404 and 503: a request without a matching route gets 404 only if a configuration is in
//! force. If there is none, or if the route has no server, the request gets 503 with `Retry-After`.

mod support;

use rstest::rstest;
use support::*;

/// Sends a request. Returns the status of the response, and whether the response has `Retry-After`.
async fn status_and_retry_after(proxy: &TestProxy, host: &str, path: &str) -> (u16, bool) {
    let mut client = proxy.connect().await;
    client.send(&format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r1\r\n\r\n")).await;
    let response = client.read_response().await;
    (response.status(), response.header("retry-after").is_some())
}

#[rstest]
#[case(HOST, "/r/x")]
#[case(HOST, "/none/x")]
#[case("none.example", "/")]
#[tokio::test]
async fn without_a_configuration_every_request_gets_503_with_retry_after(
    #[case] host: &str, #[case] path: &str,
) {
    with_proxy(Scenario::new("safe").unconfigured(), async |proxy| {
        assert_eq!(status_and_retry_after(proxy, host, path).await, (503, true));
        proxy.list_all().await;
        assert_eq!(
            status_and_retry_after(proxy, host, path).await,
            (503, true),
            "an endpoint list without a configuration"
        );
        proxy.configure(1, &[]).await;
        assert_eq!(status_and_retry_after(proxy, host, path).await, (404, false));
    })
    .await;
}

#[tokio::test]
async fn configuration_stays_in_force_while_the_agent_is_disconnected() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.reconnect_agent().await;
        assert_eq!(status_and_retry_after(proxy, HOST, "/none/x").await, (404, false));
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&ok_response("r1", "ok")).await;
        assert_eq!(client.read_response().await.body, "ok");
    })
    .await;
}

#[tokio::test]
async fn route_without_servers_gets_503_not_404() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["a", "b"]).await;
        assert_eq!(status_and_retry_after(proxy, HOST, "/r/x").await, (503, true));
    })
    .await;
}

#[tokio::test]
async fn route_without_a_weighted_service_gets_503_not_404() {
    with_proxy(Scenario::new("safe").route(Route::new("safe").without_weight()), async |proxy| {
        assert_eq!(status_and_retry_after(proxy, HOST, "/r/x").await, (503, true));
    })
    .await;
}
