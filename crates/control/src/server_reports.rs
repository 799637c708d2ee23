//! Asks model servers for their reports: `GET /report`, under the lease of the list watcher.
//!
//! The holder of a new lease asks each server once, since the changes of stage that the last holder ordered are known to the
//! servers alone. A server without an answer is logged (`report outcome=failed`, `debug`) and planned as it is listed.

use crate::command::{Command, notify};
use crate::lease::LeaseWatch;
use crate::leased_call::{self, CallError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use lugwharf_election::FencingToken;
use lugwharf_protocol::Stage;
use lugwharf_stages::StageReport;
use serde::Deserialize;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;

#[cfg(test)]
#[path = "server_reports_tests.rs"]
mod server_reports_tests;

/// Servers respond at once. The first order under a lease is not due before its answers can have arrived.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// Calls at a time, of 1,500 servers at most: each takes a connection of its own.
const MAX_CALLS_IN_FLIGHT: usize = 32;

/// A server that is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// The server's id, which names its incarnation.
    pub id: String,
    /// Its address.
    pub address: SocketAddr,
    /// The fencing token of the lease.
    pub token: FencingToken,
}

/// The body of a report, as far as it is needed. Encoded names are fixed; see docs/GLOSSARY.md.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportBody {
    stage: String,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    seq: u64,
}

/// Why a server has no usable report.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("it answered {0}")]
    Status(StatusCode),
    #[error("no stage is named {0:?}")]
    UnknownStage(String),
}

/// Asks the queued servers until the queue is closed.
pub async fn run(
    mut requests: mpsc::Receiver<ReportRequest>, lease: LeaseWatch, commands: mpsc::Sender<Command>,
) {
    let calls = Arc::new(Semaphore::new(MAX_CALLS_IN_FLIGHT));
    while let Some(request) = requests.recv().await {
        let Ok(permit) = calls.clone().acquire_owned().await else { return };
        let (lease, commands) = (lease.clone(), commands.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let report = timeout(RESPONSE_TIMEOUT, fetch(&request, &lease)).await;
            let ReportRequest { id, token, .. } = request;
            match report {
                Ok(Ok(report)) => notify(&commands, Command::ServerReported { id, token, report }).await,
                Ok(Err(error)) => {
                    debug!("report", kv: { outcome = "failed", id = id.as_str(), error: = error })
                }
                Err(error) => debug!("report", kv: { outcome = "failed", id = id.as_str(), error: = error }),
            }
        });
    }
}

async fn fetch(request: &ReportRequest, lease: &LeaseWatch) -> Result<StageReport, ReportError> {
    let call = Request::get("/report")
        .header(HOST, request.address.to_string())
        .header("Expect-Instance", &request.id)
        .body(Full::new(Bytes::new()))
        .map_err(CallError::from)?;
    let response = leased_call::call(request.address, call, lease, request.token).await?;
    if response.status() != StatusCode::OK {
        return Err(ReportError::Status(response.status()));
    }
    let body = response.body().await?;
    let ReportBody { stage, busy, seq } = serde_json::from_slice(&body).map_err(CallError::from)?;
    let stage = match stage.as_str() {
        "prefill" => Stage::Prefill,
        "decode" => Stage::Decode,
        _ => return Err(ReportError::UnknownStage(stage)),
    };
    Ok(StageReport { stage, is_changing_stage: busy, revision: seq })
}
