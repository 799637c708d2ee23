//! Sends orders to model servers (`POST /order`) under the lease and with the fencing token of the list
//! watcher.
//!
//! Orders run concurrently, each on a separate connection. Nothing is sent after the lease has expired or was
//! resigned. An order that has no response by then is aborted by resetting its connection, so that it can't
//! arrive after another process has acquired the lease. Each order ends with one [`Command::OrderCompleted`].
//! Errors are logged (`order outcome=withheld` or `order outcome=failed`).

use crate::command::{Command, send_command};
use crate::lease::LeaseWatch;
use crate::leased_call::{self, CallError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode};
use lugwharf_election::FencingToken;
use lugwharf_protocol::Stage;
use lugwharf_stages::{Order, OrderOutcome};
use serde::Serialize;
use spdlog::prelude::*;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

#[cfg(test)]
#[path = "orders_tests.rs"]
mod orders_tests;

/// The timeout of an order. Servers respond immediately. An order without a response within this time is
/// aborted and its connection reset, so that it does not arrive after this process has lost the lease.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// An order with the lease that authorizes it.
#[derive(Debug)]
pub struct AuthorizedOrder {
    /// The order.
    pub order: Order,
    /// The node name of the lease holder.
    pub holder: String,
    /// The fencing token of the lease. Nothing is sent after that lease has ended.
    pub token: FencingToken,
}

/// The body of `POST /order`. The encoded names must not change; see `docs/GLOSSARY.md`.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct StageOrder<'a> {
    op: &'static str,
    stage: &'static str,
    holder: &'a str,
    fence: FencingToken,
    #[serde(skip_serializing_if = "Option::is_none")]
    if_revision: Option<u64>,
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
            send_command(&commands, Command::OrderCompleted { id: order.id, token, outcome }).await;
        });
    }
}

/// Sends one order and returns its outcome.
async fn execute(authorized: &AuthorizedOrder, lease: &LeaseWatch) -> OrderOutcome {
    let id = authorized.order.id.as_str();
    match timeout(RESPONSE_TIMEOUT, send(authorized, lease)).await {
        Ok(Ok(status)) => classify_response(status),
        Ok(Err(CallError::LeaseEnded)) => {
            warn!("order", kv: { outcome = "withheld", id, token = authorized.token.0 });
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

async fn send(authorized: &AuthorizedOrder, lease: &LeaseWatch) -> Result<StatusCode, CallError> {
    let AuthorizedOrder { order, holder, token } = authorized;
    let stage = match order.stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body = StageOrder { op: "Stage", stage, holder, fence: *token, if_revision: order.if_revision };
    let request = Request::post("/order")
        .header(HOST, order.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("Expect-Instance", &order.id)
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    Ok(leased_call::call(order.address, request, lease, *token).await?.status())
}
