//! The state of the other processes of the control plane and of the links between them, derived from
//! heartbeats.
//!
//! This is a failure detector with a fixed timeout: a peer is alive while its last heartbeat is younger than
//! `suspect_after`. A link between two processes counts as up only if both ends report it as bidirectional,
//! so one-way partitions are detected as well.

use crate::heartbeat::{Heartbeat, Link};
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of peers, which is more than a control plane has processes. Bounds the memory that
/// unknown senders can occupy.
const MAX_PEERS: usize = 64;
/// A peer that is neither a member nor a seed is forgotten after this time without a heartbeat.
const FORGET_AFTER: Duration = Duration::from_secs(15);
/// A peer whose connection was closed is suspected after `suspect_after` divided by this.
const BROKEN_LINK_DIVISOR: u32 = 2;
/// A peer that is repeatedly removed from the chain (flaps) must be healthy for longer, at most `1 <<
/// MAX_BACKOFF_FLAPS` times as long.
const MAX_BACKOFF_FLAPS: u32 = 2;
/// The flap count of a peer is reset after the peer has been healthy for this long.
const RESET_FLAPS_AFTER: Duration = Duration::from_secs(10);

/// The state of one peer.
#[derive(Debug, Default)]
struct Peer {
    last_heartbeat_at: Option<Duration>,
    /// The time at which the address became known to this process.
    known_since: Duration,
    heartbeat: Option<Heartbeat>,
    is_link_broken: bool,
    /// The time since which the peer's link has been bidirectional and its disk healthy.
    healthy_since: Option<Duration>,
    /// The number of times that the peer was removed from a chain, up to a limit.
    flap_count: u32,
}

/// The peers of this process.
#[derive(Debug)]
pub struct Peers {
    local_address: SocketAddr,
    suspect_after: Duration,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Creates an empty table. A peer is suspected after `suspect_after` without a heartbeat.
    pub fn new(local_address: SocketAddr, suspect_after: Duration) -> Peers {
        Peers { local_address, suspect_after, peers: BTreeMap::new() }
    }

    /// Adds an address, unless the address is already known or this process's own, or the limit is reached.
    pub fn add(&mut self, address: SocketAddr, now: Duration) {
        let is_other = address != self.local_address;
        if is_other && !self.peers.contains_key(&address) && self.peers.len() < MAX_PEERS {
            self.peers.insert(address, Peer { known_since: now, ..Peer::default() });
        }
    }

    /// Removes the peers from which no heartbeat has arrived for a long time, except those for which
    /// `is_permanent` holds.
    pub fn forget_inactive(&mut self, now: Duration, is_permanent: impl Fn(SocketAddr) -> bool) {
        self.peers.retain(|address, peer| {
            let inactive_since = peer.last_heartbeat_at.unwrap_or(peer.known_since);
            now < inactive_since + FORGET_AFTER || is_permanent(*address)
        });
    }

