//! Tracks which control processes may be able to reach the platform, so that the list watcher's lease moves
//! only to such a process, and stays with its holder if there is none.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a process that failed to reach the platform is considered unable to reach it. The time doubles
/// with each further failure, up to [`MAX_RETRY_AFTER`], until any process reads the list. If all processes
/// are cut off from the platform, the lease passes through all members once in this time, and each round
/// leaves the fleet without stage planning for seconds.
const RETRY_AFTER: Duration = Duration::from_secs(30);
/// The maximum time for which a process that failed repeatedly is considered unable to reach the platform.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(240);
/// A peer report older than this is ignored. Peers report every 500 ms (`EXCHANGE_INTERVAL`), so three
/// reports were missed.
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

/// Whether this process and its peers may be able to reach the platform. All times count from the start of
/// the process.
#[derive(Default)]
pub struct PlatformReachability {
    /// The time of the last failure of this process. `None` after a success.
    failed_at: Option<Duration>,
    /// The number of failures of this process since any process last read the list.
    failures: u32,
    peers: BTreeMap<SocketAddr, PeerReport>,
}

impl PlatformReachability {
    /// Records that this process has read the list.
    pub fn record_success(&mut self) {
        self.failed_at = None;
        self.failures = 0;
    }

    /// Records that a peer has read the list. This process may still be cut off from the platform.
    pub fn record_peer_success(&mut self) {
        self.failures = self.failures.min(1);
    }

    /// Records that this process could not reach the platform for too long.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records a peer's report on whether it may be able to reach the platform.
    pub fn record_peer_report(&mut self, now: Duration, peer: SocketAddr, is_reachable: bool) {
        self.peers.retain(|_, report| report.is_fresh(now));
        self.peers.insert(peer, PeerReport { is_reachable, received_at: now });
    }

    /// Whether this process may be able to reach the platform: it has not failed within [`RETRY_AFTER`], or
    /// within a longer time after several failures.
    pub fn may_be_reachable(&self, now: Duration) -> bool {
        let doublings = self.failures.saturating_sub(1).min(u32::BITS - 1);
        let retry_after = RETRY_AFTER.saturating_mul(1 << doublings).min(MAX_RETRY_AFTER);
        self.failed_at.is_none_or(|at| now.saturating_sub(at) >= retry_after)
    }

    /// Whether any of these peers has reported within [`REPORT_TTL`] that it may be able to reach the
    /// platform.
    pub fn any_peer_may_reach(&self, now: Duration, peers: &[SocketAddr]) -> bool {
        let fresh = self.peers.iter().filter(|(_, report)| report.is_fresh(now));
        let mut reachable = fresh.filter(|(_, report)| report.is_reachable).map(|(peer, _)| peer);
        reachable.any(|peer| peers.contains(peer))
    }
}
