//! Bytes through a relay whose links are cut and opened.

use crate::link_proxy::{Link, LinkProxy, LinkState, LinkTable};
use std::net::{Ipv4Addr, SocketAddr};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const FAR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 1);
const NEAR: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

struct Bench {
    links: LinkTable,
    relay: SocketAddr,
    far: TcpListener,
    _relay: LinkProxy,
}

async fn bench() -> Bench {
    let far = TcpListener::bind((FAR, 0)).await.expect("a port");
    let port = TcpListener::bind((FAR, 0)).await.expect("a port").local_addr().expect("an address");
    let links = LinkTable::default();
    let relay = LinkProxy::start(&links, port, far.local_addr().expect("an address")).await.expect("a relay");
    Bench { links, relay: port, far, _relay: relay }
}

async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from((NEAR, 0))).expect("an address");
    socket.connect(to).await.expect("a connection")
}

#[tokio::test]
async fn bytes_wait_in_the_direction_that_is_cut_and_flow_in_the_other() {
    let bench = bench().await;
    let mut near = connect(bench.relay).await;
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    bench.links.set(Link { from: NEAR, to: FAR }, LinkState::Blackholed);
    near.write_all(b"there").await.expect("a write");
    far.write_all(b"back").await.expect("a write");
    let mut back = [0; 4];
    near.read_exact(&mut back).await.expect("bytes");
    assert_eq!(&back, b"back");
    // Nothing has come the other way, although what was sent later has come back.
    assert!(far.try_read(&mut [0; 8]).is_err());
    bench.links.open_all();
    let mut there = [0; 5];
    far.read_exact(&mut there).await.expect("bytes");
    assert_eq!(&there, b"there");
}

#[tokio::test]
async fn a_reset_ends_open_connections_and_new_ones() {
    let bench = bench().await;
    let mut near = connect(bench.relay).await;
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    bench.links.set(Link { from: FAR, to: NEAR }, LinkState::Reset);
    assert!(!matches!(near.read(&mut [0; 8]).await, Ok(1..)));
    assert!(!matches!(far.read(&mut [0; 8]).await, Ok(1..)));
    let mut newer = connect(bench.relay).await;
    assert!(!matches!(newer.read(&mut [0; 8]).await, Ok(1..)));
}

#[tokio::test]
async fn a_connection_that_is_opened_across_a_cut_comes_up_once_it_is_over() {
    let bench = bench().await;
    bench.links.set(Link { from: FAR, to: NEAR }, LinkState::Blackholed);
    let mut near = connect(bench.relay).await;
    near.write_all(b"there").await.expect("a write");
    bench.links.open_all();
    let (mut far, _) = bench.far.accept().await.expect("a connection");
    let mut there = [0; 5];
    far.read_exact(&mut there).await.expect("bytes");
    assert_eq!(&there, b"there");
}
