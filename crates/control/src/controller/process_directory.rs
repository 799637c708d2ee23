//! The control processes that are alive as far as is known: members of the view, and learners that serve agents.
//!
//! Members get a message of every process, since each sends them its heartbeats. Learners hear from members alone, so
//! members name the other processes to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A process stays listed for so long after its last message: longer than a restart, so that the agents' order of
/// preference does not change with each restart.
const LISTED_TTL: Duration = Duration::from_secs(10);
/// A member's count of live proxies is used for so long: several exchanges of 500 ms.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Processes that are remembered at most: twice the largest core. With the members and this process they stay below the
/// addresses that an agent accepts (64).
pub const MAX_PROCESSES: usize = 48;

#[derive(Clone, Copy, Debug)]
struct ProcessEntry {
    last_message_at: Duration,
    /// Live proxies of the fleet in its last report; 0 for unknown.
    live_proxies: u32,
    live_proxies_at: Duration,
}

impl ProcessEntry {
    fn is_listed(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_message_at) <= LISTED_TTL
    }
}

/// The other control processes, by peer address. All times count from the start of the process.
#[derive(Debug, Default)]
pub struct ProcessDirectory {
    by_address: BTreeMap<SocketAddr, ProcessEntry>,
}

impl ProcessDirectory {
    /// A message of `from` has arrived.
    pub fn record_message(&mut self, now: Duration, from: SocketAddr) {
        if let Some(entry) = self.by_address.get_mut(&from) {
            entry.last_message_at = now;
            return;
        }
        if self.by_address.len() >= MAX_PROCESSES {
            self.evict_expired(now);
        }
        if self.by_address.len() < MAX_PROCESSES {
            let entry =
                ProcessEntry { last_message_at: now, live_proxies: 0, live_proxies_at: Duration::ZERO };
            self.by_address.insert(from, entry);
        }
    }

    /// A member has named processes that it gets messages from.
    pub fn record_named(&mut self, now: Duration, processes: &[SocketAddr]) {
        processes.iter().take(MAX_PROCESSES).for_each(|process| self.record_message(now, *process));
    }

    /// `from` has reported how many proxies live in the whole fleet.
    pub fn record_live_proxies(&mut self, now: Duration, from: SocketAddr, live_proxies: u32) {
        self.record_message(now, from);
        if let Some(entry) = self.by_address.get_mut(&from) {
            entry.live_proxies = live_proxies;
            entry.live_proxies_at = now;
        }
    }

    /// Whether another control process has sent a message within [`REPORT_TTL`].
    pub fn has_recent_peer(&self, now: Duration) -> bool {
        self.by_address.values().any(|entry| now.saturating_sub(entry.last_message_at) <= REPORT_TTL)
    }

    /// The largest count of live proxies that one of these members has reported within [`REPORT_TTL`]; 0 for unknown.
    pub fn live_proxies(&self, now: Duration, members: &[SocketAddr]) -> u32 {
        let reports = members.iter().filter_map(|member| self.by_address.get(member));
        let fresh = reports.filter(|entry| now.saturating_sub(entry.live_proxies_at) <= REPORT_TTL);
        fresh.map(|entry| entry.live_proxies).max().unwrap_or(0)
    }

    /// All control processes, sorted: the members, this process, and those with a message within [`LISTED_TTL`].
    pub fn all(&self, now: Duration, local_address: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let listed = self.by_address.iter().filter(|(_, entry)| entry.is_listed(now));
        let mut all: BTreeSet<SocketAddr> = listed.map(|(address, _)| *address).collect();
        all.extend(members);
        all.insert(local_address);
        all.into_iter().collect()
    }

    /// The processes that this one reports to. Members report to all, learners to members only, so that messages grow with
    /// processes times members and not with the square of the processes.
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
        self.by_address.retain(|_, entry| entry.is_listed(now));
    }
}
