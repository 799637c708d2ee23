//! Tests of following the server list.

use super::follow::{ON_REQUEST_CALL_TIMEOUT, ON_REQUEST_WATCH_TIME, PUSHED_WATCH_TIME};
use super::*;
use crate::config::Config;
use crate::config::tests::JSON;
use crate::events::{DriverEvent, DriverHandle};
use lugwharf_sidecar::api::ServerListEvent;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::Instant;

/// A stub of discovery that accepts and answers calls only when the test tells it to. The stub runs in the
/// runtime of the test, so the paused clock does not advance while there is work to do.
struct DiscoveryStub(TcpListener);

impl DiscoveryStub {
    async fn start() -> DiscoveryStub {
        DiscoveryStub(TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener"))
    }

    fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("cannot read the local address")
    }

    async fn accept(&self) -> StubConnection {
        StubConnection(self.0.accept().await.expect("cannot accept a connection").0)
    }
}

/// The text of an empty complete list. The JSON is indented, which is valid as well.
fn empty_list(revision: u64) -> String {
    let list = serde_json::json!({"revision": revision, "complete": true, "members": []});
    serde_json::to_string_pretty(&list).expect("cannot encode the list as JSON")
}

/// A connection of the sidecar to the stub.
struct StubConnection(TcpStream);

impl StubConnection {
    /// Reads the next call and returns its path.
    async fn read_path(&self) -> String {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            self.0.readable().await.expect("the connection failed");
            let mut byte = [0];
            match self.0.try_read(&mut byte) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => assert_eq!(
                    read.expect("cannot read the head of the call"),
                    1,
                    "the connection ended inside the head of a call"
                ),
            }
            seen.push(byte[0]);
        }
        let head = String::from_utf8(seen).expect("the head of the call is not UTF-8").replace('\0', "");
        head.split(' ').nth(1).expect("the head of the call has no path").to_owned()
    }

    /// Answers a call with an empty complete list.
    fn answer(&self, revision: u64) {
        let body = empty_list(revision);
        self.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }

    fn send(&self, text: &str) {
        assert_eq!(self.0.try_write(text.as_bytes()).expect("cannot write to the connection"), text.len());
    }

    /// Resets the connection.
    fn reset(self) {
        socket2::SockRef::from(&self.0)
            .set_linger(Some(Duration::ZERO))
            .expect("cannot set the linger option of the socket");
    }
}

/// The inputs of a running `follow`, and the events that it reports.
struct Follower {
    address: watch::Sender<SocketAddr>,
    subscribe: Arc<Notify>,
    events: mpsc::UnboundedReceiver<DriverEvent>,
}

/// Starts to follow the stub from revision 100, with `mode` as the setting `discovery`.
fn follow_from(stub: &DiscoveryStub, mode: &str) -> Follower {
    let json = JSON.replace("\"pushed\"", &format!("\"{mode}\""));
    let config = Arc::new(Config::read(&json, |_| None).expect("cannot read the configuration"));
    let (address, from) = watch::channel(stub.addr());
    let (driver, events) = DriverHandle::new();
    let subscribe = Arc::<Notify>::default();
    tokio::spawn(follow(config, from, Some(100), subscribe.clone(), driver));
    Follower { address, subscribe, events }
}

impl Follower {
    /// Waits for a list and returns its revision.
    async fn next_revision(&mut self) -> u64 {
        match self.events.recv().await {
            Some(DriverEvent::List(update)) => update.revision,
            Some(DriverEvent::ListFailed(failure)) => {
                panic!("a call failed instead of returning a list: {failure:?}")
            }
            _ => panic!("no list was handed to the driver"),
        }
    }

