//! Tests of the limits of the operator API, and of its responses over HTTP with a simulated controller.

use crate::command::Command;
use crate::message::PeerMessage;
use crate::metrics::RejectionCounters;
use crate::operator::{self, MAX_CONCURRENT_BODIES, MAX_CONFIG_BYTES};
use crate::status_tests::example;

use lugwharf_chain::{
    Blake3, CommittedConfig, Digest, EntryBody, EntryHeader, Fnv, HistorySuffix, Message, OperatorResponse,
};
use lugwharf_protocol::{MAX_FRAME_BYTES, encode};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The number of entries whose headers a replica retains.
const RETAINED_HEADERS: u64 = 10_000;
/// The number of entries whose bodies a replica retains.
const RETAINED_BODIES: u64 = 2;

/// Guards against accepting a configuration that can't be transferred between replicas: the chain could never
/// be extended again.
#[test]
fn history_with_the_largest_configurations_fits_into_a_frame() {
    let first = u64::MAX / 2;
    let digest = Digest {
        fnv: Fnv(u64::MAX, u64::MAX),
        blake3: Some(Blake3(u64::MAX, u64::MAX)),
        request_hash: Some(Blake3(u64::MAX, u64::MAX)),
    };
    let headers = (0..RETAINED_HEADERS).map(|index| EntryHeader {
        index: first + index,
        version: first,
        base: first,
        digest,
    });
    let bytes: Arc<[u8]> =
        vec![b'x'; usize::try_from(MAX_CONFIG_BYTES).expect("the limit does not fit into a usize")].into();
    let bodies = (0..RETAINED_BODIES).map(|index| EntryBody { index: first + index, bytes: bytes.clone() });
    let transfer = HistorySuffix { after: first, headers: headers.collect(), bodies: bodies.collect() };
    let body = PeerMessage::Chain(Message::State { view: first, suffix: transfer });
    // The maximum size of the rest of the frame, which is the address of the sender.
    const ENVELOPE_BYTES: usize = 256;
    let frame = encode(&body).expect("cannot encode the message");
    assert!(frame.len() + ENVELOPE_BYTES <= MAX_FRAME_BYTES, "{} bytes", frame.len());
}

/// Two configurations then leave a quarter of a frame for the headers.
#[test]
fn largest_configuration_is_three_eighths_of_a_frame() {
    assert_eq!(MAX_CONFIG_BYTES * 8, MAX_FRAME_BYTES as u64 * 3);
}

/// Answers commands like a controller whose current version is 7.
async fn answer_commands(mut queue: mpsc::Receiver<Command>) {
    while let Some(command) = queue.recv().await {
        match command {
            Command::SubmitConfig { base: 7, version, reply, .. } if version > 7 => {
                drop(reply.send(OperatorResponse::Accepted { version }));
            }
            Command::SubmitConfig { base: 7, reply, .. } => {
                drop(reply.send(OperatorResponse::StaleVersion { current: 7 }))
            }
            Command::SubmitConfig { base: 1, reply, .. } => drop(reply.send(OperatorResponse::Unavailable)),
            Command::SubmitConfig { reply, .. } => {
                drop(reply.send(OperatorResponse::Conflict { current: 7 }))
            }
            Command::ReadConfig { reply } => drop(reply.send(OperatorResponse::Config(None))),
            Command::GetStatus { reply } => drop(reply.send(example())),
            Command::GetMetrics { reply } => drop(reply.send("# EOF\n".to_owned())),
            _ => {}
        }
    }
}

/// Serves the API with this simulated controller.
async fn serve<F>(answer_commands: impl FnOnce(mpsc::Receiver<Command>) -> F) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let (commands, queue) = mpsc::channel(4);
    tokio::spawn(answer_commands(queue));
    operator::serve(listener, commands, RejectionCounters::default());
    address
}

