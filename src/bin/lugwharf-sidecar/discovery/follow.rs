//! Following the server list: a call for the complete list, then watches from its revision on.
//!
//! A watch is a long poll, which Consul calls a blocking query: a request that names the known revision
//! (`index`) and the longest wait (`wait`). Discovery answers as soon as there is a newer revision, or with
//! the unchanged revision after the wait.

use super::error::DiscoveryError;
use super::list::read;
use crate::config::Config;
use crate::connection::TcpConnection;
use crate::events::{DriverEvent, DriverHandle, ListUpdate};
use crate::upstream::MAX_BODY_BYTES;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use lugwharf_sidecar::api::{Discovery, ServerListEvent};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long a watch of pushed discovery may wait for a change. A call to the agent on the sidecar's own host
/// costs nothing, and a short watch detects an unresponsive agent sooner.
pub(super) const PUSHED_WATCH_TIME: Duration = Duration::from_secs(2);
/// How long a watch of discovery on request may wait. The wait is long because that service processes its
/// calls one at a time.
pub(super) const ON_REQUEST_WATCH_TIME: Duration = Duration::from_secs(20);
/// The time-out of a call for the complete list where discovery is pushed.
const PUSHED_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time-out of a call for the complete list where discovery is on request. It is longer, since one
/// service for all sidecars may queue calls.
pub(super) const ON_REQUEST_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A watch fails when its answer is this long overdue. The sidecar has to know a change one second after a
/// watch missed it, and therefore has to ask again within that second.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// The first delay of the exponential backoff after failed calls to an agent. Where discovery is on request,
/// the decision module determines when to ask again.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The longest delay of the backoff, which is below the 200 ms within which a watch has to be renewed. In
/// either mode of discovery, a watch that returned without a change in less than this time is also followed
/// by a pause of this length.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// The limit on a list, in bytes. Each upstream takes some hundred bytes, so the limit is above that of a
/// request's body.
const MAX_LIST_BYTES: usize = 64 * MAX_BODY_BYTES;

type Connection = TcpConnection<Empty<Bytes>>;

/// Follows the list at the current address; returns only when the sender of the address is dropped.
///
/// Where discovery is on request, the first call is made when the decision module subscribes, and continues
/// from the known revision, if there is one. If the address changes before that, the first call is made at
/// once and asks the new address for the complete list. Where discovery is pushed, the agent is asked for the
/// complete list first, since the agent may have restarted its revision count.
pub async fn follow(
    config: Arc<Config>, mut address: watch::Receiver<SocketAddr>, mut known_revision: Option<u64>,
    subscribe: Arc<Notify>, driver: DriverHandle,
) {
    if config.settings.discovery == Discovery::Pushed {
        known_revision = None;
    } else {
        tokio::select! {
            () = subscribe.notified() => {}
            _ = address.changed() => known_revision = None,
        }
    }
    loop {
        let current = *address.borrow_and_update();
        let watcher = Watcher::new(current, &config, known_revision, &driver);
        // A new address ends the current call, or the wait for the next one. The revision of the old address
        // has no meaning at the new one.
        tokio::select! {
            () = watcher.run(&subscribe) => {}
            changed = address.changed() => if changed.is_err() { return },
        }
        known_revision = None;
    }
}

/// Follows the list at one address.
struct Watcher<'a> {
    address: SocketAddr,
    config: &'a Config,
    driver: &'a DriverHandle,
    /// The revision of the current list; `None` if the complete list is to be read next.
    revision: Option<u64>,
    /// The wait after the next failed call; [`MIN_BACKOFF`] if no call has failed since the last update that
    /// was handed to the driver.
    backoff: Duration,
    /// The idle connection, if there is one.
    connection: Option<Connection>,
}

impl<'a> Watcher<'a> {
    fn new(address: SocketAddr, config: &'a Config, revision: Option<u64>, driver: &'a DriverHandle) -> Self {
        Watcher { address, config, driver, revision, backoff: MIN_BACKOFF, connection: None }
    }

    fn is_on_request(&self) -> bool {
        self.config.settings.discovery != Discovery::Pushed
    }

    fn watch_time(&self) -> Duration {
        if self.is_on_request() { ON_REQUEST_WATCH_TIME } else { PUSHED_WATCH_TIME }
    }

    fn call_timeout(&self) -> Duration {
        if self.is_on_request() { ON_REQUEST_CALL_TIMEOUT } else { PUSHED_CALL_TIMEOUT }
    }

