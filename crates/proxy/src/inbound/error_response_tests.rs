//! The response for each error.

use super::RequestError;
use rstest::rstest;

/// The status codes that guarantee that the request was not executed and never will be.
const UNEXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Each error has its status code; the last argument of a case is whether the request may have been executed.
/// If so, the status must not guarantee the opposite.
#[rstest]
#[case(RequestError::Malformed, 400, false)]
#[case(RequestError::HeadTooLarge, 431, false)]
#[case(RequestError::BodyTooLarge, 413, false)]
#[case(RequestError::RequestTimeout, 408, false)]
#[case(RequestError::NoRoute, 404, false)]
#[case(RequestError::NotReady, 503, false)]
#[case(RequestError::Unavailable, 503, false)]
#[case(RequestError::Saturated, 503, false)]
#[case(RequestError::DeadlineBeforeExecution, 503, false)]
#[case(RequestError::DeadlineExceeded, 504, true)]
#[case(RequestError::BadGateway, 502, true)]
#[case(RequestError::ShuttingDown, 503, false)]
fn each_error_has_its_status(
    #[case] error: RequestError, #[case] status: u16, #[case] may_be_executed: bool,
) {
    let response = error.response();
    assert_eq!(response.status, status);
    assert!(!(may_be_executed && UNEXECUTED_STATUSES.contains(&status)));
    assert_eq!(
        response.retry_after.is_some(),
        status == 503,
        "exactly the 503 responses state when the client may retry"
    );
    assert_eq!(
        response.closes_connection,
        matches!(status, 400 | 408 | 413 | 431),
        "the bytes that follow can't be parsed"
    );
}

fn encode_response(error: RequestError, request_id: Option<&str>, close: bool, jitter: f64) -> String {
    let mut out = Vec::new();
    error.write(&mut out, request_id.map(str::as_bytes), close, jitter);
    String::from_utf8(out).expect("the text is valid UTF-8")
}

/// The complete response for each error, byte for byte, with and without a request id and `Connection:
/// close`, and the error's name in logs.
#[rstest]
#[case(RequestError::Malformed, "malformed", "400 Bad Request\r\n")]
#[case(RequestError::HeadTooLarge, "head_too_large", "431 Request Header Fields Too Large\r\n")]
#[case(RequestError::BodyTooLarge, "body_too_large", "413 Content Too Large\r\n")]
#[case(RequestError::RequestTimeout, "slow", "408 Request Timeout\r\n")]
#[case(RequestError::NoRoute, "no_route", "404 Not Found\r\n")]
#[case(RequestError::NotReady, "not_ready", "503 Service Unavailable\r\nRetry-After: 1.200\r\n")]
#[case(RequestError::Unavailable, "unavailable", "503 Service Unavailable\r\nRetry-After: 1.200\r\n")]
#[case(RequestError::Saturated, "full", "503 Service Unavailable\r\nRetry-After: 0.150\r\n")]
#[case(
    RequestError::DeadlineBeforeExecution,
    "unserved",
    "503 Service Unavailable\r\nRetry-After: 0.050\r\n"
)]
#[case(RequestError::DeadlineExceeded, "deadline", "504 Gateway Timeout\r\n")]
#[case(RequestError::BadGateway, "broken", "502 Bad Gateway\r\n")]
#[case(RequestError::ShuttingDown, "shutting_down", "503 Service Unavailable\r\nRetry-After: 0.150\r\n")]
fn bytes_of_each_response(#[case] error: RequestError, #[case] name: &str, #[case] start: &str) {
    assert_eq!(error.name(), name);
    let expected = format!("HTTP/1.1 {start}Request-Id: r1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(encode_response(error, Some("r1"), false, 0.5), expected);
    let expected = format!("HTTP/1.1 {start}Content-Length: 0\r\nConnection: close\r\n\r\n");
    assert_eq!(encode_response(error, None, true, 0.5), expected);
}

#[rstest]
#[case(0.0, "0.075")]
#[case(0.25, "0.112")]
#[case(0.999, "0.225")]
fn retry_after_is_scaled_by_the_jitter(#[case] jitter: f64, #[case] seconds: &str) {
    let expected =
        format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(encode_response(RequestError::Saturated, None, false, jitter), expected);
}
