//! `GET /metrics` on a port of its own.

use crate::exposition::CONTENT_TYPE;
use spdlog::prelude::*;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Connections at once; a collector opens one or two.
const MAX_CONNECTIONS: usize = 16;
/// Requests that may be queued for the owner of the metrics.
const QUEUE: usize = 4;
/// How long the owner of the metrics may take to write the text. A busy owner answers far sooner; after this the request gets
/// a 503.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);

/// A request for the text of the metrics in the OpenMetrics format; the text is sent through it.
pub type MetricsRequest = oneshot::Sender<String>;

/// The metrics endpoint of one process. It forwards each request to the owner of the metrics, which writes the text.
#[derive(Debug)]
pub struct MetricsEndpoint {
    /// Requests for the text, for the owner of the metrics.
    pub requests: mpsc::Receiver<MetricsRequest>,
}

impl MetricsEndpoint {
    /// Listens on `ip` and `port` if the command line gave a port; `None` otherwise, or if the port can't be used.
    pub async fn listen_if_enabled(ip: IpAddr, port: Option<u16>) -> Option<MetricsEndpoint> {
        MetricsEndpoint::listen(SocketAddr::new(ip, port?)).await
    }

    /// Listens on `address` until the process ends. `None` if the port can't be used: this is logged and the process goes on
    /// without the endpoint, since service is worth more than metrics.
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
        let (sender, requests) = mpsc::channel(QUEUE);
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

/// The text from the owner of the metrics; `None` if the owner has ended.
async fn request_text(owner: mpsc::Sender<MetricsRequest>) -> Option<String> {
    let (reply, text) = oneshot::channel();
    owner.send(reply).await.ok()?;
    text.await.ok()
}
