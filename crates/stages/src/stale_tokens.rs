//! Servers that rejected fencing tokens of this process (412). Tracking them distinguishes an outdated lease
//! holder from a server that alone remembers a wrong token.
//!
//! A rejection ends the lease, since another process may hold a higher token. The next token is granted by a
//! majority, above all tokens that the majority knows. A server that rejects that token as well remembers a
//! token that no holder had.

use std::collections::BTreeMap;
use std::time::Duration;

/// The number of different rejected tokens after which a server gets no more orders.
const MAX_REJECTED_TOKENS: u32 = 2;
/// The maximum number of tracked servers. Beyond it, the server whose last rejection is oldest is dropped.
const MAX_SERVERS: usize = 4_096;

/// The rejections by one server.
#[derive(Clone, Copy, Debug)]
struct Rejections {
    /// The highest token that was rejected.
    token: u64,
    /// The number of different tokens that were rejected.
    count: u32,
    /// When these rejections expire.
    expires_at: Duration,
}

/// The servers that rejected tokens, by server id. An id identifies one incarnation, and a restarted server
/// has forgotten the tokens that it had seen.
#[derive(Clone, Debug, Default)]
pub(crate) struct StaleTokens {
    by_server: BTreeMap<String, Rejections>,
}

impl StaleTokens {
    /// Records a rejection, which expires after `retention`; returns whether it suspends the server.
    /// Duplicate answers and all orders under one token count once.
    pub(crate) fn record(&mut self, now: Duration, id: &str, token: u64, retention: Duration) -> bool {
        self.by_server.retain(|_, rejections| now < rejections.expires_at);
        if !self.by_server.contains_key(id) {
            self.make_room();
        }
        let expires_at = now + retention;
        let rejections =
            self.by_server.entry(id.to_owned()).or_insert(Rejections { token, count: 1, expires_at });
        let was_suspended = rejections.is_suspended();
        if token > rejections.token {
            *rejections = Rejections { token, count: rejections.count.saturating_add(1), expires_at };
        }
        rejections.is_suspended() && !was_suspended
    }

    /// Returns whether a server gets no orders at `now`.
    pub(crate) fn is_suspended(&self, now: Duration, id: &str) -> bool {
        self.by_server
            .get(id)
            .is_some_and(|rejections| now < rejections.expires_at && rejections.is_suspended())
    }

    fn make_room(&mut self) {
        if self.by_server.len() < MAX_SERVERS {
            return;
        }
        let oldest = self.by_server.iter().min_by_key(|(_, rejections)| rejections.expires_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.by_server.remove(&id);
        }
    }
}

impl Rejections {
    fn is_suspended(&self) -> bool {
        self.count >= MAX_REJECTED_TOKENS
    }
}