    /// All known addresses, each with whether a heartbeat was ever received from that address.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        self.peers.iter().map(|(address, peer)| (*address, peer.last_heartbeat_at.is_some()))
    }

    /// Records a heartbeat. Returns whether the heartbeat is the first one of a new incarnation of the
    /// process.
    pub fn record_heartbeat(&mut self, from: SocketAddr, heartbeat: Heartbeat, now: Duration) -> bool {
        self.add(from, now);
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let is_new_incarnation =
            peer.heartbeat.as_ref().is_none_or(|previous| previous.incarnation != heartbeat.incarnation);
        if is_new_incarnation {
            peer.healthy_since = None;
        }
        peer.last_heartbeat_at = Some(now);
        peer.is_link_broken = false;
        peer.heartbeat = Some(heartbeat);
        self.refresh_health_of(from, now);
        is_new_incarnation
    }

    /// Records that the connection to a peer was closed.
    pub fn record_link_down(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.is_link_broken = true;
        }
    }

    /// Excludes a pause of this process from the time without heartbeats, since this process could not
    /// receive heartbeats meanwhile.
    pub fn discount_pause(&mut self, pause: Duration, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.last_heartbeat_at = peer.last_heartbeat_at.map(|at| (at + pause).min(now));
        }
    }

    /// Records that a replica was removed from the chain.
    pub fn record_flap(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.flap_count = (peer.flap_count + 1).min(MAX_BACKOFF_FLAPS + 1);
            peer.healthy_since = None;
        }
    }

    /// Updates the time since which each peer has been healthy.
    pub fn refresh_health(&mut self, now: Duration) {
        let addresses: Vec<SocketAddr> = self.peers.keys().copied().collect();
        for address in addresses {
            self.refresh_health_of(address, now);
        }
    }

    fn refresh_health_of(&mut self, address: SocketAddr, now: Duration) {
        let has_healthy_disk = self.last_heartbeat(address).is_some_and(|heartbeat| heartbeat.disk_healthy);
        let is_healthy = self.is_bidirectional(address, now) && has_healthy_disk;
        let Some(peer) = self.peers.get_mut(&address) else { return };
        peer.healthy_since = if is_healthy { peer.healthy_since.or(Some(now)) } else { None };
        if peer.healthy_since.is_some_and(|since| now > since + RESET_FLAPS_AFTER) {
            peer.flap_count = 0;
        }
    }

    /// Whether a peer has been healthy for `duration`, or for a multiple of it if the peer was repeatedly
    /// removed from a chain.
    pub fn is_healthy_for(&self, address: SocketAddr, duration: Duration, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        let min_duration = duration * (1 << peer.flap_count.saturating_sub(1));
        peer.healthy_since.is_some_and(|since| now >= since + min_duration)
    }

    /// The last heartbeat of a peer, whatever its age.
    pub fn last_heartbeat(&self, address: SocketAddr) -> Option<&Heartbeat> {
        self.peers.get(&address)?.heartbeat.as_ref()
    }

    /// The last heartbeat of a peer that is alive.
    pub fn live_heartbeat(&self, address: SocketAddr, now: Duration) -> Option<&Heartbeat> {
        self.last_heartbeat(address).filter(|_| self.is_alive(address, now))
    }

    /// The identity of the process at an address, if it is alive.
    pub fn live_identity(&self, address: SocketAddr, now: Duration) -> Option<MemberId> {
        self.live_heartbeat(address, now).map(|heartbeat| heartbeat.sender)
    }

    /// Whether the last heartbeat of a peer is recent enough.
    pub fn is_alive(&self, address: SocketAddr, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        let divisor = if peer.is_link_broken { BROKEN_LINK_DIVISOR } else { 1 };
        peer.last_heartbeat_at.is_some_and(|at| now < at + self.suspect_after / divisor)
    }

    /// Whether a peer is presumed to have failed: its heartbeats have stopped or, if none was ever received,
    /// its address has been known for `never_seen_timeout`.
    pub fn is_presumed_failed(
        &self, address: SocketAddr, never_seen_timeout: Duration, now: Duration,
    ) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        match peer.last_heartbeat_at {
            Some(_) => !self.is_alive(address, now),
            None => now >= peer.known_since + never_seen_timeout,
        }
    }

    /// The live peers that hold the committed history beyond `index` on disk, the longest history first.
    pub fn with_history_beyond(&self, index: u64, now: Duration) -> Vec<SocketAddr> {
        let durable_index = |address: &SocketAddr| {
            self.live_heartbeat(*address, now).and_then(|heartbeat| heartbeat.durable_commit_index)
        };
        let is_beyond = |address: &&SocketAddr| durable_index(address).is_some_and(|durable| durable > index);
        let mut addresses: Vec<SocketAddr> = self.peers.keys().filter(is_beyond).copied().collect();
        addresses.sort_by_key(|address| std::cmp::Reverse(durable_index(address)));
        addresses
    }

    /// Whether a peer is alive and reports that it receives heartbeats from this process.
    pub fn is_bidirectional(&self, address: SocketAddr, now: Duration) -> bool {
        let receives_local_heartbeats =
            |heartbeat: &Heartbeat| heartbeat.links.iter().any(|link| link.peer == self.local_address);
        self.live_heartbeat(address, now).is_some_and(receives_local_heartbeats)
    }

    /// Whether `reporter` reports a bidirectional link to `peer`.
    pub fn reports_link(&self, reporter: SocketAddr, peer: SocketAddr, now: Duration) -> bool {
        if reporter == self.local_address {
            return self.is_bidirectional(peer, now);
        }
        let link = Link { peer, bidirectional: true };
        self.live_heartbeat(reporter, now).is_some_and(|heartbeat| heartbeat.links.contains(&link))
    }

    /// Whether both ends report the link between them as bidirectional.
    pub fn is_linked(&self, one: SocketAddr, other: SocketAddr, now: Duration) -> bool {
        one == other || (self.reports_link(one, other, now) && self.reports_link(other, one, now))
    }

    /// Whether neither end reports the link between them as bidirectional.
    pub fn is_link_severed(&self, one: SocketAddr, other: SocketAddr, now: Duration) -> bool {
        one != other && !self.reports_link(one, other, now) && !self.reports_link(other, one, now)
    }

    /// Whether any live peer reports that it receives heartbeats from this address.
    pub fn is_reachable_by_others(&self, address: SocketAddr, now: Duration) -> bool {
        let others = self.peers.keys().filter(|other| **other != address);
        let mut heartbeats = others.filter_map(|other| self.live_heartbeat(*other, now));
        heartbeats.any(|heartbeat| heartbeat.links.iter().any(|link| link.peer == address))
    }

    /// The links of this process, to be reported in its heartbeats.
    pub fn links(&self, now: Duration) -> Vec<Link> {
        let link = |peer| Link { peer, bidirectional: self.is_bidirectional(peer, now) };
        self.live_addresses(now).into_iter().map(link).collect()
    }

    /// The addresses of the live peers.
    pub fn live_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        self.peers.keys().copied().filter(|address| self.is_alive(*address, now)).collect()
    }
}
