//! Tests of the exact bytes that other programs rely on: responses of the operator API, orders to servers,
//! requests for pages of the platform's server list, and announcements to seeds. They must equal the captured
//! bytes, except for the date and port numbers.

use crate::announcement;
use crate::command::Command;
use crate::encoded_bytes_tests::{from_hex, to_hex};
use crate::gateway;
use crate::lease::{HeldLease, LeaseWatch};
use crate::message::Announcement;
use crate::metrics::RejectionCounters;
use crate::operator::{self, MAX_CONFIG_BYTES};
use crate::orders::{self, AuthorizedOrder};
use crate::platform_client::{PlatformClient, PlatformError};
use crate::status::{AgentStatus, RoleStatus, ServiceStatus, Status};
use crate::status_tests::example;
use lugwharf_chain::{CommittedConfig, OperatorResponse};
use lugwharf_election::FencingToken;
use lugwharf_protocol::Stage;
use lugwharf_stages::{Order, OrderOutcome};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    (listener, address)
}

/// Answers commands like a controller whose current version is 7. The base of a change selects its answer.
async fn answer_commands(mut queue: mpsc::Receiver<Command>, config: Option<&'static [u8]>) {
    let config = config.map(|bytes| Arc::new(CommittedConfig { version: 7, base: 6, bytes: bytes.into() }));
    while let Some(command) = queue.recv().await {
        match command {
            Command::SubmitConfig { base: 1, reply, .. } => drop(reply.send(OperatorResponse::Unavailable)),
            Command::SubmitConfig { base: 6, reply, .. } => {
                drop(reply.send(OperatorResponse::Conflict { current: 7 }))
            }
            Command::SubmitConfig { version, reply, .. } if version <= 7 => {
                drop(reply.send(OperatorResponse::StaleVersion { current: 7 }));
            }
            Command::SubmitConfig { version, reply, .. } => {
                drop(reply.send(OperatorResponse::Accepted { version }))
            }
            Command::ReadConfig { reply } => drop(reply.send(OperatorResponse::Config(config.clone()))),
            Command::GetStatus { reply } => drop(reply.send(example())),
            Command::GetMetrics { reply } => drop(reply.send("# EOF\n".to_owned())),
            _ => {}
        }
    }
}

/// Sends these bytes and shuts down the writing side. Returns the response without its `Date` header.
async fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("cannot connect to the listener");
    stream.write_all(request).await.expect("cannot write to the connection");
    stream.shutdown().await.expect("cannot shut down the writing side");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    without_date(&String::from_utf8(answer).expect("the received text is not UTF-8"))
}

fn without_date(answer: &str) -> String {
    let lines =
        answer.split_inclusive("\r\n").filter(|line| !line.to_ascii_lowercase().starts_with("date: "));
    lines.collect()
}

/// Guards against an operator's connection that is closed, or judged by a timeout, before its first byte.
#[tokio::test]
async fn operator_connection_may_rest_before_its_first_request() {
    let (listener, address) = listener().await;
    let (commands, queue) = mpsc::channel(4);
    tokio::spawn(answer_commands(queue, Some(VERSION_7)));
    operator::serve(listener, commands, RejectionCounters::default());
    let mut rested = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let request = read("GET /config HTTP/1.1");
    // The listener has accepted the first connection once it has answered on a later one.
    exchange(address, request.as_bytes()).await;
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(60)).await;
    tokio::time::resume();
    exchange(address, request.as_bytes()).await;
    rested.write_all(request.as_bytes()).await.expect("cannot write to the connection");
    let mut answer = Vec::new();
    rested.read_to_end(&mut answer).await.expect("cannot read the answer");
    assert!(answer.starts_with(b"HTTP/1.1 200 OK\r\n"), "{}", String::from_utf8_lossy(&answer));
}

async fn call_operator(request: &[u8], config: Option<&'static [u8]>) -> String {
    let (listener, address) = listener().await;
    let (commands, queue) = mpsc::channel(4);
    tokio::spawn(answer_commands(queue, config));
    operator::serve(listener, commands, RejectionCounters::default());
    exchange(address, request).await
}

fn change(head: &str, body: &str) -> String {
    let length = body.len();
    format!("{head}\r\nHost: core\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}")
}

fn read(head: &str) -> String {
    format!("{head}\r\nHost: core\r\nConnection: close\r\n\r\n")
}

