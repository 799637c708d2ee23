//! Tests of forwarding, retries and rejections.

use crate::harness::*;
use crate::{ok_reply, read_to_end};
use serde_json::json;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

#[test]
fn a_request_and_its_answer_are_forwarded_unchanged() {
    let upstream = Upstream::start(|_| ok_reply("\u{0}the answer"));
    let sidecar = Sidecar::start(&[&upstream]);
    let call = call("report", 2.0).header("X-Call-Id", "call 1").header("Idempotency-Key", "k1");
    let answer = sidecar.send(&call.path("/api?x=1%20y").body("hello"));
    assert_eq!((answer.status, answer.body.as_str()), (200, "\u{0}the answer"));
    let received = upstream.requests();
    assert_eq!(received.len(), 1);
    assert_eq!(
        (received[0].start_line.as_str(), received[0].body.as_str()),
        ("POST /api?x=1%20y HTTP/1.1", "hello")
    );
    assert_eq!(received[0].header("x-call-id"), Some("call 1"));
    assert_eq!(received[0].header("idempotency-key"), Some("k1"));
    let budget: f64 = received[0]
        .header("x-budget")
        .expect("the request has X-Budget")
        .parse()
        .expect("the value is a number of seconds");
    assert!(budget > 0.5 && budget < 2.0, "the budget must leave time to return the answer: {budget}");
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    let may_have_run: [(&str, Reply); 8] = [
        ("a 500 response", Reply::text(500, "", "")),
        ("a 503 response without X-Rejected", Reply::text(503, "", "")),
        ("a 503 response with another X-Rejected value", Reply::text(503, "X-Rejected: 0\r\n", "")),
        ("a closed connection", Reply::Close),
        ("a response without a length", Reply::Raw("HTTP/1.1 200 OK\r\n\r\nperhaps half".into())),
        (
            "a response with two lengths",
            Reply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n".into()),
        ),
        ("a protocol upgrade", Reply::Raw("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".into())),
        ("an incomplete response", Reply::Raw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".into())),
    ];
    for (failure, reply) in may_have_run {
        let [a, b] = [(); 2].map(|()| {
            Upstream::start({
                let reply = reply.clone();
                move |_| reply.clone()
            })
        });
        let sidecar = Sidecar::start(&[&a, &b]);
        let answer = sidecar.send(&call("pay", 2.0));
        assert!(![200, 429, 503].contains(&answer.status), "{failure}: {}", answer.status);
        assert_eq!(a.requests().len() + b.requests().len(), 1, "{failure}: sent once");
    }
}

#[test]
fn a_request_that_never_ran_is_retried() {
    for status in [503, 504] {
        // Either upstream rejects the fifteenth request. The requests before it have filled the retry budget.
        let request_count = SharedCounter::default();
        let upstreams = [(); 2].map(|()| {
            let request_count = request_count.clone();
            Upstream::start(move |_| match request_count.increment() {
                15 => Reply::text(status, "X-Rejected: 1\r\n", ""),
                _ => ok_reply("served"),
            })
        });
        let sidecar = Sidecar::start(&[&upstreams[0], &upstreams[1]]);
        for _ in 0..16 {
            assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
        }
        assert_eq!(request_count.increment(), 18, "17 attempts: one request is sent twice");
    }
    // No server listens at the other address. A refused connection does not use the retry budget, and proves
    // that the request was not executed.
    let (up, down) = (Upstream::start(|_| ok_reply("served")), Upstream::start(|_| ok_reply("")));
    down.stop();
    let sidecar = Sidecar::start(&[&up, &down]);
    for _ in 0..6 {
        assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    }
}

#[test]
fn malformed_requests_are_rejected_and_not_forwarded() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    let long = "x".repeat(64 * 1024 + 1);
    let invalid_requests = [
        call("nobody", 1.0),
        call("pay", 1.0).header("X-Budget", "soon"),
        call("pay", 1.0).header("X-Budget", "-1"),
        call("pay", 1.0).header("X-Budget", "NaN"),
        call("pay", 5.0).body(&long),
        call("pay", 5.0).without_header("X-Call-Id"),
        call("pay", 5.0).header("Idempotency-Key", "k"),
        call("report", 5.0).without_header("Idempotency-Key"),
    ];
    for call in invalid_requests {
        let answer = sidecar.send(&call);
        assert!((400..500).contains(&answer.status) && answer.status != 429, "{}", answer.status);
        assert_eq!(answer.header("connection"), Some("close"));
    }
    let mut client = sidecar.connect();
    client.write_all(b"\x16\x03\x01 no http at all\r\n\r\n").expect("the bytes are written");
    let mut answer_text = String::new();
    client.read_to_string(&mut answer_text).expect("the connection ends without an error");
    assert!(answer_text.is_empty() || answer_text.starts_with("HTTP/1.1 400"), "{answer_text}");
    assert!(upstream.requests().is_empty());
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
}