    /// Makes calls forever.
    async fn run(mut self, subscribe: &Notify) {
        loop {
            let called_at = Instant::now();
            match self.call().await {
                Ok(update) => self.on_update(update, called_at).await,
                Err(error) => {
                    self.on_error(&error);
                    self.wait_to_retry(subscribe).await;
                }
            }
        }
    }

    /// Hands an update to the driver, and continues from its revision. A stale delta is dropped instead, and
    /// the complete list is read next. Pauses before the next call if this one returned early without a
    /// change.
    async fn on_update(&mut self, update: ListUpdate, called_at: Instant) {
        // A stale delta has changes to another list than the current one. A complete list is applied whatever
        // its revision, since discovery may have restarted its revision count.
        let is_stale_delta =
            !update.is_complete && self.revision.is_some_and(|current| update.revision < current);
        if is_stale_delta {
            self.revision = None;
            return;
        }
        let returned_early_unchanged =
            self.revision == Some(update.revision) && called_at.elapsed() < MAX_BACKOFF;
        (self.revision, self.backoff) = (Some(update.revision), MIN_BACKOFF);
        self.driver.send(DriverEvent::List(update));
        // A watch that returns at once must not be repeated without a pause.
        if returned_early_unchanged {
            sleep(MAX_BACKOFF).await;
        }
    }

    /// Logs the first error in a row, and decides what the next call asks for. Where discovery is on request,
    /// each failure is reported to the driver; where discovery is pushed, only the first in a row.
    fn on_error(&mut self, error: &DiscoveryError) {
        self.connection = None;
        let is_first = self.backoff == MIN_BACKOFF;
        if is_first {
            eprintln!("discovery: {error}");
        }
        if is_first || self.is_on_request() {
            // The decision module renews an interrupted watch at once. A service that is down or rejects
            // calls must not get calls at that rate, so such an error, or a second error in a row, is
            // reported as a failure.
            let is_interrupted = is_first
                && self.revision.is_some()
                && matches!(error, DiscoveryError::TimedOut | DiscoveryError::Http(_));
            let event = if is_interrupted { ServerListEvent::Interrupted } else { ServerListEvent::Failed };
            self.driver.send(DriverEvent::ListFailed(event));
        }
        // An agent that has restarted its revision count would wait for a revision that is far ahead. Reading
        // the complete list from the agent costs nothing.
        if !self.is_on_request() {
            self.revision = None;
        }
    }

    /// Waits until the next call after an error is due.
    async fn wait_to_retry(&mut self, subscribe: &Notify) {
        if self.is_on_request() {
            subscribe.notified().await;
        } else {
            sleep(self.backoff).await;
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Requests the complete list, or watches the current one for a change.
    async fn call(&mut self) -> Result<ListUpdate, DiscoveryError> {
        let connection = self.connect().await?;
        let time = match self.revision {
            Some(_) => self.watch_time() + WATCH_GRACE,
            None => self.call_timeout(),
        };
        timeout(time, self.exchange(connection)).await.unwrap_or(Err(DiscoveryError::TimedOut))
    }

    /// Returns the idle connection, or opens one. Connecting has the shorter time-out of a call, not that of
    /// a watch.
    async fn connect(&mut self) -> Result<Connection, DiscoveryError> {
        if let Some(idle) = self.connection.take().filter(Connection::is_reusable) {
            return Ok(idle);
        }
        let opened = timeout(self.call_timeout(), Connection::open(self.address)).await;
        opened.unwrap_or(Err(std::io::ErrorKind::TimedOut.into())).map_err(DiscoveryError::Connect)
    }

    /// Sends the request of a call and reads the answer.
    async fn exchange(&mut self, mut connection: Connection) -> Result<ListUpdate, DiscoveryError> {
        let uri = match self.revision {
            Some(revision) => {
                let wait_ms = self.watch_time().as_millis();
                format!("/registry/instances?index={revision}&wait={wait_ms}")
            }
            None => "/registry/instances".to_owned(),
        };
        let request = Request::get(uri).header("Host", self.address.to_string()).body(Empty::new())?;
        connection.sender.ready().await?;
        connection.begin_request(None);
        let answer = connection.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(DiscoveryError::Body)?;
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        self.connection = Some(connection);
        let update = read(&serde_json::from_slice(&body.to_bytes())?, &self.config.network)?;
        // Changes cannot be applied without a list. The error makes the next call wait for the backoff.
        if self.revision.is_none() && !update.is_complete {
            return Err(DiscoveryError::Incomplete);
        }
        Ok(update)
    }
}
