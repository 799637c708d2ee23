//! Sends orders to model servers: `POST /order`, each under the lease and fencing token of the list watcher.
//!
//! Orders run concurrently, each on a connection of its own. Nothing is sent once the lease has ended, and an order without a
//! response is aborted by a reset, so that it can't arrive after another process acquired the lease. Each order ends with one
//! [`Command::OrderCompleted`]; errors are logged (`order outcome=withheld` or `failed`).

use crate::command::{Command, notify};
use crate::lease::HeldLease;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::handshake;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lugwharf_invariants::{Invariant, check};
use lugwharf_protocol::Stage;
use lugwharf_stages::{Order, OrderOutcome};
use serde::Serialize;
use socket2::SockRef;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout, timeout_at};

#[cfg(test)]
#[path = "orders_tests.rs"]
mod orders_tests;

/// Servers respond at once. An order without a response by then is aborted and its connection reset, so that it does not
/// arrive after this process lost the lease.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// An order with the lease that authorises it.
pub struct AuthorizedOrder {
    /// The order.
    pub order: Order,
    /// The node name of the lease holder.
    pub holder: String,
    /// The lease; nothing is sent after its end.
    pub lease: HeldLease,
}

/// Why an order has no response. The text is logged as `error` of `order outcome=failed`.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    /// The lease ended before the order was sent, as after a pause of this process.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The lease ended while the order was in flight.
    #[error(transparent)]
    LeaseEndedInFlight(#[from] Elapsed),
    /// The request could not be built, as for an id that is no header value.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The body could not be encoded.
    #[error(transparent)]
    Body(#[from] serde_json::Error),
    /// The connection failed.
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// The body of `POST /order`. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct StageOrder<'a> {
    op: &'static str,
    stage: &'static str,
    holder: &'a str,
    fence: u64,
}

/// Sends the queued orders until the queue is closed.
pub async fn run(mut orders: mpsc::Receiver<AuthorizedOrder>, commands: mpsc::Sender<Command>) {
    while let Some(authorized) = orders.recv().await {
        let commands = commands.clone();
        tokio::spawn(async move {
            let outcome = execute(&authorized).await;
            notify(&commands, Command::OrderCompleted { id: authorized.order.id, outcome }).await;
        });
    }
}

/// Sends one order and classifies how it ended.
async fn execute(authorized: &AuthorizedOrder) -> OrderOutcome {
    let id = authorized.order.id.as_str();
    match timeout(RESPONSE_TIMEOUT, send(authorized)).await {
        Ok(Ok(status)) => classify_response(status),
        Ok(Err(OrderError::LeaseEnded)) => {
            warn!("order", kv: { outcome = "withheld", id, token = authorized.lease.token });
            OrderOutcome::Rejected
        }
        Ok(Err(error)) => {
            warn!("order", kv: { outcome = "failed", id, error: = error });
            OrderOutcome::Unknown
        }
        Err(_) => OrderOutcome::Unknown,
    }
}

fn classify_response(status: StatusCode) -> OrderOutcome {
    match status.as_u16() {
        200 | 202 => OrderOutcome::Accepted,
        400..=499 => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}

async fn send(authorized: &AuthorizedOrder) -> Result<StatusCode, OrderError> {
    let stage = match authorized.order.stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body = StageOrder { op: "Stage", stage, holder: &authorized.holder, fence: authorized.lease.token };
    let request = Request::post("/order")
        .header(HOST, authorized.order.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("Expect-Instance", &authorized.order.id)
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let stream = TcpStream::connect(authorized.order.address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let now = Instant::now();
    if !authorized.lease.is_valid(now) {
        return Err(OrderError::LeaseEnded);
    }
    check(Invariant::OrderUnderLease, authorized.lease.is_valid(now), || {
        format!("token {}", authorized.lease.token)
    });
    let exchange = sender.send_request(request);
    tokio::pin!(connection, exchange);
    // Both end with this function, so that aborting it resets the connection.
    let answer = async {
        tokio::select! {
            response = &mut exchange => Ok(response?.status()),
            ended = &mut connection => {
                ended?;
                Ok(exchange.await?.status())
            }
        }
    };
    timeout_at(authorized.lease.expires_at, answer).await?
}
