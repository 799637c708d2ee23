//! Accepts connections of the internal protocol: a bounded number, each served by a task of its own.
//!
//! A connection that fails is closed and logged (`link outcome=closed`); nothing else changes.

use crate::command::Command;
use lugwharf_protocol::FrameError;
use spdlog::prelude::*;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

/// The pause after an accept that failed, as when there are no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a listener accepts.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// The `kind` of these connections in the log.
    pub kind: &'static str,
    /// Connections that may be open at once; those beyond are closed at once.
    pub max_connections: usize,
}

/// Accepts connections for as long as the process runs, and hands each to `serve`.
pub async fn accept<S, F>(
    listener: TcpListener, limits: AcceptLimits, commands: mpsc::Sender<Command>, serve: S,
) where
    S: Fn(TcpStream, mpsc::Sender<Command>) -> F,
    F: Future<Output = Result<(), FrameError>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else { continue };
        let connection = serve(stream, commands.clone());
        tokio::spawn(async move {
            let _permit = permit;
            if let Err(error) = connection.await {
                info!("link", kv: { outcome = "closed", kind = limits.kind, from: = address, error: = error });
            }
        });
    }
}
