//! What is known of the other processes of the core, and who reaches whom.

use crate::heartbeat::{Heartbeat, Link};
use crate::member::MemberId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// More processes than a core has; guards against an endless list.
const MAX_PEERS: usize = 64;
/// A peer that is neither member nor seed is forgotten after this.
const FORGET_AFTER: Duration = Duration::from_secs(15);
/// After its connection broke, a peer is suspected after this part of the usual time.
const BROKEN_LINK_DIVISOR: u32 = 2;
/// A replica that left the chain again and again waits longer, up to twice this many times.
const MAX_STRIKES: u32 = 2;
/// A replica that was well for this long has no strikes.
const STRIKES_LAST: Duration = Duration::from_secs(10);

/// What is known of a peer.
#[derive(Debug, Default)]
struct Peer {
    last_heard: Option<Duration>,
    /// Since when it was not heard, or was never heard.
    known_since: Duration,
    beat: Option<Heartbeat>,
    link_broken: bool,
    /// Since when it is in two-way contact and its disk takes batches.
    well_since: Option<Duration>,
    strikes: u32,
}

/// All peers.
#[derive(Debug)]
pub struct Peers {
    me: SocketAddr,
    suspect_after: Duration,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Knows nobody yet.
    pub fn new(me: SocketAddr, suspect_after: Duration) -> Peers {
        Peers { me, suspect_after, peers: BTreeMap::new() }
    }

    /// Takes note of an address.
    pub fn learn(&mut self, address: SocketAddr, now: Duration) {
        if address != self.me && !self.peers.contains_key(&address) && self.peers.len() < MAX_PEERS {
            self.peers.insert(address, Peer { known_since: now, ..Peer::default() });
        }
    }

    /// Forgets peers that are silent and not to be kept.
    pub fn forget(&mut self, now: Duration, keep: impl Fn(SocketAddr) -> bool) {
        self.peers.retain(|address, peer| {
            let silent_since = peer.last_heard.unwrap_or(peer.known_since);
            now < silent_since + FORGET_AFTER || keep(*address)
        });
    }

    /// All addresses, with whether each was ever heard.
    pub fn addresses(&self) -> impl Iterator<Item = (SocketAddr, bool)> {
        self.peers.iter().map(|(address, peer)| (*address, peer.last_heard.is_some()))
    }

    /// Takes in a heartbeat. Returns whether the peer has just started.
    pub fn heard(&mut self, from: SocketAddr, beat: Heartbeat, now: Duration) -> bool {
        self.learn(from, now);
        let Some(peer) = self.peers.get_mut(&from) else { return false };
        let started = peer.beat.as_ref().is_none_or(|old| old.incarnation != beat.incarnation);
        if started {
            peer.well_since = None;
        }
        peer.last_heard = Some(now);
        peer.link_broken = false;
        peer.beat = Some(beat);
        self.refresh_one(from, now);
        started
    }

