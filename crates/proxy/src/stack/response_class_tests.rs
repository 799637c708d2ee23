use crate::http::parse_response;
use crate::stack::response_class::{ResponseClass, classify};
use bytes::BytesMut;
use rstest::rstest;

const STAMP: &str = "Server-Stamp: s\r\n";
const PROMISE: &str = "Not-Executed: 1\r\n";
const BOTH: &str = "Server-Stamp: s\r\nNot-Executed: 1\r\n";

/// Only what the server has promised not to have run is accepted for that: a promise is `Not-Executed` with a status that it goes
/// with, or a 421.
#[rstest]
#[case(200, STAMP, ResponseClass::Success)]
#[case(299, STAMP, ResponseClass::Success)]
#[case(200, "", ResponseClass::Unusable)]
#[case(200, PROMISE, ResponseClass::Unusable)]
#[case(204, BOTH, ResponseClass::Success)]
#[case(503, PROMISE, ResponseClass::Rejected)]
#[case(503, BOTH, ResponseClass::Rejected)]
#[case(503, STAMP, ResponseClass::Unusable)]
#[case(429, PROMISE, ResponseClass::Rejected)]
#[case(429, "", ResponseClass::Unusable)]
#[case(408, "", ResponseClass::Unusable)]
#[case(408, PROMISE, ResponseClass::Unusable)]
#[case(421, PROMISE, ResponseClass::Misdirected)]
#[case(421, "", ResponseClass::Misdirected)]
#[case(400, PROMISE, ResponseClass::InvalidRequest)]
#[case(400, STAMP, ResponseClass::Failure)]
#[case(500, STAMP, ResponseClass::Failure)]
#[case(500, PROMISE, ResponseClass::Failure)]
#[case(502, PROMISE, ResponseClass::Failure)]
#[case(504, PROMISE, ResponseClass::Failure)]
#[case(404, PROMISE, ResponseClass::Failure)]
#[case(300, STAMP, ResponseClass::Failure)]
#[case(304, STAMP, ResponseClass::Failure)]
fn what_an_answer_is_worth(#[case] status: u16, #[case] fields: &str, #[case] expected: ResponseClass) {
    let text = format!("HTTP/1.1 {status} X\r\nRequest-Id: r1\r\n{fields}\r\n");
    let head = parse_response(&mut BytesMut::from(text.as_str())).expect("a head").expect("a whole head");
    assert_eq!(classify(&head), expected);
}
