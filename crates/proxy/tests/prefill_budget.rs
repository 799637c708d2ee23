//! Prefill attempts and the retry budget: the first accepted prefill is free. Rejected and further prefills
//! count as deliveries like others.

mod support;

use support::prefill::*;
use support::*;

/// Retry budgets that allow no retry and one retry for the first request of a proxy, which may use at most
/// half of what its requests add to the budget.
const NO_RETRY_BUDGET: f64 = 0.0;
const ONE_RETRY_BUDGET: f64 = 2.0;

/// Two prefill and two decode servers.
fn generation_scenario(retry_budget: f64) -> Scenario {
    Scenario::prefill_decode(&["p", "q"], &["d", "e"]).retry_budget(retry_budget)
}

#[tokio::test]
async fn first_prefill_withdraws_nothing() {
    with_proxy(generation_scenario(NO_RETRY_BUDGET), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _, _) = proxy.receive_any(&["p", "q"]).await;
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (mut server, received, _) = receive_decode(proxy).await;
        assert!(received.header("kv-from").is_some());
        server.send(&complete_stream("r1", 2)).await;
        assert_eq!(client.read_response().await.body, events(2));
    })
    .await;
}

#[tokio::test]
async fn rejected_prefill_counts_as_a_delivery() {
    with_proxy(generation_scenario(NO_RETRY_BUDGET), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _, _) = proxy.receive_any(&["p", "q"]).await;
        prefill_server.send(&rejection("r1", 503)).await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503, "no attempt is left");
        assert!(response.header("retry-after").is_some());
    })
    .await;
}

/// The rejected prefill is the first delivery and the decode is the second. The accepted prefill between them
/// is free.
#[tokio::test]
async fn first_accepted_prefill_is_free_after_a_rejected_one() {
    with_proxy(generation_scenario(ONE_RETRY_BUDGET), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _, first) = proxy.receive_any(&["p", "q"]).await;
        prefill_server.send(&rejection("r1", 503)).await;
        let (mut prefill_server, _, second) = proxy.receive_any(&["p", "q"]).await;
        assert_ne!(first, second);
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (mut server, received, _) = tokio::select! {
            offered = receive_decode(proxy) => offered,
            response = client.read_message() => panic!("the request was rejected: {response:?}"),
        };
        assert!(received.header("kv-from").is_some());
        server.send(&complete_stream("r1", 1)).await;
        assert_eq!(client.read_response().await.body, event(1));
    })
    .await;
}

/// After an interrupted decode, the prefill for the resumption uses up the budget of one retry, so the
/// resumption itself is not sent.
#[tokio::test]
async fn second_prefill_counts_as_a_delivery() {
    with_proxy(generation_scenario(ONE_RETRY_BUDGET).resumable().max_attempts(3), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let (mut prefill_server, _, _) = proxy.receive_any(&["p", "q"]).await;
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (mut server, _, _) = receive_decode(proxy).await;
        server.start_stream("r1", 1).await;
        server.reset();
        let (mut second, received) = tokio::select! {
            offered = proxy.receive_any(&["p", "q"]) => (offered.0, offered.1),
            received = prefill_server.read_message() => (prefill_server, received.expect("a complete request is received")),
        };
        assert_eq!(received.header("serving-stage"), Some("prefill"));
        second.send(&prefill_response("r1", HANDLE)).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_stream().await, (event(1), false));
        serve_release(&mut second).await;
    })
    .await;
}
