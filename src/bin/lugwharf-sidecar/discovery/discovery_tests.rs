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

/// A stub of discovery, each step of which the test makes. It runs in the runtime of the test, so the paused
/// clock does not advance while there is work to do.
struct DiscoveryStub(TcpListener);

impl DiscoveryStub {
    async fn start() -> DiscoveryStub {
        DiscoveryStub(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }

    fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    async fn accept(&self) -> StubConnection {
        StubConnection(self.0.accept().await.expect("a connection").0)
    }
}

/// A connection of the sidecar to the stub.
struct StubConnection(TcpStream);

impl StubConnection {
    /// Reads the next call and returns its path.
    async fn path(&self) -> String {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            self.0.readable().await.expect("readable");
            let mut byte = [0];
            match self.0.try_read(&mut byte) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                read => assert_eq!(read.expect("a head"), 1, "the call ends"),
            }
            seen.push(byte[0]);
        }
        let head = String::from_utf8(seen).expect("text").replace('\0', "");
        head.split(' ').nth(1).expect("a path").to_owned()
    }

    /// Answers a call with an empty complete list. The JSON is indented, which is valid as well.
    fn answer(&self, revision: u64) {
        let list = serde_json::json!({"revision": revision, "complete": true, "members": []});
        let body = serde_json::to_string_pretty(&list).expect("text");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_eq!(self.0.try_write(text.as_bytes()).expect("written"), text.len());
    }

    /// Resets the connection.
    fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("set");
    }
}

/// The far side of `follow`: what it is given, and the events that it reports.
struct Follower {
    address: watch::Sender<SocketAddr>,
    subscribe: Arc<Notify>,
    events: mpsc::UnboundedReceiver<DriverEvent>,
}

/// Starts to follow the stub from revision 100, with `mode` as the setting `discovery`.
fn follow_from(stub: &DiscoveryStub, mode: &str) -> Follower {
    let json = JSON.replace("\"pushed\"", &format!("\"{mode}\""));
    let config = Arc::new(Config::read(&json, |_| None).expect("readable"));
    let (address, from) = watch::channel(stub.addr());
    let (driver, events) = DriverHandle::new();
    let subscribe = Arc::<Notify>::default();
    tokio::spawn(follow(config, from, Some(100), subscribe.clone(), driver));
    Follower { address, subscribe, events }
}

impl Follower {
    /// Waits for a list and returns its revision.
    async fn list(&mut self) -> u64 {
        match self.events.recv().await {
            Some(DriverEvent::List(update)) => update.revision,
            Some(DriverEvent::ListFailed(failure)) => panic!("{failure:?}"),
            _ => panic!("no list"),
        }
    }

    /// Waits for a failure and returns its kind.
    async fn failed(&mut self) -> ServerListEvent {
        match self.events.recv().await {
            Some(DriverEvent::ListFailed(failure)) => failure,
            _ => panic!("no failure"),
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
        assert_eq!(call.path().await, "/registry/instances");
        call.answer(revision);
        assert_eq!(follower.list().await, revision);
        let watch = format!("/registry/instances?index={revision}&wait={}", PUSHED_WATCH_TIME.as_millis());
        assert_eq!(call.path().await, watch);
        call.reset();
        assert_eq!(follower.failed().await, ServerListEvent::Interrupted);
    }
}

#[tokio::test(start_paused = true)]
async fn a_watch_that_times_out_is_renewed_within_its_grace() {
    for (mode, wait) in [("pushed", PUSHED_WATCH_TIME), ("on_request", ON_REQUEST_WATCH_TIME)] {
        let stub = DiscoveryStub::start().await;
        let mut follower = follow_from(&stub, mode);
        follower.subscribe.notify_one();
        let call = stub.accept().await;
        call.path().await;
        call.answer(101);
        follower.list().await;
        call.path().await;
        let since = Instant::now();
        assert_eq!(follower.failed().await, ServerListEvent::Interrupted);
        follower.subscribe.notify_one();
        let second_call = stub.accept().await;
        second_call.path().await;
        assert!(since.elapsed() < wait + Duration::from_millis(1_200), "{mode}: {:?}", since.elapsed());
        // A late answer on the old connection is ignored.
        call.answer(500);
        second_call.answer(102);
        assert_eq!(follower.list().await, 102, "{mode}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_address_ends_the_running_call_or_backoff() {
    for is_calling_again in [false, true] {
        let (old, new) = (DiscoveryStub::start().await, DiscoveryStub::start().await);
        let mut follower = follow_from(&old, "pushed");
        let call = old.accept().await;
        call.path().await;
        call.answer(7);
        follower.list().await;
        if is_calling_again {
            // The watch has just been reset, and the next call is about to be made.
            call.path().await;
            call.reset();
            assert_eq!(follower.failed().await, ServerListEvent::Interrupted);
        } else {
            // The watch is waiting, and its answer is written at the same moment.
            call.path().await;
            call.answer(900);
        }
        follower.address.send_replace(new.addr());
        let since = Instant::now();
        let call = new.accept().await;
        assert_eq!(call.path().await, "/registry/instances");
        call.answer(2);
        while follower.list().await != 2 {}
        assert!(since.elapsed() < Duration::from_millis(300), "{:?}", since.elapsed());
        assert_eq!(
            call.path().await,
            "/registry/instances?index=2&wait=2000",
            "the watch continues from the new address's revision"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_connect_timeout_is_shorter_than_a_watch() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    // Nobody accepts: once the backlog is full, no further connection is established.
    let stub = DiscoveryStub(socket.listen(1).expect("listening"));
    let mut backlog = Vec::new();
    for _ in 0..8 {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_nonblocking(true).expect("set");
        drop(socket.connect(&stub.addr().into()));
        backlog.push(socket);
    }
    let mut follower = follow_from(&stub, "on_request");
    follower.subscribe.notify_one();
    let since = Instant::now();
    assert_eq!(follower.failed().await, ServerListEvent::Failed);
    assert!(since.elapsed() <= ON_REQUEST_CALL_TIMEOUT + Duration::from_millis(100), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn rejected_or_repeatedly_failing_calls_are_not_reported_as_interrupted_watches() {
    let stub = DiscoveryStub::start().await;
    let mut follower = follow_from(&stub, "on_request");
    for failure in [ServerListEvent::Interrupted, ServerListEvent::Failed] {
        follower.subscribe.notify_one();
        let call = stub.accept().await;
        call.path().await;
        call.reset();
        assert_eq!(follower.failed().await, failure);
    }
    let stub = DiscoveryStub::start().await;
    let mut follower = follow_from(&stub, "on_request");
    follower.subscribe.notify_one();
    let call = stub.accept().await;
    call.path().await;
    call.0.try_write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").expect("written");
    assert_eq!(follower.failed().await, ServerListEvent::Failed, "rejected");
}
