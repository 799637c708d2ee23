//! Opens connections for the internal protocols.

use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::net::{TcpSocket, TcpStream};

/// Connects to `address`. The connection is bound to the local address `source` (the setting `Bind`) if one
/// is given.
pub async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}
