//! The connection to the agent on this machine, which sends the configuration and the endpoint list.
//!
//! The proxy connects and reports the versions that it has. The agent sends the tables that are newer.

use crate::state::ProxyState;
use lugwharf_protocol::{FeedMessage, FrameError, ProxyReport, read_frame, write_frame};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::sleep;

/// The delay between attempts to connect. The proxy and the agent of a machine start together, and either may
/// restart alone: the proxy has to be ready again within a second.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(50);

/// The interval of load reports. They are used to plan the stages of servers, whose changes take seconds.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Connects to the agent and reconnects after each failure, for as long as the process runs.
pub async fn run(state: Rc<ProxyState>, agent: SocketAddr) {
    let mut is_first_failure = true;
    loop {
        match run_session(&state, agent).await {
            Ok(()) => spdlog::warn!("feed outcome=closed"),
            // Only the first failure of the process is logged, since each attempt to connect may fail.
            Err(error) if std::mem::replace(&mut is_first_failure, false) => {
                spdlog::warn!("feed outcome=down error={error}")
            }
            Err(_) => {}
        }
        sleep(RECONNECT_BACKOFF).await;
    }
}

/// Runs one connection to the agent until it closes.
async fn run_session(state: &ProxyState, agent: SocketAddr) -> Result<(), FrameError> {
    let stream = TcpStream::connect(agent).await?;
    // The error is ignored: without `TCP_NODELAY` updates are only slower.
    drop(stream.set_nodelay(true));
    let (reader, writer) = stream.into_split();
    let applied = Notify::new();
    tokio::select! {
        read = read_updates(state, reader, &applied) => read,
        written = write_reports(state, writer, &applied) => written,
    }
}

/// Applies the agent's updates until the agent closes the connection.
async fn read_updates(
    state: &ProxyState, mut reader: OwnedReadHalf, applied: &Notify,
) -> Result<(), FrameError> {
    while let Some(FeedMessage::Update(update)) = read_frame::<FeedMessage>(&mut reader).await? {
        state.apply(&update);
        applied.notify_one();
    }
    Ok(())
}

/// Reports versions and load when the connection is established, after each update, and every second.
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
