//! Feeds the proxy of this machine: the proxy reports which versions it has applied and is sent newer ones.

use crate::backoff::Backoff;
use crate::table_owner::Command;
use lugwharf_protocol::{FeedMessage, FrameError, ProxyReport, VersionVector, read_frame, write_frame};
use spdlog::prelude::*;
use std::io;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;

#[cfg(test)]
#[path = "feed_tests.rs"]
mod feed_tests;

/// The delay before the next attempt after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections from proxies until the process ends. A machine runs one proxy; a second connection
/// comes from its replacement during a restart.
pub async fn serve(listener: TcpListener, commands: mpsc::Sender<Command>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let commands = commands.clone();
                tokio::spawn(async move {
                    if let Err(error) = feed_proxy(stream, commands).await {
                        info!("feed", kv: { outcome = "ended", error: = error });
                    }
                });
            }
            Err(error) => {
                warn!("feed", kv: { outcome = "not_accepted", error: = error });
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Exchanges reports and updates with one proxy until its connection ends.
async fn feed_proxy(stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (applied, reports) = watch::channel(None);
    tokio::select! {
        read = read_reports(reader, applied, &commands) => read,
        written = write_updates(writer, reports, &commands) => written,
    }
}

/// Reads the reports of the proxy until it disconnects.
async fn read_reports(
    mut reader: OwnedReadHalf, applied: watch::Sender<Option<VersionVector>>,
    commands: &mpsc::Sender<Command>,
) -> Result<(), FrameError> {
    while let Some(report) = read_frame::<ProxyReport>(&mut reader).await? {
        commands.send(Command::RecordLoads(report.loads)).await.map_err(|_| table_owner_ended())?;
        // Notify the writer even if the vector is unchanged: the proxy may have failed to apply the last
        // update, which is then computed again.
        applied.send_replace(Some(report.have));
    }
    Ok(())
}

/// Sends everything that is newer than the version vector last reported by the proxy. An update that the proxy
/// did not apply is sent again after a delay, since the proxy may not be able to apply it at all.
async fn write_updates(
    mut writer: OwnedWriteHalf, mut reports: watch::Receiver<Option<VersionVector>>,
    commands: &mpsc::Sender<Command>,
) -> Result<(), FrameError> {
    let mut retry_delay = Backoff::new(fastrand::u64(..));
    let mut last_sent_for = None;
    loop {
        let Some(have) = *reports.borrow_and_update() else {
            reports.changed().await.map_err(|_| table_owner_ended())?;
            continue;
        };
        if last_sent_for == Some(have) {
            sleep(retry_delay.next()).await;
        } else {
            retry_delay.reset();
        }
        let (reply, newer) = oneshot::channel();
        commands.send(Command::AwaitUpdate { have, reply }).await.map_err(|_| table_owner_ended())?;
        tokio::select! {
            update = newer => {
                let update = update.map_err(|_| table_owner_ended())?;
                write_frame(&mut writer, &FeedMessage::Update(update)).await?;
                last_sent_for = Some(have);
            }
            changed = reports.changed() => {
                changed.map_err(|_| table_owner_ended())?;
                continue;
            }
        }
        // Wait until the proxy reports the result of this update.
        reports.changed().await.map_err(|_| table_owner_ended())?;
    }
}

fn table_owner_ended() -> FrameError {
    FrameError::Io(io::Error::other("the task that owns the tables has ended"))
}