const PUT_7: &str = "PUT /config HTTP/1.1\r\nIf-Match: 7";
const PATCH_7: &str = "PATCH /config HTTP/1.1\r\nIf-Match: 7";
const VERSION_9: &str = "{\"Version\":9,\"Routes\":[],\"Services\":[]}";
const VERSION_7: &[u8] = b"{\"Version\":7,\"Routes\":[],\"Services\":[]}";

#[rstest]
#[case::accepted(
    change(PUT_7, VERSION_9),
    "HTTP/1.1 200 OK\r\nContent-Length: 13\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Version\":9}"
)]
#[case::conflict(
    change("PUT /config HTTP/1.1\r\nIf-Match: 6", VERSION_9),
    "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 89\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"conflict\",\"Field\":\"If-Match\",\"Reason\":\"another version is current\",\"Current\":7}"
)]
#[case::outdated(
    change(PUT_7, "{\"Version\":7,\"Routes\":[],\"Services\":[]}"),
    "HTTP/1.1 409 Conflict\r\nContent-Length: 96\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"outdated\",\"Field\":\"/Version\",\"Reason\":\"must be above the current version\",\"Current\":7}"
)]
#[case::unavailable(
    change("PUT /config HTTP/1.1\r\nIf-Match: 1", VERSION_9),
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 60\r\nContent-Type: application/json\r\nRetry-After: 0.2\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"unavailable\",\"Reason\":\"the core can't decide now\"}"
)]
#[case::bad_base(
    change("PUT /config HTTP/1.1", VERSION_9),
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 79\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"bad_base\",\"Field\":\"If-Match\",\"Reason\":\"names no version to build on\"}"
)]
#[case::invalid_json(
    change(PUT_7, "{"),
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 102\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"invalid_configuration\",\"Field\":\"\",\"Reason\":\"EOF while parsing an object at line 1 column 1\"}"
)]
#[case::invalid_field(
    change(PUT_7, "{\"Version\":\"x\",\"Routes\":[],\"Services\":[]}"),
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 96\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"invalid_configuration\",\"Field\":\"/Version\",\"Reason\":\"\\\"x\\\" is not of type \\\"integer\\\"\"}"
)]
#[case::truncated_body(change(PUT_7, VERSION_9).replace("Length: 39", "Length: 100"), "HTTP/1.1 400 Bad Request\r\nContent-Length: 52\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"unreadable\",\"Reason\":\"connection aborted\"}")]
#[case::too_large(change(PUT_7, "").replace("Length: 0", &format!("Length: {}", MAX_CONFIG_BYTES + 1)), "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 62\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"too_large\",\"Reason\":\"the configuration is too long\"}")]
#[case::patch_accepted(
    change(PATCH_7, "{\"Version\":9}"),
    "HTTP/1.1 200 OK\r\nContent-Length: 13\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Version\":9}"
)]
#[case::patch_conflict(
    change("PATCH /config HTTP/1.1\r\nIf-Match: 6", "{\"Version\":9}"),
    "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 89\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"conflict\",\"Field\":\"If-Match\",\"Reason\":\"another version is current\",\"Current\":7}"
)]
#[case::patch_invalid(
    change(PATCH_7, "{\"Version\":9,\"Remove\":{\"Routes\":[\"r\"]}}"),
    "HTTP/1.1 400 Bad Request\r\nContent-Length: 94\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"invalid_configuration\",\"Field\":\"/Remove/Routes/0\",\"Reason\":\"nothing is named \\\"r\\\"\"}"
)]
#[case::config(
    read("GET /config HTTP/1.1"),
    "HTTP/1.1 200 OK\r\nContent-Length: 39\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Version\":7,\"Routes\":[],\"Services\":[]}"
)]
#[case::status(
    read("GET /status HTTP/1.1"),
    "HTTP/1.1 200 OK\r\nContent-Length: 584\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Node\":\"core-1\",\"Address\":\"10.0.0.1:7700\",\"UptimeMs\":1,\"View\":2,\"Members\":[\"10.0.0.1:7700\"],\"Chain\":[\"10.0.0.1:7700\"],\"Learners\":[],\"Standby\":false,\"Position\":null,\"Member\":true,\"Serving\":true,\"InTouch\":true,\"DiskWell\":false,\"ConfigVersion\":5,\"Roles\":[{\"Role\":\"list_reader\",\"Holder\":\"10.0.0.1:7700\",\"Token\":7,\"HeldMs\":8,\"HeldHere\":false}],\"Servers\":0,\"Services\":[{\"Service\":\"\",\"Ready\":0,\"Draining\":0,\"Prefill\":0,\"Decode\":0,\"Unstaged\":0,\"Changing\":[]}],\"LiveProxies\":9,\"Agents\":[{\"Node\":\"front-1\",\"ConfigVersion\":5,\"VersionsBehind\":0,\"BehindMs\":0,\"ServersCurrent\":true,\"SilentMs\":3}]}"
)]
#[case::metrics(
    read("GET /metrics HTTP/1.1"),
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nContent-Type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n# EOF\n"
)]
#[case::not_found(
    read("GET /elsewhere HTTP/1.1"),
    "HTTP/1.1 404 Not Found\r\nContent-Length: 62\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"not_found\",\"Reason\":\"there is nothing at this path\"}"
)]
#[case::method_not_allowed(
    change("POST /config HTTP/1.1", ""),
    "HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 77\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"method_not_allowed\",\"Reason\":\"this path does not take this method\"}"
)]
#[tokio::test]
async fn operator_api_answers_with_the_captured_bytes(#[case] request: String, #[case] expected: &str) {
    assert_eq!(call_operator(request.as_bytes(), Some(VERSION_7)).await, expected);
}

