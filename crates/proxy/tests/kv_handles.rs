//! KV handles between prefill and decode servers.
//!
//! A handle identifies the KV cache of a prefilled prompt. It is used by at most one execution, or released,
//! and never outlives the request that it was created for. Prefill and decode attempts are limited, and
//! withdrawn from the retry budget.

mod support;

use rstest::rstest;
use support::prefill::{expect_release, prefill_response};
use support::*;

const STAMPED: &str = "Request-Id: r1\r\nServer-Stamp: s\r\n";

/// Returns a scenario with prefill and decode servers and a large retry budget.
fn generation_scenario(prefill: &[&'static str], decode: &[&'static str]) -> Scenario {
    Scenario::prefill_decode(prefill, decode).retry_budget(10.0)
}

/// Returns the response to the prefill of request `r1`, without a `Content-Type`.
fn untyped_prefill_response(handle: &str) -> String {
    prefill_response("r1", handle).replace("Content-Type: application/json\r\n", "")
}

/// Receives the next prefill request at a server and responds with `reply`. Returns the connection.
async fn serve_prefill(proxy: &TestProxy, name: &str, reply: &str) -> Connection {
    let (mut server, received) = proxy.receive(name).await;
    assert_eq!(received.header("serving-stage"), Some("prefill"));
    server.send(reply).await;
    server
}

/// A prefill with an invalid handle has failed. The only attempt that is left runs both phases on a decode
/// server.
#[rstest]
#[case::path(untyped_prefill_response("../x"))]
#[case::line_break(untyped_prefill_response("a\\r\\nX: 1"))]
#[case::empty(untyped_prefill_response(""))]
#[case::too_long(untyped_prefill_response(&"x".repeat(257)))]
#[case::unexpected_status("HTTP/1.1 201 OK\r\nRequest-Id: r1\r\nContent-Length: 16\r\n\r\n{\"KvHandle\":\"x\"}".to_owned())]
#[case::server_error("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n".to_owned())]
#[case::malformed_json("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\n{".to_owned())]
#[case::oversized_body(format!("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 20000\r\n\r\n{{\"KvHandle\":\"x\"}}{}", " ".repeat(19_984)))]
#[case::response_to_another_request(untyped_prefill_response("x").replace("r1", "r0"))]
#[tokio::test]
async fn invalid_handle_is_not_forwarded(#[case] reply: String) {
    with_proxy(generation_scenario(&["p", "q"], &["d"]).max_attempts(1), async |proxy| {
        proxy.list_all_except(&["q"]).await;
        let _client = proxy.send_request("r1", "").await;
        let mut server = serve_prefill(proxy, "p", &reply).await;
        let mut decode_server = proxy.accept("d").await;
        assert_eq!(decode_server.read_request().await.header("kv-from"), None);
        assert!(server.is_closed().await);
    })
    .await;
}

#[rstest]
#[case::longest(&"x".repeat(256))]
#[case::all_punctuation("aZ0-_.~")]
#[tokio::test]
async fn valid_handle_is_forwarded_and_not_released(#[case] handle: &str) {
    with_proxy(generation_scenario(&["p"], &["d"]), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response(handle)).await;
        let mut server = proxy.accept("d").await;
        let source = format!("{}/{handle}", proxy.address("p"));
        assert_eq!(server.read_request().await.header("kv-from"), Some(source.as_str()));
        server.send(&ok_response("r1", "done")).await;
        assert_eq!(client.read_response().await.body, "done");
        client.send(&request("r2", "", "body")).await;
        let received = prefill_server.read_request().await;
        assert!(received.head.starts_with("POST /r/x"), "a used handle is not released: {}", received.head);
    })
    .await;
}

