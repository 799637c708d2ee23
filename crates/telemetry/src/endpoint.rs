//! Serves `GET /metrics` on a separate port.

use crate::exposition::CONTENT_TYPE;
use spdlog::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use trillium::{Conn, KnownHeaderName, Method, Status};

/// The maximum number of concurrent connections. A metrics collector opens one or two.
const MAX_CONNECTIONS: usize = 16;
/// The maximum number of requests that are queued for the owner of the metrics.
const QUEUE_CAPACITY: usize = 4;
/// The timeout for the reply of the owner of the metrics. Even a busy owner replies far sooner. After the
/// timeout the request gets status 503.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// A request for the metrics in the OpenMetrics text format: the channel on which the owner of the metrics
/// sends the text.
pub type MetricsRequest = oneshot::Sender<String>;

/// The metrics endpoint of a process. It forwards each request to the owner of the metrics, which writes the
/// text.
#[derive(Debug)]
pub struct MetricsEndpoint {
    /// The requests that the owner of the metrics must reply to.
    pub requests: mpsc::Receiver<MetricsRequest>,
}

impl MetricsEndpoint {
    /// Listens on `ip` and `port`. `None` if the command line specifies no port, or if the port cannot be
    /// used.
    pub async fn listen_if_enabled(ip: IpAddr, port: Option<u16>) -> Option<MetricsEndpoint> {
        MetricsEndpoint::listen(SocketAddr::new(ip, port?)).await
    }

    /// Listens on `address` until the process ends. `None` if the port cannot be used: the error is logged
    /// and the process continues without the endpoint, because serving requests matters more than metrics.
    pub async fn listen(address: SocketAddr) -> Option<MetricsEndpoint> {
        match TcpListener::bind(address).await {
            Ok(listener) => Some(MetricsEndpoint::serve(listener)),
            Err(error) => {
                warn!("metrics", kv: { outcome = "not_served", address: = address, error: = error });
                None
            }
        }
    }

    fn serve(listener: TcpListener) -> MetricsEndpoint {
        let (sender, requests) = mpsc::channel(QUEUE_CAPACITY);
        let config = trillium_tokio::config()
            .without_signals()
            .with_nodelay()
            .with_max_connections(Some(MAX_CONNECTIONS))
            .with_prebound_server(listener);
        let handler = move |conn: Conn| {
            let sender = sender.clone();
            async move { respond(conn, sender).await }
        };
        tokio::spawn(config.run_async(handler));
        MetricsEndpoint { requests }
    }
}

async fn respond(conn: Conn, owner: mpsc::Sender<MetricsRequest>) -> Conn {
    if conn.path() != "/metrics" {
        return conn.with_status(Status::NotFound).halt();
    }
    if conn.method() != Method::Get {
        return conn.with_status(Status::MethodNotAllowed).halt();
    }
    match timeout(REPLY_TIMEOUT, request_text(owner)).await.ok().flatten() {
        Some(text) => conn
            .with_status(Status::Ok)
            .with_response_header(KnownHeaderName::ContentType, CONTENT_TYPE)
            .with_body(text)
            .halt(),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

/// Requests the text from the owner of the metrics; `None` if the owner has ended.
async fn request_text(owner: mpsc::Sender<MetricsRequest>) -> Option<String> {
    let (reply, text) = oneshot::channel();
    owner.send(reply).await.ok()?;
    text.await.ok()
}
