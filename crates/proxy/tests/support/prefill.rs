//! The prefill phase of a generation, and KV handles. In these scenarios p is a prefill server, and d and e
//! are decode servers.

use super::{Connection, Message, TestProxy};

/// The KV handle that server p returns.
pub const HANDLE: &str = "3fa09c41b7d5";

/// Returns the response of a server that has prefilled the prompt of request `id`.
pub fn prefill_response(id: &str, handle: &str) -> String {
    let body = format!(r#"{{"KvHandle":"{handle}","Tokens":1460,"Version":1}}"#);
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Receives the prefill of request `id` at server p and responds to it. Returns the connection.
pub async fn serve_prefill(proxy: &TestProxy, id: &str) -> Connection {
    let (mut server, request) = proxy.receive("p").await;
    assert_eq!(request.header("serving-stage"), Some("prefill"));
    assert_eq!((request.header("expect-instance"), request.body.as_str()), (Some("i-p"), "body"));
    server.send(&prefill_response(id, HANDLE)).await;
    server
}

/// Sends request `id` on a new client connection, and prefills its prompt at server p. Returns the client
/// connection and the connection to p.
pub async fn send_and_prefill(proxy: &TestProxy, id: &str) -> (Connection, Connection) {
    let client = proxy.send_request(id, "").await;
    let prefill_server = serve_prefill(proxy, id).await;
    (client, prefill_server)
}

/// Receives the next request at decode server d or e.
pub async fn receive_decode(proxy: &TestProxy) -> (Connection, Message, &'static str) {
    proxy.receive_any(&["d", "e"]).await
}

/// Checks that the next request on the connection to a prefill server releases `handle`, and returns the
/// request.
pub async fn expect_release(server: &mut Connection, handle: &str) -> Message {
    let request = server.read_request().await;
    let expected = format!("DELETE /kv-handle/{handle} HTTP/1.1\r\n");
    assert!(request.head.starts_with(&expected), "{}", request.head);
    request
}

/// Checks that the next request on the connection to server p releases [`HANDLE`], and confirms it.
pub async fn serve_release(server: &mut Connection) {
    expect_release(server, HANDLE).await;
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
}