    /// The connection to a peer broke.
    pub fn link_down(&mut self, peer: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.link_broken = true;
        }
    }

    /// This process stood still: nobody else was silent for that long.
    pub fn forgive(&mut self, pause: Duration, now: Duration) {
        for peer in self.peers.values_mut() {
            peer.last_heard = peer.last_heard.map(|heard| (heard + pause).min(now));
        }
    }

    /// A replica left the chain because it was not well.
    pub fn strike(&mut self, address: SocketAddr) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.strikes = (peer.strikes + 1).min(MAX_STRIKES + 1);
            peer.well_since = None;
        }
    }

    /// Brings up to date since when each peer is well.
    pub fn refresh(&mut self, now: Duration) {
        let addresses: Vec<SocketAddr> = self.peers.keys().copied().collect();
        for address in addresses {
            self.refresh_one(address, now);
        }
    }

    fn refresh_one(&mut self, address: SocketAddr, now: Duration) {
        let well =
            self.bidirectional(address, now) && self.beat(address).is_some_and(|beat| beat.disk_healthy);
        let Some(peer) = self.peers.get_mut(&address) else { return };
        peer.well_since = if well { peer.well_since.or(Some(now)) } else { None };
        if peer.well_since.is_some_and(|since| now > since + STRIKES_LAST) {
            peer.strikes = 0;
        }
    }

    /// Whether a peer has been well for `calm`, or longer if it was in trouble again and again.
    pub fn well_for(&self, address: SocketAddr, calm: Duration, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        let wanted = calm * (1 << peer.strikes.saturating_sub(1));
        peer.well_since.is_some_and(|since| now >= since + wanted)
    }

    /// The last heartbeat of a peer.
    pub fn beat(&self, address: SocketAddr) -> Option<&Heartbeat> {
        self.peers.get(&address)?.beat.as_ref()
    }

    /// The last heartbeat of a peer that was heard lately.
    pub fn fresh_beat(&self, address: SocketAddr, now: Duration) -> Option<&Heartbeat> {
        self.beat(address).filter(|_| self.fresh(address, now))
    }

    /// Who answers at an address, if it was heard lately.
    pub fn identity(&self, address: SocketAddr, now: Duration) -> Option<MemberId> {
        self.fresh_beat(address, now).map(|beat| beat.sender)
    }

    /// Whether a peer was heard lately.
    pub fn fresh(&self, address: SocketAddr, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        let divisor = if peer.link_broken { BROKEN_LINK_DIVISOR } else { 1 };
        peer.last_heard.is_some_and(|heard| now < heard + self.suspect_after / divisor)
    }

    /// Whether a peer went silent after it was heard, or was never heard for `patience`.
    pub fn departed(&self, address: SocketAddr, patience: Duration, now: Duration) -> bool {
        let Some(peer) = self.peers.get(&address) else { return false };
        match peer.last_heard {
            Some(_) => !self.fresh(address, now),
            None => now >= peer.known_since + patience,
        }
    }

    /// The peers that hold more of the committed history than up to `after`, those that hold most of it first.
    pub fn longer_histories(&self, after: u64, now: Duration) -> Vec<SocketAddr> {
        let held =
            |address: &SocketAddr| self.fresh_beat(*address, now).and_then(|beat| beat.durable_commit_index);
        let longer = |address: &&SocketAddr| held(address).is_some_and(|held| held > after);
        let mut holders: Vec<SocketAddr> = self.peers.keys().filter(longer).copied().collect();
        holders.sort_by_key(|address| std::cmp::Reverse(held(address)));
        holders
    }

    /// Whether a peer was heard lately and says that it hears this process.
    pub fn bidirectional(&self, address: SocketAddr, now: Duration) -> bool {
        self.fresh_beat(address, now).is_some_and(|beat| beat.links.iter().any(|link| link.peer == self.me))
    }

    /// Whether `end` says that its link to `peer` works both ways.
    pub fn claims(&self, end: SocketAddr, peer: SocketAddr, now: Duration) -> bool {
        if end == self.me {
            return self.bidirectional(peer, now);
        }
        let wanted = Link { peer, bidirectional: true };
        self.fresh_beat(end, now).is_some_and(|beat| beat.links.contains(&wanted))
    }

    /// Whether both ends of a link say that it works.
    pub fn linked(&self, one: SocketAddr, other: SocketAddr, now: Duration) -> bool {
        one == other || (self.claims(one, other, now) && self.claims(other, one, now))
    }

    /// Whether neither end of a link says that it works.
    pub fn severed(&self, one: SocketAddr, other: SocketAddr, now: Duration) -> bool {
        one != other && !self.claims(one, other, now) && !self.claims(other, one, now)
    }

    /// Whether some peer that was heard lately says that it hears this address.
    pub fn heard_by_others(&self, address: SocketAddr, now: Duration) -> bool {
        let others = self.peers.keys().filter(|other| **other != address);
        let mut beats = others.filter_map(|other| self.fresh_beat(*other, now));
        beats.any(|beat| beat.links.iter().any(|link| link.peer == address))
    }

    /// The links that this process says it has.
    pub fn links(&self, now: Duration) -> Vec<Link> {
        let fresh = self.peers.keys().filter(|address| self.fresh(**address, now));
        fresh
            .map(|address| Link { peer: *address, bidirectional: self.bidirectional(*address, now) })
            .collect()
    }

    /// The peers that were heard lately.
    pub fn fresh_addresses(&self, now: Duration) -> Vec<SocketAddr> {
        self.peers.keys().copied().filter(|address| self.fresh(*address, now)).collect()
    }
}
