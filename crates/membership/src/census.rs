//! How many nodes live.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Nodes that are counted. Bounds memory against names that are none; beyond it, new names are not taken up.
pub const MAX_NODES: usize = 16_384;
/// Other monitors whose counts are kept.
pub const MAX_PEERS: usize = 64;

/// The times of a [`Census`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CensusSettings {
    /// A node that was not heard for so long no longer counts, nor does a peer's count. A node that moves from one
    /// monitor to another counts twice for so long at most, unless its old monitor calls [`Census::forget`].
    pub timeout: Duration,
    /// The total falls to a lower number only after it has been lower for so long: a proxy's share of the fleet's
    /// retries is one part in the total, so a total that is too high is safe and one that is too low is not.
    pub decrease_delay: Duration,
}

impl Default for CensusSettings {
    fn default() -> Self {
        Self { timeout: Duration::from_secs(3), decrease_delay: Duration::from_secs(10) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: u64,
    at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    live: u32,
    at: Duration,
}

/// The nodes that one monitor hears, the counts of the other monitors, and the total of both.
#[derive(Clone, Debug)]
pub struct Census {
    settings: CensusSettings,
    /// Before this time too little was heard to tell a total.
    settled_at: Duration,
    nodes: HashMap<String, Heard>,
    peers: HashMap<SocketAddr, PeerCount>,
    /// Totals within `decrease_delay`, falling: each is the largest since the one before it.
    window: VecDeque<(Duration, u32)>,
}

impl Census {
    /// A census that begins now. Its total is 0, nothing known, until each node has had one `timeout` to beat.
    pub fn new(settings: CensusSettings, now: Duration) -> Self {
        Self {
            settings,
            settled_at: now + settings.timeout,
            nodes: HashMap::new(),
            peers: HashMap::new(),
            window: VecDeque::new(),
        }
    }

    /// Takes a heartbeat; returns whether the node is new or has started anew.
    pub fn record_heartbeat(&mut self, node: &str, incarnation: u64, now: Duration) -> bool {
        if let Some(heard) = self.nodes.get_mut(node) {
            let started = heard.incarnation != incarnation;
            *heard = Heard { incarnation, at: now };
            return started;
        }
        if self.nodes.len() >= MAX_NODES {
            self.drop_silent(now);
        }
        if self.nodes.len() >= MAX_NODES {
            return false;
        }
        self.nodes.insert(node.to_owned(), Heard { incarnation, at: now });
        true
    }

    /// Stops counting a node, as when its link here ended because it took another monitor.
    pub fn forget(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    /// Nodes heard here within the timeout: what this monitor tells the others.
    pub fn live_count(&self, now: Duration) -> u32 {
        let timeout = self.settings.timeout;
        let live = self.nodes.values().filter(|heard| now.saturating_sub(heard.at) <= timeout).count();
        u32::try_from(live).unwrap_or(u32::MAX)
    }

    /// Takes the count of another monitor.
    pub fn record_peer_count(&mut self, peer: SocketAddr, live: u32, now: Duration) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, PeerCount { live, at: now });
        }
    }

    /// Live nodes of the whole fleet: the largest sum of all fresh counts within the last `decrease_delay`, so that it grows at
    /// once and shrinks late. 0 while too little is known. Call it at least every second.
    pub fn total(&mut self, now: Duration) -> u32 {
        self.drop_silent(now);
        if now < self.settled_at {
            return 0;
        }
        let sum = self.peers.values().fold(self.live_count(now), |sum, peer| sum.saturating_add(peer.live));
        self.note(sum, now);
        self.window.front().map_or(0, |(_, total)| *total)
    }

    fn drop_silent(&mut self, now: Duration) {
        let timeout = self.settings.timeout;
        self.nodes.retain(|_, heard| now.saturating_sub(heard.at) <= timeout);
        self.peers.retain(|_, peer| now.saturating_sub(peer.at) <= timeout);
    }

    /// Keeps the window falling, so that its length is bounded by the numbers of different totals in it.
    fn note(&mut self, sum: u32, now: Duration) {
        while self.window.back().is_some_and(|(_, total)| *total <= sum) {
            self.window.pop_back();
        }
        self.window.push_back((now, sum));
        let hold = self.settings.decrease_delay;
        while self.window.len() > 1
            && self.window.front().is_some_and(|(at, _)| now.saturating_sub(*at) > hold)
        {
            self.window.pop_front();
        }
    }
}
