//! The decoding of bodies that are received in pieces of every size.

use crate::http::{BodyDecoder, Decoded, Framing};
use bytes::BytesMut;
use rstest::rstest;

/// Decodes `text`, received in pieces of `size` bytes. Returns the body and the bytes after it, or `None` if
/// the body is invalid or incomplete.
fn decode_in_pieces(framing: Framing, text: &str, size: usize) -> Option<(String, String)> {
    let (mut decoder, mut buffer, mut body) = (BodyDecoder::new(framing), BytesMut::new(), Vec::new());
    let mut steps = text.as_bytes().chunks(size);
    loop {
        match decoder.decode(&mut buffer).ok()? {
            Decoded::Data(data) => body.extend_from_slice(&data),
            Decoded::Pending => buffer.extend_from_slice(steps.next()?),
            Decoded::End => break,
        }
    }
    steps.for_each(|step| buffer.extend_from_slice(step));
    Some((String::from_utf8(body).ok()?, String::from_utf8(buffer.to_vec()).ok()?))
}

#[rstest]
#[case::empty(Framing::Empty, "rest", Some(("", "rest")))]
#[case::length(Framing::Length(3), "abcrest", Some(("abc", "rest")))]
#[case::too_short(Framing::Length(3), "ab", None)]
#[case::chunks(Framing::Chunked, "2\r\nab\r\nA\r\n0123456789\r\n0\r\n\r\nrest", Some(("ab0123456789", "rest")))]
#[case::extensions(Framing::Chunked, "2;x=y\r\nab\r\n0\r\n\r\n", Some(("ab", "")))]
#[case::trailers(Framing::Chunked, "1\r\na\r\n0\r\nX: y\r\nZ: 1\r\n\r\nrest", Some(("a", "rest")))]
#[case::no_last_chunk(Framing::Chunked, "2\r\nab\r\n", None)]
#[case::no_size(Framing::Chunked, "\r\nab\r\n", None)]
#[case::size_with_sign(Framing::Chunked, "+2\r\nab\r\n0\r\n\r\n", None)]
#[case::hex_by_prefix(Framing::Chunked, "0x2\r\nab\r\n0\r\n\r\n", None)]
#[case::size_too_long(Framing::Chunked, "0000000000002\r\nab\r\n0\r\n\r\n", None)]
#[case::bare_newline(Framing::Chunked, "2\nab\r\n0\r\n\r\n", None)]
#[case::no_end_of_chunk(Framing::Chunked, "2\r\nabc\r\n0\r\n\r\n", None)]
fn body_is_decoded_independently_of_the_size_of_received_pieces(
    #[case] framing: Framing, #[case] text: &str, #[case] expected: Option<(&str, &str)>,
) {
    let expected = expected.map(|(body, rest)| (body.to_owned(), rest.to_owned()));
    for size in 1..=text.len() {
        assert_eq!(decode_in_pieces(framing, text, size), expected, "in pieces of {size} bytes");
    }
}

#[test]
fn overlong_chunk_size_line_is_rejected() {
    let (mut decoder, mut buffer) = (BodyDecoder::new(Framing::Chunked), BytesMut::new());
    buffer.extend_from_slice(&[b'1'; 300]);
    assert!(decoder.decode(&mut buffer).is_err());
}
