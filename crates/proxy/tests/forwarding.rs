//! Forwarding of requests and responses of services without stages: what is forwarded unchanged, which
//! responses are replaced by an error response, and which connections are reused afterwards.

mod support;

use rstest::rstest;
use support::*;

#[tokio::test]
async fn request_and_response_are_forwarded_unchanged() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let more = "X-Own: 1\r\nDeadline-Ms: 3000\r\nConnection: X-Hop\r\nX-Hop: 2\r\nKv-From: evil\r\n";
        let mut client = proxy.send_request("r1", more).await;
        let (mut server, received, name) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert!(received.head.starts_with("POST /r/x?q=1 HTTP/1.1\r\n"), "{}", received.head);
        assert_eq!((received.body.as_str(), received.header("host")), ("body", Some(HOST)));
        assert_eq!((received.header("request-id"), received.header("x-own")), (Some("r1"), Some("1")));
        assert_eq!((received.header("x-hop"), received.header("connection")), (None, None));
        assert_eq!(received.header("kv-from"), None, "only the proxy names a KV source");
        assert_eq!(received.header("expect-instance"), Some(format!("i-{name}").as_str()));
        let left: u64 = received.header("deadline-ms").expect("the request has Deadline-Ms").parse().expect("the value is a number");
        assert!((2_000..3_000).contains(&left), "{left}");
        let reply = "HTTP/1.1 201 Made\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nX-Its: 3\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\nyes";
        server.send(reply).await;
        let response = client.read_response().await;
        assert!(response.head.starts_with("HTTP/1.1 201 Made\r\n"), "{}", response.head);
        assert_eq!((response.body.as_str(), response.header("server-stamp"), response.header("x-its")), ("yes", Some("s"), Some("3")));
        assert_eq!(response.header("connection"), None);
    })
    .await;
}

#[tokio::test]
async fn client_and_server_connections_are_reused() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let mut server = proxy.accept("a").await;
        for round in 1..4 {
            let id = format!("r{round}");
            server.read_request().await;
            server.send(&ok_response(&id, "ok")).await;
            assert_eq!(client.read_response().await.body, "ok");
            client.send(&request(&format!("r{}", round + 1), "", "body")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn chunked_request_body_is_forwarded_with_a_content_length() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let mut client = proxy.connect().await;
        let head = format!(
            "POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        client.send(&head).await;
        client.send(&chunk("so")).await;
        client.send(&chunk("me")).await;
        client.send(LAST_CHUNK).await;
        let (_server, received, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!((received.body.as_str(), received.header("transfer-encoding")), ("some", None));
    })
    .await;
}

/// The client gets an error response that does not guarantee that the request was not executed, and has no
/// `Server-Stamp`.
#[rstest]
#[case::of_another_request(
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
)]
#[case::without_request_id("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno")]
#[case::without_server_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno")]
#[case::garbage("\u{1}\u{2}nonsense\r\n\r\n")]
#[case::unavailable_without_not_executed(
    "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n"
)]
#[case::duplicate_content_length(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno"
)]
#[tokio::test]
async fn invalid_response_is_replaced_by_502(#[case] reply: &str) {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(reply).await;
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("server-stamp")), (502, None));
        assert!(server.is_closed().await, "the connection is not reused");
    })
    .await;
}

#[tokio::test]
async fn truncated_response_is_replaced_by_502() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server
            .send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf")
            .await;
        drop(server);
        assert_eq!(client.read_response().await.status(), 502);
    })
    .await;
}

#[tokio::test]
async fn truncated_long_response_breaks_the_client_connection() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        let head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 100000\r\n\r\n";
        server.send(&format!("{head}{}", "x".repeat(70_000))).await;
        drop(server);
        assert!(client.read_message().await.is_none());
    })
    .await;
}

#[tokio::test]
async fn server_error_response_is_forwarded_unchanged() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server
            .send("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 4\r\n\r\noops")
            .await;
        let response = client.read_response().await;
        assert_eq!(
            (response.status(), response.header("server-stamp"), response.body.as_str()),
            (500, Some("s"), "oops")
        );
    })
    .await;
}

#[tokio::test]
async fn surplus_bytes_after_a_response_end_connection_reuse() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        let (mut server, _) = proxy.receive("a").await;
        server.send(&format!("{}surplus", ok_response("r1", "ok"))).await;
        assert_eq!(client.read_response().await.body, "ok");
        assert!(server.is_closed().await);
        client.send(&request("r2", "", "body")).await;
        let (_server, _) = proxy.receive("a").await;
    })
    .await;
}

#[tokio::test]
async fn duplicate_response_is_skipped_by_its_request_id() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server) = proxy.idle_connections().await;
        client.send(&request("r2", "", "body")).await;
        assert!(server.read_message().await.is_some(), "the idle connection is reused");
        server.send(&ok_response("r1", "first")).await;
        server.send(&ok_response("r2", "second")).await;
        assert_eq!(client.read_response().await.body, "second");
    })
    .await;
}

#[tokio::test]
async fn connection_closed_by_the_server_is_not_reused() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        proxy.list_all_except(&["b"]).await;
        let mut client = proxy.send_request("r1", "").await;
        for round in 1..5 {
            let (mut server, _) = proxy.receive("a").await;
            server.send(&ok_response(&format!("r{round}"), "ok")).await;
            assert_eq!(client.read_response().await.body, "ok");
            drop(server);
            client.send(&request(&format!("r{}", round + 1), "", "body")).await;
        }
    })
    .await;
}

#[tokio::test]
async fn deadline_after_the_send_gives_504() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "Deadline-Ms: 900\r\n").await;
        tokio::time::pause();
        assert_eq!(client.read_response().await.status(), 504, "the request may have been executed");
        assert!(server.is_closed().await);
    })
    .await;
}

#[tokio::test]
async fn deadline_before_the_send_gives_503_with_retry_after() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let mut client = proxy.send_request("r1", "Deadline-Ms: 1\r\n").await;
        let response = client.read_response().await;
        assert_eq!(response.status(), 503);
        assert!(response.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_closes_the_server_connection() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (client, mut server, _) = proxy.dispatch("r1", "").await;
        drop(client);
        assert!(server.is_closed().await);
    })
    .await;
}

#[tokio::test]
async fn response_to_head_has_a_length_and_no_body() {
    with_proxy(Scenario::new("safe"), async |proxy| {
        let mut client = proxy.connect().await;
        client.send(&format!("HEAD /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\n\r\n")).await;
        let (mut server, _, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        server
            .send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\n")
            .await;
        let head = client.read_head().await.expect("a complete head is received");
        assert!(head.contains("Content-Length: 9\r\n"), "{head}");
    })
    .await;
}
