//! The heads of requests to servers, byte for byte.

use crate::http::parse_request;
use crate::inbound::request::ClientRequest;
use crate::outbound::request::{AttemptHeaders, OutboundRequest};
use bytes::{Bytes, BytesMut};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

/// A request of a client with header fields that are forwarded, hop-by-hop fields, and fields that only the
/// proxy may set.
const CLIENT: &str = "POST /v1/x?y=1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\nX-Own: a  b\r\n\
    Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Authenticate: a\r\n\
    Proxy-Authorization: b\r\nProxy-Connection: c\r\nTE: trailers\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\
    Upgrade: h2c\r\nContent-Length: 77\r\nExpect: 100-continue\r\nDeadline-Ms: 9000\r\nExpect-Instance: forged\r\n\
    Serving-Stage: prefill\r\nKv-From: forged\r\nLast-Event-Id: 4\r\nPriority: 3\r\nExpect-Version: 2\r\n\
    Prompt-Prefix: aa:1\r\nModel: m\r\n\r\n";
/// The part of the head that is forwarded unchanged.
const FORWARDED: &str = "POST /v1/x?y=1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: r1\r\nX-Own: a  b\r\n\
    Expect-Version: 2\r\nPrompt-Prefix: aa:1\r\nModel: m\r\n";

fn outbound_request(head: &str, body: Option<&'static str>) -> OutboundRequest {
    let head =
        parse_request(&mut BytesMut::from(head)).expect("the head is valid").expect("the head is complete");
    let has_body = body.is_some();
    let body = Bytes::from_static(body.unwrap_or_default().as_bytes());
    OutboundRequest::new(&ClientRequest { head, body, has_body, arrived: Instant::now() })
}

fn prefill_headers() -> AttemptHeaders {
    AttemptHeaders { is_prefill: true, priority: Some(2), ..AttemptHeaders::default() }
}

fn decode_headers() -> AttemptHeaders {
    AttemptHeaders {
        kv_from: Some("127.0.0.1:9/k-1".to_owned()),
        priority: Some(7),
        ..AttemptHeaders::default()
    }
}

fn resumed_headers() -> AttemptHeaders {
    AttemptHeaders { last_event_id: Some(b"12".to_vec()), ..decode_headers() }
}

fn plain_headers() -> AttemptHeaders {
    AttemptHeaders::default()
}

#[rstest]
#[case::plain(
    plain_headers(),
    "Expect-Instance: i-1\r\nDeadline-Ms: 250\r\nLast-Event-Id: 4\r\nPriority: 3\r\n\r\n"
)]
#[case::prefill(
    prefill_headers(),
    "Expect-Instance: i-1\r\nDeadline-Ms: 250\r\nServing-Stage: prefill\r\nLast-Event-Id: 4\r\nPriority: 2\r\n\r\n"
)]
#[case::decode(
    decode_headers(),
    "Expect-Instance: i-1\r\nDeadline-Ms: 250\r\nKv-From: 127.0.0.1:9/k-1\r\nLast-Event-Id: 4\r\nPriority: 7\r\n\r\n"
)]
#[case::resumed(
    resumed_headers(),
    "Expect-Instance: i-1\r\nDeadline-Ms: 250\r\nKv-From: 127.0.0.1:9/k-1\r\nLast-Event-Id: 12\r\nPriority: 7\r\n\r\n"
)]
#[case::priority_beyond_the_scale(
    AttemptHeaders { priority: Some(12), ..plain_headers() },
    "Expect-Instance: i-1\r\nDeadline-Ms: 250\r\nLast-Event-Id: 4\r\nPriority: 9\r\n\r\n"
)]
fn head_of_a_request_with_a_body(#[case] extra: AttemptHeaders, #[case] added: &str) {
    let head = outbound_request(CLIENT, Some("hello")).encode("i-1", Duration::from_micros(250_900), &extra);
    assert_eq!(
        String::from_utf8(head).expect("the text is valid UTF-8"),
        format!("{FORWARDED}Content-Length: 5\r\n{added}")
    );
}

#[rstest]
#[case::none_announced(None, "")]
#[case::empty(Some(""), "Content-Length: 0\r\n")]
fn head_of_a_request_with_an_empty_or_no_body(#[case] body: Option<&'static str>, #[case] length: &str) {
    let outbound = outbound_request("GET / HTTP/1.0\r\nhost: h\r\n\r\n", body);
    let head = outbound.encode("i-1", Duration::ZERO, &AttemptHeaders::default());
    let expected =
        format!("GET / HTTP/1.1\r\nhost: h\r\n{length}Expect-Instance: i-1\r\nDeadline-Ms: 0\r\n\r\n");
    assert_eq!(String::from_utf8(head).expect("the text is valid UTF-8"), expected);
}