#[rstest]
#[case::read(
    read("GET /config HTTP/1.1"),
    "HTTP/1.1 404 Not Found\r\nContent-Length: 57\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"no_configuration\",\"Reason\":\"there is none yet\"}"
)]
#[case::patch(
    change("PATCH /config HTTP/1.1\r\nIf-Match: 0", "{\"Version\":9}"),
    "HTTP/1.1 404 Not Found\r\nContent-Length: 57\r\nContent-Type: application/json\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"no_configuration\",\"Reason\":\"there is none yet\"}"
)]
#[tokio::test]
async fn operator_api_without_a_configuration_answers_with_the_captured_bytes(
    #[case] request: String, #[case] expected: &str,
) {
    assert_eq!(call_operator(request.as_bytes(), None).await, expected);
}

#[rstest]
#[case::redirect(
    Some("10.0.0.4:8080"),
    "HTTP/1.1 307 Temporary Redirect\r\nContent-Length: 0\r\nLocation: http://10.0.0.4:8080/config?wait=1\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n"
)]
#[case::none_is_followed(
    None,
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 70\r\nContent-Type: application/json\r\nRetry-After: 0.2\r\nServer: trillium/1.0.0 trillium-http/1.0.1\r\n\r\n{\"Error\":\"unavailable\",\"Reason\":\"no control process is followed here\"}"
)]
#[tokio::test]
async fn gateway_answers_with_the_captured_bytes(#[case] target: Option<&str>, #[case] expected: &str) {
    let (listener, address) = listener().await;
    let target: Option<SocketAddr> = target.map(|target| target.parse().expect("cannot parse the address"));
    let (_sender, targets) = watch::channel(target);
    gateway::serve(listener, targets);
    let request = change("PUT /config?wait=1 HTTP/1.1", "{}");
    assert_eq!(exchange(address, request.as_bytes()).await, expected);
}

/// A status with every list filled and every optional field present.
fn full_status() -> Status {
    let [first, second] = [1, 2].map(|host| SocketAddr::from(([10, 0, 0, host], 7_700)));
    Status {
        members: vec![first, second],
        learners: vec![second],
        standby: true,
        position: Some(1),
        roles: vec![RoleStatus {
            role: "list_reader",
            holder: Some(first),
            token: Some(7),
            held_ms: Some(8),
            held_here: true,
        }],
        servers: 3,
        services: vec![ServiceStatus {
            service: "model".to_owned(),
            ready: 1,
            draining: 2,
            prefill: 1,
            decode: 1,
            unstaged: 1,
            changing: vec!["i-2".to_owned()],
        }],
        agents: vec![AgentStatus {
            node: "front-1".to_owned(),
            config_version: 4,
            versions_behind: 1,
            behind_ms: 250,
            servers_current: false,
            silent_ms: 3,
        }],
        ..example()
    }
}