#[test]
fn malformed_upstream_answers_are_failures() {
    for raw in [
        "\u{1}\u{2}garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: soon\r\n\r\n",
        "HTTP/1.1 999\r\n\r\n",
    ] {
        let upstream = Upstream::start(move |_| Reply::Raw(raw.into()));
        let sidecar = Sidecar::start(&[&upstream]);
        assert_eq!(sidecar.send(&call("pay", 2.0)).status, 502, "{raw}");
    }
    let long = "x".repeat(64 * 1024 + 1);
    let upstream = Upstream::start(move |_| ok_reply(&long));
    let sidecar = Sidecar::start(&[&upstream]);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 502, "an answer body above the limit of 64 KiB");
}

#[test]
fn a_keyed_request_that_may_have_run_is_retried_only_in_its_cell() {
    for (other_cell, status, sent) in [(0, 200, 17), (1, 502, 16)] {
        // Either upstream closes the connection of the sixteenth request. The requests before it have filled
        // the retry budget.
        let request_count = SharedCounter::default();
        let upstreams = [(); 2].map(|()| {
            let request_count = request_count.clone();
            Upstream::start(
                move |_| if request_count.increment() == 16 { Reply::Close } else { ok_reply("served") },
            )
        });
        let sidecar = Sidecar::start_with(&[&upstreams[0], &upstreams[1]], |config| {
            config["known"]["members"][1]["cell"] = json!(other_cell);
        });
        for _ in 0..15 {
            assert_eq!(sidecar.send(&call("report", 2.0)).status, 200);
        }
        assert_eq!(sidecar.send(&call("report", 2.0)).status, status, "cell {other_cell}");
        assert_eq!(upstreams[0].requests().len() + upstreams[1].requests().len(), sent, "cell {other_cell}");
    }
}

#[test]
fn a_rejection_has_retry_after_and_comes_when_the_queue_wait_is_over() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start_with(&[&upstream], |config| {
        config["settings"]["requestClasses"][0]["aim"] = json!(400.0);
    });
    sidecar.discovery.publish(2, true, &[upstream.list_entry("Terminating")]);
    sidecar.discovery.wait_for_watch(2);
    let start = Instant::now();
    let answer = sidecar.send(&call("pay", 60.0));
    let retry_after: f64 = answer
        .header("retry-after")
        .expect("the answer has Retry-After")
        .parse()
        .expect("the value is a number of seconds");
    assert_eq!(answer.status, 503);
    assert!(retry_after > 0.0 && retry_after <= 2.0, "{retry_after}");
    // A request that cannot be sent is queued for a quarter of its slack time.
    assert!(start.elapsed() < Duration::from_secs(20), "rejected long before the client timeout");
    assert!(upstream.requests().is_empty());
}

