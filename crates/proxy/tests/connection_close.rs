//! A connection that the proxy closes. Each request that the proxy has read whole is answered, unless the
//! response before it has announced the close.

mod support;

use rstest::rstest;
use std::time::Duration;
use support::clock::advance_clock;
use support::*;
use tokio::time::Instant;

/// A response whose head is written before its body is complete.
#[derive(Clone, Copy, Debug)]
enum PiecewiseResponse {
    EventStream,
    ChunkedBody,
    LongBody,
}

impl PiecewiseResponse {
    /// The number of bytes of a body that the proxy does not buffer.
    const LONG_BODY_BYTES: usize = 70_000;

    /// Returns the response in two parts, of which the first is forwarded when it arrives.
    fn parts(self, id: &str) -> (String, String) {
        match self {
            PiecewiseResponse::EventStream => {
                (format!("{}{}", stream_head(id), chunk(&event(1))), LAST_CHUNK.to_owned())
            }
            PiecewiseResponse::ChunkedBody => {
                let head = stream_head(id).replace("text/event-stream", "text/plain");
                (format!("{head}{}", chunk("first")), LAST_CHUNK.to_owned())
            }
            PiecewiseResponse::LongBody => {
                let response = ok_response(id, &"x".repeat(Self::LONG_BODY_BYTES));
                let (first, rest) = response.split_at(response.len() - 1);
                (first.to_owned(), rest.to_owned())
            }
        }
    }

    /// Reads the rest of the body, whose head has been read.
    async fn read_body(self, client: &mut Connection) {
        match self {
            PiecewiseResponse::EventStream | PiecewiseResponse::ChunkedBody => {
                assert!(client.read_stream().await.1, "the body is complete");
            }
            PiecewiseResponse::LongBody => {
                let body = client.read_exactly(Self::LONG_BODY_BYTES).await;
                assert!(body.is_some(), "the body is complete");
            }
        }
    }
}

/// When the client sends the request that follows a response.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NextRequest {
    /// Before the response is complete.
    Pipelined,
    /// As soon as the response is complete.
    AtOnce,
}

/// Receives a request at a server, and answers it.
async fn serve_next(proxy: &TestProxy, id: &str) {
    let (mut server, request, _) = proxy.receive_any(&PLAIN_SERVERS).await;
    assert_eq!(request.header("request-id"), Some(id));
    server.send(&closing(&ok_response(id, id))).await;
}

/// Guards against a close that no response has announced: the head of a response was written before a
/// shutdown began, and the connection was closed when the response ended, with the next request unanswered.
#[rstest]
#[tokio::test]
async fn request_behind_a_response_that_announced_no_close_is_answered(
    #[values(PiecewiseResponse::EventStream, PiecewiseResponse::ChunkedBody, PiecewiseResponse::LongBody)]
    response: PiecewiseResponse,
    #[values(NextRequest::Pipelined, NextRequest::AtOnce)] next: NextRequest,
) {
    with_proxy_until_shutdown(Scenario::new("streaming"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        let (first, rest) = response.parts("r1");
        server.send(&first).await;
        let head = client.read_head().await.expect("the head of the response is received");
        assert!(!head.to_lowercase().contains("connection: close"), "{head}");
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        if next == NextRequest::Pipelined {
            client.send(&request("r2", "", "body")).await;
            proxy.wait_until_received().await;
        }
        server.send(&rest).await;
        response.read_body(&mut client).await;
        if next == NextRequest::AtOnce {
            client.send(&request("r2", "", "body")).await;
        }
        tokio::join!(serve_next(proxy, "r2"), async {
            let response = client.read_response().await;
            assert_eq!((response.body.as_str(), response.header("connection")), ("r2", Some("close")));
        });
        assert!(client.is_closed().await);
        tokio::time::pause();
    })
    .await;
}
/// Guards against an announced close that leaves requests unanswered that were received before it: the close
/// is announced by the last of their responses.
#[tokio::test]
async fn shutdown_answers_pipelined_requests_before_it_closes_the_connection() {
    with_proxy_until_shutdown(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        client.send(&request("r2", "", "body")).await;
        client.send(&unrouted_request("GET", "", "")).await;
        client.send(&request("r3", "", "body")).await;
        proxy.wait_until_received().await;
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        server.send(&closing(&ok_response("r1", "r1"))).await;
        let servers = async {
            serve_next(proxy, "r2").await;
            serve_next(proxy, "r3").await;
        };
        tokio::join!(servers, async {
            for (status, body, connection) in
                [(200, "r1", None), (200, "r2", None), (404, "", None), (200, "r3", Some("close"))]
            {
                let response = client.read_response().await;
                let received = (response.status(), response.body.as_str(), response.header("connection"));
                assert_eq!(received, (status, body, connection));
            }
        });
        assert!(client.is_closed().await);
        tokio::time::pause();
    })
    .await;
}

/// Guards against pipelined requests that are still in the kernel when the close is announced, since no more
/// than 8 KiB are read ahead.
#[tokio::test]
async fn shutdown_answers_more_requests_than_are_read_ahead() {
    const REQUESTS: usize = 60;
    with_proxy_until_shutdown(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        let padding = format!("X: {}\r\n", "x".repeat(200));
        client.send(&unrouted_request("GET", &padding, "").repeat(REQUESTS)).await;
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        server.send(&closing(&ok_response("r1", "r1"))).await;
        assert_eq!(client.read_response().await.header("connection"), None);
        for number in 1..=REQUESTS {
            let response = client.read_response().await;
            let is_last = number == REQUESTS;
            assert_eq!((response.status(), response.header("connection").is_some()), (404, is_last));
        }
        tokio::time::pause();
    })
    .await;
}

/// Guards against requests of a client that always has a further one under way: they were discarded when the
/// connection closed, or aborted when the shutdown ended. Late ones are answered at once, so that the last
/// response finds no further request.
#[tokio::test]
async fn shutdown_answers_all_requests_of_a_client_that_always_pipelines() {
    with_proxy_until_shutdown(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        let begun_at = Instant::now();
        proxy.begin_shutdown();
        assert_eq!(proxy.readiness_status().await, 503);
        for number in 1.. {
            client.send(&request(&format!("r{}", number + 1), "", "body")).await;
            advance_clock(Duration::from_millis(500)).await;
            let id = format!("r{number}");
            server.send(&closing(&ok_response(&id, &id))).await;
            let response = client.read_response().await;
            assert_eq!((response.body.as_str(), response.header("connection")), (id.as_str(), None));
            if begun_at.elapsed() > Duration::from_secs(3) {
                break;
            }
            server = proxy.receive_any(&PLAIN_SERVERS).await.0;
        }
        // The last request arrived later than 3 s after the begin, and is due after the end.
        let response = client.read_response().await;
        assert_eq!((response.status(), response.header("connection")), (503, Some("close")));
        assert!(client.is_closed().await);
        tokio::time::pause();
    })
    .await;
}
