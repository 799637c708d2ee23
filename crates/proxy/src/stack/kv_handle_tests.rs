//! The request that frees a KV cache, byte for byte, and which response is taken for its response.

use super::{encode_free_request, send_free_request};
use crate::outbound::fixtures::{server_and_state, server_selection, state_with_server};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[test]
fn request_that_frees_a_kv_handle() {
    let address = ([127, 0, 0, 1], 9).into();
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("the runtime can be built");
    let server = runtime.block_on(async { server_selection(&state_with_server(address), address) });
    let expected = "DELETE /kv-handle/k-1 HTTP/1.1\r\nHost: 127.0.0.1:9\r\nExpect-Instance: i-a\r\n\r\n";
    assert_eq!(
        String::from_utf8(encode_free_request(&server, "k-1")).expect("the text is valid UTF-8"),
        expected
    );
}

/// The request has no id, so a response that carries one is a late duplicate of the response to another
/// request.
#[rstest]
#[case::unmatched_success_before_a_failure("200 OK", "404 Not Found", Some(false))]
#[case::unmatched_failure_before_a_success("503 Unavailable", "200 OK", Some(true))]
#[tokio::test]
async fn response_to_another_request_is_not_taken_for_the_response_to_delete(
    #[case] unmatched: &str, #[case] own: &str, #[case] expected: Option<bool>,
) {
    let (state, listener) = server_and_state().await;
    let server = server_selection(&state, listener.local_addr().expect("the listener has a local address"));
    let responses = format!(
        "HTTP/1.1 {unmatched}\r\nRequest-Id: r0\r\nContent-Length: 2\r\n\r\nok\
         HTTP/1.1 {own}\r\nContent-Length: 0\r\n\r\n"
    );
    let server_task = async {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            assert!(
                stream.read_buf(&mut received).await.expect("the connection is readable") > 0,
                "the connection ended early"
            );
        }
        stream.write_all(responses.as_bytes()).await.expect("the bytes are written");
        stream
    };
    let (confirmed, _stream) = tokio::join!(send_free_request(&state, &server, "k-1"), server_task);
    assert_eq!(confirmed, expected);
}