    /// Waits for a failure and returns its kind.
    async fn next_failure(&mut self) -> ServerListEvent {
        match self.events.recv().await {
            Some(DriverEvent::ListFailed(failure)) => failure,
            _ => panic!("no failure was reported to the driver"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_restarted_its_revisions_is_asked_for_the_complete_list() {
    let stub = DiscoveryStub::start().await;
    let mut follower = follow_from(&stub, "pushed");
    // The first call is at the start, the second after a watch was reset.
    for revision in [50, 3] {
        let call = stub.accept().await;
        assert_eq!(call.read_path().await, "/registry/instances");
        call.answer(revision);
        assert_eq!(follower.next_revision().await, revision);
        let watch = format!("/registry/instances?index={revision}&wait={}", PUSHED_WATCH_TIME.as_millis());
        assert_eq!(call.read_path().await, watch);
        call.reset();
        assert_eq!(follower.next_failure().await, ServerListEvent::Interrupted);
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_times_out_is_renewed_within_its_grace() {
    for (mode, wait) in [("pushed", PUSHED_WATCH_TIME), ("on_request", ON_REQUEST_WATCH_TIME)] {
        let stub = DiscoveryStub::start().await;
        let mut follower = follow_from(&stub, mode);
        follower.subscribe.notify_one();
        let call = stub.accept().await;
        call.read_path().await;
        call.answer(101);
        follower.next_revision().await;
        call.read_path().await;
        let since = Instant::now();
        assert_eq!(follower.next_failure().await, ServerListEvent::Interrupted);
        follower.subscribe.notify_one();
        let second_call = stub.accept().await;
        second_call.read_path().await;
        assert!(since.elapsed() < wait + Duration::from_millis(1_200), "{mode}: {:?}", since.elapsed());
        // A late answer on the old connection is ignored.
        call.answer(500);
        second_call.answer(102);
        assert_eq!(follower.next_revision().await, 102, "{mode}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_address_ends_the_running_call_or_backoff() {
    for is_calling_again in [false, true] {
        let (old, new) = (DiscoveryStub::start().await, DiscoveryStub::start().await);
        let mut follower = follow_from(&old, "pushed");
        let call = old.accept().await;
        call.read_path().await;
        call.answer(7);
        follower.next_revision().await;
        if is_calling_again {
            // The watch has just been reset, and the next call is about to be made.
            call.read_path().await;
            call.reset();
            assert_eq!(follower.next_failure().await, ServerListEvent::Interrupted);
        } else {
            // The watch is waiting, and its answer is written at the same moment.
            call.read_path().await;
            call.answer(900);
        }
        follower.address.send_replace(new.addr());
        let since = Instant::now();
        let call = new.accept().await;
        assert_eq!(call.read_path().await, "/registry/instances");
        call.answer(2);
        while follower.next_revision().await != 2 {}
        assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
        assert_eq!(
            call.read_path().await,
            "/registry/instances?index=2&wait=2000",
            "the watch continues from the new address's revision"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_connect_timeout_is_shorter_than_a_watch() {
    let socket = tokio::net::TcpSocket::new_v4().expect("cannot create a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("cannot bind the socket");
    // Nobody accepts: once the backlog is full, no further connection is established.
    let stub = DiscoveryStub(socket.listen(1).expect("cannot listen on the socket"));
    let mut backlog = Vec::new();
    for _ in 0..8 {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("cannot create a socket");
        socket.set_nonblocking(true).expect("cannot set the socket to non-blocking mode");
        drop(socket.connect(&stub.addr().into()));
        backlog.push(socket);
    }
    let mut follower = follow_from(&stub, "on_request");
    follower.subscribe.notify_one();
    let since = Instant::now();
    assert_eq!(follower.next_failure().await, ServerListEvent::Failed);
    assert!(since.elapsed() <= ON_REQUEST_CALL_TIMEOUT + Duration::from_millis(100), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn rejected_or_repeatedly_failing_calls_are_not_reported_as_interrupted_watches() {
    let stub = DiscoveryStub::start().await;
    let mut follower = follow_from(&stub, "on_request");
    for failure in [ServerListEvent::Interrupted, ServerListEvent::Failed] {
        follower.subscribe.notify_one();
        let call = stub.accept().await;
        call.read_path().await;
        call.reset();
        assert_eq!(follower.next_failure().await, failure);
    }
    let stub = DiscoveryStub::start().await;
    let mut follower = follow_from(&stub, "on_request");
    follower.subscribe.notify_one();
    let call = stub.accept().await;
    call.read_path().await;
    call.0.try_write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").expect("cannot write to the connection");
    assert_eq!(follower.next_failure().await, ServerListEvent::Failed, "rejected");
}

/// The answers have a complete list, and follow a valid answer on the same connection.
#[tokio::test(start_paused = true)]
async fn an_answer_that_is_not_valid_or_not_complete_is_not_taken_for_a_list() {
    let list = empty_list(102);
    let (length, longer) = (list.len(), list.len() + 1);
    for answer in [
        format!("HTTP/1.1 000 X\r\nContent-Length: {length}\r\n\r\n{list}"),
        format!("HTTP/1.1 200 OK\r\nX Y: v\r\nContent-Length: {length}\r\n\r\n{list}"),
        format!("HTTP/1.1 200 OK\r\nX\u{1}: v\r\nContent-Length: {length}\r\n\r\n{list}"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\n{list}: v\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nContent-Length: {longer}\r\n\r\n{list}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{length:x}\r\n{list}\r\n"),
        format!("HTTP/1.1 200 OK\r\n\r\n{list}"),
    ] {
        let stub = DiscoveryStub::start().await;
        let mut follower = follow_from(&stub, "pushed");
        let call = stub.accept().await;
        call.read_path().await;
        call.answer(101);
        assert_eq!(follower.next_revision().await, 101);
        call.read_path().await;
        call.send(&answer);
        call.reset();
        // Panics if a list is handed to the driver.
        follower.next_failure().await;
    }
}
