//! How a server treats connections.

use std::time::Duration;

/// How a server treats connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Connections of all callers together; further ones are reset. Default 350.
    pub max_connections: usize,
    /// Connections that are idle for longer are closed. Default 30 s.
    pub idle_timeout: Duration,
    /// Whether a request is cancelled when its connection closes. Default true.
    pub cancels_on_close: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 350, idle_timeout: Duration::from_secs(30), cancels_on_close: true }
    }
}