/// Sends request headers with this content length, followed by `body`, which may be shorter.
async fn send(address: SocketAddr, head: &str, length: usize, body: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let head = format!("{head}\r\nHost: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("cannot write to the connection");
    // The server may respond and close the connection before it has read the complete body.
    let _ = stream.write_all(body).await;
    stream
}

async fn read_response(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends one request and returns the complete response.
async fn call(head: &str, body: &[u8]) -> String {
    let address = serve(answer_commands).await;
    read_response(send(address, head, body.len(), body).await).await
}

fn configuration(version: u64) -> Vec<u8> {
    format!("{{\"Version\":{version},\"Routes\":[],\"Services\":[]}}").into_bytes()
}

/// Guards against a server that ends with a change in progress, or that waits for an idle connection.
#[tokio::test]
async fn shutdown_waits_for_requests_in_progress_and_not_for_idle_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let (commands, mut queue) = mpsc::channel(4);
    let server = operator::serve(listener, commands, RejectionCounters::default());
    let idle = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let body = configuration(9);
    let change = send(address, "PUT /config HTTP/1.1\r\nIf-Match: 7", body.len(), &body).await;
    let Some(Command::SubmitConfig { reply, .. }) = queue.recv().await else { panic!("no change") };
    let shutdown = tokio::spawn(async move { server.shut_down(Duration::from_secs(10)).await });
    assert_eq!(read_response(idle).await, "");
    assert!(!shutdown.is_finished(), "a change is in progress");
    assert!(reply.send(OperatorResponse::Accepted { version: 9 }).is_ok());
    assert!(read_response(change).await.contains("{\"Version\":9}"));
    assert!(shutdown.await.expect("the shutdown panicked"));
}

#[rstest]
#[case::accepted("PUT /config HTTP/1.1\r\nIf-Match: 7", configuration(9), 200, "{\"Version\":9}")]
#[case::quoted_base("PUT /config HTTP/1.1\r\nIf-Match: \"7\"", configuration(9), 200, "{\"Version\":9}")]
#[case::conflict("PUT /config HTTP/1.1\r\nIf-Match: 6", configuration(9), 412, "\"Current\":7")]
#[case::outdated("PUT /config HTTP/1.1\r\nIf-Match: 7", configuration(7), 409, "\"Field\":\"/Version\"")]
#[case::undecided("PUT /config HTTP/1.1\r\nIf-Match: 1", configuration(9), 503, "unavailable")]
#[case::no_base("PUT /config HTTP/1.1", configuration(9), 400, "\"Field\":\"If-Match\"")]
#[case::bad_base("PUT /config HTTP/1.1\r\nIf-Match: x", configuration(9), 400, "bad_base")]
#[case::no_json("PUT /config HTTP/1.1\r\nIf-Match: 7", b"{".to_vec(), 400, "invalid_configuration")]
#[case::patch_of_nothing("PATCH /config HTTP/1.1\r\nIf-Match: 7", b"{\"Version\":9}".to_vec(), 404, "no_configuration")]
#[case::none_yet("GET /config HTTP/1.1", Vec::new(), 404, "no_configuration")]
#[case::status("GET /status HTTP/1.1", Vec::new(), 200, "\"ConfigVersion\":5")]
#[case::metrics("GET /metrics HTTP/1.1", Vec::new(), 200, "# EOF")]
#[case::method("POST /metrics HTTP/1.1", Vec::new(), 405, "method_not_allowed")]
#[case::path("GET /elsewhere HTTP/1.1", Vec::new(), 404, "not_found")]
#[tokio::test]
async fn request_gets_its_status_and_body(
    #[case] head: &str, #[case] body: Vec<u8>, #[case] status: u16, #[case] expected: &str,
) {
    let answer = call(head, &body).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(expected), "{answer}");
    let retry = answer.to_ascii_lowercase().contains("retry-after:");
    assert_eq!(retry, status == 503, "{answer}");
}

/// Answers commands like a controller whose current version is 7 with one service, and which accepted
/// `patch_to(6)` before.
async fn answer_with_a_base(mut queue: mpsc::Receiver<Command>) {
    let current = CommittedConfig { version: 7, base: 6, bytes: base_of_patches().into() };
    let accepted_before = Blake3::of(&patch_to(6));
    while let Some(command) = queue.recv().await {
        match command {
            Command::ReadConfig { reply } => {
                drop(reply.send(OperatorResponse::Config(Some(Arc::new(current.clone())))))
            }
            Command::SubmitConfig { base: 7, version, request: Some(_), bytes, reply }
                if !bytes.is_empty() =>
            {
                let patched: serde_json::Value =
                    serde_json::from_slice(&bytes).expect("the submitted configuration is not JSON");
                assert_eq!(
                    (&patched["Version"], &patched["Services"][0]["Name"]),
                    (&version.into(), &"s-2".into())
                );
                drop(reply.send(OperatorResponse::Accepted { version }));
            }
            Command::SubmitConfig { base: 7, .. } => {
                panic!("a patched configuration was submitted without the hash of its request")
            }
            Command::SubmitConfig { request, version, bytes, reply, .. } => {
                assert!(bytes.is_empty(), "a configuration was computed from a base that is not current");
                let is_accepted = request == Some(accepted_before);
                let answer = if is_accepted {
                    OperatorResponse::Accepted { version }
                } else {
                    OperatorResponse::Conflict { current: 7 }
                };
                drop(reply.send(answer));
            }
            _ => {}
        }
    }
}

fn base_of_patches() -> Vec<u8> {
    br#"{"Version":7,"Routes":[],"Services":[{"Name":"s-1"}]}"#.to_vec()
}

