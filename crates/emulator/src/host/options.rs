//! The options of a server for its connections.

use std::time::Duration;

/// The options of a server for its connections.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// The maximum number of connections, from all callers together. Further ones are reset. Default 350.
    pub max_connections: usize,
    /// How long a connection may be idle before it is closed. Default 30 s.
    pub idle_timeout: Duration,
    /// Whether a request is cancelled when its connection is closed. Default true.
    pub cancels_on_close: bool,
}

impl Default for ServerOptions {
    fn default() -> Self {
        ServerOptions { max_connections: 350, idle_timeout: Duration::from_secs(30), cancels_on_close: true }
    }
}
