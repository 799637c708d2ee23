//! Tests of a link proxy whose links are blackholed, reset and opened.

use crate::link_proxy::{Link, LinkProxy, LinkState, LinkTable};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const SERVER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const CLIENT_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// A server, and a link proxy that listens at `public` and forwards to the server.
struct ProxyFixture {
    links: LinkTable,
    public: SocketAddr,
    server: TcpListener,
    _proxy: LinkProxy,
}

async fn start_proxy() -> ProxyFixture {
    let server = TcpListener::bind((SERVER_IP, 0)).await.expect("the listener binds to a free port");
    let public = TcpListener::bind((SERVER_IP, 0))
        .await
        .expect("the listener binds to a free port")
        .local_addr()
        .expect("the listener has a local address");
    let links = LinkTable::default();
    let proxy =
        LinkProxy::start(&links, public, server.local_addr().expect("the listener has a local address"))
            .await
            .expect("the link proxy starts");
    ProxyFixture { links, public, server, _proxy: proxy }
}

/// Connects from [`CLIENT_IP`], which is how a link proxy recognizes the client.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket is created");
    socket.bind(SocketAddr::from((CLIENT_IP, 0))).expect("the socket binds to the client address");
    socket.connect(to).await.expect("the connection is established")
}

#[tokio::test]
async fn a_blackholed_link_delays_bytes_in_its_direction_only() {
    let fixture = start_proxy().await;
    let mut client = connect(fixture.public).await;
    let (mut server, _) = fixture.server.accept().await.expect("the connection is established");
    fixture.links.set(Link { from: CLIENT_IP, to: SERVER_IP }, LinkState::Blackholed);
    client.write_all(b"there").await.expect("the write succeeds");
    server.write_all(b"back").await.expect("the write succeeds");
    let mut back = [0; 4];
    client.read_exact(&mut back).await.expect("the bytes arrive");
    assert_eq!(&back, b"back");
    // Nothing has arrived in the blackholed direction, although bytes sent later have arrived in the other.
    assert!(server.try_read(&mut [0; 8]).is_err());
    fixture.links.open_all();
    let mut there = [0; 5];
    server.read_exact(&mut there).await.expect("the bytes arrive");
    assert_eq!(&there, b"there");
}

#[tokio::test]
async fn a_reset_link_resets_open_connections_and_new_ones() {
    let fixture = start_proxy().await;
    let mut client = connect(fixture.public).await;
    let (mut server, _) = fixture.server.accept().await.expect("the connection is established");
    fixture.links.set(Link { from: SERVER_IP, to: CLIENT_IP }, LinkState::Reset);
    assert!(!matches!(client.read(&mut [0; 8]).await, Ok(1..)));
    assert!(!matches!(server.read(&mut [0; 8]).await, Ok(1..)));
    let mut newer = connect(fixture.public).await;
    assert!(!matches!(newer.read(&mut [0; 8]).await, Ok(1..)));
}

#[tokio::test]
async fn a_connection_opened_over_a_blackholed_link_is_established_once_the_link_opens() {
    let fixture = start_proxy().await;
    fixture.links.set(Link { from: SERVER_IP, to: CLIENT_IP }, LinkState::Blackholed);
    let mut client = connect(fixture.public).await;
    client.write_all(b"there").await.expect("the write succeeds");
    fixture.links.open_all();
    let (mut server, _) = fixture.server.accept().await.expect("the connection is established");
    let mut there = [0; 5];
    server.read_exact(&mut there).await.expect("the bytes arrive");
    assert_eq!(&there, b"there");
}
