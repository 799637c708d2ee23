//! Responses that arrive before their request has been sent completely: they are forwarded, and their
//! connections are not reused, since another request would be read as the rest of the first.

mod support;

use rstest::rstest;
use support::prefill::*;
use support::*;
use tokio::io::AsyncReadExt;

/// The length of a body that exceeds the socket buffers of both ends.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;

fn long_bodies(kind: &'static str) -> Scenario {
    Scenario::new(kind).max_attempts(2).max_body_bytes(LONG_BODY_BYTES).retry_budget(10.0)
}

fn is_part_of_body(rest: &[u8]) -> bool {
    rest.len() < LONG_BODY_BYTES && rest.iter().all(|byte| *byte == b'x')
}

#[tokio::test]
async fn early_response_is_forwarded_and_its_connection_is_not_reused() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_head().await.is_some());
        early.send(&ok_response("r1", "early")).await;
        assert_eq!(client.read_response().await.body, "early");
        client.send(&request("r2", "", "second")).await;
        let mut next = proxy.accept("a").await;
        assert_eq!(next.read_request().await.body, "second");
        next.send(&ok_response("r2", "ok")).await;
        assert_eq!(client.read_response().await.body, "ok");
        assert!(is_part_of_body(&early.read_to_end().await));
    })
    .await;
}

#[tokio::test]
async fn early_rejection_sends_the_complete_body_to_another_server() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let (mut early, first) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(early.read_head().await.is_some());
        early.send(&rejection("r1", 503)).await;
        let (mut server, second) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert_ne!(first, second);
        assert_eq!(server.read_request().await.body.len(), LONG_BODY_BYTES);
        server.send(&ok_response("r1", "there")).await;
        assert_eq!(client.read_response().await.body, "there");
        assert!(is_part_of_body(&early.read_to_end().await));
    })
    .await;
}

#[tokio::test]
async fn interim_response_does_not_stop_the_body() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        let head = server.read_head().await.expect("a complete head is received");
        assert!(head.contains(&format!("Content-Length: {LONG_BODY_BYTES}\r\n")), "{head}");
        server.send("HTTP/1.1 100 Continue\r\n\r\n").await;
        assert_eq!(server.read_exactly(LONG_BODY_BYTES).await.map(|body| body.len()), Some(LONG_BODY_BYTES));
        server.send(&ok_response("r1", "whole")).await;
        assert_eq!(client.read_response().await.body, "whole");
    })
    .await;
}

/// The last byte of an unsafe request is withheld for a short time. A response that arrives during that time
/// belongs to this request.
#[tokio::test]
async fn response_before_the_last_byte_is_forwarded_and_the_request_is_not_retried() {
    with_proxy(Scenario::new("unsafe").retry_budget(10.0), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        tokio::time::pause();
        let mut client = proxy.send_request("r1", "").await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_until(ALL_BUT_LAST_BYTE).await.is_some());
        early.send(&ok_response("r1", "early")).await;
        assert_eq!(client.read_response().await.body, "early");
        assert!(early.is_closed().await, "neither the last byte nor another request is sent");
    })
    .await;
}

#[tokio::test]
async fn early_response_followed_by_a_close_is_forwarded() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let mut early = proxy.accept("a").await;
        assert!(early.read_head().await.is_some());
        early.send(&ok_response("r1", "early")).await;
        early.shutdown_write().await;
        assert_eq!(client.read_response().await.body, "early");
    })
    .await;
}

/// The head of a response without a length.
const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n";

/// Sends a request with a long body and receives its head at server a or b. Returns the client connection and
/// the connection to the server.
async fn send_long_request(proxy: &TestProxy) -> (Connection, Connection) {
    let mut client = proxy.connect().await;
    client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
    let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
    assert!(server.read_head().await.is_some());
    (client, server)
}

/// The reset ends the response early, although the kernel reports it only once: to the writer of the request.
#[rstest]
#[case::unsafe_request("unsafe", "HTTP/1.1", 502)]
#[case::http_1_0("unsafe", "HTTP/1.0", 502)]
#[case::retried("safe", "HTTP/1.1", 200)]
#[tokio::test]
async fn early_response_without_a_length_that_is_reset_is_not_forwarded(
    #[case] kind: &'static str, #[case] version: &str, #[case] status: u16,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] interim: &str,
) {
    with_proxy(long_bodies(kind), async |proxy| {
        let (mut client, mut server) = send_long_request(proxy).await;
        let response = format!("{HEAD_WITHOUT_LENGTH}\r\nhalf").replace("HTTP/1.1", version);
        server.send(&format!("{interim}{response}")).await;
        server.reset();
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            (mut server, request, _) = proxy.receive_any(&PLAIN_SERVERS) => {
                assert_eq!(request.body.len(), LONG_BODY_BYTES);
                server.send(&ok_response("r1", "again")).await;
                client.read_response().await
            }
        };
        let expected = if status == 200 { (200, Some("stamp-r1")) } else { (status, None) };
        assert_eq!((response.status(), response.header("server-stamp")), expected);
    })
    .await;
}

