//! The link to the agent on this machine, by which configuration and endpoint list arrive.
//!
//! The proxy connects and reports the versions that it has; the agent sends what is newer.

use crate::state::ProxyState;
use lugwharf_protocol::{FeedMessage, FrameError, ProxyReport, read_frame, write_frame};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The backoff between connects. Proxy and agent of a machine start together, and one of them may restart alone: the proxy has to
/// be ready again within a second.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// How often the load is reported. The planner of stages uses it, whose changes take seconds.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the link up for as long as the process runs.
pub async fn run(state: Rc<ProxyState>, agent: SocketAddr) {
    let mut was_up = true;
    loop {
        match run_session(&state, agent).await {
            Ok(()) => spdlog::warn!("feed outcome=closed"),
            // Logged once, not for each backoff.
            Err(error) if std::mem::replace(&mut was_up, false) => {
                spdlog::warn!("feed outcome=down error={error}")
            }
            Err(_) => {}
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// One connection to the agent, until it closes.
async fn run_session(state: &ProxyState, agent: SocketAddr) -> Result<(), FrameError> {
    let link = TcpStream::connect(agent).await?;
    // Without the option updates are only slower.
    drop(link.set_nodelay(true));
    let (reader, writer) = link.into_split();
    let applied = Notify::new();
    tokio::select! {
        read = read_updates(state, reader, &applied) => read,
        written = write_reports(state, writer, &applied) => written,
    }
}

/// Applies the updates of the agent until it closes the connection.
async fn read_updates(
    state: &ProxyState, mut reader: OwnedReadHalf, applied: &Notify,
) -> Result<(), FrameError> {
    while let Some(FeedMessage::Update(update)) = read_frame::<FeedMessage>(&mut reader).await? {
        state.apply(&update);
        applied.notify_one();
    }
    Ok(())
}

/// Reports versions and load: at the start, after each update, and each second.
async fn write_reports(
    state: &ProxyState, mut writer: OwnedWriteHalf, applied: &Notify,
) -> Result<(), FrameError> {
    loop {
        let loads = state.balancer.borrow().in_flight_loads();
        write_frame(&mut writer, &ProxyReport { have: state.versions(), loads }).await?;
        tokio::select! {
            () = applied.notified() => {}
            () = sleep(REPORT_INTERVAL) => {}
        }
    }
}
