//! Responses that are not valid HTTP/1.1 never reach a client, whatever their framing and the kind of the
//! route. A request that may be executed twice gets the response of another server, any other request the
//! proxy's own error. Valid responses that look unusual are forwarded.

mod support;

use rstest::rstest;
use support::prefill::*;
use support::*;

/// The header fields of a successful response to request `r1`.
const FIELDS: &str = "Request-Id: r1\r\nServer-Stamp: s\r\n";
/// Invalid heads of a response to `r1`, without the fields that announce the body and the final empty line.
const BROKEN_HEADS: [&str; 8] = [
    "HTTP/1.1 000 X\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX Y: v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n X: v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX : v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX\u{0}Y: v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\u{7f}X: v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n\nX: v\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX: v\n\r\n",
];
/// The length of a body that exceeds the socket buffers of both ends.
const LONG_BODY_BYTES: usize = 16 * 1024 * 1024;
/// A body with its framing: the header fields that announce it, and its bytes.
const FRAMINGS: [(&str, &str); 3] = [
    ("Content-Length: 2\r\n", "no"),
    ("Transfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n"),
    ("Connection: close\r\n", "no"),
];

fn scenario(kind: &'static str) -> Scenario {
    Scenario::new(kind).max_attempts(2).retry_budget(10.0)
}

/// Sends `bytes` as the response to `r1` and closes the connection. Checks that the client receives the
/// response of another server if the route allows a retry, and otherwise status 502 without a stamp.
async fn expect_not_forwarded(scenario: Scenario, is_retried: bool, bytes: &str) {
    with_proxy(scenario, async |proxy| {
        let (mut client, mut server, first) = proxy.dispatch("r1", "").await;
        server.send(bytes).await;
        drop(server);
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            (mut server, _, second) = proxy.receive_any(&PLAIN_SERVERS) => {
                assert_ne!(first, second);
                server.send(&ok_response("r1", "again")).await;
                client.read_response().await
            }
        };
        let received = (response.status(), response.header("server-stamp"));
        let expected = if is_retried { (200, Some("stamp-r1")) } else { (502, None) };
        assert_eq!(received, expected, "{bytes:?}");
    })
    .await;
}

#[rstest]
#[case::zero("000")]
#[case::below_the_range("099")]
#[case::above_the_range("600")]
#[case::largest("999")]
#[tokio::test]
async fn response_with_an_invalid_status_is_not_forwarded(
    #[case] status: &str, #[values("unsafe", "safe", "streaming")] kind: &'static str,
    #[values("", "HTTP/1.1 100 Continue\r\n\r\n")] before: &str,
) {
    for (framing, body) in FRAMINGS {
        let bytes = format!("{before}HTTP/1.1 {status} X\r\n{FIELDS}{framing}\r\n{body}");
        expect_not_forwarded(scenario(kind), kind == "safe", &bytes).await;
    }
}

#[rstest]
#[case::length("Content-Length: 2\r\n", "no")]
#[case::chunked("Transfer-Encoding: chunked\r\n", "2\r\nno\r\n0\r\n\r\n")]
#[case::close("Connection: close\r\n", "no")]
#[tokio::test]
async fn response_with_an_invalid_head_is_not_forwarded(
    #[case] framing: &str, #[case] body: &str, #[values("unsafe", "safe", "streaming")] kind: &'static str,
    #[values(true, false)] is_framed_first: bool,
) {
    for head in BROKEN_HEADS {
        let (status_line, fields) = head.split_once("\r\n").expect("the head has a status line");
        let bytes = if is_framed_first {
            format!("{status_line}\r\n{framing}{fields}\r\n{body}")
        } else {
            format!("{head}{framing}\r\n{body}")
        };
        expect_not_forwarded(scenario(kind), kind == "safe", &bytes).await;
    }
}

#[rstest]
#[case::unregistered_success("HTTP/1.1 299 Fine\r\n", "")]
#[case::unregistered_error("HTTP/1.1 599 Odd\r\n", "")]
#[case::lowest_final_status("HTTP/1.1 200 \r\n", "")]
#[case::no_reason("HTTP/1.1 200\r\n", "")]
#[case::value_above_ascii("HTTP/1.1 200 OK\r\n", "X-Place: Jyv\u{e4}skyl\u{e4}\tr\u{f6}d\r\n")]
#[case::every_symbol_in_a_name("HTTP/1.1 200 OK\r\n", "!#$%&'*+-.^_`|~09aZ: v\r\n")]
#[case::empty_value("HTTP/1.1 200 OK\r\n", "X-Empty:\r\n")]
#[tokio::test]
async fn valid_response_that_looks_unusual_is_forwarded(#[case] status_line: &str, #[case] field: &str) {
    for (framing, body) in FRAMINGS {
        with_proxy(Scenario::new("unsafe"), async |proxy| {
            let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
            server.send(&format!("{status_line}{FIELDS}{field}{framing}\r\n{body}")).await;
            drop(server);
            let response = client.read_response().await;
            assert_eq!(response.status().to_string(), status_line[9..12]);
            assert_eq!((response.header("server-stamp"), response.body.as_str()), (Some("s"), "no"));
            assert!(response.head.contains(field.trim_end()), "{}", response.head);
        })
        .await;
    }
}