#[test]
fn a_huge_budget_or_cost_is_bounded() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    for value in ["1e19", "18446744073709551615", "1e300"] {
        let answer = sidecar.send(&call("pay", 2.0).header("X-Budget", value).header("X-Call-Cost", value));
        assert!(answer.status == 200 || answer.status == 400, "{value}: {}", answer.status);
        assert_eq!(
            sidecar.send(&call("pay", 2.0).header("X-Call-Cost", "1000")).status,
            200,
            "after {value}"
        );
    }
}

#[test]
fn a_smuggled_request_is_not_forwarded() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    let smuggled = call("pay", 2.0).text();
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", 5 + smuggled.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", 5 + smuggled.len()),
        "Transfer-Encoding: chunked\r\n".into(),
    ] {
        let outer = call("pay", 2.0).text().replace("Content-Length: 0\r\n", &framing);
        let mut client = sidecar.connect();
        client.write_all(format!("{outer}0\r\n\r\n{smuggled}").as_bytes()).expect("the bytes are written");
        let answer_text = read_to_end(&mut client);
        assert!(
            answer_text.starts_with("HTTP/1.1 4") && answer_text.matches("HTTP/1.1").count() == 1,
            "{framing}: {answer_text}"
        );
    }
    assert!(upstream.requests().is_empty());
}

#[test]
fn the_id_of_an_open_request_is_rejected_until_it_is_released() {
    let upstream =
        Upstream::start(
            |received| if received.body == "stay" { Reply::NoAnswer } else { ok_reply("served") },
        );
    let sidecar = Sidecar::start(&[&upstream]);
    let mut first = sidecar.connect();
    let same_id = |body: &str| call("pay", 20.0).header("X-Call-Id", "same").body(body);
    first.write_all(same_id("stay").text().as_bytes()).expect("the bytes are written");
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    assert_eq!(sidecar.send(&same_id("")).status, 409);
    assert_eq!(sidecar.send(&call("pay", 20.0)).status, 200, "another id");
    // A client disconnect must release the id as well.
    drop(first);
    sidecar.wait_until("the id to be released", |sidecar| sidecar.send(&same_id("")).status == 200);
    assert_eq!(sidecar.send(&same_id("")).status, 200);
}

#[test]
fn a_huge_content_length_is_rejected_before_the_body_is_read() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    for length in ["60000000", "-1", "18446744073709551616", "1x"] {
        let mut client = sidecar.connect();
        let text = call("pay", 20.0).text().replace("Length: 0", &format!("Length: {length}"));
        client.write_all(text.as_bytes()).expect("the bytes are written");
        let answer_text = read_to_end(&mut client);
        assert!(answer_text.starts_with("HTTP/1.1 4"), "{length}: {answer_text}");
    }
    // A valid length with a missing body is answered when the client timeout has passed.
    let mut client = sidecar.connect();
    let text = call("pay", 0.3).text().replace("Length: 0", "Length: 5");
    client.write_all(text.as_bytes()).expect("the bytes are written");
    assert!(read_to_end(&mut client).starts_with("HTTP/1.1 408"));
    assert!(upstream.requests().is_empty());
}

#[test]
fn the_answer_margin_of_a_short_budget_is_small() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    // The maximum of many budgets is checked, because a busy machine delays some requests.
    for _ in 0..50 {
        sidecar.send(&call("pay", 0.1));
    }
    let budget = |received: crate::harness::ReceivedMessage| {
        received
            .header("x-budget")
            .expect("the request has X-Budget")
            .parse::<f64>()
            .expect("the value is a number of seconds")
    };
    let max_budget = upstream.requests().into_iter().map(budget).fold(0.0, f64::max);
    assert!(max_budget > 0.085 && max_budget < 0.1, "{max_budget}");
}

#[test]
fn a_request_fails_at_its_latency_target_where_late_answers_have_no_value() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let sidecar = Sidecar::start_with(&[&upstream], |config| {
        config["settings"]["requestClasses"][0]["aim"] = json!(200.0);
    });
    let start = Instant::now();
    assert_eq!(sidecar.send(&call("pay", 19.0)).status, 502);
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    upstream.wait_for("the connection to close", |state| state.closed_by_peer == 1);
}
