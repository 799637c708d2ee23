//! A failure detector with a timeout that adapts to how regularly each peer beats.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// Intervals between beats that are remembered for each peer.
const INTERVALS: usize = 16;
/// Standard deviations beyond the mean interval that a peer may stay silent.
const DEVIATIONS: f64 = 4.0;
/// Mean intervals that a peer may stay silent, whatever the deviation: one lost beat is no failure.
const MISSED_BEATS: f64 = 2.5;
/// Peers that are watched; more are not taken up.
const MAX_PEERS: usize = 64;

/// The bounds of a [`FailureDetector`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureDetectorSettings {
    /// No peer is suspected before this silence.
    pub min_timeout: Duration,
    /// Every peer is suspected after this silence; also the timeout of a peer with too few beats to tell.
    pub max_timeout: Duration,
    /// A longer pause between two calls of [`FailureDetector::tick`] means that this process stood still: beats may be
    /// waiting unread, so no peer is blamed for the pause.
    pub local_pause_threshold: Duration,
}

#[derive(Clone, Debug)]
struct Watched {
    last: Duration,
    intervals: VecDeque<f64>,
}

/// Suspects peers that stay silent for longer than their beats let expect.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    settings: FailureDetectorSettings,
    peers: HashMap<SocketAddr, Watched>,
    last_tick: Option<Duration>,
}

impl FailureDetector {
    /// A detector that watches nobody.
    pub fn new(settings: FailureDetectorSettings) -> Self {
        Self { settings, peers: HashMap::new(), last_tick: None }
    }

    /// Begins to watch a peer that may never beat; no effect on one that is watched.
    pub fn watch(&mut self, peer: SocketAddr, now: Duration) {
        if self.peers.len() < MAX_PEERS {
            self.peers.entry(peer).or_insert_with(|| Watched { last: now, intervals: VecDeque::new() });
        }
    }

    /// Takes a beat, or any other message that the peer has just sent.
    pub fn record_heartbeat(&mut self, peer: SocketAddr, now: Duration) {
        let Some(watched) = self.peers.get_mut(&peer) else {
            self.watch(peer, now);
            return;
        };
        let interval = now.saturating_sub(watched.last).min(self.settings.max_timeout);
        watched.last = watched.last.max(now);
        watched.intervals.push_back(interval.as_secs_f64());
        if watched.intervals.len() > INTERVALS {
            watched.intervals.pop_front();
        }
    }

    /// Stops watching all peers but these.
    pub fn retain(&mut self, peers: &[SocketAddr]) {
        self.peers.retain(|peer, _| peers.contains(peer));
    }

    /// Notes that this process runs. Call it regularly, before the beats that have arrived are read.
    pub fn tick(&mut self, now: Duration) {
        let pause = self.last_tick.map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.last_tick = Some(now);
        if pause <= self.settings.local_pause_threshold {
            return;
        }
        for watched in self.peers.values_mut() {
            watched.last = (watched.last + pause).min(now);
        }
    }

    /// Whether the peer has been silent for too long. A peer that is not watched is not suspected.
    pub fn is_suspected(&self, peer: SocketAddr, now: Duration) -> bool {
        let watched = self.peers.get(&peer);
        watched.is_some_and(|watched| now.saturating_sub(watched.last) > self.timeout(watched))
    }

    fn timeout(&self, watched: &Watched) -> Duration {
        let FailureDetectorSettings { min_timeout, max_timeout, .. } = self.settings;
        if watched.intervals.len() < INTERVALS / 4 {
            return max_timeout;
        }
        let count = watched.intervals.len() as f64;
        let mean = watched.intervals.iter().sum::<f64>() / count;
        let squares = watched.intervals.iter().map(|interval| (interval - mean).powi(2)).sum::<f64>();
        let allowed = (mean + DEVIATIONS * (squares / count).sqrt()).max(mean * MISSED_BEATS);
        Duration::from_secs_f64(allowed).max(min_timeout).min(max_timeout)
    }
}
