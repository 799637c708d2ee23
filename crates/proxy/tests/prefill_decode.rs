//! Streams that are served by a prefill and a decode server: forwarding of events, resumption at another
//! server, and the handling of the KV handle if servers reject the request, fail or are missing.

mod support;

use rstest::rstest;
use support::prefill::*;
use support::*;

#[tokio::test]
async fn prefill_and_decode_servers_serve_a_stream_event_by_event() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let (mut client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, received) = proxy.receive("d").await;
        assert_eq!(received.header("kv-from"), Some(format!("{}/{HANDLE}", proxy.address("p")).as_str()));
        assert_eq!((received.header("serving-stage"), received.body.as_str()), (None, "body"));
        server.send(&stream_head("r1")).await;
        let head = client.read_head().await.expect("a complete head is received");
        assert!(head.contains("Server-Stamp: stamp-r1\r\n"), "{head}");
        for id in 1..4 {
            server.send(&chunk(&event(id))).await;
            assert_eq!(client.read_chunk().await, Some(Some(event(id))), "before the next one is sent");
        }
        server.send(LAST_CHUNK).await;
        assert_eq!(client.read_chunk().await, Some(None));
        // Both connections can be reused.
        client.send(&request("r2", "", "body")).await;
        assert!(prefill_server.read_message().await.is_some());
    })
    .await;
}

#[tokio::test]
async fn partial_event_is_withheld_and_the_stream_is_truncated() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        server.start_stream("r1", 1).await;
        server.send(&chunk("id: 2\ndata: to")).await;
        drop(server);
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_stream().await, (event(1), false));
    })
    .await;
}

#[tokio::test]
async fn resumable_stream_continues_on_another_server_in_the_same_response() {
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _, first) = receive_decode(proxy).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&(events(2) + "id: 3\nda"))).await;
        server.reset();
        let (mut server, received, second) = receive_decode(proxy).await;
        assert_ne!(first, second);
        assert_eq!(received.header("last-event-id"), Some("2"));
        assert_eq!(received.header("kv-from"), None, "a second prefill would be a third attempt");
        server.send(&stream_head("r1").replace("stamp-r1", "other")).await;
        server.send(&chunk(&(event(3) + event(4).as_str()))).await;
        server.send(LAST_CHUNK).await;
        let head = client.read_head().await.expect("a complete head is received");
        assert!(head.contains("Server-Stamp: stamp-r1\r\n"), "{head}");
        assert_eq!(client.read_stream().await, (events(4), true));
    })
    .await;
}

#[tokio::test]
async fn resumed_stream_that_repeats_an_event_is_truncated() {
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        for _ in 0..2 {
            let (mut server, _, _) = receive_decode(proxy).await;
            server.start_stream("r1", 1).await;
        }
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_stream().await, (event(1), false));
    })
    .await;
}

#[rstest]
#[case::not_resumable(Route::new("streaming"), 10.0)]
#[case::no_attempts_left(Route::new("streaming").resumable().max_attempts(1), 10.0)]
#[case::no_budget(Route::new("streaming").resumable().max_attempts(2), 0.0)]
#[tokio::test]
async fn stream_that_may_not_be_resumed_is_truncated(#[case] route: Route, #[case] retry_budget: f64) {
    let scenario = Scenario::prefill_decode(&["p"], &["d", "e"]).route(route).retry_budget(retry_budget);
    with_proxy(scenario, async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _, _) = receive_decode(proxy).await;
        server.start_stream("r1", 1).await;
        server.reset();
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_stream().await, (event(1), false));
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_before_the_transfer_releases_the_handle() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let (client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        drop(client);
        assert!(server.is_closed().await);
        serve_release(&mut prefill_server).await;
    })
    .await;
}

#[tokio::test]
async fn handle_is_offered_to_another_server_after_a_rejected_decode_attempt() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d", "e"]).retry_budget(10.0), async |proxy| {
        let (mut client, _prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, first) = proxy.accept_any(&["d", "e"]).await;
        let source = server.read_request().await.header("kv-from").map(str::to_owned);
        server.send(&rejection("r1", 503)).await;
        let (mut server, second) = proxy.accept_any(&["d", "e"]).await;
        assert_ne!(first, second);
        assert_eq!(server.read_request().await.header("kv-from").map(str::to_owned), source);
        server.send(&complete_stream("r1", 1)).await;
        assert_eq!(client.read_response().await.body, event(1));
    })
    .await;
}

#[tokio::test]
async fn request_rejected_by_all_decode_servers_releases_its_handle() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d", "e"]).retry_budget(10.0), async |proxy| {
        let (mut client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        for _ in 0..2 {
            let (mut server, _, _) = receive_decode(proxy).await;
            server.send(&rejection("r1", 503)).await;
        }
        serve_release(&mut prefill_server).await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn without_prefill_servers_a_decode_server_runs_both_phases() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        proxy.list_all_except(&["p"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, received) = proxy.receive("d").await;
        assert_eq!((received.header("kv-from"), received.header("serving-stage")), (None, None));
        server.send(&complete_stream("r1", 1)).await;
        assert_eq!(client.read_response().await.body, event(1));
    })
    .await;
}

