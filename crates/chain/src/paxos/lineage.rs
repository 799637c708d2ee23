//! Determines which views may have served, and which replica can be the source of the next view.
//!
//! Vertical Paxos solves the same problem (Lamport, Malkhi and Zhou, "Vertical Paxos and Primary-Backup
//! Replication", PODC 2009): a decided view need not have become active, so the newest acknowledged entries
//! may belong to an earlier one.

use super::ReceivedPromise;
use crate::member::MemberId;
use crate::view::{Ancestor, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The maximum number of views in a lineage. While the control plane has no more faults than it must
/// tolerate, fewer consecutive views are decided without ever serving.
const MAX_ANCESTORS: usize = 16;

/// The views that may have been the last one to serve, as far as a proposer of the next view can know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lineage {
    /// The views that may have served, newest first.
    pub ancestors: Vec<Ancestor>,
    /// The number of the newest view before those. That view is treated as one that has served.
    pub last_known_served: u64,
}

impl Lineage {
    /// Returns the lineage of the view after `view`, derived from the promises of a majority. `has_served`
    /// states that `view` is known to have served.
    ///
    /// A view has not served and never will if a replica of its chain has promised a later view without
    /// holding the view's history: a view serves only once all replicas of its chain hold the history, and
    /// this replica is sealed.
    pub fn after(view: &View, has_served: bool, promises: &BTreeMap<SocketAddr, ReceivedPromise>) -> Lineage {
        if has_served {
            return Lineage { ancestors: Vec::new(), last_known_served: view.number };
        }
        let current = Ancestor { number: view.number, chain: view.chain.clone() };
        let current = Some(current).filter(|_| view.may_serve());
        let candidates = current.into_iter().chain(view.lineage.iter().cloned());
        let never_served = |ancestor: &Ancestor| {
            let mut replicas = promises.values().filter(|promise| ancestor.chain.contains(&promise.member));
            replicas.any(|promise| promise.position.installed_view < ancestor.number)
        };
        let mut ancestors: Vec<Ancestor> = candidates.filter(|ancestor| !never_served(ancestor)).collect();
        let mut last_known_served = view.last_known_served;
        if ancestors.len() > MAX_ANCESTORS {
            // The oldest ancestors are dropped. The newest of them is then treated as one that has served,
            // which makes the requirement on a source stricter, never weaker.
            last_known_served = ancestors[MAX_ANCESTORS].number;
            ancestors.truncate(MAX_ANCESTORS);
        }
        Lineage { ancestors, last_known_served }
    }

    /// The oldest view whose history contains every acknowledged entry. A source must hold the history of
    /// this view or of a later one.
    pub fn min_source_view(&self) -> u64 {
        self.ancestors.first().map_or(self.last_known_served, |ancestor| ancestor.number)
    }
}

/// The acceptors that have promised and whose history contains every acknowledged entry. `min_view` is
/// [`Lineage::min_source_view`].
pub fn replicas_with_history(
    min_view: u64, promises: &BTreeMap<SocketAddr, ReceivedPromise>,
) -> Vec<MemberId> {
    let has_history = |promise: &&ReceivedPromise| promise.position.installed_view >= min_view;
    promises.values().filter(has_history).map(|promise| promise.member).collect()
}

/// The replica of a chain from which the others install the history: among those that hold every acknowledged
/// entry, the one with the newest history.
pub fn choose_source(
    min_view: u64, chain: &[MemberId], promises: &BTreeMap<SocketAddr, ReceivedPromise>,
) -> Option<MemberId> {
    let is_valid_source = |promise: &&ReceivedPromise| {
        chain.contains(&promise.member) && promise.position.installed_view >= min_view
    };
    let newest = |promise: &&ReceivedPromise| (promise.position.installed_view, promise.position.last_index);
    promises.values().filter(is_valid_source).max_by_key(newest).map(|promise| promise.member)
}
