//! Tests that a page of the server list is read only from a valid and complete response.

use super::PlatformClient;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The text of a page that is not the last one, and of the last one.
const FIRST_PAGE: &str = r#"{"Instances":[],"NextToken":"t"}"#;
const LAST_PAGE: &str = r#"{"Instances":[]}"#;

/// Reads the list from a platform that sends `response` after `valid_pages` valid pages, on the same
/// connection, and then resets the connection. Returns whether a list was read.
async fn reads_list(valid_pages: usize, response: String) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let page = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{FIRST_PAGE}", FIRST_PAGE.len());
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        for text in std::iter::repeat_n(page, valid_pages).chain([response]) {
            let mut received = Vec::new();
            while !received.ends_with(b"\r\n\r\n") {
                let length = stream.read_buf(&mut received).await.expect("cannot read from the connection");
                assert!(length > 0, "the request ended early");
            }
            stream.write_all(text.as_bytes()).await.expect("cannot write the response");
        }
        let socket = socket2::SockRef::from(&stream);
        socket.set_linger(Some(Duration::ZERO)).expect("cannot set the socket option");
    });
    let list = PlatformClient::new(address).list_servers(|| true).await;
    server.await.expect("the server task panicked");
    list.is_ok()
}

#[rstest]
#[case::valid("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n", true)]
#[case::no_reason("HTTP/1.1 200\r\nX: \u{e4}\r\nContent-Length: 16\r\n\r\n", true)]
#[case::newlines_only("HTTP/1.1 200 OK\nContent-Length: 16\n\n", true)]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n", true)]
#[case::status_below_the_range("HTTP/1.1 000 X\r\nContent-Length: 16\r\n\r\n", false)]
#[case::status_above_the_range("HTTP/1.1 600 X\r\nContent-Length: 16\r\n\r\n", false)]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 16\r\n\r\n", false)]
#[case::control_byte_in_a_name("HTTP/1.1 200 OK\r\nX\u{1}: v\r\nContent-Length: 16\r\n\r\n", false)]
#[case::newline_before_a_name("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\n", false)]
#[case::newline_after_a_value("HTTP/1.1 200 OK\r\nContent-Length: 16\r\nX: v\n\r\n", false)]
#[case::without_a_length("HTTP/1.1 200 OK\r\n\r\n", false)]
#[case::truncated("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n", false)]
#[case::without_the_last_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n", false)]
#[tokio::test]
async fn page_is_read_only_from_a_valid_and_complete_response(
    #[case] head: &str, #[case] is_read: bool, #[values(0, 2)] valid_pages: usize,
) {
    assert_eq!(reads_list(valid_pages, format!("{head}{LAST_PAGE}")).await, is_read);
}