/// A status with every list empty and every optional field absent.
fn bare_status() -> Status {
    let role = RoleStatus { role: "list_reader", holder: None, token: None, held_ms: None, held_here: false };
    Status {
        members: Vec::new(),
        chain: Vec::new(),
        roles: vec![role],
        services: Vec::new(),
        agents: Vec::new(),
        ..example()
    }
}

#[rstest]
#[case::full(
    full_status(),
    "{\"Node\":\"core-1\",\"Address\":\"10.0.0.1:7700\",\"UptimeMs\":1,\"View\":2,\"Members\":[\"10.0.0.1:7700\",\"10.0.0.2:7700\"],\"Chain\":[\"10.0.0.1:7700\"],\"Learners\":[\"10.0.0.2:7700\"],\"Standby\":true,\"Position\":1,\"Member\":true,\"Serving\":true,\"InTouch\":true,\"DiskWell\":false,\"ConfigVersion\":5,\"Roles\":[{\"Role\":\"list_reader\",\"Holder\":\"10.0.0.1:7700\",\"Token\":7,\"HeldMs\":8,\"HeldHere\":true}],\"Servers\":3,\"Services\":[{\"Service\":\"model\",\"Ready\":1,\"Draining\":2,\"Prefill\":1,\"Decode\":1,\"Unstaged\":1,\"Changing\":[\"i-2\"]}],\"LiveProxies\":9,\"Agents\":[{\"Node\":\"front-1\",\"ConfigVersion\":4,\"VersionsBehind\":1,\"BehindMs\":250,\"ServersCurrent\":false,\"SilentMs\":3}]}"
)]
#[case::bare(
    bare_status(),
    "{\"Node\":\"core-1\",\"Address\":\"10.0.0.1:7700\",\"UptimeMs\":1,\"View\":2,\"Members\":[],\"Chain\":[],\"Learners\":[],\"Standby\":false,\"Position\":null,\"Member\":true,\"Serving\":true,\"InTouch\":true,\"DiskWell\":false,\"ConfigVersion\":5,\"Roles\":[{\"Role\":\"list_reader\",\"Holder\":null,\"Token\":null,\"HeldMs\":null,\"HeldHere\":false}],\"Servers\":0,\"Services\":[],\"LiveProxies\":9,\"Agents\":[]}"
)]
fn status_is_written_as_captured(#[case] status: Status, #[case] expected: &str) {
    assert_eq!(serde_json::to_string(&status).expect("cannot encode the status as JSON"), expected);
}

/// Accepts one connection, reads up to `end` and answers. Returns the received text, in which the address of
/// the listener is replaced by `ADDRESS`.
async fn receive(listener: TcpListener, end: &[u8], answer: &[u8]) -> String {
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
    let mut received = Vec::new();
    while !received.ends_with(end) {
        assert!(
            stream.read_buf(&mut received).await.expect("cannot read from the connection") > 0,
            "the request ended early"
        );
    }
    stream.write_all(answer).await.expect("cannot write the response");
    String::from_utf8(received)
        .expect("the received text is not UTF-8")
        .replace(&address.to_string(), "ADDRESS")
}

#[rstest]
#[case::prefill(
    Stage::Prefill,
    None,
    "POST /order HTTP/1.1\r\nhost: ADDRESS\r\ncontent-type: application/json\r\nexpect-instance: i-1\r\ncontent-length: 60\r\n\r\n{\"Op\":\"Stage\",\"Stage\":\"prefill\",\"Holder\":\"core-1\",\"Fence\":7}"
)]
#[case::decode(
    Stage::Decode,
    None,
    "POST /order HTTP/1.1\r\nhost: ADDRESS\r\ncontent-type: application/json\r\nexpect-instance: i-1\r\ncontent-length: 59\r\n\r\n{\"Op\":\"Stage\",\"Stage\":\"decode\",\"Holder\":\"core-1\",\"Fence\":7}"
)]
#[case::with_a_revision(
    Stage::Decode,
    Some(3),
    "POST /order HTTP/1.1\r\nhost: ADDRESS\r\ncontent-type: application/json\r\nexpect-instance: i-1\r\ncontent-length: 74\r\n\r\n{\"Op\":\"Stage\",\"Stage\":\"decode\",\"Holder\":\"core-1\",\"Fence\":7,\"IfRevision\":3}"
)]
#[tokio::test]
async fn order_is_sent_as_captured(
    #[case] stage: Stage, #[case] if_revision: Option<u64>, #[case] expected: &str,
) {
    let (listener, address) = listener().await;
    let answer = b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    let server = tokio::spawn(receive(listener, b"}", answer));
    let (calls, queue) = mpsc::channel(1);
    let (commands, mut done) = mpsc::channel(1);
    let lease = HeldLease { token: FencingToken(7), expires_at: Instant::now() + Duration::from_secs(60) };
    let (_lease_sender, lease) = watch::channel(Some(lease));
    tokio::spawn(orders::run(queue, LeaseWatch::new(lease), commands));
    let order = Order { id: "i-1".to_owned(), address, stage, if_revision };
    calls
        .send(AuthorizedOrder { order, holder: "core-1".to_owned(), token: FencingToken(7) })
        .await
        .expect("the queue is closed");
    assert_eq!(server.await.expect("the server task panicked"), expected);
    let ended = done.recv().await;
    assert!(matches!(ended, Some(Command::OrderCompleted { outcome: OrderOutcome::Accepted, .. })));
}

