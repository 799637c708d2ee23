//! Answers without a length: complete at the orderly end of their connection, broken off by a reset.

mod common;

use common::*;
use rstest::rstest;

const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\n";

async fn asked(world: &World) -> (Peer, Peer) {
    let client = world.ask("r1", "").await;
    let (mut server, _) = world.accept_either("a", "b").await;
    assert!(server.message().await.is_some());
    (client, server)
}

#[rstest]
#[case::short(4)]
#[case::long(100_000)]
#[tokio::test]
async fn response_without_a_length_is_complete_at_connection_close(#[case] length: usize) {
    with_world(setup("unsafe", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        let body = "x".repeat(length);
        server.send(&format!("{HEAD}\r\n{body}")).await;
        drop(server);
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp"), got.body == body), (200, Some("s"), true));
        client.send(&request("r2", "", "body")).await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some(), "on a connection of its own");
    })
    .await;
}

#[tokio::test]
async fn http_1_0_response_is_complete_at_connection_close() {
    with_world(setup("unsafe", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        server.send(&format!("{HEAD}\r\nold").replace("HTTP/1.1", "HTTP/1.0")).await;
        drop(server);
        assert_eq!(client.message().await.expect("an answer").body, "old");
    })
    .await;
}

#[tokio::test]
async fn short_response_that_is_reset_is_replaced_by_502() {
    with_world(setup("unsafe", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        server.send(&format!("{HEAD}\r\nhalf")).await;
        server.reset();
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp")), (502, None));
    })
    .await;
}

#[tokio::test]
async fn long_response_that_is_reset_breaks_the_client_connection() {
    with_world(setup("unsafe", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        server.send(&format!("{HEAD}\r\n{}", "x".repeat(70_000))).await;
        assert!(client.until("\r\n\r\n").await.is_some(), "it has begun to go on");
        server.reset();
        let (_, is_complete) = client.stream().await;
        assert!(!is_complete);
    })
    .await;
}

/// A stream ends between two events, and in an orderly way, or it is cut.
#[rstest]
#[case::complete("", false, true)]
#[case::torn("id: 2\ndata: to", false, false)]
#[case::reset("", true, false)]
#[tokio::test]
async fn stream_without_a_length_ends_with_its_connection(
    #[case] more: &str, #[case] is_reset: bool, #[case] is_complete: bool,
) {
    with_world(setup("streaming", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        server.send(&format!("{HEAD}Content-Type: text/event-stream\r\n\r\n{}{more}", event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1))), "before the end");
        if is_reset {
            server.reset();
        } else {
            drop(server);
        }
        assert_eq!(client.stream().await, (String::new(), is_complete));
    })
    .await;
}

/// Whatever comes on a streaming route goes on at once, also without a length.
#[tokio::test]
async fn streaming_route_forwards_data_as_it_arrives() {
    with_world(setup("streaming", ""), async |world| {
        let (mut client, mut server) = asked(world).await;
        server.send(&format!("{HEAD}\r\none")).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some("one".to_owned())));
        server.send("two").await;
        assert_eq!(client.chunk().await, Some(Some("two".to_owned())));
        drop(server);
        assert_eq!(client.chunk().await, Some(None));
    })
    .await;
}
