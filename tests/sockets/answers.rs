//! Tests of the literal answers to the client: status line, headers and body, except the date.

use crate::harness::*;
use crate::{ok_reply, read_to_end};
use serde_json::json;
use std::io::Write;

/// Writes this text on a new connection, and returns all that is received until the connection is closed,
/// without the date.
fn exchange(sidecar: &Sidecar, text: &str) -> String {
    let mut client = sidecar.connect();
    client.write_all(text.as_bytes()).expect("the bytes are written");
    without_date(&read_to_end(&mut client))
}

fn without_date(text: &str) -> String {
    let (head, body) = text.split_once("\r\n\r\n").expect("the answer has a complete head");
    let lines: Vec<&str> = head.split("\r\n").collect();
    assert_eq!(lines.iter().filter(|line| line.starts_with("date: ")).count(), 1, "{text}");
    let kept: Vec<&str> = lines.into_iter().filter(|line| !line.starts_with("date: ")).collect();
    format!("{}\r\n\r\n{body}", kept.join("\r\n"))
}

/// Returns the literal answer to an invalid request, which closes its connection and does not reach the
/// decision module.
fn rejection(status: &str, reason: &str) -> String {
    format!("HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{reason}", reason.len())
}

#[test]
fn readiness_and_final_answers_have_their_literal_form() {
    let upstream = Upstream::start(|received| match received.body.as_str() {
        "typed" => Reply::text(200, "Content-Type: text/x-typed\r\nX-Other: 1\r\n", "hello"),
        "broken" => Reply::text(500, "", "why"),
        _ => ok_reply("plain"),
    });
    let sidecar = Sidecar::start_with(&[&upstream], |config| {
        config["settings"]["policyLimits"]["maxRetryAfter"] = json!(50.0);
        config["settings"]["requestClasses"][0]["aim"] = json!(4_000.0);
    });
    let send = |body: &str| {
        let mut client = sidecar.connect();
        client.write_all(call("pay", 19.0).body(body).text().as_bytes()).expect("the bytes are written");
        without_date(&Answer::read_text(&mut client))
    };
    let ready = || {
        let mut client = sidecar.connect();
        client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n").expect("the bytes are written");
        without_date(&Answer::read_text(&mut client))
    };
    assert_eq!(ready(), "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    let typed = "HTTP/1.1 200 OK\r\ncontent-type: text/x-typed\r\ncontent-length: 5\r\n\r\nhello";
    assert_eq!(send("typed"), typed);
    assert_eq!(send(""), "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nplain");
    assert_eq!(send("broken"), "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 6\r\n\r\nfailed");
    sidecar.discovery.publish(2, true, &[upstream.list_entry("Terminating")]);
    sidecar.discovery.wait_for_watch(2);
    let rejection_text =
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.050\r\ncontent-length: 7\r\n\r\nrefused";
    assert_eq!(send(""), rejection_text);
    assert_eq!(ready(), "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
}

#[test]
fn each_rejection_has_its_literal_status_and_reason() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    let pay = || call("pay", 2.0);
    let with = |from: &str, to: &str| pay().text().replace(from, to);
    for (text, status, reason) in [
        (with("Content-Length: 0", "Transfer-Encoding: chunked"), "400 Bad Request", "a transfer coding"),
        (
            with("X-Budget", "X-Again: 1\r\nX-Again: 1\r\nX-Budget"),
            "400 Bad Request",
            "a header that comes twice",
        ),
        (
            with("Content-Length: 0", "Content-Length: 65537"),
            "413 Payload Too Large",
            "a body that is too long",
        ),
        (pay().without_header("X-Call-Id").text(), "400 Bad Request", "no id"),
        (call("nobody", 2.0).text(), "400 Bad Request", "no such class"),
        (
            pay().header("Idempotency-Key", "k").text(),
            "400 Bad Request",
            "a method or a key that does not fit the class",
        ),
        (pay().header("X-Budget", "soon").text(), "400 Bad Request", "no readable budget"),
    ] {
        assert_eq!(exchange(&sidecar, &text), rejection(status, reason));
    }
    // The client stays connected but does not send the complete body.
    let mut client = sidecar.connect();
    let text = call("pay", 0.3).text().replace("Length: 0", "Length: 5");
    client.write_all(text.as_bytes()).expect("the bytes are written");
    assert_eq!(
        without_date(&read_to_end(&mut client)),
        rejection("408 Request Timeout", "a body that does not end")
    );
    assert!(upstream.requests().is_empty());
}

#[test]
fn the_id_of_an_open_request_is_rejected_with_its_literal_reason() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let sidecar = Sidecar::start(&[&upstream]);
    let request_text = || call("pay", 20.0).header("X-Call-Id", "same").text();
    let mut first = sidecar.connect();
    first.write_all(request_text().as_bytes()).expect("the bytes are written");
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    let mut second = sidecar.connect();
    second.write_all(request_text().as_bytes()).expect("the bytes are written");
    let answer_text = without_date(&read_to_end(&mut second));
    assert_eq!(answer_text, rejection("409 Conflict", "the id of an open request"));
}

#[test]
fn an_upstream_receives_the_client_headers_without_connection_headers() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    let call = call("report", 2.0)
        .header("X-Own", "kept")
        .header("Connection", "keep-alive")
        .header("TE", "trailers");
    assert_eq!(
        sidecar.send(&call.header("Expect", "nothing").header("X-Again", "1").body("hello")).status,
        200
    );
    let received = upstream.requests();
    let names = [
        "host",
        "x-call-id",
        "x-call-class",
        "idempotency-key",
        "x-own",
        "x-again",
        "x-budget",
        "content-length",
    ];
    let mut received_names = received[0].header_names();
    received_names.sort_unstable();
    let mut sorted = names;
    sorted.sort_unstable();
    assert_eq!(received_names, sorted);
    assert_eq!((received[0].header("x-own"), received[0].header("host")), (Some("kept"), Some("origin.svc")));
    let budget = received[0].header("x-budget").expect("the request has X-Budget");
    let digits = budget.strip_prefix("1.").expect("the budget is at least 1 s and less than 2 s");
    assert!(digits.len() == 4 && digits.bytes().all(|byte| byte.is_ascii_digit()), "four decimals: {budget}");
}