#[tokio::test]
async fn prefill_server_that_refuses_connections_is_skipped() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        proxy.stop_server("p");
        let mut client = proxy.send_request("r1", "").await;
        let mut server = proxy.accept("d").await;
        assert_eq!(server.read_request().await.header("kv-from"), None);
        server.send(&ok_response("r1", "whole")).await;
        assert_eq!(client.read_response().await.body, "whole");
    })
    .await;
}

#[tokio::test]
async fn without_decode_servers_the_request_is_rejected_and_its_handle_released() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        proxy.list_all_except(&["d"]).await;
        let (mut client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        assert_eq!(client.read_response().await.status(), 503);
        serve_release(&mut prefill_server).await;
    })
    .await;
}

#[tokio::test]
async fn unsafe_stream_is_not_retried_after_its_decode_server_reset() {
    let scenario = Scenario::prefill_decode(&["p"], &["d", "e"]).max_attempts(3).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let (mut client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        let (server, _, _) = receive_decode(proxy).await;
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
        serve_release(&mut prefill_server).await;
    })
    .await;
}

#[tokio::test]
async fn servers_without_stages_get_the_request_unchanged() {
    with_proxy(Scenario::prefill_decode(&[], &[]).servers(&["a"]), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (_server, received) = proxy.receive("a").await;
        assert_eq!((received.header("serving-stage"), received.header("kv-from")), (None, None));
    })
    .await;
}

#[tokio::test]
async fn last_event_id_of_the_client_is_forwarded() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]).resumable(), async |proxy| {
        let _client = proxy.send_request("r1", "Last-Event-Id: 17\r\n").await;
        let _prefill_server = serve_prefill(proxy, "r1").await;
        let mut server = proxy.accept("d").await;
        assert_eq!(server.read_request().await.header("last-event-id"), Some("17"));
    })
    .await;
}

#[tokio::test]
async fn missing_handle_makes_a_decode_server_run_both_phases() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d", "e"]).retry_budget(10.0), async |proxy| {
        let (mut client, mut prefill_server) = send_and_prefill(proxy, "r1").await;
        let (mut server, first) = proxy.accept_any(&["d", "e"]).await;
        assert!(server.read_request().await.header("kv-from").is_some());
        let reply = with_headers(&rejection("r1", 503), "Load-Report: 1,0,8\r\n");
        server.send(&reply).await;
        let (mut server, second) = proxy.accept_any(&["d", "e"]).await;
        assert_ne!(first, second);
        assert_eq!(server.read_request().await.header("kv-from"), None);
        serve_release(&mut prefill_server).await;
        server.send(&complete_stream("r1", 1)).await;
        assert_eq!(client.read_response().await.body, event(1));
    })
    .await;
}

#[tokio::test]
async fn rejected_prefill_is_retried_on_another_server() {
    with_proxy(Scenario::prefill_decode(&["p", "q"], &["d"]).retry_budget(10.0), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (mut server, _, first) = proxy.receive_any(&["p", "q"]).await;
        server.send(&rejection("r1", 503)).await;
        let (mut server, second) = proxy.accept_any(&["p", "q"]).await;
        assert_ne!(first, second);
        assert_eq!(server.read_request().await.header("serving-stage"), Some("prefill"));
        server.send(&prefill_response("r1", HANDLE)).await;
        let mut server = proxy.accept("d").await;
        let source = format!("{}/{HANDLE}", proxy.address(second));
        assert_eq!(server.read_request().await.header("kv-from"), Some(source.as_str()));
    })
    .await;
}

#[tokio::test]
async fn stream_that_exceeds_its_deadline_is_truncated() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let mut client = proxy.send_request("r1", "Deadline-Ms: 3000\r\n").await;
        let _prefill_server = serve_prefill(proxy, "r1").await;
        let (mut server, _) = proxy.receive("d").await;
        server.start_stream("r1", 1).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some(event(1))));
        tokio::time::pause();
        assert_eq!(client.read_stream().await, (String::new(), false));
        assert!(server.is_closed().await);
    })
    .await;
}

/// Prefills of long prompts have a lower priority, so that they do not delay short ones.
#[rstest]
#[case(500, "0")]
#[case(1_800, "1")]
#[case(12_000, "3")]
#[case(54_600, "5")]
#[case(4_000_000_000, "9")]
#[tokio::test]
async fn prefill_priority_follows_prompt_length(#[case] tokens: u32, #[case] priority: &str) {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let mut client = proxy.send_request("r1", &format!("Token-Counts: {tokens},20\r\n")).await;
        let (mut server, received) = proxy.receive("p").await;
        assert_eq!(received.header("priority"), Some(priority));
        server.send(&prefill_response("r1", HANDLE)).await;
        let (server, received) = proxy.receive("d").await;
        assert_eq!(received.header("priority"), Some("0"), "the priority of the route");
        server.reset();
        let response = client.read_response().await;
        assert_eq!(response.status(), 502, "the request may have been executed");
    })
    .await;
}
