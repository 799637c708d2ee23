//! Serves the platform's readiness checks: `GET /ready` on a separate port.

use crate::http::{self, Fill};
use crate::state::ProxyState;
use bytes::BytesMut;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The idle timeout of a connection. The platform checks once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of the head of a check, in bytes.
const MAX_HEAD_BYTES: usize = 4 * 1024;
/// The delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections and answers their checks for as long as the process runs.
pub async fn listen(state: Rc<ProxyState>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let state = state.clone();
                tokio::task::spawn_local(async move { serve(&state, stream).await });
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
}

/// Answers the checks of one connection until it closes.
async fn serve(state: &ProxyState, mut stream: TcpStream) {
    // The error is ignored: without `TCP_NODELAY` responses are only slower.
    drop(stream.set_nodelay(true));
    let mut buffer = BytesMut::new();
    loop {
        let head = match http::parse_request(&mut buffer) {
            Ok(Some(head)) => head,
            Ok(None) if buffer.len() < MAX_HEAD_BYTES => {
                match timeout(IDLE_TIMEOUT, http::fill(&mut stream, &mut buffer)).await {
                    Ok(Ok(Fill::Received)) => continue,
                    _ => return,
                }
            }
            Ok(None) | Err(_) => return,
        };
        let path = head.target().split('?').next().unwrap_or_default();
        let status = match (path == "/ready", state.is_ready()) {
            (false, _) => "404 Not Found",
            (true, true) => "200 OK",
            (true, false) => "503 Service Unavailable",
        };
        let close = head.wants_close();
        let connection = if close { "Connection: close\r\n" } else { "" };
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{connection}\r\n");
        if stream.write_all(response.as_bytes()).await.is_err() || close {
            return;
        }
    }
}
