//! Test fixtures: the state of a proxy with one server, and requests to that server.

use crate::http::parse_request;
use crate::inbound::request::ClientRequest;
use crate::outbound::connection::Connection;
use crate::outbound::request::OutboundRequest;
use crate::state::ProxyState;
use bytes::{Bytes, BytesMut};
use lugwharf_protocol::{ServerDelta, ServerEntry, ServerState, TablePosition, Update};
use lugwharf_routing::{Selection, ServerKey, Tuning};
use lugwharf_settings::Settings;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Returns the listener of a scripted server.
pub async fn start_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound")
}

/// Returns the state of a proxy that knows a scripted server, and the server's listener.
pub async fn server_and_state() -> (Rc<ProxyState>, TcpListener) {
    let listener = start_listener().await;
    (state_with_server(listener.local_addr().expect("the listener has a local address")), listener)
}

/// Returns the state of a proxy that knows the server at `address`.
pub fn state_with_server(address: SocketAddr) -> Rc<ProxyState> {
    let text = r#"
        Node = "front-1"
        Ip = "127.0.0.1"
        Zone = "home"
        PortRange = [20000, 20010]
    "#;
    let settings = Settings::parse(text).expect("the settings are valid");
    let state = ProxyState::new(&settings, Tuning::default(), 1);
    apply_server_list(&state, 1, vec![server_entry(address)]);
    state
}

/// Applies an endpoint list with these entries.
pub fn apply_server_list(state: &ProxyState, sequence: u64, entries: Vec<ServerEntry>) {
    let position = TablePosition { epoch: 1, sequence };
    let servers = Some(ServerDelta { position, is_full: true, base: None, entries, removed: Vec::new() });
    state.apply(&Update { servers, ..Update::default() });
}

/// Returns the endpoint list entry of the server at `address`.
pub fn server_entry(address: SocketAddr) -> ServerEntry {
    ServerEntry {
        id: "i-a".to_owned(),
        service: "s".to_owned(),
        address,
        zone: "home".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
    }
}

/// Returns the key of the only server.
pub fn server_key(state: &ProxyState) -> ServerKey {
    state.balancer.borrow().server_keys().next().expect("the list has a server")
}

/// Returns the selection of the only server.
pub fn server_selection(state: &ProxyState, address: SocketAddr) -> Selection {
    Selection {
        key: server_key(state),
        id: "i-a".into(),
        address,
        zone: "home".into(),
        estimate: Duration::from_millis(1),
        is_busy: false,
        prefill_tokens: 0,
    }
}

/// Opens a connection from the proxy to the server. Returns both ends.
pub async fn open_connection(state: &ProxyState, listener: &TcpListener) -> (Connection, TcpStream) {
    let address = listener.local_addr().expect("the listener has a local address");
    let permit =
        state.pool.try_reserve(server_key(state), None, 1).expect("the limit on connections is not reached");
    let (connection, accepted) = tokio::join!(Connection::open(address, permit), listener.accept());
    (connection.expect("the connection is established"), accepted.expect("a connection is accepted").0)
}

/// Returns a request whose head has the further lines `more`.
pub fn outbound_request(method: &str, more: &str, body: Vec<u8>) -> OutboundRequest {
    let text = format!("{method} /r/x HTTP/1.1\r\nHost: h\r\n{more}\r\n");
    let head = parse_request(&mut BytesMut::from(text.as_str()))
        .expect("the head is valid")
        .expect("the head is complete");
    OutboundRequest::new(&ClientRequest {
        head,
        has_body: true,
        body: Bytes::from(body),
        arrived: Instant::now(),
    })
}