fn patch_to(version: u64) -> Vec<u8> {
    let change = r#""Upsert":{"Services":[{"Name":"s-2"}]},"Remove":{"Services":["s-1"]}"#;
    format!("{{\"Version\":{version},{change}}}").into_bytes()
}

#[rstest]
#[case::accepted("If-Match: 7", patch_to(9), 200, "{\"Version\":9}")]
#[case::sent_again("If-Match: 5", patch_to(6), 200, "{\"Version\":6}")]
#[case::on_another_version("If-Match: 5", patch_to(9), 412, "\"Current\":7")]
#[case::unreadable("If-Match: 7", b"{".to_vec(), 400, "invalid_configuration")]
#[case::unknown_name("If-Match: 7", br#"{"Version":9,"Remove":{"Routes":["r"]}}"#.to_vec(), 400, "\"Field\":\"/Remove/Routes/0\"")]
#[case::broken_result("If-Match: 7", br#"{"Version":9,"Upsert":{"Routes":[{"Name":"r"}]}}"#.to_vec(), 400, "\"Field\":\"/Routes/0\"")]
#[case::no_base("X: 1", patch_to(9), 400, "bad_base")]
#[tokio::test]
async fn patch_gets_its_status_and_body(
    #[case] header: &str, #[case] body: Vec<u8>, #[case] status: u16, #[case] expected: &str,
) {
    let address = serve(answer_with_a_base).await;
    let head = format!("PATCH /config HTTP/1.1\r\n{header}");
    let answer = read_response(send(address, &head, body.len(), &body).await).await;
    assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
    assert!(answer.contains(expected), "{answer}");
}

