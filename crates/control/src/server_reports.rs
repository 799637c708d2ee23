//! Requests reports from model servers (`GET /report`) under the lease of the list watcher.
//!
//! The holder of a new lease requests a report from each server once, because only the servers know which
//! stage changes the previous holder ordered. A failed request is logged (`report outcome=failed`, at
//! `debug`); planning then uses the stage of the server in the list.

use crate::command::{Command, send_command};
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

/// The timeout of a request. Servers respond immediately. The first order under a new lease is due only after
/// this time, so that the reports can have arrived.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum number of concurrent requests. A fleet has up to 1,500 servers, and each request opens a
/// connection.
const MAX_CALLS_IN_FLIGHT: usize = 32;

/// A request for the report of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportRequest {
    /// The id of the server. Each incarnation of a server has a new id.
    pub id: String,
    /// The address of the server.
    pub address: SocketAddr,
    /// The fencing token of the lease.
    pub token: FencingToken,
}

/// The fields of a report that are used here. The encoded names must not change; see `docs/GLOSSARY.md`.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ReportBody {
    stage: String,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    seq: u64,
}

/// The reason why a report could not be read. The text is logged as `error`.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("the server responded with status {0}")]
    Status(StatusCode),
    #[error("unknown stage {0:?} in the report")]
    UnknownStage(String),
}

/// Sends the queued requests until the queue is closed.
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
                Ok(Ok(report)) => {
                    send_command(&commands, Command::ServerReported { id, token, report }).await
                }
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
