//! Misdirected requests (421) and versions of a model's weights.
//!
//! A server responds with 421 if it does not match the `Expect-Instance` of the proxy or the `Expect-Version`
//! of the client. A request that got a 421 counts as delivered but not executed, and the next attempt is
//! withdrawn from the retry budget. Version lines of streams are forwarded unchanged.

mod support;

use rstest::rstest;
use support::*;

/// A client's requirement for a version of the weights.
const EXPECT_VERSION: &str = "Expect-Version: 2\r\n";

#[rstest]
#[case::instance("")]
#[case::version(EXPECT_VERSION)]
#[tokio::test]
async fn misdirected_request_is_retried_within_the_retry_budget(#[case] headers: &str) {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        let (mut client, mut server, first) = proxy.dispatch("r1", headers).await;
        server.send(&rejection("r1", 421)).await;
        let (mut server, received, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        assert_eq!(received.header("expect-version"), (!headers.is_empty()).then_some("2"));
        server.send(&ok_response("r1", "there")).await;
        assert_eq!(client.read_response().await.body, "there");
    })
    .await;
}

#[rstest]
#[case::instance("")]
#[case::version(EXPECT_VERSION)]
#[tokio::test]
async fn without_retry_budget_a_misdirected_request_gets_503_with_retry_after(#[case] headers: &str) {
    with_proxy(Scenario::new("safe").max_attempts(3).retry_budget(0.0), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", headers).await;
        server.send(&rejection("r1", 421)).await;
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (503, None));
        assert!(response.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn request_misdirected_everywhere_gets_503_not_421() {
    with_proxy(Scenario::new("safe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", EXPECT_VERSION).await;
        for _ in 0..2 {
            let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
            server.send(&rejection("r1", 421)).await;
        }
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (503, None));
    })
    .await;
}

/// A version mismatch for one client says nothing about the requests of other clients.
#[tokio::test]
async fn version_mismatch_of_one_client_does_not_exclude_the_server_for_others() {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        let mut client = proxy.send_request("r1", EXPECT_VERSION).await;
        for _ in 0..2 {
            let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
            server.send(&rejection("r1", 421)).await;
        }
        assert_eq!(client.read_response().await.status(), 503);
        let mut other = proxy.send_request("r2", "").await;
        let served = async {
            let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
            server.send(&ok_response("r2", "ok")).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            response = other.read_message() => assert_eq!(response.expect("a response").body, "ok"),
            () = served => {}
        }
    })
    .await;
}

#[rstest]
#[case::in_the_first_part("versions: 3\nid: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n")]
#[case::with_carriage_returns("versions: 3\r\nid: 1\r\ndata: 1\r\n\r\n", "id: 2\r\ndata: 2\r\n\r\n")]
#[case::in_the_resumed_part("id: 1\ndata: 1\n\n", "versions: 12\nid: 2\ndata: 2\n\n")]
#[case::one_that_looks_like_an_id("versions: 9\nevent: id: 7\nid: 1\n\n", "versions: 10\nid: 2\ndata:\n\n")]
#[tokio::test]
async fn version_lines_are_forwarded_and_resumption_uses_event_ids(
    #[case] first: &str, #[case] second: &str,
) {
    let scenario = Scenario::new("streaming").resumable().max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&with_headers(&stream_head("r1"), "Versions: 2\r\n")).await;
        server.send(&chunk(&format!("{first}versions: 4\nid:"))).await;
        server.reset();
        let (mut server, received, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!(received.header("last-event-id"), Some("1"));
        let other_head = stream_head("r1").replace("stamp-r1", "another");
        server
            .send(&with_headers(
                &other_head,
                "Versions: 5
",
            ))
            .await;
        server.send(&chunk(second)).await;
        server.send(LAST_CHUNK).await;
        let response = client.read_response().await;
        assert_eq!(response.body, format!("{first}{second}"));
        assert_eq!(
            (response.header("server-stamp"), response.header("versions")),
            (Some("stamp-r1"), Some("2"))
        );
    })
    .await;
}

#[tokio::test]
async fn version_line_arriving_byte_by_byte_is_forwarded_complete() {
    with_proxy(Scenario::new("streaming"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&stream_head("r1")).await;
        assert!(client.read_head().await.is_some());
        let complete_event = "versions: 3\nid: 1\ndata: 1\n\n";
        for byte in complete_event.chars() {
            server.send(&chunk(&byte.to_string())).await;
        }
        assert_eq!(client.read_chunk().await, Some(Some(complete_event.to_owned())));
    })
    .await;
}
