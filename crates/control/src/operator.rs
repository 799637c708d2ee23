//! The operator API over HTTP: `PUT /config`, `PATCH /config`, `GET /config`, `GET /status`, `GET /metrics`.
//!
//! This module owns the HTTP server and has no state of its own: each request is translated to commands to
//! the controller. Every error is one of [`ErrorKind`] and is counted by kind in `refusals_total`.

mod config_change;
mod controller_client;
mod response;

use crate::command::Command;
use crate::http_server::HttpServer;
use crate::metrics::{self, RejectionCounters};
use crate::operator_error::{ErrorKind, OperatorError};
use config_change::ConfigChanges;
use controller_client::{ControllerClient, RESPONSE_TIMEOUT};
use response::Response;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use trillium::{Conn, Method};

#[cfg(test)]
pub use config_change::MAX_CONCURRENT_BODIES;
pub use config_change::MAX_CONFIG_BYTES;
pub use response::send_error;

/// The maximum time to complete a response once its request has been received.
pub const MAX_RESPONSE_TIME: Duration = RESPONSE_TIMEOUT.saturating_add(Duration::from_millis(70));

/// The shared state of all request handlers.
#[derive(Clone)]
struct Api {
    controller: ControllerClient,
    changes: ConfigChanges,
    rejections: RejectionCounters,
}

/// Serves the API until the returned server is shut down.
pub fn serve(
    listener: TcpListener, commands: mpsc::Sender<Command>, rejections: RejectionCounters,
) -> HttpServer {
    let controller = ControllerClient::new(commands);
    let changes = ConfigChanges::new(controller.clone());
    let api = Api { controller, changes, rejections };
    let handler = move |conn: Conn| {
        let api = api.clone();
        async move { handle(conn, api).await }
    };
    HttpServer::start(listener, MAX_CONFIG_BYTES, handler)
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
