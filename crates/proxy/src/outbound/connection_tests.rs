//! The end of a body that is delimited by the close of its connection, where a write meets the failure of the
//! connection before a read does.

use crate::http::{BodyDecoder, Framing};
use crate::outbound::connection::{Connection, ReadError};
use crate::outbound::fixtures::{open_connection, start_listener, state_with_server};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Returns a connection on which the peer has sent `body`, and whose writes have failed since the peer has
/// reset it, after an orderly close of its sending direction if `shuts_down` is set.
async fn connection_with_failed_write(body: &[u8], shuts_down: bool) -> Connection {
    let listener = start_listener().await;
    let state = state_with_server(listener.local_addr().expect("the listener has a local address"));
    let (mut connection, mut peer) = open_connection(&state, &listener).await;
    peer.write_all(body).await.expect("the bytes are written");
    if shuts_down {
        peer.shutdown().await.expect("the sending direction is shut down");
    }
    let peer = socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).map(|()| peer);
    drop(peer.expect("the option is set"));
    while connection.write(b"x").await.is_ok() {}
    connection
}

async fn read_body(connection: &mut Connection) -> Result<Vec<u8>, ReadError> {
    let (mut decoder, mut body) = (BodyDecoder::new(Framing::CloseDelimited), Vec::new());
    while let Some(data) = connection.read_body(&mut decoder).await? {
        body.extend_from_slice(&data);
    }
    Ok(body)
}

#[tokio::test]
async fn body_is_truncated_if_a_write_has_met_the_reset() {
    let mut connection = connection_with_failed_write(b"half", false).await;
    assert!(matches!(read_body(&mut connection).await, Err(ReadError::Io(_))));
    assert!(matches!(read_body(&mut connection).await, Err(ReadError::Io(_))), "the failure is lasting");
}

#[tokio::test]
async fn body_is_complete_if_the_orderly_close_preceded_the_reset() {
    let mut connection = connection_with_failed_write(b"full", true).await;
    assert_eq!(read_body(&mut connection).await.expect("the body is complete"), b"full");
}
