//! The syntax of header fields and of the line endings in the head of a response.

use crate::http::{HeadError, ResponseHead, parse_request, parse_response};
use bytes::BytesMut;
use rstest::rstest;

/// The longest name that is checked, in bytes. It exceeds the blocks that a vectorised parser compares.
const MAX_NAME_BYTES: usize = 70;
/// The symbols that a name may contain besides letters and digits (RFC 9110, section 5.6.2).
const NAME_SYMBOLS: &[u8] = b"!#$%&'*+-.^_`|~";

fn response_with_field(name: &[u8], value: &[u8]) -> Vec<u8> {
    [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n", name, b": ", value, b"\r\nX-Last: v\r\n\r\nok"].concat()
}

fn parse(text: &[u8]) -> Result<Option<ResponseHead>, HeadError> {
    parse_response(&mut BytesMut::from(text))
}

/// Returns the names of all lengths that consist of letters, but for `byte` in one place.
fn names_with(byte: u8) -> impl Iterator<Item = Vec<u8>> {
    let places = (1..=MAX_NAME_BYTES).flat_map(|length| (0..length).map(move |place| (length, place)));
    places.map(move |(length, place)| {
        let mut name = vec![b'x'; length];
        name[place] = byte;
        name
    })
}

#[test]
fn field_whose_name_is_no_token_is_rejected_wherever_the_byte_stands() {
    let is_symbol = |byte: &u8| byte.is_ascii_alphanumeric() || NAME_SYMBOLS.contains(byte);
    for byte in (0..=u8::MAX).filter(|byte| *byte != b':' && !is_symbol(byte)) {
        for name in names_with(byte) {
            let text = response_with_field(&name, b"v");
            assert_eq!(parse(&text).err(), Some(HeadError::Malformed), "{:?}", name.escape_ascii());
        }
    }
}

#[test]
fn field_whose_name_is_a_token_is_accepted() {
    for byte in NAME_SYMBOLS.iter().copied().chain(*b"09azAZ") {
        for name in names_with(byte) {
            let head = parse(&response_with_field(&name, b"v")).expect("the head is valid");
            let name = std::str::from_utf8(&name).expect("the name is valid UTF-8");
            assert_eq!(head.expect("the head is complete").headers.get(name), Some(&b"v"[..]));
        }
    }
}

#[test]
fn control_byte_in_a_value_is_rejected_and_any_other_byte_is_accepted() {
    for byte in (0..=u8::MAX).filter(|byte| *byte != b'\n') {
        let is_valid = byte == b'\t' || !byte.is_ascii_control();
        for length in 1..=MAX_NAME_BYTES {
            let mut value = vec![b'v'; length];
            value[length / 2] = byte;
            assert_eq!(parse(&response_with_field(b"X", &value)).is_ok(), is_valid, "{byte:#x} in {length}");
        }
    }
}

#[rstest]
#[case::blank_before_the_colon(b"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n")]
#[case::folded_line(b"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n")]
#[case::no_name(b"HTTP/1.1 200 OK\r\n: v\r\n\r\n")]
#[case::no_colon(b"HTTP/1.1 200 OK\r\nX\r\n\r\n")]
#[case::newline_before_the_first_name(b"HTTP/1.1 200 OK\r\n\nX: v\r\n\r\n")]
#[case::newline_before_a_name(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nX: v\r\n\r\n")]
#[case::newline_after_a_value(b"HTTP/1.1 200 OK\r\nX: v\n\r\nContent-Length: 2\r\n\r\n")]
#[case::newlines_between_lines(b"HTTP/1.1 200 OK\r\nX: v\n\nContent-Length: 2\r\n\r\n")]
fn ambiguous_lines_are_rejected(#[case] text: &[u8]) {
    assert_eq!(parse(text).err(), Some(HeadError::Malformed));
}

/// A recipient may take a single LF for the end of a line (RFC 9112, section 2.2).
#[rstest]
#[case::on_each_line(b"HTTP/1.1 200 OK\nX: v\n\nbody")]
#[case::between_two_fields(b"HTTP/1.1 200 OK\r\nX: v\nY: v\r\n\r\nbody")]
fn line_that_ends_with_a_newline_alone_is_accepted(#[case] text: &[u8]) {
    let head = parse(text).expect("the head is valid").expect("the head is complete");
    assert_eq!(head.headers.get("x"), Some(&b"v"[..]));
}

#[test]
fn request_with_an_invalid_field_is_rejected() {
    for line in ["X Y: v", " X: v", "X : v", "\u{1}X: v", "X\u{7f}: v", "\nX: v", "X: a\u{0}b"] {
        let text = format!("GET / HTTP/1.1\r\nHost: h\r\n{line}\r\n\r\n");
        let parsed = parse_request(&mut BytesMut::from(text.as_str()));
        assert_eq!(parsed.err(), Some(HeadError::Malformed), "{line:?}");
    }
}
