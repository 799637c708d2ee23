//! Failure detector whose timeout adapts to the regularity of each peer's heartbeats.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of heartbeat intervals stored per peer.
const MAX_INTERVALS: usize = 16;
/// The minimum number of intervals needed to estimate a timeout; with fewer, the maximum timeout applies.
const MIN_INTERVALS: usize = MAX_INTERVALS / 4;
/// The number of standard deviations above the mean interval after which a peer is suspected.
const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// The minimum timeout as a multiple of the mean interval, whatever the deviation: one lost heartbeat is not
/// a failure.
const MIN_TIMEOUT_INTERVALS: f64 = 2.5;
/// The maximum number of watched peers; further ones are ignored.
const MAX_PEERS: usize = 64;

/// The limits of a [`FailureDetector`]; none has a default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorSettings {
    /// The minimum time after its last heartbeat before a peer is suspected.
    pub min_timeout: Duration,
    /// The maximum time after its last heartbeat before a peer is suspected; also the timeout of a peer that
    /// has sent too few heartbeats to estimate one.
    pub max_timeout: Duration,
    /// A longer time between two calls of [`FailureDetector::tick`] means that this process was paused.
    /// Heartbeats may then be waiting unread, so the pause does not count against any peer.
    pub local_pause_threshold: Duration,
}

#[derive(Clone, Debug)]
struct WatchedPeer {
    last_heartbeat_at: Duration,
    /// The last intervals between heartbeats, in seconds.
    intervals: VecDeque<f64>,
}

/// Suspects peers whose next heartbeat is later than their earlier intervals predict.
///
/// The timeout of a peer is computed from the mean and the standard deviation of its last intervals, as in
/// Hayashibara et al., The φ Accrual Failure Detector, SRDS 2004, but with one fixed threshold.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    settings: FailureDetectorSettings,
    peers: HashMap<SocketAddr, WatchedPeer>,
    last_tick_at: Option<Duration>,
}

impl FailureDetector {
    /// Creates a detector that watches no peer.
    pub fn new(settings: FailureDetectorSettings) -> Self {
        Self { settings, peers: HashMap::new(), last_tick_at: None }
    }

    /// Starts to watch a peer, even if it has never sent a heartbeat; has no effect on a peer that is already
    /// watched.
    pub fn watch(&mut self, peer: SocketAddr, now: Duration) {
        if self.peers.len() < MAX_PEERS {
            let watched = || WatchedPeer { last_heartbeat_at: now, intervals: VecDeque::new() };
            self.peers.entry(peer).or_insert_with(watched);
        }
    }

    /// Records a heartbeat, or any other message that the peer has just sent.
    pub fn record_heartbeat(&mut self, peer: SocketAddr, now: Duration) {
        let Some(watched) = self.peers.get_mut(&peer) else {
            self.watch(peer, now);
            return;
        };
        let interval = now.saturating_sub(watched.last_heartbeat_at).min(self.settings.max_timeout);
        watched.last_heartbeat_at = watched.last_heartbeat_at.max(now);
        watched.intervals.push_back(interval.as_secs_f64());
        if watched.intervals.len() > MAX_INTERVALS {
            watched.intervals.pop_front();
        }
    }

    /// Stops watching all peers except `peers`.
    pub fn retain(&mut self, peers: &[SocketAddr]) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }

    /// Records that this process is running. Must be called regularly, before the heartbeats that have
    /// arrived are read.
    pub fn tick(&mut self, now: Duration) {
        let pause = self.last_tick_at.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_tick_at = Some(now);
        if pause <= self.settings.local_pause_threshold {
            return;
        }
        for watched in self.peers.values_mut() {
            watched.last_heartbeat_at = (watched.last_heartbeat_at + pause).min(now);
        }
    }

    /// Returns whether the timeout of the peer has passed since its last heartbeat. A peer that is not
    /// watched is not suspected.
    pub fn is_suspected(&self, peer: SocketAddr, now: Duration) -> bool {
        let watched = self.peers.get(&peer);
        watched.is_some_and(|watched| {
            now.saturating_sub(watched.last_heartbeat_at) > self.timeout(&watched.intervals)
        })
    }

    fn timeout(&self, intervals: &VecDeque<f64>) -> Duration {
        let FailureDetectorSettings { min_timeout, max_timeout, .. } = self.settings;
        if intervals.len() < MIN_INTERVALS {
            return max_timeout;
        }
        let count = intervals.len() as f64;
        let mean = intervals.iter().sum::<f64>() / count;
        let squares = intervals.iter().map(|interval| (interval - mean).powi(2)).sum::<f64>();
        let deviation = (squares / count).sqrt();
        let timeout = (mean + TIMEOUT_DEVIATIONS * deviation).max(mean * MIN_TIMEOUT_INTERVALS);
        Duration::from_secs_f64(timeout).max(min_timeout).min(max_timeout)
    }
}