#[tokio::test]
async fn pages_of_the_list_are_requested_as_captured() {
    let (listener, address) = listener().await;
    let page = |body: &str| {
        let length = body.len();
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}")
    };
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = Vec::new();
        for body in ["{\"Instances\":[],\"NextToken\":\"a b/é\"}", "{\"Instances\":[]}"] {
            let start = received.len();
            while !received[start..].ends_with(b"\r\n\r\n") {
                assert!(
                    stream.read_buf(&mut received).await.expect("cannot read from the connection") > 0,
                    "the request ended early"
                );
            }
            stream.write_all(page(body).as_bytes()).await.expect("cannot write the response");
        }
        String::from_utf8(received)
            .expect("the received text is not UTF-8")
            .replace(&address.to_string(), "ADDRESS")
    });
    let entries = PlatformClient::new(address).list_servers(|| true).await;
    assert!(entries.is_ok_and(|entries| entries.is_empty()));
    assert_eq!(
        server.await.expect("the server task panicked"),
        "GET /instances HTTP/1.1\r\nhost: ADDRESS\r\n\r\nGET /instances?PageToken=a%20b%2F%C3%A9 HTTP/1.1\r\nhost: ADDRESS\r\n\r\n"
    );
}

#[rstest]
#[case::timeout(PlatformError::Timeout, "timed out waiting for a page of the server list")]
#[case::error_status(
    PlatformError::Status(hyper::StatusCode::TOO_MANY_REQUESTS),
    "the platform responded with status 429 Too Many Requests"
)]
#[case::invalid_body(PlatformError::InvalidBody("x".to_owned()), "invalid page of the server list: x")]
#[case::lease_expired(PlatformError::LeaseExpired, "the lease ended before the page was requested")]
fn error_texts_of_the_list_are_fixed(#[case] error: PlatformError, #[case] expected: &str) {
    assert_eq!(error.to_string(), expected);
}

#[tokio::test]
async fn announcement_is_sent_and_answered_as_captured() {
    const REQUEST: &str = "00000021a168416e6e6f756e6365a167636f6e74726f6c81a162563482840a000002191e29";
    const REPLY: &str = "00000081a166557064617465a368696e5f746f756368f467636f6e74726f6c81a162563482840a000001191e2966757064617465a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273f665666c656574f6";
    let (listener, seed) = listener().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
        let mut received = vec![0; REQUEST.len() / 2];
        stream.read_exact(&mut received).await.expect("cannot read the frame");
        stream.write_all(&from_hex(REPLY)).await.expect("cannot write to the connection");
        received
    });
    let (commands, mut queue) = mpsc::channel(4);
    tokio::spawn(announcement::run(None, commands));
    let Some(Command::GetAnnouncement { reply }) = queue.recv().await else {
        panic!("no GetAnnouncement command was sent")
    };
    let control = vec![SocketAddr::from(([10, 0, 0, 2], 7_721))];
    assert!(reply.send(Announcement { seeds: vec![seed], control }).is_ok(), "the requester waits");
    let Some(Command::PeersAnnounced { addresses }) = queue.recv().await else {
        panic!("no PeersAnnounced command was sent")
    };
    assert_eq!(addresses, [SocketAddr::from(([10, 0, 0, 1], 7_721))]);
    assert_eq!(to_hex(&server.await.expect("the server task panicked")), REQUEST);
}
