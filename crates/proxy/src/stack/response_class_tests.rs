//! The classification of responses by status and headers.

use crate::http::parse_response;
use crate::stack::response_class::{ResponseClass, classify};
use bytes::BytesMut;
use rstest::rstest;

const STAMP: &str = "Server-Stamp: s\r\n";
const NOT_EXECUTED: &str = "Not-Executed: 1\r\n";
const BOTH: &str = "Server-Stamp: s\r\nNot-Executed: 1\r\n";

/// A request counts as unexecuted only if the response has `Not-Executed` and a matching status, or if the
/// status is 421.
#[rstest]
#[case(200, STAMP, ResponseClass::Success)]
#[case(299, STAMP, ResponseClass::Success)]
#[case(200, "", ResponseClass::Unusable)]
#[case(200, NOT_EXECUTED, ResponseClass::Unusable)]
#[case(204, BOTH, ResponseClass::Success)]
#[case(503, NOT_EXECUTED, ResponseClass::Rejected)]
#[case(503, BOTH, ResponseClass::Rejected)]
#[case(503, STAMP, ResponseClass::Unusable)]
#[case(429, NOT_EXECUTED, ResponseClass::Rejected)]
#[case(429, "", ResponseClass::Unusable)]
#[case(408, "", ResponseClass::Unusable)]
#[case(408, NOT_EXECUTED, ResponseClass::Unusable)]
#[case(421, NOT_EXECUTED, ResponseClass::Misdirected)]
#[case(421, "", ResponseClass::Misdirected)]
#[case(400, NOT_EXECUTED, ResponseClass::InvalidRequest)]
#[case(400, STAMP, ResponseClass::Failure)]
#[case(500, STAMP, ResponseClass::Failure)]
#[case(500, NOT_EXECUTED, ResponseClass::Failure)]
#[case(502, NOT_EXECUTED, ResponseClass::Failure)]
#[case(504, NOT_EXECUTED, ResponseClass::Failure)]
#[case(404, NOT_EXECUTED, ResponseClass::Failure)]
#[case(300, STAMP, ResponseClass::Failure)]
#[case(304, STAMP, ResponseClass::Failure)]
fn responses_are_classified_by_status_and_headers(
    #[case] status: u16, #[case] fields: &str, #[case] expected: ResponseClass,
) {
    let text = format!("HTTP/1.1 {status} X\r\nRequest-Id: r1\r\n{fields}\r\n");
    let head = parse_response(&mut BytesMut::from(text.as_str()))
        .expect("the head is valid")
        .expect("the head is complete");
    assert_eq!(classify(&head), expected);
}
