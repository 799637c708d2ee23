//! The link to the agent on this machine. The proxy connects, tells what it has, and takes over what the agent sends.

use crate::state::ProxyState;
use lugwharf_protocol::{FeedMessage, FrameError, ProxyReport, read_frame, write_frame};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The wait between tries while the agent is not there. Both processes of a machine start together, and one restarts alone at
/// times: it has to be ready again within a second.
const RETRY: Duration = Duration::from_millis(50);

/// How often the load is told: the parts of servers are planned by it, and that takes seconds.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// Keeps the link up for as long as the process runs.
pub async fn follow(state: Rc<ProxyState>, agent: SocketAddr) {
    let mut is_up = true;
    loop {
        match session(&state, agent).await {
            Ok(()) => spdlog::warn!("feed outcome=closed"),
            Err(error) if std::mem::replace(&mut is_up, false) => {
                spdlog::warn!("feed outcome=down error={error}")
            }
            Err(_) => {}
        }
        sleep(RETRY).await;
    }
}

/// One connection, until it ends.
async fn session(state: &ProxyState, agent: SocketAddr) -> Result<(), FrameError> {
    let link = TcpStream::connect(agent).await?;
    drop(link.set_nodelay(true));
    let (reader, writer) = link.into_split();
    let applied = Notify::new();
    tokio::select! {
        read = read_updates(state, reader, &applied) => read,
        written = write_reports(state, writer, &applied) => written,
    }
}

/// Takes over what the agent sends until it ends.
async fn read_updates(
    state: &ProxyState, mut reader: OwnedReadHalf, applied: &Notify,
) -> Result<(), FrameError> {
    while let Some(FeedMessage::Update(update)) = read_frame::<FeedMessage>(&mut reader).await? {
        state.apply(&update);
        applied.notify_one();
    }
    Ok(())
}

/// Tells what this process has: at the start, after each update, and now and then for the load's sake.
async fn write_reports(
    state: &ProxyState, mut writer: OwnedWriteHalf, applied: &Notify,
) -> Result<(), FrameError> {
    loop {
        let loads = state.balancer.borrow().in_flight_loads();
        write_frame(&mut writer, &ProxyReport { have: state.have(), loads }).await?;
        tokio::select! {
            () = applied.notified() => {}
            () = sleep(REPORT_EVERY) => {}
        }
    }
}
