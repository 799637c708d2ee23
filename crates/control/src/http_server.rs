//! The HTTP server behind the operator API and its redirects, and its graceful shutdown.

use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::timeout;
use trillium::Handler;
use trillium_http::HttpConfig;
use trillium_server_common::ServerHandle;

/// The maximum number of open connections. The operator has up to eight requests in flight; readiness checks
/// use connections as well.
const MAX_CONNECTIONS: usize = 256;

/// A running HTTP server.
pub struct HttpServer {
    handle: ServerHandle,
}

impl HttpServer {
    /// Starts a server on this listener that accepts bodies of at most `max_body_bytes`.
    pub fn start(listener: TcpListener, max_body_bytes: u64, handler: impl Handler) -> HttpServer {
        let http = HttpConfig::default().with_received_body_max_len(max_body_bytes);
        let config = trillium_tokio::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(MAX_CONNECTIONS))
            .with_http_config(http)
            .with_prebound_server(listener);
        HttpServer { handle: config.spawn(handler) }
    }

    /// Stops accepting connections, closes those without a request in progress, and waits until the others
    /// have their responses, for at most `limit`. Returns whether all have.
    pub async fn shut_down(self, limit: Duration) -> bool {
        timeout(limit, self.handle.shut_down()).await.is_ok()
    }
}
