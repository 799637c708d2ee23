//! Tests of the exact bytes on connections between control processes. There is no handshake: the first frame
//! contains the first message, and each frame contains the address of its sender.

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

/// The length prefix of the frame.
const LENGTH: &str = "00000034";
/// The encoded frame.
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
async fn connection_carries_the_captured_bytes_from_its_first_byte_on() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let mut peers = PeerTransport::new(sender(), None);
    peers.send(address, body());
    let (mut stream, _) = listener.accept().await.expect("cannot accept a connection");
    let expected = from_hex(&format!("{LENGTH}{FRAME}"));
    let mut received = vec![0; expected.len()];
    stream.read_exact(&mut received).await.expect("cannot read the frame");
    assert_eq!(to_hex(&received), to_hex(&expected));
}

#[tokio::test]
async fn captured_bytes_arrive_as_a_message_of_their_sender() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let mut client = TcpStream::connect(address).await.expect("cannot connect to the listener");
    client.write_all(&from_hex(&format!("{LENGTH}{FRAME}"))).await.expect("cannot write to the connection");
    let (stream, _) = listener.accept().await.expect("cannot accept a connection");
    let (commands, mut queue) = mpsc::channel(1);
    tokio::spawn(read_frames(stream, commands));
    let Some(Command::PeerMessageReceived { from, body: received }) = queue.recv().await else {
        panic!("no PeerMessageReceived command was sent")
    };
    assert_eq!(from, sender());
    assert_bytes(&PeerFrame { from, body: received }, FRAME);
}

/// The connections of a killed process are closed immediately, while its missing heartbeats are noticed only
/// after 700 ms.
#[tokio::test]
async fn end_of_a_connection_reports_the_process_that_sent_its_messages() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let mut client = TcpStream::connect(address).await.expect("cannot connect to the listener");
    client.write_all(&from_hex(&format!("{LENGTH}{FRAME}"))).await.expect("cannot write to the connection");
    drop(client);
    let (stream, _) = listener.accept().await.expect("cannot accept a connection");
    let (commands, mut queue) = mpsc::channel(2);
    read_frames(stream, commands).await.expect("reading the frames of the connection failed");
    assert!(matches!(queue.recv().await, Some(Command::PeerMessageReceived { .. })));
    let Some(Command::PeerDisconnected { peer }) = queue.recv().await else {
        panic!("no PeerDisconnected command was sent")
    };
    assert_eq!(peer, sender());
    assert!(queue.recv().await.is_none());
}

#[tokio::test]
async fn end_of_a_connection_without_a_message_is_not_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    drop(TcpStream::connect(address).await.expect("cannot connect to the listener"));
    let (stream, _) = listener.accept().await.expect("cannot accept a connection");
    let (commands, mut queue) = mpsc::channel(2);
    read_frames(stream, commands).await.expect("reading the frames of the connection failed");
    assert!(queue.recv().await.is_none());
}

/// The connection is reset between two messages. The second message must not be lost.
#[tokio::test]
async fn message_after_a_reset_is_sent_on_a_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let mut peers = PeerTransport::new(sender(), None);
    let expected = from_hex(&format!("{LENGTH}{FRAME}"));
    for _ in 0..2 {
        peers.send(address, body());
        let accepted = timeout(Duration::from_secs(10), listener.accept()).await;
        let (mut stream, _) =
            accepted.expect("no connection arrived in time").expect("cannot accept a connection");
        let mut received = vec![0; expected.len()];
        stream.read_exact(&mut received).await.expect("cannot read the frame");
        assert_eq!(to_hex(&received), to_hex(&expected));
        // Dropping the stream resets the connection before the next message is queued.
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("cannot set the linger option");
    }
}
