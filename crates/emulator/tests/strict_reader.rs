//! Tests of the strict reader of responses.

use lugwharf_emulator::client::{ReadError, StrictReader};
use rstest::rstest;

/// Reads responses until the bytes end, and returns their status and bodies.
async fn read_all(bytes: &[u8]) -> Result<Vec<(u16, String)>, ReadError> {
    let mut reader = StrictReader::new(bytes);
    let mut responses = Vec::new();
    loop {
        let mut head = match reader.read_head().await {
            Err(ReadError::Ended) => return Ok(responses),
            head => head?,
        };
        let mut body = Vec::new();
        while let Some(piece) = reader.read_piece(&mut head.body).await? {
            body.extend(piece);
        }
        responses.push((head.status, String::from_utf8_lossy(&body).into_owned()));
    }
}

#[tokio::test]
async fn responses_that_follow_each_other_are_read() {
    let bytes = b"HTTP/1.1 200 OK\r\nA:  b \r\nContent-Length: 3\r\n\r\nabc\
        HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n\
        HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n";
    let expected = [(200, "abc"), (200, "0123456789x"), (503, "")];
    let expected: Vec<(u16, String)> =
        expected.iter().map(|(status, body)| (*status, (*body).to_owned())).collect();
    assert_eq!(read_all(bytes).await, Ok(expected));
}

#[rstest]
#[case::status_000("HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n")]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::version("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n")]
#[case::line_feed("HTTP/1.1 200 OK\r\nA: b\nContent-Length: 0\r\n\r\n")]
#[case::no_framing("HTTP/1.1 200 OK\r\n\r\n")]
#[case::two_framings("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n")]
#[case::chunk_end("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n")]
#[tokio::test]
async fn malformed_response_is_rejected(#[case] text: &str) {
    assert!(matches!(read_all(text.as_bytes()).await, Err(ReadError::Malformed(_))));
}

#[rstest]
#[case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab")]
#[case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")]
#[tokio::test]
async fn response_that_ends_early_is_incomplete(#[case] text: &str) {
    assert_eq!(read_all(text.as_bytes()).await, Err(ReadError::Ended));
}
