//! Following the list: a call for the complete list, then watches from its revision on.
//!
//! A watch is a blocking query, as Consul calls its own: a long poll that names the known revision (`index`) and a longest wait
//! (`wait`). Discovery answers as soon as there is a newer revision, and with an unchanged one after the wait.

use super::error::DiscoveryError;
use super::list::read;
use crate::config::Config;
use crate::connection::TcpConnection;
use crate::events::{DriverEvent, DriverHandle, ListUpdate};
use crate::upstream::MAX_BODY;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use lugwharf_sidecar::api::{Discovery, ServerListEvent};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep, timeout};

/// How long a watch may wait for a change. An agent beside the sidecar costs nothing to ask, and one that has gone silent
/// is noticed sooner; a service that works through its calls in turn is asked seldom.
pub(super) const PUSHED_WATCH_TIME: Duration = Duration::from_secs(2);
pub(super) const ON_REQUEST_WATCH_TIME: Duration = Duration::from_secs(20);
/// A call for the complete list has failed after this time. One service for all sidecars may make calls wait in turn.
const PUSHED_CALL_TIMEOUT: Duration = Duration::from_secs(1);
pub(super) const ON_REQUEST_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// A watch has failed when its answer is this late. Changes that it misses count as known to the sidecar a second later,
/// and that second has to do for asking again.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// The first step of the exponential backoff after failed calls to an agent. Where discovery is asked on request, the module
/// says when to ask again.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The longest step of that backoff: each is inside the 200 ms in which a watch has to go on. It is also the pause after a
/// watch that returned without a change in less than this time, whichever way discovery is asked.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// The most bytes of a list: some hundred for each upstream, so more than those of a request's body.
const MAX_LIST_BYTES: usize = 64 * MAX_BODY;

type Connection = TcpConnection<Empty<Bytes>>;

/// Follows the list at the current address; ends only when the address's sender is dropped.
///
/// Where discovery is asked on request, the first call comes when the module subscribes, or at once at a new address, and
/// continues from the known revision, if there is one. An agent that pushes is asked for the complete list first: it may
/// have restarted its count of revisions.
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
        // A new address ends the running call, or the wait for the next. The old revision means nothing there.
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
    /// The revision of the current list; `None` where the complete list is to be read.
    revision: Option<u64>,
    /// The wait after the next failed call; [`MIN_BACKOFF`] if the last one succeeded.
    backoff: Duration,
    /// The idle connection.
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

    /// Never ends.
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

    /// Hands an update to the driver, and continues from its revision. A stale delta is dropped instead, and the complete
    /// list is read next. Pauses before the next call if this one returned early without a change.
    async fn on_update(&mut self, update: ListUpdate, called_at: Instant) {
        // Changes to another list than the current one. A complete list counts whatever its revision, since discovery may
        // have restarted its count.
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
        // A watch that does not wait must not be repeated without a pause.
        if returned_early_unchanged {
            sleep(MAX_BACKOFF).await;
        }
    }

    fn on_error(&mut self, error: &DiscoveryError) {
        self.connection = None;
        let is_first = self.backoff == MIN_BACKOFF;
        if is_first {
            eprintln!("discovery: {error}");
        }
        if is_first || self.is_on_request() {
            // An interrupted watch is opened anew at once. That must not happen to a service that is down or rejects calls:
            // such an error, or another one right after, is an outage.
            let is_interrupted = is_first
                && self.revision.is_some()
                && matches!(error, DiscoveryError::TimedOut | DiscoveryError::Http(_));
            let event = if is_interrupted { ServerListEvent::Interrupted } else { ServerListEvent::Failed };
            self.driver.send(DriverEvent::ListFailed(event));
        }
        // An agent that has restarted its count would wait for a revision that is far off. To read its complete list costs
        // nothing.
        if !self.is_on_request() {
            self.revision = None;
        }
    }

    async fn wait_to_retry(&mut self, subscribe: &Notify) {
        if self.is_on_request() {
            subscribe.notified().await;
        } else {
            sleep(self.backoff).await;
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Reads the complete list, or waits for a change to the current one.
    async fn call(&mut self) -> Result<ListUpdate, DiscoveryError> {
        let connection = self.connect().await?;
        let time = match self.revision {
            Some(_) => self.watch_time() + WATCH_GRACE,
            None => self.call_timeout(),
        };
        timeout(time, self.exchange(connection)).await.unwrap_or(Err(DiscoveryError::TimedOut))
    }

    /// The idle connection, or a new one. The time of a watch is not for one that does not come up.
    async fn connect(&mut self) -> Result<Connection, DiscoveryError> {
        if let Some(idle) = self.connection.take().filter(Connection::is_clean) {
            return Ok(idle);
        }
        let opened = timeout(self.call_timeout(), Connection::open(self.address)).await;
        opened.unwrap_or(Err(std::io::ErrorKind::TimedOut.into())).map_err(DiscoveryError::Connect)
    }

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
        let answer = connection.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(DiscoveryError::Body)?;
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        self.connection = Some(connection);
        let update = read(&serde_json::from_slice(&body.to_bytes())?, &self.config.deployment)?;
        // Changes without a list to apply them to: an error, so that the complete list is not read without a pause.
        if self.revision.is_none() && !update.is_complete {
            return Err(DiscoveryError::Incomplete);
        }
        Ok(update)
    }
}
