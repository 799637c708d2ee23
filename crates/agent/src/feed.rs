//! Serves the proxy of this machine: it says what it has and is told what is newer.

use crate::owner::Command;
use lugwharf_protocol::{FeedMessage, FrameError, ProxyReport, VersionVector, read_frame, write_frame};
use spdlog::prelude::*;
use std::io;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Accepts proxies. There is one; a second connection is that of its successor.
pub async fn serve(listener: TcpListener, commands: mpsc::Sender<Command>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let commands = commands.clone();
                tokio::spawn(async move {
                    if let Err(error) = feed(stream, commands).await {
                        info!("feed", kv: { outcome = "ended", error: = error });
                    }
                });
            }
            Err(error) => {
                warn!("feed", kv: { outcome = "not_accepted", error: = error });
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Feeds one proxy until its connection ends.
async fn feed(stream: TcpStream, commands: mpsc::Sender<Command>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let (reader, writer) = stream.into_split();
    let (have, reported) = watch::channel(None);
    tokio::select! {
        read = read_reports(reader, have, &commands) => read,
        written = write_updates(writer, reported, &commands) => written,
    }
}

/// Takes what the proxy tells until it ends.
async fn read_reports(
    mut reader: OwnedReadHalf, have: watch::Sender<Option<VersionVector>>, commands: &mpsc::Sender<Command>,
) -> Result<(), FrameError> {
    while let Some(report) = read_frame::<ProxyReport>(&mut reader).await? {
        commands.send(Command::Loads(report.loads)).await.map_err(|_| ended())?;
        // Also if it is what it was: an update that the proxy could not use is then made anew.
        have.send_replace(Some(report.have));
    }
    Ok(())
}

/// Sends whatever is newer than what the proxy has said it has.
async fn write_updates(
    mut writer: OwnedWriteHalf, mut reported: watch::Receiver<Option<VersionVector>>,
    commands: &mpsc::Sender<Command>,
) -> Result<(), FrameError> {
    loop {
        let Some(have) = *reported.borrow_and_update() else {
            reported.changed().await.map_err(|_| ended())?;
            continue;
        };
        let (reply, newer) = oneshot::channel();
        commands.send(Command::Newer { have, reply }).await.map_err(|_| ended())?;
        tokio::select! {
            update = newer => {
                let update = update.map_err(|_| ended())?;
                write_frame(&mut writer, &FeedMessage::Update(update)).await?;
            }
            changed = reported.changed() => {
                changed.map_err(|_| ended())?;
                continue;
            }
        }
        // The proxy answers with what it has now.
        reported.changed().await.map_err(|_| ended())?;
    }
}

fn ended() -> FrameError {
    FrameError::Io(io::Error::other("the owner of the tables has ended"))
}