#[tokio::test]
async fn patch_that_grows_the_configuration_over_the_limit_is_rejected() {
    let size = usize::try_from(MAX_CONFIG_BYTES).expect("the limit does not fit into a usize");
    let address = serve(move |mut queue: mpsc::Receiver<Command>| async move {
        let padding = " ".repeat(size - 100);
        let text = format!(r#"{{"Version":7,"Routes":[],"Services":[],"Note":"{padding}"}}"#);
        let current = Arc::new(CommittedConfig { version: 7, base: 6, bytes: text.into_bytes().into() });
        while let Some(command) = queue.recv().await {
            match command {
                Command::ReadConfig { reply } => {
                    drop(reply.send(OperatorResponse::Config(Some(current.clone()))))
                }
                Command::SubmitConfig { .. } => panic!("a configuration over the limit was submitted"),
                _ => {}
            }
        }
    })
    .await;
    let path = "h".repeat(200);
    let body = format!(r#"{{"Version":9,"Upsert":{{"Services":[{{"Name":"s","HealthPath":"{path}"}}]}}}}"#);
    let body = body.as_bytes();
    let answer =
        read_response(send(address, "PATCH /config HTTP/1.1\r\nIf-Match: 7", body.len(), body).await).await;
    assert!(answer.starts_with("HTTP/1.1 413 ") && answer.contains("too_large"), "{answer}");
}

#[tokio::test]
async fn configuration_over_the_limit_is_rejected() {
    let body =
        vec![b' '; usize::try_from(MAX_CONFIG_BYTES).expect("the limit does not fit into a usize") + 1];
    let answer = call("PUT /config HTTP/1.1\r\nIf-Match: 7", &body).await;
    assert!(answer.starts_with("HTTP/1.1 413 ") && answer.contains("too_large"), "{answer}");
}

/// Guards against a 413 that is lost to a reset, since the operator is still writing the body.
#[rstest]
#[case::length(16 * 1024 * 1024, "Content-Length: 16777216")]
#[case::chunks(16 * 1024 * 1024, "Transfer-Encoding: chunked")]
#[tokio::test]
async fn body_far_over_the_limit_is_read_before_it_is_rejected(#[case] length: usize, #[case] framing: &str) {
    let address = serve(answer_commands).await;
    let mut stream = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let head =
        format!("PUT /config HTTP/1.1\r\nHost: x\r\nIf-Match: 7\r\nConnection: close\r\n{framing}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("cannot write the head");
    let is_chunked = framing.ends_with("chunked");
    let (before, after) =
        if is_chunked { (format!("{length:x}\r\n"), "\r\n0\r\n\r\n") } else { (String::new(), "") };
    let body = [before.into_bytes(), vec![b' '; length], after.as_bytes().to_vec()].concat();
    stream.write_all(&body).await.expect("the body is read");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.expect("the response is not lost");
    assert!(answer.starts_with("HTTP/1.1 413 ") && answer.contains("too_large"), "{answer}");
}

#[tokio::test]
async fn metrics_have_the_openmetrics_content_type() {
    let answer = call("GET /metrics HTTP/1.1", &[]).await;
    assert!(answer.contains("application/openmetrics-text; version=1.0.0; charset=utf-8"), "{answer}");
}

/// Receives commands and never replies.
async fn never_answer(mut queue: mpsc::Receiver<Command>) {
    let mut kept = Vec::new();
    while let Some(command) = queue.recv().await {
        kept.push(command);
    }
}

/// The operator gives up after 1 s without a response, so a request that is not decided must be answered
/// before.
#[rstest]
#[case::change("PUT /config HTTP/1.1\r\nIf-Match: 7", configuration(9))]
#[case::patch("PATCH /config HTTP/1.1\r\nIf-Match: 7", b"{\"Version\":9}".to_vec())]
#[case::read("GET /config HTTP/1.1", Vec::new())]
#[case::status("GET /status HTTP/1.1", Vec::new())]
#[case::metrics("GET /metrics HTTP/1.1", Vec::new())]
#[tokio::test(start_paused = true)]
async fn undecided_request_is_unavailable_within_the_response_timeout(
    #[case] head: &str, #[case] body: Vec<u8>,
) {
    let address = serve(never_answer).await;
    let stream = send(address, head, body.len(), &body).await;
    let sent = Instant::now();
    let answer = read_response(stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    let took = sent.elapsed();
    assert!(took > Duration::from_millis(800) && took < Duration::from_secs(1), "{took:?}");
}

/// Answers reads with a configuration whose JSON has unusual spacing.
async fn answer_with_a_configuration(mut queue: mpsc::Receiver<Command>) {
    let config = CommittedConfig { version: 9, base: 7, bytes: b"{ \"Version\" : 9 }".as_slice().into() };
    while let Some(command) = queue.recv().await {
        if let Command::ReadConfig { reply } = command {
            drop(reply.send(OperatorResponse::Config(Some(Arc::new(config.clone())))));
        }
    }
}

#[tokio::test]
async fn read_returns_the_configuration_byte_for_byte() {
    let address = serve(answer_with_a_configuration).await;
    let answer = read_response(send(address, "GET /config HTTP/1.1", 0, b"").await).await;
    assert!(
        answer.starts_with("HTTP/1.1 200 ") && answer.ends_with("\r\n\r\n{ \"Version\" : 9 }"),
        "{answer}"
    );
    assert!(answer.to_ascii_lowercase().contains("content-type: application/json\r\n"), "{answer}");
}

/// A response of the wrong kind does not decide a request.
#[rstest]
#[case::change("PUT /config HTTP/1.1\r\nIf-Match: 7", configuration(9))]
#[case::read("GET /config HTTP/1.1", Vec::new())]
#[tokio::test]
async fn response_of_the_wrong_kind_is_unavailable(#[case] head: &str, #[case] body: Vec<u8>) {
    let address = serve(|mut queue| async move {
        while let Some(command) = queue.recv().await {
            match command {
                Command::SubmitConfig { reply, .. } => drop(reply.send(OperatorResponse::Config(None))),
                Command::ReadConfig { reply } => drop(reply.send(OperatorResponse::Accepted { version: 9 })),
                _ => {}
            }
        }
    })
    .await;
    let answer = read_response(send(address, head, body.len(), &body).await).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
}

#[tokio::test(start_paused = true)]
async fn body_that_does_not_arrive_times_out() {
    let address = serve(answer_commands).await;
    let sent = Instant::now();
    let stream = send(address, "PUT /config HTTP/1.1\r\nIf-Match: 7", 100, b"{\"Vers").await;
    let answer = read_response(stream).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(sent.elapsed() < Duration::from_secs(6), "{:?}", sent.elapsed());
}

/// Starts a change and waits until the server requests its body, which it does after acquiring a permit.
async fn occupy_a_body_permit(address: SocketAddr) -> TcpStream {
    const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
    let head = "PUT /config HTTP/1.1\r\nIf-Match: 7\r\nExpect: 100-continue";
    let mut stream = send(address, head, 100, b"").await;
    let mut interim = vec![0; CONTINUE.len()];
    stream.read_exact(&mut interim).await.expect("cannot read the interim response");
    assert_eq!(interim, CONTINUE);
    stream
}

#[tokio::test]
async fn change_beyond_the_concurrent_bodies_is_unavailable() {
    let address = serve(answer_commands).await;
    let mut occupied = Vec::new();
    for _ in 0..MAX_CONCURRENT_BODIES {
        occupied.push(occupy_a_body_permit(address).await);
    }
    let body = configuration(9);
    let change = || send(address, "PUT /config HTTP/1.1\r\nIf-Match: 7", body.len(), &body);
    let answer = read_response(change().await).await;
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    // A change whose body is complete releases its permit.
    let mut first = occupied.remove(0);
    first.write_all(&[b' '; 100]).await.expect("cannot write to the connection");
    let answer = read_response(first).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    let answer = read_response(change().await).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}
