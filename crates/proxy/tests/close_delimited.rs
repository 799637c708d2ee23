//! Responses without a length, which are complete if the server closes the connection, and truncated if it
//! resets the connection.

mod support;

use rstest::rstest;
use support::*;

const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n";

async fn send_and_receive(proxy: &TestProxy) -> (Connection, Connection) {
    let (client, server, _) = proxy.dispatch("r1", "").await;
    (client, server)
}

#[rstest]
#[case::short(4)]
#[case::long(100_000)]
#[tokio::test]
async fn response_without_a_length_is_complete_at_connection_close(#[case] length: usize) {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        let body = "x".repeat(length);
        server.send(&format!("{HEAD}\r\n{body}")).await;
        drop(server);
        let response = client.read_response().await;
        assert_eq!(
            (response.status(), response.header("server-stamp"), response.body == body),
            (200, Some("s"), true)
        );
        client.send(&request("r2", "", "body")).await;
        let (mut server, _) = proxy.accept_any(&PLAIN_SERVERS).await;
        assert!(server.read_message().await.is_some(), "on a new connection");
    })
    .await;
}

#[tokio::test]
async fn http_1_0_response_is_complete_at_connection_close() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        server.send(&format!("{HEAD}\r\nold").replace("HTTP/1.1", "HTTP/1.0")).await;
        drop(server);
        assert_eq!(client.read_response().await.body, "old");
    })
    .await;
}

#[tokio::test]
async fn short_response_that_is_reset_is_replaced_by_502() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        server.send(&format!("{HEAD}\r\nhalf")).await;
        server.reset();
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (502, None));
    })
    .await;
}

#[tokio::test]
async fn long_response_that_is_reset_breaks_the_client_connection() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        server.send(&format!("{HEAD}\r\n{}", "x".repeat(70_000))).await;
        assert!(client.read_head().await.is_some(), "forwarding has begun");
        server.reset();
        let (_, is_complete) = client.read_stream().await;
        assert!(!is_complete);
    })
    .await;
}

/// A stream is complete if its connection is closed after a complete event. Otherwise it is truncated.
#[rstest]
#[case::complete("", false, true)]
#[case::partial_event("id: 2\ndata: to", false, false)]
#[case::reset("", true, false)]
#[tokio::test]
async fn stream_without_a_length_ends_with_its_connection(
    #[case] rest: &str, #[case] is_reset: bool, #[case] is_complete: bool,
) {
    with_proxy(Scenario::new("streaming"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        server.send(&format!("{HEAD}Content-Type: text/event-stream\r\n\r\n{}{rest}", event(1))).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some(event(1))), "forwarded before the stream ends");
        if is_reset {
            server.reset();
        } else {
            drop(server);
        }
        assert_eq!(client.read_stream().await, (String::new(), is_complete));
    })
    .await;
}

/// A streaming route forwards data without buffering, even if the response has no length and is not an event
/// stream.
#[tokio::test]
async fn streaming_route_forwards_data_as_it_arrives() {
    with_proxy(Scenario::new("streaming"), async |proxy| {
        let (mut client, mut server) = send_and_receive(proxy).await;
        server.send(&format!("{HEAD}\r\none")).await;
        assert!(client.read_head().await.is_some());
        assert_eq!(client.read_chunk().await, Some(Some("one".to_owned())));
        server.send("two").await;
        assert_eq!(client.read_chunk().await, Some(Some("two".to_owned())));
        drop(server);
        assert_eq!(client.read_chunk().await, Some(None));
    })
    .await;
}
