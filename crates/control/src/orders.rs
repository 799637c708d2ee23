//! Sends orders to model servers: `POST /order`, each under the lease and fencing token of the list watcher.
//!
//! Orders run concurrently, each on a connection of its own. Nothing is sent once the lease has ended or was given up, and an
//! order without a response by then is aborted by a reset, so that it can't arrive after another process acquired the lease.
//! Each order ends with one [`Command::OrderCompleted`]; errors are logged (`order outcome=withheld` or `failed`).

use crate::command::{Command, notify};
use crate::lease::LeaseWatch;
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
use tokio::time::timeout;

#[cfg(test)]
#[path = "orders_tests.rs"]
mod orders_tests;

/// Servers respond at once. An order without a response by then is aborted and its connection reset, so that it does not
/// arrive after this process lost the lease.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// An order with the lease that authorises it.
#[derive(Debug)]
pub struct AuthorizedOrder {
    /// The order.
    pub order: Order,
    /// The node name of the lease holder.
    pub holder: String,
    /// The fencing token of the lease; nothing is sent once that lease is over.
    pub token: u64,
}

/// Why an order has no response. The text is logged as `error` of `order outcome=failed`.
#[derive(Debug, thiserror::Error)]
enum OrderError {
    /// The lease ended before the order was sent, as after a pause of this process or a rejection of its token.
    #[error("the lease has ended")]
    LeaseEnded,
    /// The lease ended while the order was in flight.
    #[error("the lease has ended meanwhile")]
    LeaseEndedInFlight,
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
pub async fn run(
    mut orders: mpsc::Receiver<AuthorizedOrder>, lease: LeaseWatch, commands: mpsc::Sender<Command>,
) {
    while let Some(authorized) = orders.recv().await {
        let (lease, commands) = (lease.clone(), commands.clone());
        tokio::spawn(async move {
            let outcome = execute(&authorized, &lease).await;
            let AuthorizedOrder { order, token, .. } = authorized;
            notify(&commands, Command::OrderCompleted { id: order.id, token, outcome }).await;
        });
    }
}

/// Sends one order and classifies how it ended.
async fn execute(authorized: &AuthorizedOrder, lease: &LeaseWatch) -> OrderOutcome {
    let id = authorized.order.id.as_str();
    match timeout(RESPONSE_TIMEOUT, send(authorized, lease)).await {
        Ok(Ok(status)) => classify_response(status),
        Ok(Err(OrderError::LeaseEnded)) => {
            warn!("order", kv: { outcome = "withheld", id, token = authorized.token });
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
    match status {
        StatusCode::OK | StatusCode::ACCEPTED => OrderOutcome::Accepted,
        StatusCode::PRECONDITION_FAILED => OrderOutcome::StaleToken,
        status if status.is_client_error() => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}

async fn send(authorized: &AuthorizedOrder, lease: &LeaseWatch) -> Result<StatusCode, OrderError> {
    let stage = match authorized.order.stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body = StageOrder { op: "Stage", stage, holder: &authorized.holder, fence: authorized.token };
    let request = Request::post("/order")
        .header(HOST, authorized.order.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("Expect-Instance", &authorized.order.id)
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let stream = TcpStream::connect(authorized.order.address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    if !lease.holds(authorized.token) {
        return Err(OrderError::LeaseEnded);
    }
    check(Invariant::OrderUnderLease, lease.holds(authorized.token), || {
        format!("token {}", authorized.token)
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
    tokio::select! {
        biased;
        answer = answer => answer,
        () = lease.clone().lost(authorized.token) => Err(OrderError::LeaseEndedInFlight),
    }
}
