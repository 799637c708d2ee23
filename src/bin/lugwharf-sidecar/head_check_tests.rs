//! Tests of the check of heads that arrive in pieces of every size.

use super::{AmbiguousHead, HeadCheck};

fn check_in_pieces(text: &[u8], size: usize) -> Result<(), AmbiguousHead> {
    let mut check = HeadCheck::default();
    text.chunks(size).try_for_each(|piece| check.push(piece))
}

#[test]
fn ambiguous_heads_are_found_and_bodies_are_not_checked() {
    let cases: [(&[u8], bool); 8] = [
        (b"HTTP/1.1 200 OK\r\nX: v\r\n\r\nbody\r\n\nbody", true),
        (b"HTTP/1.1 200 OK\nX: v\n\nbody\r\n\nbody", true),
        (b"\r\n\nHTTP/1.1 200 OK\r\n\r\n\n", true),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\n", true),
        (b"HTTP/1.1 200 OK\r\n\nX: v\r\n\r\n", false),
        (b"HTTP/1.1 200 OK\r\nX: v\n\r\n", false),
        (b"HTTP/1.1 200 OK\r\nX: v\n\nbody", false),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\nX: v\r\n\r\n", false),
    ];
    for (text, is_valid) in cases {
        for size in 1..=text.len() {
            assert_eq!(check_in_pieces(text, size).is_ok(), is_valid, "{} by {size}", text.escape_ascii());
        }
    }
}
