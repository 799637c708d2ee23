//! Which connections of the application are closed, and when: to make room, or since nothing is asked on them.

use super::{Server, lock};
use crate::client::{ClientConnection, ClientPhase};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// How often connections are looked at whose time may be over.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// A first request has come to the end of its head by then, so that a client that sends none hears of it in 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection between requests is closed after this time. It may be after 2 s; this spares regular clients.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Where there is no room, newcomers that have said nothing for so long give way before all others: whoever has a
/// request sends it at once.
pub(super) const MIN_SILENCE: Duration = Duration::from_millis(200);
/// After the longest deadline an answer is worth nothing, but may be read for so long; then nobody waits.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

impl Server {
    /// How long an answer may stay unread.
    pub(super) fn max_unread_time(&self) -> Duration {
        self.config.max_client_timeout() + UNREAD_GRACE
    }

    pub(super) fn close_where(&self, over: impl Fn(ClientPhase, Duration) -> bool) {
        let clients = lock(&self.clients);
        let over = |client: &&Arc<ClientConnection>| over(client.phase().0, client.phase().1);
        clients.values().filter(over).for_each(|client| client.request_close());
    }

    /// Guards against clients that connect and say nothing, ask once and stay, or don't read their answers.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            self.close_where(|phase, age| match phase {
                ClientPhase::New => age >= FIRST_REQUEST_TIMEOUT,
                ClientPhase::ReadingBody | ClientPhase::AwaitingAnswer => false,
                ClientPhase::WritingAnswer => age >= self.max_unread_time(),
                ClientPhase::IdleAfterFirst | ClientPhase::Idle => age >= IDLE_TIMEOUT,
            });
        }
    }

    /// Guards against running out of descriptors: connections on which no request is open give way.
    pub(super) async fn make_room(&self) {
        while lock(&self.clients).len() >= self.max_connections {
            if self.evict(|_| true) {
                // It closes when its task runs.
                yield_now().await;
            } else {
                self.capacity_freed.notified().await;
            }
        }
    }

    /// Guards against clients that ask and stay until they hold all connections that they may.
    pub(super) fn evict_idle_over_limit(&self) {
        let has_answered =
            |client: &&Arc<ClientConnection>| client.phase().0 != ClientPhase::New && !client.is_closing();
        let over = || {
            let clients = lock(&self.clients);
            clients.len() > self.max_used_connections
                && clients.values().filter(has_answered).count() > self.max_used_connections
        };
        while over() && self.evict(|phase| phase != ClientPhase::New) {}
    }

    /// Closes the connection that has been longest without a request: one that has been mute, else one that asked
    /// once, else one between requests, else whatever has not asked yet. It counts until it has closed: it may get a
    /// request at this moment, and then is served first.
    pub(super) fn evict(&self, of: impl Fn(ClientPhase) -> bool) -> bool {
        let clients = lock(&self.clients);
        let rank = |client: &Arc<ClientConnection>| match client.phase() {
            _ if client.is_closing() => None,
            (phase, _) if !of(phase) => None,
            (ClientPhase::New, age) if age >= MIN_SILENCE => Some((3, age)),
            (ClientPhase::IdleAfterFirst, age) => Some((2, age)),
            (ClientPhase::Idle, age) => Some((1, age)),
            (ClientPhase::New, age) => Some((0, age)),
            (ClientPhase::ReadingBody | ClientPhase::AwaitingAnswer | ClientPhase::WritingAnswer, _) => None,
        };
        let max_client_timeout =
            clients.iter().filter_map(|(number, client)| Some((rank(client)?, *number))).max();
        let evicted = max_client_timeout.and_then(|(_, number)| clients.get(&number));
        evicted.inspect(|client| client.request_close()).is_some()
    }
}
