//! Calls that carry orders to model servers.

use crate::command::Command;
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
use tokio::time::{Instant, timeout, timeout_at};

#[cfg(test)]
#[path = "orders_tests.rs"]
mod orders_tests;

/// An order is answered at once. One that is not by then is given up and its connection reset, so that it does not arrive
/// after its sender has lost the role.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);

/// An order with the authority to give it.
pub struct AuthorizedOrder {
    /// The order.
    pub order: Order,
    /// The name of the sender.
    pub holder: String,
    /// The sender's fencing token and the end of its lease; nothing is sent from then on.
    pub lease: HeldLease,
}

/// The lease ended before the order was sent, as when this process stood still meanwhile.
#[derive(Debug, thiserror::Error)]
#[error("the lease has ended")]
struct LeaseEnded;

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct StageOrder<'a> {
    op: &'static str,
    stage: &'static str,
    holder: &'a str,
    fence: u64,
}

/// Makes the calls, side by side.
pub async fn run(mut calls: mpsc::Receiver<AuthorizedOrder>, commands: mpsc::Sender<Command>) {
    while let Some(call) = calls.recv().await {
        let commands = commands.clone();
        tokio::spawn(async move {
            let answer = match timeout(RESPONSE_TIMEOUT, send(&call)).await {
                Ok(Ok(status)) => classify_response(status),
                Ok(Err(error)) if error.is::<LeaseEnded>() => {
                    warn!("order", kv: { outcome = "withheld", id = call.order.id.as_str(), token = call.lease.token });
                    OrderOutcome::Rejected
                }
                Ok(Err(error)) => {
                    warn!("order", kv: { outcome = "failed", id = call.order.id.as_str(), error: = error });
                    OrderOutcome::Unknown
                }
                Err(_) => OrderOutcome::Unknown,
            };
            drop(commands.send(Command::OrderCompleted { id: call.order.id, answer }).await);
        });
    }
}

fn classify_response(status: StatusCode) -> OrderOutcome {
    match status.as_u16() {
        200 | 202 => OrderOutcome::Accepted,
        400..=499 => OrderOutcome::Rejected,
        _ => OrderOutcome::Unknown,
    }
}

async fn send(call: &AuthorizedOrder) -> eyre::Result<StatusCode> {
    let stage = match call.order.stage {
        Stage::Prefill => "prefill",
        Stage::Decode => "decode",
    };
    let body = StageOrder { op: "Stage", stage, holder: &call.holder, fence: call.lease.token };
    let request = Request::post("/order")
        .header(HOST, call.order.address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header("Expect-Instance", &call.order.id)
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    let stream = TcpStream::connect(call.order.address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
    let now = Instant::now();
    if !call.lease.is_valid(now) {
        return Err(LeaseEnded.into());
    }
    check(Invariant::OrderUnderLease, call.lease.is_valid(now), || format!("token {}", call.lease.token));
    let exchange = sender.send_request(request);
    tokio::pin!(connection, exchange);
    // Both end with this call, so that giving it up resets the connection.
    let answer = async {
        tokio::select! {
            response = &mut exchange => Ok(response?.status()),
            ended = &mut connection => {
                ended?;
                Ok(exchange.await?.status())
            }
        }
    };
    timeout_at(call.lease.expires_at, answer).await?
}
