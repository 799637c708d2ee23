//! Which control processes could not reach the platform, so that the list reader's role goes to one that may, and to nobody
//! where none can.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A process that could not reach the platform is not asked to try again for so long: with all of them cut off, the role
/// goes round once in this time.
const RETRY_AFTER: Duration = Duration::from_secs(30);
/// Word of a peer is out of date after several exchanges without it.
const REPORT_TTL: Duration = Duration::from_secs(2);

struct PeerReport {
    is_reachable: bool,
    received_at: Duration,
}

/// What is known of this process and of the others.
#[derive(Default)]
pub struct PlatformReachability {
    failed_at: Option<Duration>,
    peers: BTreeMap<SocketAddr, PeerReport>,
}

impl PlatformReachability {
    /// This process has read the list.
    pub fn record_success(&mut self) {
        self.failed_at = None;
    }

    /// This process could not reach the platform for too long.
    pub fn record_failure(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// Whether this process may reach the platform, as far as it knows.
    pub fn may_be_reachable(&self, now: Duration) -> bool {
        self.failed_at.is_none_or(|at| now.saturating_sub(at) >= RETRY_AFTER)
    }

    /// Another process tells whether it may.
    pub fn record_peer_report(&mut self, now: Duration, peer: SocketAddr, is_reachable: bool) {
        self.peers.retain(|_, report| now.saturating_sub(report.received_at) <= REPORT_TTL);
        self.peers.insert(peer, PeerReport { is_reachable, received_at: now });
    }

    /// Whether one of these, heard lately, may reach the platform.
    pub fn any_peer_may_reach(&self, now: Duration, peers: &[SocketAddr]) -> bool {
        let fresh =
            self.peers.iter().filter(|(_, report)| now.saturating_sub(report.received_at) <= REPORT_TTL);
        let mut likely = fresh.filter(|(_, report)| report.is_reachable).map(|(peer, _)| peer);
        likely.any(|peer| peers.contains(peer))
    }
}
