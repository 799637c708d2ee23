//! Frames of the links between control processes, byte for byte. There is no handshake: the first frame carries the first
//! message, and each frame names its sender.

use super::{PeerFrame, PeerTransport, read_frames};
use crate::command::Command;
use crate::encoded_bytes_tests::{assert_bytes, from_hex, to_hex};
use crate::message::PeerMessage;
use lugwharf_chain::Message;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The length in front, then the frame.
const LENGTH: &str = "00000034";
const FRAME: &str = "a26466726f6da162563482840a000001191e1464626f6479a165436861696ea16b5669657752657175657374a16561626f766504";

fn sender() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_700))
}

fn body() -> PeerMessage {
    PeerMessage::Chain(Message::ViewRequest { above: 4 })
}

#[test]
fn frame_is_encoded_as_captured() {
    assert_bytes(&PeerFrame { from: sender(), body: body() }, FRAME);
}

#[tokio::test]
async fn link_carries_the_captured_bytes_from_its_first_byte_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut peers = PeerTransport::new(sender(), None);
    peers.send(address, body());
    let (mut stream, _) = listener.accept().await.expect("a link");
    let wanted = from_hex(&format!("{LENGTH}{FRAME}"));
    let mut received = vec![0; wanted.len()];
    stream.read_exact(&mut received).await.expect("a frame");
    assert_eq!(to_hex(&received), to_hex(&wanted));
}

#[tokio::test]
async fn captured_bytes_arrive_as_a_message_of_their_sender() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut link = TcpStream::connect(address).await.expect("a connection");
    link.write_all(&from_hex(&format!("{LENGTH}{FRAME}"))).await.expect("a write");
    let (stream, _) = listener.accept().await.expect("a link");
    let (commands, mut queue) = mpsc::channel(1);
    tokio::spawn(read_frames(stream, commands));
    let Some(Command::Peer { from, body: received }) = queue.recv().await else { panic!("no message") };
    assert_eq!(from, sender());
    assert_bytes(&PeerFrame { from, body: received }, FRAME);
}

/// A process that is killed closes its connections at once; its heartbeats are missed only after 700 ms.
#[tokio::test]
async fn end_of_a_link_names_the_process_whose_messages_it_carried() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut link = TcpStream::connect(address).await.expect("a connection");
    link.write_all(&from_hex(&format!("{LENGTH}{FRAME}"))).await.expect("a write");
    drop(link);
    let (stream, _) = listener.accept().await.expect("a link");
    let (commands, mut queue) = mpsc::channel(2);
    read_frames(stream, commands).await.expect("a link that ends between two frames");
    assert!(matches!(queue.recv().await, Some(Command::Peer { .. })));
    let Some(Command::PeerDisconnected { peer }) = queue.recv().await else { panic!("the end is not told") };
    assert_eq!(peer, sender());
    assert!(queue.recv().await.is_none());
}

#[tokio::test]
async fn end_of_a_link_without_a_message_names_nobody() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(TcpStream::connect(address).await.expect("a connection"));
    let (stream, _) = listener.accept().await.expect("a link");
    let (commands, mut queue) = mpsc::channel(2);
    read_frames(stream, commands).await.expect("a link without a frame");
    assert!(queue.recv().await.is_none());
}

/// The reset comes between two messages. The second one is not lost with the connection.
#[tokio::test]
async fn message_after_a_reset_goes_out_on_a_new_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let mut peers = PeerTransport::new(sender(), None);
    let wanted = from_hex(&format!("{LENGTH}{FRAME}"));
    for _ in 0..2 {
        peers.send(address, body());
        let accepted = timeout(Duration::from_secs(10), listener.accept()).await;
        let (mut stream, _) = accepted.expect("a new link").expect("a link");
        let mut received = vec![0; wanted.len()];
        stream.read_exact(&mut received).await.expect("a frame");
        assert_eq!(to_hex(&received), to_hex(&wanted));
        // Dropping it resets the connection, before the next message is queued.
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    }
}