/// Whatever the result of the first execution, the second execution must not use the handle.
#[rstest]
#[case::reset("")]
#[case::without_server_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")]
#[case::server_error("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn handle_is_not_reused_by_a_second_execution(#[case] reply: &str, #[values(2, 4)] attempts: u32) {
    with_proxy(
        generation_scenario(&["p", "q"], &["d", "e"]).resumable().max_attempts(attempts),
        async |proxy| {
            proxy.list_all_except(&["q"]).await;
            let _client = proxy.send_request("r1", "").await;
            let mut prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
            let (mut server, first) = proxy.accept_any(&["d", "e"]).await;
            assert!(server.read_request().await.header("kv-from").is_some());
            server.send(reply).await;
            server.reset();
            let (mut server, second) = tokio::select! {
                accepted = proxy.accept_any(&["d", "e"]) => accepted,
                _ = proxy.accept("p") => panic!("the prompt was prefilled a second time"),
            };
            assert_ne!(first, second);
            assert_eq!(server.read_request().await.header("kv-from"), None);
            expect_release(&mut prefill_server, "one").await;
        },
    )
    .await;
}

#[tokio::test]
async fn failure_response_releases_the_handle() {
    with_proxy(generation_scenario(&["p"], &["d", "e"]), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let (mut server, _, _) = proxy.receive_any(&["d", "e"]).await;
        server.send(&format!("HTTP/1.1 500 Oh\r\n{STAMPED}Content-Length: 0\r\n\r\n")).await;
        assert_eq!(client.read_response().await.status(), 500);
        expect_release(&mut prefill_server, "one").await;
    })
    .await;
}

/// The handle is offered to two decode servers. The third runs both phases.
#[tokio::test]
async fn handle_rejected_by_two_servers_is_released() {
    with_proxy(generation_scenario(&["p"], &["d", "e", "f"]), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let mut prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let mut attempted = Vec::new();
        for has_handle in [true, true, false] {
            let (mut server, name) = proxy.accept_any(&["d", "e", "f"]).await;
            assert!(!attempted.contains(&name), "{name} twice");
            attempted.push(name);
            assert_eq!(server.read_request().await.header("kv-from").is_some(), has_handle);
            server.send(&rejection("r1", 503)).await;
        }
        expect_release(&mut prefill_server, "one").await;
    })
    .await;
}

/// An interrupted prefill may have been executed and counts as an attempt.
#[rstest]
#[case::one(1, false)]
#[case::two(2, true)]
#[tokio::test]
async fn broken_prefill_is_retried_within_max_attempts(#[case] attempts: u32, #[case] is_retried: bool) {
    with_proxy(generation_scenario(&["p", "q"], &["d"]).max_attempts(attempts), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (server, _, first) = proxy.receive_any(&["p", "q"]).await;
        server.reset();
        let (_server, second) = proxy.accept_any(&["p", "q", "d"]).await;
        assert_ne!(second, first);
        assert_eq!(second != "d", is_retried);
    })
    .await;
}

/// The connection is closed with the attempt, so that a late handle is not received.
#[tokio::test]
async fn prefill_timeout_closes_its_connection_and_is_retried() {
    with_proxy(generation_scenario(&["p", "q"], &["d"]).max_attempts(2), async |proxy| {
        let _client = proxy.send_request("r1", "").await;
        let (mut silent, _, first) = proxy.receive_any(&["p", "q"]).await;
        tokio::time::pause();
        assert!(silent.is_closed().await);
        tokio::time::resume();
        let (mut server, _, second) = proxy.receive_any(&["p", "q"]).await;
        assert_ne!(first, second);
        server.send(&untyped_prefill_response("two")).await;
        let mut decode_server = proxy.accept("d").await;
        let source = format!("{}/two", proxy.address(second));
        assert_eq!(decode_server.read_request().await.header("kv-from"), Some(source.as_str()));
    })
    .await;
}

/// After three rejected prefill attempts, a decode server runs both phases.
#[tokio::test]
async fn rejected_prefill_attempts_are_limited_to_three() {
    with_proxy(generation_scenario(&["p", "q", "s", "t"], &["d"]), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let mut attempts = 0;
        loop {
            let mut server = tokio::select! {
                (accepted, _) = proxy.accept_any(&["p", "q", "s", "t"]) => accepted,
                _ = proxy.accept("d") => break,
                response = client.read_message() => panic!("the request ended before a decode attempt: {response:?}"),
            };
            server.read_request().await;
            attempts += 1;
            server.send(&rejection("r1", 503)).await;
        }
        assert_eq!(attempts, 3);
    })
    .await;
}

