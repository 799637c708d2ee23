//! Connections that wait for their admission.

use super::ClientListener;
use crate::inbound::connections::ClientConnections;
use crate::outbound::fixtures::{start_listener, state_with_server};
use std::io::Write;
use std::net::TcpStream as BlockingTcpStream;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Guards against a connection that is dropped, with the request on it, when a shutdown begins while it waits
/// because too many connections are open.
#[tokio::test(start_paused = true)]
async fn connection_that_waits_for_capacity_survives_the_begin_of_a_shutdown() {
    let listener = start_listener().await;
    let address = listener.local_addr().expect("the listener has a local address");
    let connections = ClientConnections::new(0);
    let mut busy = Vec::new();
    while connections.has_capacity() {
        let (id, slot) = connections.register();
        slot.idle_since.set(None);
        busy.push(id);
    }
    let mut client = BlockingTcpStream::connect(address).expect("the connection is established");
    client
        .write_all(b"GET /ping HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        .expect("the request is sent");
    let state = state_with_server(address);
    let mut listener = ClientListener::new(listener);
    let tasks = LocalSet::new();
    let script = async {
        // The clock advances once the listener has accepted the connection and waits.
        let stopped = timeout(Duration::from_secs(1), listener.listen(&state, &connections)).await;
        assert!(stopped.is_err(), "the listener never returns");
        connections.unregister(busy[0]);
        client.set_nonblocking(true).expect("the socket accepts the option");
        let mut client = TcpStream::from_std(client).expect("the socket is registered");
        let mut response = String::new();
        tokio::select! {
            () = listener.listen(&state, &connections) => {}
            read = client.read_to_string(&mut response) => drop(read.expect("the response is read")),
        }
        response
    };
    let response = tasks.run_until(script).await;
    assert!(response.starts_with("HTTP/1.1 "), "{response}");
}
