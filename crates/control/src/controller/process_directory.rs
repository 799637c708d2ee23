//! A directory of the control processes that are considered alive: members of the view, and learners that
//! serve agents.
//!
//! Members receive messages from every process, because every process sends them heartbeats. Learners receive
//! messages only from members, so members report the other processes to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a process stays listed after its last message. This is longer than a restart, so that the agents'
/// order of preference does not change with each restart.
const LISTED_TTL: Duration = Duration::from_secs(10);
/// How long a member's count of live proxies is used: several report intervals of 500 ms.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// The maximum number of recorded processes: twice the size of the largest control plane. Together with the
/// members and this process, they stay below the number of addresses that an agent accepts (64).
pub const MAX_PROCESSES: usize = 48;

#[derive(Clone, Copy, Debug)]
struct ProcessEntry {
    last_message_at: Duration,
    /// The number of live proxies of the fleet in the last report of the process; 0 for unknown.
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
    /// Records that a message from `from` has arrived.
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

    /// Records the processes from which a member reported to receive messages.
    pub fn record_reported_processes(&mut self, now: Duration, processes: &[SocketAddr]) {
        processes.iter().take(MAX_PROCESSES).for_each(|process| self.record_message(now, *process));
    }

    /// Records the number of live proxies of the whole fleet that `from` reported.
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

    /// Returns the largest number of live proxies that any of these members has reported within
    /// [`REPORT_TTL`]; 0 for unknown.
    pub fn live_proxies(&self, now: Duration, members: &[SocketAddr]) -> u32 {
        let reports = members.iter().filter_map(|member| self.by_address.get(member));
        let fresh = reports.filter(|entry| now.saturating_sub(entry.live_proxies_at) <= REPORT_TTL);
        fresh.map(|entry| entry.live_proxies).max().unwrap_or(0)
    }

    /// Returns all control processes, sorted: the members, this process, and those with a message within
    /// [`LISTED_TTL`].
    pub fn all(&self, now: Duration, local_address: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let listed = self.by_address.iter().filter(|(_, entry)| entry.is_listed(now));
        let mut all: BTreeSet<SocketAddr> = listed.map(|(address, _)| *address).collect();
        all.extend(members);
        all.insert(local_address);
        all.into_iter().collect()
    }

    /// Returns the processes that this process reports to. Members report to all processes, learners only to
    /// members, so that the number of messages is proportional to processes times members instead of the
    /// square of the processes.
    pub fn report_recipients(
        &self, now: Duration, local_address: SocketAddr, members: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let recipients = match members.contains(&local_address) {
            true => self.all(now, local_address, members),
            false => members.to_vec(),
        };
        recipients.into_iter().filter(|address| *address != local_address).collect()
    }

    fn evict_expired(&mut self, now: Duration) {
        self.by_address.retain(|_, entry| entry.is_listed(now));
    }
}