/// The response arrives on a connection that has carried a request before.
#[tokio::test]
async fn invalid_response_on_a_reused_connection_is_not_forwarded() {
    for head in BROKEN_HEADS {
        with_proxy(Scenario::new("unsafe"), async |proxy| {
            let (_, mut server) = proxy.idle_connections().await;
            let mut client = proxy.send_request("r1", "").await;
            server.read_request().await;
            server.send(&format!("{head}Content-Length: 2\r\n\r\nno")).await;
            let response = client.read_response().await;
            assert_eq!((response.status(), response.header("server-stamp")), (502, None), "{head:?}");
        })
        .await;
    }
}

/// The response arrives while the request is being sent, so its head is read before the writer stops.
#[tokio::test]
async fn invalid_response_to_an_unfinished_request_is_not_forwarded() {
    for head in BROKEN_HEADS {
        with_proxy(Scenario::new("unsafe").max_body_bytes(LONG_BODY_BYTES), async |proxy| {
            let (mut client, mut server) = send_long_request(proxy, &PLAIN_SERVERS).await;
            server.send(&format!("{head}Content-Length: 2\r\n\r\nno")).await;
            let response = client.read_response().await;
            assert_eq!((response.status(), response.header("server-stamp")), (502, None), "{head:?}");
        })
        .await;
    }
}

/// A stream is resumed after its last event, unless the head of the resumed response is invalid.
#[tokio::test]
async fn stream_is_not_continued_by_an_invalid_response() {
    for head in BROKEN_HEADS {
        with_proxy(scenario("streaming").resumable(), async |proxy| {
            let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
            server.start_stream("r1", 1).await;
            server.reset();
            let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
            let chunks = chunk(&event(2)) + LAST_CHUNK;
            let framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
            server.send(&format!("{head}{framing}\r\n{chunks}")).await;
            assert!(client.read_head().await.is_some());
            assert_eq!(client.read_stream().await, (event(1), false), "{head:?}");
        })
        .await;
    }
}

/// Neither phase of a generation uses an invalid response: another server decodes, and a prefill without a
/// valid response yields no handle.
#[tokio::test]
async fn invalid_response_to_either_phase_is_not_used() {
    for head in BROKEN_HEADS {
        let servers = Scenario::prefill_decode(&["p"], &["d", "e"]);
        with_proxy(servers.resumable().max_attempts(3).retry_budget(10.0), async |proxy| {
            let mut client = proxy.send_request("r1", "").await;
            let (mut prefill_server, _) = proxy.receive("p").await;
            let valid = prefill_response("r1", HANDLE);
            let (_, rest) = valid.split_once("Request-Id: r1\r\n").expect("the response has an id");
            prefill_server.send(&format!("{head}{rest}")).await;
            let (mut server, received, _) = receive_decode(proxy).await;
            assert_eq!(received.header("kv-from"), None, "{head:?}");
            server.send(&format!("{head}Content-Length: 2\r\n\r\nno")).await;
            tokio::select! {
                _ = client.read_head() => panic!("a response was forwarded: {head:?}"),
                (mut server, _, _) = receive_decode(proxy) => server.send(&complete_stream("r1", 2)).await,
            }
            assert!(client.read_head().await.is_some_and(|head| head.contains("stamp-r1")), "{head:?}");
            assert_eq!(client.read_stream().await, (events(2), true), "{head:?}");
        })
        .await;
    }
}

/// Sends a request with a long body and receives its head at one of the servers. Returns the client
/// connection and the connection to the server.
async fn send_long_request(proxy: &TestProxy, names: &[&'static str]) -> (Connection, Connection) {
    let mut client = proxy.connect().await;
    client.send(&request("r1", "", &"x".repeat(LONG_BODY_BYTES))).await;
    let (mut server, _) = proxy.accept_any(names).await;
    assert!(server.read_head().await.is_some());
    (client, server)
}