/// The headers of a prompt whose prefill on a decode server would delay the streams of other requests for too
/// long.
const LONG_PROMPT: &str = "Token-Counts: 9000,10\r\n";
/// The headers of a prompt that a decode server prefills in one chunk.
const SHORT_PROMPT: &str = "Token-Counts: 900,10\r\n";

/// No further prefill attempt is allowed. A long prompt is rejected with `Retry-After`, without having been
/// executed.
#[rstest]
#[case::short(SHORT_PROMPT, true)]
#[case::long(LONG_PROMPT, false)]
#[tokio::test]
async fn after_a_failed_prefill_only_short_prompts_run_on_a_decode_server(
    #[case] prompt: &str, #[case] is_executed: bool,
) {
    with_proxy(generation_scenario(&["p", "q"], &["d"]).max_attempts(1), async |proxy| {
        let mut client = proxy.send_request("r1", prompt).await;
        let (server, _, _) = proxy.receive_any(&["p", "q"]).await;
        server.reset();
        let rejected = tokio::select! {
            _ = proxy.accept("d") => None,
            response = client.read_message() => response,
        };
        assert_eq!(rejected.is_none(), is_executed);
        if let Some(response) = rejected {
            assert_eq!(response.status(), 503);
            assert!(response.header("retry-after").is_some());
        }
    })
    .await;
}

/// The retry budget does not allow another prefill attempt.
#[tokio::test]
async fn without_retry_budget_a_long_prompt_is_rejected_after_a_rejected_prefill() {
    with_proxy(generation_scenario(&["p", "q"], &["d"]).retry_budget(0.0), async |proxy| {
        let mut client = proxy.send_request("r1", LONG_PROMPT).await;
        let (mut server, _, _) = proxy.receive_any(&["p", "q"]).await;
        server.send(&rejection("r1", 503)).await;
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept("d") => panic!("a connection to a decode server was opened for a long prompt"),
        };
        assert_eq!(response.status(), 503);
    })
    .await;
}

/// After two decode servers have rejected the handle, the prompt is prefilled again if `MaxAttempts` allows
/// it.
#[rstest]
#[case::one(1, false)]
#[case::three(3, true)]
#[tokio::test]
async fn long_prompt_with_a_rejected_handle_is_prefilled_again_or_rejected(
    #[case] attempts: u32, #[case] is_prefilled: bool,
) {
    with_proxy(generation_scenario(&["p", "q"], &["d", "e", "f"]).max_attempts(attempts), async |proxy| {
        let mut client = proxy.send_request("r1", LONG_PROMPT).await;
        let (mut prefill_server, _, _) = proxy.receive_any(&["p", "q"]).await;
        prefill_server.send(&untyped_prefill_response("one")).await;
        for _ in 0..2 {
            let (mut server, _) = proxy.accept_any(&["d", "e", "f"]).await;
            assert!(server.read_request().await.header("kv-from").is_some());
            server.send(&rejection("r1", 503)).await;
        }
        expect_release(&mut prefill_server, "one").await;
        let status = tokio::select! {
            received = prefill_server.read_message() => {
                assert_eq!(received.expect("a complete request is received").header("serving-stage"), Some("prefill"));
                None
            }
            (mut accepted, _) = proxy.accept_any(&["p", "q"]) => {
                assert_eq!(accepted.read_request().await.header("serving-stage"), Some("prefill"));
                None
            }
            response = client.read_message() => response.map(|response| response.status()),
        };
        assert_eq!(status, if is_prefilled { None } else { Some(503) });
    })
    .await;
}

#[tokio::test]
async fn without_prefill_servers_a_decode_server_prefills_long_prompts() {
    with_proxy(generation_scenario(&[], &["d"]), async |proxy| {
        let _client = proxy.send_request("r1", LONG_PROMPT).await;
        let mut decode_server = proxy.accept("d").await;
        assert_eq!(decode_server.read_request().await.header("serving-stage"), None);
    })
    .await;
}

