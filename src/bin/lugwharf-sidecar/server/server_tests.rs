//! Tests of the server for the application.

use super::eviction::SWEEP_INTERVAL;
use super::listener::lock;
use super::shutdown::MAX_ACCEPT_TIME;
use super::*;
use crate::client_connection::ClientPhase;
use crate::config::Config;
use crate::config::tests::JSON;
use crate::events::{ClientRequest, DriverEvent, DriverHandle, FinalAnswer};
use crate::upstream::{ForwardedRequest, MAX_BODY_BYTES, ServedBody};
use bytes::Bytes;
use lugwharf_sidecar::api::RequestId;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream as BlockingTcpStream};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, timeout};

/// A server whose requests the test receives and answers in place of the driver.
struct TestServer {
    server: Arc<Server>,
    events: mpsc::UnboundedReceiver<DriverEvent>,
    addr: SocketAddr,
}

/// Starts a server whose class has this deadline, in milliseconds, and whose sockets have this send buffer,
/// if given.
async fn start_server(deadline: u32, send_buffer: Option<usize>) -> TestServer {
    let json = JSON.replace("\"aim\":290.0", &format!("\"aim\":290.0,\"deadline\":{deadline}"));
    let config = Arc::new(Config::read(&json, |_| None).expect("cannot read the configuration"));
    let (handle, events) = DriverHandle::new();
    let server = Server::new(config, handle, 8, 8);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let addr = listener.local_addr().expect("cannot read the local address");
    let socket = socket2::SockRef::from(&listener);
    send_buffer.into_iter().for_each(|bytes| {
        socket.set_send_buffer_size(bytes).expect("cannot set the send buffer of the socket")
    });
    tokio::spawn(server.clone().listen(listener));
    tokio::spawn(server.clone().sweep());
    TestServer { server, events, addr }
}

impl TestServer {
    /// Waits for the next request that is passed to the driver.
    async fn request(&mut self) -> (RequestId, Box<ClientRequest>, oneshot::Sender<FinalAnswer>) {
        match timeout(Duration::from_secs(30), self.events.recv()).await {
            Ok(Some(DriverEvent::Request { id, request, answer })) => (id, request, answer),
            _ => panic!("no request was passed to the driver within 30 s"),
        }
    }

    /// Waits until a connection is in this phase.
    async fn wait_for(&self, phase: ClientPhase) {
        while !lock(&self.server.clients).values().any(|client| client.phase().0 == phase) {
            yield_now().await;
        }
    }
}

/// A request with this id and body, and `length` as its `Content-Length`.
fn request_text(id: &str, body: &str, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Call-Id: {id}\r\nX-Call-Class: pay\r\nX-Budget: 60\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}

fn served(length: usize) -> FinalAnswer {
    FinalAnswer::Served(ServedBody { body: Bytes::from(vec![b'x'; length]), content_type: None })
}

