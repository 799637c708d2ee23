//! Bytes through a link proxy whose links are blackholed, reset and opened.

use crate::link_proxy::{Link, LinkProxy, LinkState, LinkTable};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const FAR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const NEAR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

struct Bench {
    links: LinkTable,
    public: SocketAddr,
    far: TcpListener,
    _proxy: LinkProxy,
}

async fn bench() -> Bench {
    let far = TcpListener::bind((FAR, 0)).await.expect("a port");
    let port = TcpListener::bind((FAR, 0)).await.expect("a port").local_addr().expect("an address");
    let links = LinkTable::default();
    let proxy =
        LinkProxy::start(&links, port, far.local_addr().expect("an address")).await.expect("a link proxy");
    Bench { links, public: port, far, _proxy: proxy }
}

async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from((NEAR, 0))).expect("an address");
    socket.connect(to).await.expect("a connection")
}

#[tokio::test]
async fn a_blackholed_link_delays_bytes_in_its_direction_only() {
    let bench = bench().await;
    let mut near = connect(bench.public).await;
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    bench.links.set(Link { from: NEAR, to: FAR }, LinkState::Blackholed);
    near.write_all(b"there").await.expect("a write");
    far.write_all(b"back").await.expect("a write");
    let mut back = [0; 4];
    near.read_exact(&mut back).await.expect("bytes");
    assert_eq!(&back, b"back");
    // Nothing has arrived in the blackholed direction, although bytes sent later have arrived in the other.
    assert!(far.try_read(&mut [0; 8]).is_err());
    bench.links.open_all();
    let mut there = [0; 5];
    far.read_exact(&mut there).await.expect("bytes");
    assert_eq!(&there, b"there");
}

#[tokio::test]
async fn a_reset_link_resets_open_connections_and_new_ones() {
    let bench = bench().await;
    let mut near = connect(bench.public).await;
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    bench.links.set(Link { from: FAR, to: NEAR }, LinkState::Reset);
    assert!(!matches!(near.read(&mut [0; 8]).await, Ok(1..)));
    assert!(!matches!(far.read(&mut [0; 8]).await, Ok(1..)));
    let mut newer = connect(bench.public).await;
    assert!(!matches!(newer.read(&mut [0; 8]).await, Ok(1..)));
}

#[tokio::test]
async fn a_connection_opened_over_a_blackholed_link_is_established_once_the_link_opens() {
    let bench = bench().await;
    bench.links.set(Link { from: FAR, to: NEAR }, LinkState::Blackholed);
    let mut near = connect(bench.public).await;
    near.write_all(b"there").await.expect("a write");
    bench.links.open_all();
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    let mut there = [0; 5];
    far.read_exact(&mut there).await.expect("bytes");
    assert_eq!(&there, b"there");
}
