//! Closing connections on which no request is open: to make room for others, or because their time is over.

use super::listener::{Server, lock};
use crate::client_connection::{ClientConnection, ClientPhase};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// How often connections are checked whose time may be over.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The head of a first request has to be read within this time: a client that sends none is disconnected within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection between requests is closed after this time. 2 s are allowed; this spares regular clients.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Where room is needed, new connections that have sent nothing for so long are closed before all others: a client with a
/// request sends it at once.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(200);
/// An answer may be read for so long after the longest deadline; then nobody waits for it.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

/// Which connections are evicted first, from last to first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// It has sent nothing yet, but may be about to.
    New,
    /// It is used regularly.
    Idle,
    /// Many clients ask once and stay.
    IdleAfterFirst,
    /// It has sent nothing for [`SILENT_AFTER`].
    Silent,
}

/// The rank of a connection that may be evicted; `None` if a request is open on it.
fn eviction_rank(phase: ClientPhase, age: Duration) -> Option<EvictionRank> {
    match phase {
        ClientPhase::New if age >= SILENT_AFTER => Some(EvictionRank::Silent),
        ClientPhase::New => Some(EvictionRank::New),
        ClientPhase::IdleAfterFirst => Some(EvictionRank::IdleAfterFirst),
        ClientPhase::Idle => Some(EvictionRank::Idle),
        ClientPhase::ReadingBody | ClientPhase::AwaitingAnswer | ClientPhase::WritingAnswer => None,
    }
}

impl Server {
    /// How long an answer may stay unread.
    pub(super) fn max_unread_time(&self) -> Duration {
        self.config.max_client_timeout() + UNREAD_GRACE
    }

    /// Asks connections to close, by their phase and how long they have been in it.
    pub(super) fn close_where(&self, is_over: impl Fn(ClientPhase, Duration) -> bool) {
        for client in lock(&self.clients).values() {
            let (phase, age) = client.phase();
            if is_over(phase, age) {
                client.request_close();
            }
        }
    }

    /// Closes connections whose clients send nothing, stay after an answer, or don't read it. Never ends.
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

    /// Waits until there is room for one more connection, and evicts others for it.
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

    /// Evicts idle connections while those that have carried a request are too many: clients that ask once and stay must
    /// not hold all connections.
    pub(super) fn evict_idle_over_limit(&self) {
        let is_used =
            |client: &&Arc<ClientConnection>| client.phase().0 != ClientPhase::New && !client.is_closing();
        let is_over_limit = || {
            let clients = lock(&self.clients);
            clients.len() > self.max_used_connections
                && clients.values().filter(is_used).count() > self.max_used_connections
        };
        while is_over_limit() && self.evict(|phase| phase != ClientPhase::New) {}
    }

    /// Asks the connection to close that comes first by [`EvictionRank`] and has been in its phase for longest, of those in
    /// an eligible phase. It counts until it has closed: it may get a request at this moment, which is served first.
    /// Returns whether there was one.
    pub(super) fn evict(&self, is_eligible: impl Fn(ClientPhase) -> bool) -> bool {
        let clients = lock(&self.clients);
        let ranked = clients.iter().filter_map(|(number, client)| {
            let (phase, age) = client.phase();
            let may_evict = !client.is_closing() && is_eligible(phase);
            Some((eviction_rank(phase, age).filter(|_| may_evict)?, age, *number))
        });
        let first = ranked.max().and_then(|(_, _, number)| clients.get(&number));
        first.inspect(|client| client.request_close()).is_some()
    }
}
