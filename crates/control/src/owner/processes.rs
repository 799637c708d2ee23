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
const LISTED_FOR: Duration = Duration::from_secs(10);
/// What a member told of the fleet counts for several exchanges.
const FRESH: Duration = Duration::from_secs(2);
/// Processes that are remembered at most: twice the largest core. With the members and this process they stay below the
/// addresses that an agent takes over (64).
pub const MOST: usize = 48;

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Duration,
    /// Live proxies of the whole fleet as it told last, and when; 0 for unknown.
    live_proxies: u32,
    told_at: Duration,
}

/// The other control processes, by peer address.
#[derive(Debug, Default)]
pub struct Processes {
    heard: BTreeMap<SocketAddr, Heard>,
}

impl Processes {
    /// A message of `from` has come.
    pub fn heard(&mut self, now: Duration, from: SocketAddr) {
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.at = now;
            return;
        }
        if self.heard.len() >= MOST {
            self.forget(now);
        }
        if self.heard.len() < MOST {
            self.heard.insert(from, Heard { at: now, live_proxies: 0, told_at: Duration::ZERO });
        }
    }

    /// A member has named processes that it hears.
    pub fn named(&mut self, now: Duration, processes: &[SocketAddr]) {
        processes.iter().take(MOST).for_each(|process| self.heard(now, *process));
    }

    /// `from` has told how many proxies live in the whole fleet.
    pub fn told_live_proxies(&mut self, now: Duration, from: SocketAddr, live_proxies: u32) {
        self.heard(now, from);
        if let Some(heard) = self.heard.get_mut(&from) {
            heard.live_proxies = live_proxies;
            heard.told_at = now;
        }
    }

    /// Whether any other control process was heard lately.
    pub fn hears_any(&self, now: Duration) -> bool {
        self.heard.values().any(|heard| now.saturating_sub(heard.at) <= FRESH)
    }

    /// The largest number of live proxies that one of these has told lately; 0 for unknown.
    pub fn live_proxies(&self, now: Duration, members: &[SocketAddr]) -> u32 {
        let told = members.iter().filter_map(|member| self.heard.get(member));
        let fresh = told.filter(|heard| now.saturating_sub(heard.told_at) <= FRESH);
        fresh.map(|heard| heard.live_proxies).max().unwrap_or(0)
    }

    /// All control processes, `me` among them: the members, and whoever else was heard lately. Sorted.
    pub fn all(&self, now: Duration, me: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let lately = self.heard.iter().filter(|(_, heard)| is_listed(heard, now));
        let mut all: BTreeSet<SocketAddr> = lately.map(|(address, _)| *address).collect();
        all.extend(members);
        all.insert(me);
        all.into_iter().collect()
    }

    /// Whom this process tells what it has: members tell everybody, followers the members alone, so that the messages grow
    /// with the processes times the members and not with the square of the processes.
    pub fn audience(&self, now: Duration, me: SocketAddr, members: &[SocketAddr]) -> Vec<SocketAddr> {
        let audience = match members.contains(&me) {
            true => self.all(now, me, members),
            false => members.to_vec(),
        };
        audience.into_iter().filter(|address| *address != me).collect()
    }

    fn forget(&mut self, now: Duration) {
        self.heard.retain(|_, heard| is_listed(heard, now));
    }
}

fn is_listed(heard: &Heard, now: Duration) -> bool {
    now.saturating_sub(heard.at) <= LISTED_FOR
}
