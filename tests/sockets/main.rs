//! Tests of the sidecar program on loopback sockets. The tests act as its client, its upstreams and its
//! discovery service.

mod answers;
mod connections;
mod harness;
mod requests;
mod upstreams;

use harness::*;
use std::io::Read;

fn ok_reply(body: &str) -> Reply {
    Reply::text(200, "", body)
}

/// Reads until the connection is closed, and returns the received text.
fn read_to_end(client: &mut std::net::TcpStream) -> String {
    let mut bytes = Vec::new();
    // A connection reset also ends the text.
    drop(client.read_to_end(&mut bytes));
    String::from_utf8_lossy(&bytes).into_owned()
}
