//! Closing connections without a request in progress, to make room for others or because they timed out.

use super::listener::{Server, lock};
use crate::client_connection::{ClientConnection, ClientPhase};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::sleep;

/// The interval at which connections are checked for time-outs.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The time-out for the head of the first request. A client that sends none must be disconnected within 3 s.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// The time-out of a connection between requests. 2 s would be allowed; the longer time spares regular
/// clients a reconnect.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// When room is needed, new connections that have sent nothing for this long are closed before all others: a
/// client that has a request sends it at once.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(200);
/// How long after the longest deadline an answer may still be unread; after that nobody waits for it.
const UNREAD_GRACE: Duration = Duration::from_secs(1);

/// The order of eviction. The greatest rank is evicted first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// The client has sent nothing yet, but may be about to.
    New,
    /// The connection is used regularly.
    Idle,
    /// The connection has carried one request. Many clients send one and leave the connection open.
    IdleAfterFirst,
    /// The client has sent nothing for [`SILENT_AFTER`].
    Silent,
}

/// Returns the rank of a connection that may be evicted; `None` if it has a request in progress.
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
    /// Returns how long an answer may stay unread.
    pub(super) fn max_unread_time(&self) -> Duration {
        self.config.max_client_timeout() + UNREAD_GRACE
    }

    /// Asks those connections to close that `should_close` selects by their phase and how long they have been
    /// in it.
    pub(super) fn close_where(&self, should_close: impl Fn(ClientPhase, Duration) -> bool) {
        for client in lock(&self.clients).values() {
            let (phase, age) = client.phase();
            if should_close(phase, age) {
                client.request_close();
            }
        }
    }

    /// Closes connections whose clients send no request, stay idle after an answer, or don't read it. Never
    /// returns.
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

    /// Evicts idle connections, and waits, until there is room for one more connection.
    pub(super) async fn make_room(&self) {
        while lock(&self.clients).len() >= self.max_connections {
            if self.evict(|_| true) {
                // The evicted connection closes when its task runs.
                yield_now().await;
            } else {
                self.capacity_freed.notified().await;
            }
        }
    }

    /// Evicts idle connections while too many connections have carried a request: clients that send one
    /// request and leave the connection open must not hold all connections.
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

    /// Asks one connection in an eligible phase to close: of those with the greatest [`EvictionRank`], the
    /// one that has been in its phase longest. The connection counts until it has closed, as a request that
    /// arrives at this moment is served first. Returns whether there was such a connection.
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
