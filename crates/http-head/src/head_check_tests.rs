//! The check of heads that arrive in pieces of every size, alone and on a stream with several responses.

use crate::{CheckedStream, HeadCheck};
use rstest::rstest;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};

#[rstest]
#[case::body_is_not_checked(b"HTTP/1.1 200 OK\r\nX: v\r\n\r\nbody\r\n\nbody", true)]
#[case::newlines_only(b"HTTP/1.1 200 OK\nX: v\n\nbody\r\n\nbody", true)]
#[case::empty_lines_before(b"\r\n\nHTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::interim(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n", true)]
#[case::newline_before_a_name(b"HTTP/1.1 200 OK\r\n\nX: v\r\n\r\n", false)]
#[case::newline_after_a_value(b"HTTP/1.1 200 OK\r\nX: v\n\r\n", false)]
#[case::two_newlines(b"HTTP/1.1 200 OK\r\nX: v\n\nbody", false)]
#[case::after_an_interim_one(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\nX: v\r\n\r\n", false)]
fn ambiguous_heads_are_found_in_pieces_of_every_size(#[case] text: &[u8], #[case] is_valid: bool) {
    for size in 1..=text.len() {
        let mut check = HeadCheck::default();
        let checked = text.chunks(size).try_for_each(|piece| check.push(piece));
        assert_eq!(checked.is_ok(), is_valid, "in pieces of {size} bytes");
    }
}

#[tokio::test]
async fn stream_checks_the_head_of_each_response() {
    let (stream, mut server) = duplex(1_024);
    let mut stream = CheckedStream::new(stream);
    let mut received = [0; 64];
    for (response, is_valid) in [
        ("HTTP/1.1 200 OK\r\n\r\na\r\n\nb", true),
        ("HTTP/1.1 200 OK\r\n\r\n", true),
        ("HTTP/1.1 200 OK\r\n\nX: v\r\n\r\n", false),
    ] {
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the request is written");
        server.write_all(response.as_bytes()).await.expect("the response is written");
        let read = stream.read(&mut received).await.map_err(|error| error.kind());
        assert_eq!(read, if is_valid { Ok(response.len()) } else { Err(ErrorKind::InvalidData) });
    }
}
