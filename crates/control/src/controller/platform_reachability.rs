//! Which control processes can reach the platform, so that the list watcher's lease goes to one that may, and stays where it
//! is when none can.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that failed to reach the platform is not expected to reach it for so long. It doubles with each further failure,
/// up to [`MAX_RETRY_AFTER`], while nobody reads the list: with all processes cut off, the lease makes one round of the members in
/// that time, and each round leaves the fleet without stage planning for seconds.
const RETRY_AFTER: Duration = Duration::from_secs(30);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(240);
/// Peers report every 500 ms (`EXCHANGE_INTERVAL`). A report older than this missed three exchanges and is ignored.
const REPORT_TTL: Duration = Duration::from_secs(2);

struct PeerReport {
    is_reachable: bool,
    received_at: Duration,
}

impl PeerReport {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.received_at) <= REPORT_TTL
    }
}

/// Whether the platform may be reached from this process and from its peers. All times count from the start of the process.
#[derive(Default)]
pub struct PlatformReachability {
    /// The last failure of this process, until it succeeds again.
    failed_at: Option<Duration>,
    /// Failures since the list was last read, by whichever process.
    failures: u32,
    peers: BTreeMap<SocketAddr, PeerReport>,
}

impl PlatformReachability {
    /// This process has read the list.
    pub fn record_success(&mut self) {
        self.failed_at = None;
        self.failures = 0;
    }

    /// A peer has read the list. This process may still be cut off from the platform.
    pub fn record_peer_success(&mut self) {
        self.failures = self.failures.min(1);
    }

    /// This process could not reach the platform for too long.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// A peer reports whether it may reach the platform.
    pub fn record_peer_report(&mut self, now: Duration, peer: SocketAddr, is_reachable: bool) {
        self.peers.retain(|_, report| report.is_fresh(now));
        self.peers.insert(peer, PeerReport { is_reachable, received_at: now });
    }

    /// Whether this process may reach the platform: it has not failed within [`RETRY_AFTER`], or longer after several failures.
    pub fn may_be_reachable(&self, now: Duration) -> bool {
        let doublings = self.failures.saturating_sub(1).min(u32::BITS - 1);
        let retry_after = RETRY_AFTER.saturating_mul(1 << doublings).min(MAX_RETRY_AFTER);
        self.failed_at.is_none_or(|at| now.saturating_sub(at) >= retry_after)
    }

    /// Whether one of these peers has reported within [`REPORT_TTL`] that it may reach the platform.
    pub fn any_peer_may_reach(&self, now: Duration, peers: &[SocketAddr]) -> bool {
        let fresh = self.peers.iter().filter(|(_, report)| report.is_fresh(now));
        let mut reachable = fresh.filter(|(_, report)| report.is_reachable).map(|(peer, _)| peer);
        reachable.any(|peer| peers.contains(peer))
    }
}
