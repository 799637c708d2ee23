//! Requests and their answers: what goes through, and which answers do not go on.

mod common;

use common::*;
use rstest::rstest;

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    with_world(setup("unsafe", ""), async |world| {
        let more = "X-Own: 1\r\nDeadline-Ms: 3000\r\nConnection: X-Hop\r\nX-Hop: 2\r\nKv-From: evil\r\n";
        let mut client = world.ask("r1", more).await;
        let (mut server, seen, name) = world.offer_either("a", "b").await;
        assert!(seen.head.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"), "{}", seen.head);
        assert_eq!((seen.body.as_str(), seen.header("host")), ("body", Some(HOST)));
        assert_eq!((seen.header("request-id"), seen.header("x-own")), (Some("r1"), Some("1")));
        assert_eq!((seen.header("x-hop"), seen.header("connection")), (None, None));
        assert_eq!(seen.header("kv-from"), None, "only the proxy says where memory is");
        assert_eq!(seen.header("expect-instance"), Some(format!("i-{name}").as_str()));
        let left: u64 = seen.header("deadline-ms").expect("a deadline").parse().expect("a number");
        assert!((2_000..3_000).contains(&left), "{left}");
        let said = "HTTP/1.1 201 Made\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX-Its: 3\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nyes";
        server.send(said).await;
        let got = client.message().await.expect("an answer");
        assert!(got.head.starts_with("HTTP/1.1 201 Made\r\n"), "{}", got.head);
        assert_eq!((got.body.as_str(), got.header("server-stamp"), got.header("x-its")), ("yes", Some("s"), Some("3")));
        assert_eq!(got.header("connection"), None);
    })
    .await;
}

#[tokio::test]
async fn client_and_server_connections_are_reused() {
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut server = world.accept("a").await;
        for round in 1..4 {
            let id = format!("r{round}");
            assert!(server.message().await.is_some());
            server.send(&answer(&id, "ok")).await;
            assert_eq!(client.message().await.expect("an answer").body, "ok");
            client.send(&request(&format!("r{}", round + 1), "", "body")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn chunked_request_body_is_forwarded_with_a_content_length() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.client().await;
        let head = format!(
            "POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        client.send(&head).await;
        client.send(&chunk("so")).await;
        client.send(&chunk("me")).await;
        client.send(LAST_CHUNK).await;
        let (_server, seen, _) = world.offer_either("a", "b").await;
        assert_eq!((seen.body.as_str(), seen.header("transfer-encoding")), ("some", None));
    })
    .await;
}

/// Answers that must not go on: the client gets a failure without a promise and without a stamp.
#[rstest]
#[case::another_requests(
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
)]
#[case::nobodys("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno")]
#[case::without_a_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno")]
#[case::no_answer("\u{1}\u{2}nonsense\r\n\r\n")]
#[case::a_promise_that_the_server_did_not_make(
    "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
)]
#[case::two_lengths(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno"
)]
#[tokio::test]
async fn invalid_response_is_replaced_by_502(#[case] said: &str) {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(said).await;
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp")), (502, None));
        assert!(server.is_closed().await, "its connection is not used again");
    })
    .await;
}

#[tokio::test]
async fn truncated_response_is_replaced_by_502() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server
            .send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf")
            .await;
        drop(server);
        assert_eq!(client.message().await.expect("an answer").status(), 502);
    })
    .await;
}

#[tokio::test]
async fn truncated_long_response_breaks_the_client_connection() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 100000\r\n\r\n";
        server.send(&format!("{head}{}", "x".repeat(70_000))).await;
        drop(server);
        assert!(client.message().await.is_none());
    })
    .await;
}

#[tokio::test]
async fn server_error_response_is_forwarded_unchanged() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server
            .send("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\noops")
            .await;
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp"), got.body.as_str()), (500, Some("s"), "oops"));
    })
    .await;
}

#[tokio::test]
async fn surplus_bytes_after_a_response_end_connection_reuse() {
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.offer("a").await;
        server.send(&format!("{}surplus", answer("r1", "ok"))).await;
        assert_eq!(client.message().await.expect("an answer").body, "ok");
        assert!(server.is_closed().await);
        client.send(&request("r2", "", "body")).await;
        let (_server, _) = world.offer("a").await;
    })
    .await;
}

#[tokio::test]
async fn duplicate_response_is_skipped_by_its_request_id() {
    with_world(setup("unsafe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.offer("a").await;
        server.send(&answer("r1", "first")).await;
        assert_eq!(client.message().await.expect("an answer").body, "first");
        client.send(&request("r2", "", "body")).await;
        assert!(server.message().await.is_some(), "the connection was clean when it was taken");
        server.send(&answer("r1", "first")).await;
        server.send(&answer("r2", "second")).await;
        assert_eq!(client.message().await.expect("an answer").body, "second");
    })
    .await;
}

#[tokio::test]
async fn connection_closed_by_the_server_is_not_reused() {
    with_world(setup("unsafe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        for round in 1..5 {
            let (mut server, _) = world.offer("a").await;
            server.send(&answer(&format!("r{round}"), "ok")).await;
            assert_eq!(client.message().await.expect("an answer").body, "ok");
            drop(server);
            client.send(&request(&format!("r{}", round + 1), "", "body")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn deadline_after_the_send_gives_504() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "Deadline-Ms: 900\r\n").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        tokio::time::pause();
        assert_eq!(client.message().await.expect("an answer").status(), 504, "it may have run");
        assert!(server.is_closed().await);
    })
    .await;
}

#[tokio::test]
async fn deadline_before_the_send_gives_503_with_retry_after() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "Deadline-Ms: 1\r\n").await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503);
        assert!(got.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_closes_the_server_connection() {
    with_world(setup("unsafe", ""), async |world| {
        let client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        drop(client);
        assert!(server.is_closed().await);
    })
    .await;
}

#[tokio::test]
async fn response_to_head_has_a_length_and_no_body() {
    with_world(setup("safe", ""), async |world| {
        let mut client = world.client().await;
        client.send(&format!("HEAD /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n\r\n")).await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server
            .send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\n")
            .await;
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.contains("Content-Length: 9\r\n"), "{head}");
    })
    .await;
}
