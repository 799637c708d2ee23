//! Tests of following the list of upstreams.

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

/// A discovery service whose every step the test makes. It runs in the test's runtime, so that the paused clock stands still
/// while there is something to do.
struct Agent(TcpListener);

impl Agent {
    async fn start() -> Agent {
        Agent(TcpListener::bind("127.0.0.1:0").await.expect("a port"))
    }

    fn addr(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    async fn accept(&self) -> Call {
        Call(self.0.accept().await.expect("a connection").0)
    }
}

struct Call(TcpStream);

impl Call {
    /// The path of the next call.
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

    /// Indented, as lists may come.
    fn answer(&self, revision: u64) {
        let list = serde_json::json!({"revision": revision, "complete": true, "members": []});
        let body = serde_json::to_string_pretty(&list).expect("text");
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        assert_eq!(self.0.try_write(text.as_bytes()).expect("written"), text.len());
    }

    fn reset(self) {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO)).expect("set");
    }
}

struct Follower {
    address: watch::Sender<SocketAddr>,
    subscribe: Arc<Notify>,
    events: mpsc::UnboundedReceiver<DriverEvent>,
}

/// A follower that starts with revision 100.
fn follow_from(agent: &Agent, how: &str) -> Follower {
    let json = JSON.replace("\"pushed\"", &format!("\"{how}\""));
    let config = Arc::new(Config::read(&json, |_| None).expect("readable"));
    let (address, from) = watch::channel(agent.addr());
    let (driver, events) = DriverHandle::new();
    let subscribe = Arc::<Notify>::default();
    tokio::spawn(follow(config, from, Some(100), subscribe.clone(), driver));
    Follower { address, subscribe, events }
}

impl Follower {
    async fn list(&mut self) -> u64 {
        match self.events.recv().await {
            Some(DriverEvent::List(update)) => update.revision,
            Some(DriverEvent::ListFailed(how)) => panic!("{how:?}"),
            _ => panic!("no list"),
        }
    }

    async fn failed(&mut self) -> ServerListEvent {
        match self.events.recv().await {
            Some(DriverEvent::ListFailed(how)) => how,
            _ => panic!("no failure"),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_restarted_its_revisions_is_asked_for_the_complete_list() {
    let agent = Agent::start().await;
    let mut follower = follow_from(&agent, "pushed");
    // At the start, and after a watch was reset.
    for revision in [50, 3] {
        let call = agent.accept().await;
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
    for (how, wait) in [("pushed", PUSHED_WATCH_TIME), ("on_request", ON_REQUEST_WATCH_TIME)] {
        let agent = Agent::start().await;
        let mut follower = follow_from(&agent, how);
        follower.subscribe.notify_one();
        let call = agent.accept().await;
        call.path().await;
        call.answer(101);
        follower.list().await;
        call.path().await;
        let since = Instant::now();
        assert_eq!(follower.failed().await, ServerListEvent::Interrupted);
        follower.subscribe.notify_one();
        let again = agent.accept().await;
        again.path().await;
        assert!(since.elapsed() < wait + Duration::from_millis(1_200), "{how}: {:?}", since.elapsed());
        // A late answer on the old connection is ignored.
        call.answer(500);
        again.answer(102);
        assert_eq!(follower.list().await, 102, "{how}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_address_ends_the_running_call_or_backoff() {
    for silent_connect in [false, true] {
        let (old, new) = (Agent::start().await, Agent::start().await);
        let mut follower = follow_from(&old, "pushed");
        let call = old.accept().await;
        call.path().await;
        call.answer(7);
        follower.list().await;
        if silent_connect {
            // The watch was reset just before, and the next call is on its way.
            call.path().await;
            call.reset();
            assert_eq!(follower.failed().await, ServerListEvent::Interrupted);
        } else {
            // The watch is waiting, and its answer is written in the same moment.
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
        assert_eq!(call.path().await, "/registry/instances?index=2&wait=2000", "its own count goes on");
    }
}

#[tokio::test(start_paused = true)]
async fn a_connect_timeout_is_shorter_than_a_watch() {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    // Nobody accepts: once the backlog is full, no further connection comes up.
    let agent = Agent(socket.listen(1).expect("listening"));
    let mut full = Vec::new();
    for _ in 0..8 {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
        let socket = socket.expect("a socket");
        socket.set_nonblocking(true).expect("set");
        drop(socket.connect(&agent.addr().into()));
        full.push(socket);
    }
    let mut follower = follow_from(&agent, "on_request");
    follower.subscribe.notify_one();
    let since = Instant::now();
    assert_eq!(follower.failed().await, ServerListEvent::Failed);
    assert!(since.elapsed() <= ON_REQUEST_CALL_TIMEOUT + Duration::from_millis(100), "{:?}", since.elapsed());
}

#[tokio::test(start_paused = true)]
async fn rejected_or_repeatedly_failing_calls_are_no_interrupted_watch() {
    let agent = Agent::start().await;
    let mut follower = follow_from(&agent, "on_request");
    for how in [ServerListEvent::Interrupted, ServerListEvent::Failed] {
        follower.subscribe.notify_one();
        let call = agent.accept().await;
        call.path().await;
        call.reset();
        assert_eq!(follower.failed().await, how);
    }
    let agent = Agent::start().await;
    let mut follower = follow_from(&agent, "on_request");
    follower.subscribe.notify_one();
    let call = agent.accept().await;
    call.path().await;
    call.0.try_write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").expect("written");
    assert_eq!(follower.failed().await, ServerListEvent::Failed, "rejected");
}
