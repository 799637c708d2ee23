//! Tests of the redirects on a machine without a replica.

use crate::gateway;
use rstest::rstest;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

async fn call(target: Option<&str>, head: &str, body: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let target: Option<SocketAddr> = target.map(|target| target.parse().expect("cannot parse the address"));
    let (_sender, targets) = watch::channel(target);
    gateway::serve(listener, targets);
    let mut stream = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let head = format!(
        "{head} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("cannot write to the connection");
    stream.write_all(body).await.expect("cannot write to the connection");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("cannot read the response");
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::change("PUT /config", b"{}".as_slice(), "http://10.0.0.4:8080/config")]
#[case::patch("PATCH /config", b"{}", "http://10.0.0.4:8080/config")]
#[case::read("GET /config", b"", "http://10.0.0.4:8080/config")]
#[case::query("GET /status?full=1", b"", "http://10.0.0.4:8080/status?full=1")]
#[tokio::test]
async fn request_is_redirected_to_the_followed_control_process(
    #[case] head: &str, #[case] body: &[u8], #[case] location: &str,
) {
    let answer = call(Some("10.0.0.4:8080"), head, body).await;
    assert!(answer.starts_with("HTTP/1.1 307 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains(&format!("location: {location}\r\n")), "{answer}");
}

#[tokio::test]
async fn without_a_followed_control_process_the_response_is_unavailable() {
    let answer = call(None, "PUT /config", b"{}").await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("retry-after:"), "{answer}");
    assert!(answer.contains("\"Error\":\"unavailable\""), "{answer}");
}