/// The decode server does not respond. The client gets 504, and the request is not sent to another server.
#[tokio::test]
async fn unsafe_stream_that_exceeds_its_deadline_is_not_retried() {
    with_proxy(generation_scenario(&["p"], &["d", "e"]).max_attempts(3), async |proxy| {
        let mut client = proxy.send_request("r1", "Deadline-Ms: 2000\r\n").await;
        let mut prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let (_server, _, _) = proxy.receive_any(&["d", "e"]).await;
        tokio::time::pause();
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept_any(&["d", "e"]) => panic!("the request was retried"),
        };
        tokio::time::resume();
        assert_eq!(response.status(), 504);
        expect_release(&mut prefill_server, "one").await;
    })
    .await;
}

/// Without an event id, a server can't determine where to resume the stream.
#[tokio::test]
async fn stream_whose_last_event_has_no_id_is_not_resumed() {
    with_proxy(generation_scenario(&["p"], &["d", "e"]).resumable().max_attempts(3), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let _prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let (mut server, _, _) = proxy.receive_any(&["d", "e"]).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk("data: 1\n\n")).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some("data: 1\n\n".to_owned())));
        server.reset();
        let (rest, is_complete) = tokio::select! {
            rest = client.read_stream() => rest,
            _ = proxy.accept_any(&["d", "e"]) => panic!("the stream was resumed"),
        };
        assert_eq!((rest.as_str(), is_complete), ("", false));
    })
    .await;
}

/// A request is sent to at most 4 decode servers, with and without a handle.
#[tokio::test]
async fn rejected_attempts_of_a_stream_are_limited() {
    const NAMES: [&str; 8] = ["d", "e", "f", "g", "h", "i", "j", "k"];
    with_proxy(generation_scenario(&["p"], &NAMES).retry_budget(100.0), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let _prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let (response, attempts) = proxy.reject_all_attempts(&mut client, "r1", &NAMES).await;
        assert_eq!((response.status(), attempts), (503, 4));
    })
    .await;
}

/// The second decode attempt would have to be withdrawn from the retry budget.
#[tokio::test]
async fn without_retry_budget_a_stream_tries_one_decode_server() {
    with_proxy(generation_scenario(&["p"], &["d", "e"]).retry_budget(0.0), async |proxy| {
        let mut client = proxy.send_request("r1", "").await;
        let _prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
        let (mut server, _, _) = proxy.receive_any(&["d", "e"]).await;
        server.send(&rejection("r1", 503)).await;
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept_any(&["d", "e"]) => panic!("the request was retried without a retry budget"),
        };
        assert_eq!(response.status(), 503);
    })
    .await;
}

/// The interrupted second execution may have used the second handle, so the third execution gets none.
#[tokio::test]
async fn handle_of_a_resumed_stream_is_used_by_one_execution() {
    // A violated invariant would otherwise panic, which ends the request's task and leaves the test waiting.
    let _suppression = lugwharf_invariants::suppress_panics();
    with_proxy(
        generation_scenario(&["p"], &["d", "e", "f", "g"]).resumable().max_attempts(6),
        async |proxy| {
            let mut client = proxy.send_request("r1", "").await;
            let _first_prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("one")).await;
            let mut server = accept_decode(proxy).await;
            server.read_request().await;
            server.start_stream("r1", 1).await;
            assert!(client.read_head().await.is_some());
            server.reset();
            let mut second_prefill_server = serve_prefill(proxy, "p", &untyped_prefill_response("two")).await;
            let mut server = accept_decode(proxy).await;
            let received = server.read_request().await;
            assert!(
                received.header("kv-from").is_some_and(|from| from.ends_with("/two")),
                "{}",
                received.head
            );
            server.reset();
            let mut server = accept_decode(proxy).await;
            let received = server.read_request().await;
            assert_eq!(received.header("kv-from"), None, "{}", received.head);
            expect_release(&mut second_prefill_server, "two").await;
            server.send(&stream_head("r1")).await;
            server.send(&chunk(&event(2))).await;
            server.send(LAST_CHUNK).await;
            assert_eq!(client.read_stream().await, (events(2), true));
        },
    )
    .await;
}

async fn accept_decode(proxy: &TestProxy) -> Connection {
    proxy.accept_any(&["d", "e", "f", "g"]).await.0
}