/// Reads until the connection is closed or reset.
async fn read_to_end(client: BlockingTcpStream) -> String {
    client.set_nonblocking(true).expect("cannot set the socket to non-blocking mode");
    let client = TcpStream::from_std(client).expect("cannot register the socket with the runtime");
    let (mut all, mut bytes) = (Vec::new(), [0; 4_096]);
    loop {
        drop(client.readable().await);
        match client.try_read(&mut bytes) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return String::from_utf8_lossy(&all).into_owned(),
            Ok(length) => all.extend_from_slice(&bytes[..length]),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_client_disconnect_is_noticed_despite_unread_bytes() {
    for pipelined in [0, 1, 300] {
        for reset in [false, true] {
            let mut test_server = start_server(60_000, None).await;
            let mut client =
                BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
            let more: String = (0..pipelined).map(|i| request_text(&i.to_string(), "", 0)).collect();
            client
                .write_all((request_text("first", "body", 4) + &more).as_bytes())
                .expect("cannot write to the connection");
            let (id, _, _answer) = test_server.request().await;
            let since = Instant::now();
            if reset {
                socket2::SockRef::from(&client)
                    .set_linger(Some(Duration::ZERO))
                    .expect("cannot set the linger option of the socket");
            }
            drop(client);
            let next = timeout(Duration::from_secs(30), test_server.events.recv()).await;
            let is_reported = matches!(next, Ok(Some(DriverEvent::ClientDisconnected(other))) if other == id);
            assert!(is_reported, "{pipelined} pipelined requests, reset {reset}");
            assert!(since.elapsed() <= Duration::from_millis(300), "{:?}", since.elapsed());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn bytes_read_ahead_are_the_next_request() {
    let mut test_server = start_server(60_000, None).await;
    let mut client = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
    client
        .write_all((request_text("one", "body", 4) + &request_text("two", "more", 4)).as_bytes())
        .expect("cannot write to the connection");
    for body in ["body", "more"] {
        let (_, request, answer) = test_server.request().await;
        let ForwardedRequest { body: seen, .. } = request.forwarded;
        assert_eq!(seen, body);
        assert!(answer.send(served(3)).is_ok());
    }
    client.shutdown(Shutdown::Write).expect("cannot shut down the connection for writing");
    assert_eq!(read_to_end(client).await.matches("200 OK").count(), 2);
}

/// Starts to write an answer that fits into neither the send buffer nor the receive buffer of its client.
async fn start_writing_answer() -> (TestServer, BlockingTcpStream) {
    let mut test_server = start_server(60_000, Some(4_096)).await;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("cannot create a socket");
    socket.set_recv_buffer_size(4_096).expect("cannot set the receive buffer of the socket");
    socket.connect(&test_server.addr.into()).expect("cannot connect to the server");
    let mut client = BlockingTcpStream::from(socket);
    client.write_all(request_text("slow", "", 0).as_bytes()).expect("cannot write to the connection");
    let (_, _, answer) = test_server.request().await;
    assert!(answer.send(served(MAX_BODY_BYTES)).is_ok());
    test_server.wait_for(ClientPhase::WritingAnswer).await;
    (test_server, client)
}

/// Guards against a close that no answer has announced: the head of an answer was written before a shutdown
/// began, and the connection was closed behind the answer, with the next request unanswered.
#[tokio::test(start_paused = true)]
async fn a_request_behind_an_answer_that_announced_no_close_is_served() {
    let (mut test_server, mut client) = start_writing_answer().await;
    let server = test_server.server.clone();
    let shutdown = tokio::spawn(async move { server.shut_down().await });
    yield_now().await;
    client.write_all(request_text("next", "", 0).as_bytes()).expect("cannot write to the connection");
    let (answers, ()) = tokio::join!(read_to_end(client), async {
        let (_, _, answer) = test_server.request().await;
        assert!(answer.send(served(3)).is_ok());
    });
    assert_eq!(answers.matches("200 OK").count(), 2);
    assert_eq!(answers.matches("connection: close").count(), 1, "the last answer announces the close");
    shutdown.await.expect("the shutdown task panicked");
}

#[tokio::test(start_paused = true)]
async fn a_slow_reader_gets_its_complete_answer_despite_close_requests() {
    let (test_server, client) = start_writing_answer().await;
    let shutdown = tokio::spawn({
        let server = test_server.server.clone();
        async move { server.shut_down().await }
    });
    for _ in 0..50 {
        test_server.server.close_where(|_, _| true);
        sleep(SWEEP_INTERVAL).await;
    }
    assert!(!shutdown.is_finished(), "an answer is not written yet");
    assert!(!test_server.server.evict(|_| true), "the connection is not evicted either");
    let answer_text = read_to_end(client).await;
    assert_eq!(answer_text.matches('x').count(), MAX_BODY_BYTES);
    shutdown.await.expect("the shutdown task panicked");
}

#[tokio::test(start_paused = true)]
async fn a_request_that_crosses_its_eviction_is_served() {
    let mut test_server = start_server(60_000, None).await;
    let mut client = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
    test_server.wait_for(ClientPhase::New).await;
    // The connection's task does not run between the eviction and the write.
    assert!(test_server.server.evict(|_| true));
    client.write_all(request_text("crossing", "", 0).as_bytes()).expect("cannot write to the connection");
    let (_, _, answer) = test_server.request().await;
    assert_eq!(lock(&test_server.server.clients).len(), 1, "a shutdown sees it");
    assert!(answer.send(served(3)).is_ok());
    let answer_text = read_to_end(client).await;
    assert!(answer_text.contains("200 OK") && answer_text.contains("connection: close"), "{answer_text}");
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_waits_for_answers_until_their_deadline() {
    let mut test_server = start_server(9_000, None).await;
    let mut client = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
    client.write_all(request_text("long", "", 0).as_bytes()).expect("cannot write to the connection");
    let (_, _, answer) = test_server.request().await;
    // A client that connects and sends nothing.
    let _silent = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
    let late_answer = async {
        sleep(Duration::from_millis(8_900)).await;
        assert!(answer.send(served(3)).is_ok());
    };
    let since = Instant::now();
    let shutdown = async {
        test_server.server.shut_down().await;
        since.elapsed()
    };
    let (took, ()) = tokio::join!(shutdown, late_answer);
    assert!(took >= Duration::from_millis(8_900), "{took:?}");
    assert!(took < Duration::from_secs(9) + MAX_ACCEPT_TIME, "{took:?}");
    assert!(read_to_end(client).await.contains("200 OK"));
}

#[tokio::test(start_paused = true)]
async fn a_shutdown_ends_before_sigkill_despite_unfinished_requests() {
    for (deadline, sigkill) in [(1_200, 3_700), (4_000, 4_700), (12_000, 12_700)] {
        let mut test_server = start_server(deadline, Some(4_096)).await;
        // One client never reads its answer, which fits into neither the send buffer nor the receive buffer;
        // the other never gets an answer.
        let clients = ["unread", "unanswered"].map(|id| {
            let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
            let socket = socket.expect("cannot create a socket");
            socket.set_recv_buffer_size(4_096).expect("cannot set the receive buffer of the socket");
            socket.connect(&test_server.addr.into()).expect("cannot connect to the server");
            let mut client = BlockingTcpStream::from(socket);
            client.write_all(request_text(id, "", 0).as_bytes()).expect("cannot write to the connection");
            client
        });
        let (_, _, answer) = test_server.request().await;
        let (_, _, _unanswered) = test_server.request().await;
        assert!(answer.send(served(MAX_BODY_BYTES)).is_ok());
        test_server.wait_for(ClientPhase::WritingAnswer).await;
        let since = Instant::now();
        test_server.server.shut_down().await;
        let took = since.elapsed();
        assert!(took < Duration::from_millis(sigkill), "{deadline}: {took:?}");
        assert!(took >= Duration::from_millis(deadline.into()), "{deadline}: {took:?}");
        drop(clients);
    }
}

#[tokio::test(start_paused = true)]
async fn clients_connected_when_accepting_stops_are_served() {
    let mut test_server = start_server(9_000, None).await;
    // The task that accepts does not run before accepting is stopped.
    let mut client = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
    client.write_all(request_text("late", "", 0).as_bytes()).expect("cannot write to the connection");
    test_server.server.stop_accepting.notify_one();
    let (_, _, answer) = test_server.request().await;
    assert!(answer.send(served(3)).is_ok());
    tokio::join!(test_server.server.shut_down(), async {
        assert!(read_to_end(client).await.contains("200 OK"));
    });
    assert!(BlockingTcpStream::connect(test_server.addr).is_err(), "no later client is accepted");
}

#[tokio::test(start_paused = true)]
async fn an_incomplete_request_is_answered_within_three_seconds() {
    let mut test_server = start_server(60_000, None).await;
    let complete_request = request_text("half", "body", 9);
    for (pause, sent) in [(0, complete_request.len()), (1_900, complete_request.len()), (0, 30), (0, 0)] {
        let mut client = BlockingTcpStream::connect(test_server.addr).expect("cannot connect to the server");
        let since = Instant::now();
        test_server.wait_for(ClientPhase::New).await;
        sleep(Duration::from_millis(pause)).await;
        client.write_all(&complete_request.as_bytes()[..sent]).expect("cannot write to the connection");
        let answer_text = read_to_end(client).await;
        assert!(since.elapsed() <= Duration::from_secs(3), "{sent} bytes: {:?}", since.elapsed());
        assert!(answer_text.is_empty() || answer_text.starts_with("HTTP/1.1 408"), "{answer_text}");
    }
    assert!(test_server.events.try_recv().is_err(), "nothing is forwarded");
}
