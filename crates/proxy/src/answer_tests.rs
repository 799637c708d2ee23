//! The table from kind to answer.

use super::Refusal;
use rstest::rstest;

/// The answers that promise that nothing has run, and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Each kind, with whether the request may have run.
#[rstest]
#[case(Refusal::Malformed, 400, false)]
#[case(Refusal::HeadTooLarge, 431, false)]
#[case(Refusal::BodyTooLarge, 413, false)]
#[case(Refusal::Slow, 408, false)]
#[case(Refusal::NoRoute, 404, false)]
#[case(Refusal::NotReady, 503, false)]
#[case(Refusal::Unavailable, 503, false)]
#[case(Refusal::Full, 503, false)]
#[case(Refusal::Unserved, 503, false)]
#[case(Refusal::Deadline, 504, true)]
#[case(Refusal::Broken, 502, true)]
fn each_kind_has_its_status(#[case] refusal: Refusal, #[case] status: u16, #[case] may_have_run: bool) {
    let line = refusal.line();
    assert_eq!(line.status, status);
    assert!(!(may_have_run && PROMISES.contains(&status)));
    assert_eq!(line.retry_after.is_some(), status == 503, "whoever may come again is told when");
    assert_eq!(line.closes, matches!(status, 400 | 408 | 413 | 431), "what follows can't be read");
}

fn written(refusal: Refusal, request_id: Option<&str>, close: bool, jitter: f64) -> String {
    let mut out = Vec::new();
    refusal.write(&mut out, request_id.map(str::as_bytes), close, jitter);
    String::from_utf8(out).expect("text")
}

/// The whole answer of each kind, byte for byte, with a request's id on a connection that stays, and its name in logs.
#[rstest]
#[case(Refusal::Malformed, "malformed", "400 Bad Request\r\n")]
#[case(Refusal::HeadTooLarge, "head_too_large", "431 Request Header Fields Too Large\r\n")]
#[case(Refusal::BodyTooLarge, "body_too_large", "413 Content Too Large\r\n")]
#[case(Refusal::Slow, "slow", "408 Request Timeout\r\n")]
#[case(Refusal::NoRoute, "no_route", "404 Not Found\r\n")]
#[case(Refusal::NotReady, "not_ready", "503 Service Unavailable\r\nRetry-After: 1.200\r\n")]
#[case(Refusal::Unavailable, "unavailable", "503 Service Unavailable\r\nRetry-After: 1.200\r\n")]
#[case(Refusal::Full, "full", "503 Service Unavailable\r\nRetry-After: 0.150\r\n")]
#[case(Refusal::Unserved, "unserved", "503 Service Unavailable\r\nRetry-After: 0.050\r\n")]
#[case(Refusal::Deadline, "deadline", "504 Gateway Timeout\r\n")]
#[case(Refusal::Broken, "broken", "502 Bad Gateway\r\n")]
fn bytes_of_each_kind(#[case] refusal: Refusal, #[case] name: &str, #[case] start: &str) {
    assert_eq!(refusal.name(), name);
    let expected = format!("HTTP/1.1 {start}Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(written(refusal, Some("r1"), false, 0.5), expected);
    let expected = format!("HTTP/1.1 {start}Content-Length: 0\r\nConnection: close\r\n\r\n");
    assert_eq!(written(refusal, None, true, 0.5), expected);
}

#[rstest]
#[case(0.0, "0.075")]
#[case(0.25, "0.112")]
#[case(0.999, "0.225")]
fn the_time_to_come_again_is_spread_by_the_jitter(#[case] jitter: f64, #[case] seconds: &str) {
    let expected =
        format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(written(Refusal::Full, None, false, jitter), expected);
}
