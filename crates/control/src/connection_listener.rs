//! Accepts a bounded number of connections of the internal protocol and serves each in its own task.
//!
//! A connection that fails is closed and logged (`link outcome=closed`). The failure has no other effect.

use crate::command::Command;
use lugwharf_protocol::FrameError;
use spdlog::prelude::*;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

/// The delay before the next attempt after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits and the log name of a listener.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// The `kind` of these connections in log lines.
    pub kind: &'static str,
    /// The maximum number of open connections. Connections beyond it are closed immediately.
    pub max_connections: usize,
}

/// Accepts connections until the process ends, and passes each to `serve`.
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
