//! Count of live nodes.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of nodes that one monitor counts; further nodes are ignored. This bounds the memory
/// that fabricated node names can take.
pub const MAX_NODES: usize = 16_384;
/// The maximum number of other monitors whose counts are stored.
pub const MAX_PEERS: usize = 64;

/// The time-outs of a [`LiveNodeCounter`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveNodeCounterSettings {
    /// How long a heartbeat or a peer's count is valid; default 3 s. A node that moves from one monitor to
    /// another is counted twice for at most this long, unless its old monitor calls
    /// [`LiveNodeCounter::remove_node`].
    pub timeout: Duration,
    /// How long the total must have been lower before it decreases; default 10 s. A proxy's share of the
    /// fleet's retry budget is the budget divided by the total, so a total that is too high is safe and one
    /// that is too low is not.
    pub decrease_delay: Duration,
}

impl Default for LiveNodeCounterSettings {
    fn default() -> Self {
        Self { timeout: Duration::from_secs(3), decrease_delay: Duration::from_secs(10) }
    }
}

/// The last heartbeat of a node.
#[derive(Clone, Copy, Debug)]
struct Heartbeat {
    incarnation: u64,
    received_at: Duration,
}

/// The last count of another monitor.
#[derive(Clone, Copy, Debug)]
struct PeerCount {
    live_count: u32,
    received_at: Duration,
}

/// A total and when it was computed.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    total: u32,
}

/// Counts the nodes that send heartbeats to one monitor, and adds the counts of the other monitors.
#[derive(Clone, Debug)]
pub struct LiveNodeCounter {
    settings: LiveNodeCounterSettings,
    /// The total is unknown before this time, since not every node has had time to send a heartbeat.
    total_known_from: Duration,
    nodes: HashMap<String, Heartbeat>,
    peers: HashMap<SocketAddr, PeerCount>,
    /// The sliding-window maximum of the totals within `decrease_delay`, as a deque: the totals strictly
    /// decrease from front to back, and each is the largest since the one before it.
    window: VecDeque<Sample>,
}

impl LiveNodeCounter {
    /// Creates a counter that starts at `now`. Its total is 0, which means unknown, for one `timeout`.
    pub fn new(settings: LiveNodeCounterSettings, now: Duration) -> Self {
        Self {
            settings,
            total_known_from: now + settings.timeout,
            nodes: HashMap::new(),
            peers: HashMap::new(),
            window: VecDeque::new(),
        }
    }

    /// Records a heartbeat; returns whether the node is new or has restarted. A new node beyond [`MAX_NODES`]
    /// is ignored, and `false` is returned.
    pub fn record_heartbeat(&mut self, node: &str, incarnation: u64, now: Duration) -> bool {
        let heartbeat = Heartbeat { incarnation, received_at: now };
        if let Some(last) = self.nodes.get_mut(node) {
            let has_restarted = last.incarnation != incarnation;
            *last = heartbeat;
            return has_restarted;
        }
        if self.nodes.len() >= MAX_NODES {
            self.remove_expired(now);
        }
        if self.nodes.len() >= MAX_NODES {
            return false;
        }
        self.nodes.insert(node.to_owned(), heartbeat);
        true
    }

    /// Stops counting a node, for example when its connection ended because it moved to another monitor.
    pub fn remove_node(&mut self, node: &str) {
        self.nodes.remove(node);
    }

    /// Returns the number of nodes that sent this monitor a heartbeat within the timeout. The monitor reports
    /// this number to its peers.
    pub fn live_count(&self, now: Duration) -> u32 {
        let timeout = self.settings.timeout;
        let live = self.nodes.values().filter(|last| now.saturating_sub(last.received_at) <= timeout);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Records the count that another monitor has reported.
    pub fn record_peer_count(&mut self, peer: SocketAddr, live_count: u32, now: Duration) {
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, PeerCount { live_count, received_at: now });
        }
    }

    /// Returns the number of live nodes of the fleet; 0 while unknown. Must be called at least every second.
    ///
    /// The result is the largest sum of all valid counts within the last `decrease_delay`, so it increases
    /// immediately and decreases with a delay.
    pub fn total(&mut self, now: Duration) -> u32 {
        self.remove_expired(now);
        if now < self.total_known_from {
            return 0;
        }
        let peer_counts = self.peers.values().map(|peer| peer.live_count);
        let total = peer_counts.fold(self.live_count(now), u32::saturating_add);
        self.record_total(total, now);
        self.window.front().map_or(0, |largest| largest.total)
    }

    fn remove_expired(&mut self, now: Duration) {
        let timeout = self.settings.timeout;
        self.nodes.retain(|_, last| now.saturating_sub(last.received_at) <= timeout);
        self.peers.retain(|_, peer| now.saturating_sub(peer.received_at) <= timeout);
    }

    /// Adds a total to the window. A sample that a later one equals or exceeds is dropped, so the length of
    /// the window is bounded by the number of different totals in it.
    fn record_total(&mut self, total: u32, now: Duration) {
        while self.window.back().is_some_and(|last| last.total <= total) {
            self.window.pop_back();
        }
        self.window.push_back(Sample { at: now, total });
        let decrease_delay = self.settings.decrease_delay;
        let is_old = |sample: &Sample| now.saturating_sub(sample.at) > decrease_delay;
        while self.window.len() > 1 && self.window.front().is_some_and(is_old) {
            self.window.pop_front();
        }
    }
}
