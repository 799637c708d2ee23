//! Tests that reports are read only under a held lease, and that invalid reports are ignored.

use super::{ReportRequest, run};
use crate::command::Command;
use crate::lease::{HeldLease, LeaseWatch};
use lugwharf_election::FencingToken;
use lugwharf_protocol::Stage;
use lugwharf_stages::StageReport;
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const TOKEN: FencingToken = FencingToken(7);

/// Requests the report of a server that responds with this status and body, under a lease with the token
/// `held`. Returns the request that the server received and the report that was read.
async fn request_report(held: FencingToken, status: &str, body: &str) -> (String, Option<StageReport>) {
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    request_report_answered_by(held, response, false).await
}

/// Requests the report of a server that responds with these bytes, and then resets the connection if `resets`
/// is set.
async fn request_report_answered_by(
    held: FencingToken, response: String, resets: bool,
) -> (String, Option<StageReport>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                break;
            }
        }
        // The write fails if the caller has closed the connection.
        let _ = stream.write_all(response.as_bytes()).await;
        if resets {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("cannot set the socket option");
        } else {
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        String::from_utf8(received)
            .expect("the received text is not UTF-8")
            .replace(&address.to_string(), "ADDRESS")
    });
    let expires_at = Instant::now() + Duration::from_secs(600);
    let (_lease_sender, lease) = watch::channel(Some(HeldLease { token: held, expires_at }));
    let (requests, queue) = mpsc::channel(1);
    let (commands, mut reported) = mpsc::channel(1);
    let task = tokio::spawn(run(queue, LeaseWatch::new(lease), commands));
    let request = ReportRequest { id: "i-1".to_owned(), address, token: TOKEN };
    requests.send(request).await.expect("the queue is closed");
    drop(requests);
    task.await.expect("the task that reads the reports panicked");
    let report = match reported.recv().await {
        Some(Command::ServerReported { id, token: TOKEN, report }) if id == "i-1" => Some(report),
        Some(_) => panic!("a command other than ServerReported was sent"),
        None => None,
    };
    (server.await.expect("the server task panicked"), report)
}

#[rstest]
#[case::idle(
    r#"{"Stage":"decode","Models":[{"Name":"m"}],"Busy":false,"Seq":2,"Queued":1}"#,
    StageReport { stage: Stage::Decode, is_changing_stage: false, revision: 2 }
)]
#[case::changing(
    r#"{"Stage":"prefill","Busy":true,"Seq":3}"#,
    StageReport { stage: Stage::Prefill, is_changing_stage: true, revision: 3 }
)]
#[tokio::test]
async fn report_is_read(#[case] body: &str, #[case] expected: StageReport) {
    let (received, report) = request_report(TOKEN, "200 OK", body).await;
    assert_eq!(received, "GET /report HTTP/1.1\r\nhost: ADDRESS\r\nexpect-instance: i-1\r\n\r\n");
    assert_eq!(report, Some(expected));
}

#[rstest]
#[case::another_incarnation("421 Misdirected Request", "{}")]
#[case::no_json("200 OK", "none")]
#[case::no_stage("200 OK", r#"{"Busy":true}"#)]
#[case::unknown_stage("200 OK", r#"{"Stage":"both"}"#)]
#[tokio::test]
async fn invalid_report_is_ignored(#[case] status: &str, #[case] body: &str) {
    assert_eq!(request_report(TOKEN, status, body).await.1, None);
}

/// Each response has a report. It is not valid HTTP/1.1, or its end is missing.
#[rstest]
#[case::status_below_the_range("HTTP/1.1 000 X\r\nContent-Length: 18\r\n\r\n", false)]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: 18\r\n\r\n", false)]
#[case::control_byte_in_a_name("HTTP/1.1 200 OK\r\nX\u{1}: v\r\nContent-Length: 18\r\n\r\n", false)]
#[case::newline_before_a_name("HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\n", false)]
#[case::without_a_length("HTTP/1.1 200 OK\r\n\r\n", true)]
#[case::length("HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n", true)]
#[case::chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n", true)]
#[tokio::test]
async fn report_in_an_invalid_or_incomplete_response_is_ignored(#[case] head: &str, #[case] resets: bool) {
    let response = format!(r#"{head}{{"Stage":"decode"}}"#);
    assert_eq!(request_report_answered_by(TOKEN, response, resets).await.1, None);
}

#[tokio::test]
async fn no_report_is_requested_after_the_lease_is_lost() {
    let (received, report) =
        request_report(FencingToken(TOKEN.0 + 1), "200 OK", r#"{"Stage":"decode"}"#).await;
    assert_eq!((received.as_str(), report), ("", None));
}
