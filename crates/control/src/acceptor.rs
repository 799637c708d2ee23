//! Accepting links of the internal protocol: a bounded number of them, each connection by a task of its own.

use crate::command::Command;
use lugwharf_protocol::FrameError;
use spdlog::prelude::*;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::sleep;

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What a listener lets in.
#[derive(Clone, Copy, Debug)]
pub struct AcceptLimits {
    /// What the log calls such a link.
    pub kind: &'static str,
    /// Links that may be open at once; a newcomer beyond them is closed.
    pub max_connections: usize,
}

/// Lets others open links for as long as the process runs. A link that fails is closed and logged, and nothing else changes.
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
            if let Err(error) = connection.await {
                info!("link", kv: { outcome = "closed", kind = limits.kind, from: = address, error: = error });
            }
            drop(permit);
        });
    }
}