#[tokio::test]
async fn early_response_that_is_reset_on_a_reused_connection_is_not_forwarded() {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let (mut client, mut server) = proxy.idle_connections().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        assert!(server.read_head().await.is_some());
        server.send(&format!("{HEAD_WITHOUT_LENGTH}\r\nhalf")).await;
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

/// A part of the response has been forwarded when its end is found to be missing.
#[rstest]
#[case::long("unsafe", 70_000)]
#[case::streaming("streaming", 4)]
#[tokio::test]
async fn early_response_that_is_reset_after_its_head_was_forwarded_breaks_the_client_connection(
    #[case] kind: &'static str, #[case] length: usize,
) {
    with_proxy(long_bodies(kind), async |proxy| {
        let (mut client, mut server) = send_long_request(proxy).await;
        server.send(&format!("{HEAD_WITHOUT_LENGTH}\r\n{}", "x".repeat(length))).await;
        server.reset();
        assert!(client.read_head().await.is_some_and(|head| head.starts_with("HTTP/1.1 200")));
        assert!(!client.read_stream().await.1, "the response is not complete");
    })
    .await;
}

#[tokio::test]
async fn early_event_stream_that_is_reset_is_resumed() {
    with_proxy(long_bodies("streaming").resumable(), async |proxy| {
        let (mut client, mut server) = send_long_request(proxy).await;
        let head = format!("{HEAD_WITHOUT_LENGTH}Content-Type: text/event-stream\r\n");
        server.send(&format!("{head}\r\n{}", event(1))).await;
        server.reset();
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some(event(1))));
        let rest = tokio::select! {
            rest = client.read_stream() => rest,
            (mut server, request, _) = proxy.receive_any(&PLAIN_SERVERS) => {
                assert_eq!(request.header("last-event-id"), Some("1"));
                server.start_stream("r1", 0).await;
                server.send(&chunk(&event(2))).await;
                server.send(LAST_CHUNK).await;
                client.read_stream().await
            }
        };
        assert_eq!(rest, (event(2), true));
    })
    .await;
}

/// A response that states its end is complete once it has arrived, and so is one that ended with the orderly
/// close of the server's sending direction.
#[rstest]
#[case::length("Content-Length: 4\r\n", "full", false)]
#[case::chunked("Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n0\r\n\r\n", false)]
#[case::close("", "full", true)]
#[tokio::test]
async fn complete_early_response_that_is_followed_by_a_reset_is_forwarded(
    #[case] framing: &str, #[case] body: &str, #[case] shuts_down: bool, #[values(200, 413)] status: u16,
) {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let (mut client, mut server) = send_long_request(proxy).await;
        let head = HEAD_WITHOUT_LENGTH.replace("200", &status.to_string());
        server.send(&format!("{head}{framing}\r\n{body}")).await;
        if shuts_down {
            server.shutdown_write().await;
        }
        server.reset();
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (status, Some("s")));
        assert_eq!(response.body, "full");
    })
    .await;
}

#[rstest]
#[case::length("Content-Length: 9\r\n", "half")]
#[case::chunked("Transfer-Encoding: chunked\r\n", "9\r\nhalf")]
#[case::without_the_last_chunk("Transfer-Encoding: chunked\r\n", "4\r\nhalf\r\n")]
#[tokio::test]
async fn truncated_early_response_is_not_forwarded(#[case] framing: &str, #[case] body: &str) {
    with_proxy(long_bodies("unsafe"), async |proxy| {
        let (mut client, mut server) = send_long_request(proxy).await;
        server.send(&format!("{HEAD_WITHOUT_LENGTH}{framing}\r\n{body}")).await;
        server.reset();
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

/// The response to a prefill names a KV handle, and is reset before its end. The handle is not used.
#[tokio::test]
async fn early_response_to_a_prefill_that_is_reset_yields_no_handle() {
    let servers = Scenario::prefill_decode(&["p"], &["d"]);
    with_proxy(servers.max_body_bytes(LONG_BODY_BYTES).max_attempts(2).retry_budget(10.0), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
        let mut server = proxy.accept("p").await;
        assert!(server.read_head().await.is_some());
        let response = prefill_response("r1", HANDLE);
        server.send(&response.replace("Content-Length", "X-Length")).await;
        server.reset();
        let (mut server, received) = proxy.receive("d").await;
        assert_eq!(received.header("kv-from"), None);
        server.send(&complete_stream("r1", 1)).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_stream().await, (event(1), true));
    })
    .await;
}

/// An HTTP/1.0 client takes the close of its connection for the end of a body without a length, so that the
/// connection is reset if the body is truncated.
#[rstest]
#[case::early_and_reset(LONG_BODY_BYTES, true)]
#[case::reset(4, true)]
#[case::complete(4, false)]
#[tokio::test]
async fn truncated_response_is_reset_for_an_http_1_0_client(
    #[case] request_bytes: usize, #[case] is_reset: bool,
) {
    with_proxy(long_bodies("streaming"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&request("r1", "", &"x".repeat(request_bytes)).replacen("HTTP/1.1", "HTTP/1.0", 1)).await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(server.read_head().await.is_some());
        if request_bytes < LONG_BODY_BYTES {
            assert!(server.read_exactly(request_bytes).await.is_some());
        }
        server.send(&format!("{HEAD_WITHOUT_LENGTH}\r\nhalf")).await;
        if is_reset {
            server.reset();
        } else {
            drop(server);
        }
        let mut received = Vec::new();
        let end = client.stream.read_to_end(&mut received).await.map_err(|error| error.kind());
        assert!(received.ends_with(b"\r\n\r\nhalf"), "{}", received.escape_ascii());
        assert_eq!(end.err(), is_reset.then_some(std::io::ErrorKind::ConnectionReset));
    })
    .await;
}
