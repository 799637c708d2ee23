//! The servers that rejected fencing tokens of this process (412), which tells a holder that is outdated from a server whose
//! memory alone is wrong.
//!
//! A rejection ends the lease: another process may hold a higher token. The next token is granted by a majority, above all
//! tokens that the majority knows. A server that rejects that one as well remembers a token which no holder had.

use std::collections::BTreeMap;
use std::time::Duration;

/// Rejections under different tokens, after which the server gets no more orders.
const MAX_REJECTED_TOKENS: u32 = 2;
/// Servers that are remembered; beyond them the one that rejected longest ago is forgotten.
const MAX_SERVERS: usize = 4_096;

/// What is remembered of one server.
#[derive(Clone, Copy, Debug)]
struct Rejections {
    /// The last token that was rejected.
    token: u64,
    /// How many different tokens were.
    count: u32,
    /// When this is forgotten.
    expires_at: Duration,
}

/// The servers that rejected tokens, by id. An id names one incarnation, and a restart of a server forgets its tokens.
#[derive(Clone, Debug, Default)]
pub(crate) struct StaleTokens {
    by_server: BTreeMap<String, Rejections>,
}

impl StaleTokens {
    /// Records a rejection, to be remembered for `memory`; returns whether it suspends the server. An answer that comes twice
    /// counts once, and so do all orders under one token.
    pub(crate) fn record(&mut self, now: Duration, id: &str, token: u64, memory: Duration) -> bool {
        self.by_server.retain(|_, rejections| now < rejections.expires_at);
        if !self.by_server.contains_key(id) {
            self.make_room();
        }
        let expires_at = now + memory;
        let rejections =
            self.by_server.entry(id.to_owned()).or_insert(Rejections { token, count: 1, expires_at });
        let was_suspended = rejections.is_suspended();
        if token > rejections.token {
            *rejections = Rejections { token, count: rejections.count.saturating_add(1), expires_at };
        }
        rejections.is_suspended() && !was_suspended
    }

    /// Whether a server gets no orders at `now`.
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
