//! The control processes that were heard lately: the members of the view, and those that are none and serve agents as
//! followers.
//!
//! Members hear every process, since each sends them its heartbeats. Followers hear members alone, so that members name
//! the others to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A process stays listed for so long after it was last heard: longer than a restart, so that the agents' order of
/// preference does not change with each one.
const LISTED_TTL: Duration = Duration::from_secs(10);
/// What a member told of the fleet counts for several exchanges.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// ProcessDirectory that are remembered at most: twice the largest core. With the members and this process they stay below the
/// addresses that an agent takes over (64).
pub const MAX_PROCESSES: usize = 48;

#[derive(Clone, Copy, Debug)]
struct ProcessEntry {
    last_message_at: Duration,
    /// Live proxies of the whole fleet as it told last, and when; 0 for unknown.
    live_proxies: u32,
    live_proxies_at: Duration,
}

/// The other control processes, by peer address.
#[derive(Debug, Default)]
pub struct ProcessDirectory {
    by_address: BTreeMap<SocketAddr, ProcessEntry>,
}

impl ProcessDirectory {
    /// A message of `from` has come.
    pub fn record_message(&mut self, now: Duration, from: SocketAddr) {
        if let Some(entry) = self.by_address.get_mut(&from) {
            entry.last_message_at = now;
            return;
        }
        if self.by_address.len() >= MAX_PROCESSES {
            self.evict_expired(now);
        }
        if self.by_address.len() < MAX_PROCESSES {
            self.by_address.insert(
                from,
                ProcessEntry { last_message_at: now, live_proxies: 0, live_proxies_at: Duration::ZERO },
            );
        }
    }

    /// A member has named processes that it hears.
    pub fn record_named(&mut self, now: Duration, processes: &[SocketAddr]) {
        processes.iter().take(MAX_PROCESSES).for_each(|process| self.record_message(now, *process));
    }

    /// `from` has told how many proxies live in the whole fleet.
    pub fn record_live_proxies(&mut self, now: Duration, from: SocketAddr, live_proxies: u32) {
        self.record_message(now, from);
        if let Some(entry) = self.by_address.get_mut(&from) {
            entry.live_proxies = live_proxies;
            entry.live_proxies_at = now;
        }
    }

    /// Whether any other control process was heard lately.
    pub fn has_recent_peer(&self, now: Duration) -> bool {
        self.by_address.values().any(|entry| now.saturating_sub(entry.last_message_at) <= REPORT_TTL)
    }

    /// The largest number of live proxies that one of these has told lately; 0 for unknown.
    pub fn live_proxies(&self, now: Duration, members: &[SocketAddr]) -> u32 {
        let told = members.iter().filter_map(|member| self.by_address.get(member));
        let fresh = told.filter(|entry| now.saturating_sub(entry.live_proxies_at) <= REPORT_TTL);
        fresh.map(|entry| entry.live_proxies).max().unwrap_or(0)
    }

    /// All control processes, `local_address` among them: the members, and whoever else was heard lately. Sorted.
    pub fn all(&self, now: Duration, local_address: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let lately = self.by_address.iter().filter(|(_, entry)| is_listed(entry, now));
        let mut all: BTreeSet<SocketAddr> = lately.map(|(address, _)| *address).collect();
        all.extend(members);
        all.insert(local_address);
        all.into_iter().collect()
    }

    /// Whom this process tells what it has: members tell everybody, followers the members alone, so that the messages grow
    /// with the processes times the members and not with the square of the processes.
    pub fn audience(
        &self, now: Duration, local_address: SocketAddr, members: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let audience = match members.contains(&local_address) {
            true => self.all(now, local_address, members),
            false => members.to_vec(),
        };
        audience.into_iter().filter(|address| *address != local_address).collect()
    }

    fn evict_expired(&mut self, now: Duration) {
        self.by_address.retain(|_, entry| is_listed(entry, now));
    }
}

fn is_listed(entry: &ProcessEntry, now: Duration) -> bool {
    now.saturating_sub(entry.last_message_at) <= LISTED_TTL
}
