//! The operator API over HTTP: `PUT /config`, `PATCH /config`, `GET /config`, `GET /status`, `GET /metrics`.
//!
//! This module owns the HTTP server and has no state of its own: each request is translated to commands to
//! the controller. Every error is one of [`ErrorKind`] and is counted by kind in `refusals_total`.

mod config_change;
mod controller_client;
mod response;

use crate::command::Command;
use crate::metrics::{self, RejectionCounters};
use crate::operator_error::{ErrorKind, OperatorError};
use config_change::ConfigChanges;
use controller_client::{ControllerClient, RESPONSE_TIMEOUT};
use response::Response;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use trillium::{Conn, Method};
use trillium_http::HttpConfig;

#[cfg(test)]
pub use config_change::MAX_CONCURRENT_BODIES;
pub use config_change::MAX_CONFIG_BYTES;
pub use response::send_error;

/// The maximum number of open connections. The operator has up to eight requests in flight; readiness checks
/// use connections as well.
const MAX_CONNECTIONS: usize = 256;

/// The shared state of all request handlers.
#[derive(Clone)]
struct Api {
    controller: ControllerClient,
    changes: ConfigChanges,
    rejections: RejectionCounters,
}

/// Serves the API until the process ends.
pub fn serve(listener: TcpListener, commands: mpsc::Sender<Command>, rejections: RejectionCounters) {
    let config = http_server_config(listener, MAX_CONFIG_BYTES);
    let controller = ControllerClient::new(commands);
    let changes = ConfigChanges::new(controller.clone());
    let api = Api { controller, changes, rejections };
    let handler = move |conn: Conn| {
        let api = api.clone();
        async move { handle(conn, api).await }
    };
    tokio::spawn(config.run_async(handler));
}

/// Configures an HTTP server on this listener that accepts bodies of at most `max_body_bytes`.
pub fn http_server_config(
    listener: TcpListener, max_body_bytes: u64,
) -> trillium_server_common::Config<impl trillium_server_common::Server, ()> {
    let http = HttpConfig::default().with_received_body_max_len(max_body_bytes);
    trillium_tokio::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(MAX_CONNECTIONS))
        .with_http_config(http)
        .with_prebound_server(listener)
}

async fn handle(mut conn: Conn, api: Api) -> Conn {
    let result = match (conn.method(), conn.path()) {
        (Method::Put, "/config") => api.changes.put(&mut conn).await,
        (Method::Patch, "/config") => api.changes.patch(&mut conn).await,
        (Method::Get, "/config") => api.get_config().await,
        (Method::Get, "/status") => api.get_status().await,
        (Method::Get, "/metrics") => api.get_metrics().await,
        (_, "/config" | "/status" | "/metrics") => {
            Err(OperatorError::new(ErrorKind::MethodNotAllowed, "this path does not take this method"))
        }
        _ => Err(OperatorError::new(ErrorKind::NotFound, "there is nothing at this path")),
    };
    match result {
        Ok(response) => response.send(conn),
        Err(error) => {
            api.rejections.count(error.kind);
            send_error(conn, &error)
        }
    }
}

impl Api {
    async fn get_config(&self) -> Result<Response, OperatorError> {
        match self.controller.read_config(deadline()).await? {
            Some(config) => Ok(Response::from_json_bytes(config.bytes.to_vec())),
            None => Err(OperatorError::no_configuration()),
        }
    }

    async fn get_status(&self) -> Result<Response, OperatorError> {
        Ok(Response::json(&self.controller.status(deadline()).await?))
    }

    async fn get_metrics(&self) -> Result<Response, OperatorError> {
        let text = self.controller.metrics(deadline()).await?;
        Ok(Response::text(metrics::CONTENT_TYPE, text))
    }
}

fn deadline() -> Instant {
    Instant::now() + RESPONSE_TIMEOUT
}
