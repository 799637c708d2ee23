//! `GET /metrics` on a port of its own.

use crate::exposition::CONTENT_TYPE;
use eyre::{Result, WrapErr};
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Connections at once: whoever collects figures has one or two.
const MOST_CONNECTIONS: usize = 16;
/// Requests that may wait for the owner of the figures.
const QUEUE: usize = 4;
/// An owner that takes longer to write the text is in trouble.
const ANSWER_WITHIN: Duration = Duration::from_millis(900);

/// Asks the owner of the figures for their text in the OpenMetrics format.
pub type MetricsRequest = oneshot::Sender<String>;

/// The endpoint of one process. The owner of the figures receives the requests.
#[derive(Debug)]
pub struct MetricsEndpoint {
    /// Requests for the text.
    pub requests: mpsc::Receiver<MetricsRequest>,
}

impl MetricsEndpoint {
    /// Listens on `address` until the process ends. Figures are worth less than service: a port that can't be used is
    /// logged, and the process goes on without the endpoint.
    pub async fn listen(address: SocketAddr) -> Option<MetricsEndpoint> {
        match bind(address).await {
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
            .with_max_connections(Some(MOST_CONNECTIONS))
            .with_prebound_server(listener);
        let handler = move |conn: Conn| {
            let sender = sender.clone();
            async move { answer(conn, sender).await }
        };
        tokio::spawn(config.run_async(handler));
        MetricsEndpoint { requests }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err("listening")
}

async fn answer(conn: Conn, sender: mpsc::Sender<MetricsRequest>) -> Conn {
    if conn.path() != "/metrics" {
        return conn.with_status(Status::NotFound).halt();
    }
    if conn.method() != Method::Get {
        return conn.with_status(Status::MethodNotAllowed).halt();
    }
    match timeout(ANSWER_WITHIN, ask(sender)).await.ok().flatten() {
        Some(text) => conn
            .with_status(Status::Ok)
            .with_response_header(KnownHeaderName::ContentType, CONTENT_TYPE)
            .with_body(text)
            .halt(),
        None => conn.with_status(Status::ServiceUnavailable).halt(),
    }
}

async fn ask(sender: mpsc::Sender<MetricsRequest>) -> Option<String> {
    let (reply, text) = oneshot::channel();
    sender.send(reply).await.ok()?;
    text.await.ok()
}
