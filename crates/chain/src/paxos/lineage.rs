//! Which views may have served, and which replica may be the source of the next one.

use super::ReceivedPromise;
use crate::member::MemberId;
use crate::view::{Ancestor, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// More views in a row than ever come to nothing while the core is no worse than it must bear.
const MAX_ANCESTORS: usize = 16;

/// The views that may have been the last to serve, as far as a proposer of the next view can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lineage {
    /// These views, newest first.
    pub ancestors: Vec<Ancestor>,
    /// The last one before those.
    pub last_known_served: u64,
}

impl Lineage {
    /// The lineage of the view after `view`, as promises of a majority tell. `served` says that `view` is known to have
    /// served.
    ///
    /// A view has not served and never will if a replica of its chain has promised a later one without position its
    /// history.
    pub fn after(view: &View, served: bool, promises: &BTreeMap<SocketAddr, ReceivedPromise>) -> Lineage {
        if served {
            return Lineage { ancestors: Vec::new(), last_known_served: view.number };
        }
        let present = Ancestor { number: view.number, chain: view.chain.clone() };
        let present = Some(present).filter(|_| view.may_serve());
        let all = present.into_iter().chain(view.lineage.iter().cloned());
        let never_served = |ancestor: &Ancestor| {
            let mut replicas = promises.values().filter(|promise| ancestor.chain.contains(&promise.member));
            replicas.any(|promise| promise.position.installed_view < ancestor.number)
        };
        let mut ancestors: Vec<Ancestor> = all.filter(|ancestor| !never_served(ancestor)).collect();
        let mut last_known_served = view.last_known_served;
        if ancestors.len() > MAX_ANCESTORS {
            // Those cut off are not told apart any more: the newest of them counts as one that has served.
            last_known_served = ancestors[MAX_ANCESTORS].number;
            ancestors.truncate(MAX_ANCESTORS);
        }
        Lineage { ancestors, last_known_served }
    }

    /// The oldest view whose history holds all that was ever acknowledged.
    pub fn floor(&self) -> u64 {
        self.ancestors.first().map_or(self.last_known_served, |ancestor| ancestor.number)
    }
}

/// The promisers whose history holds all that was ever acknowledged.
pub fn holders(floor: u64, promises: &BTreeMap<SocketAddr, ReceivedPromise>) -> Vec<MemberId> {
    let holds = |promise: &&ReceivedPromise| promise.position.installed_view >= floor;
    promises.values().filter(holds).map(|promise| promise.member).collect()
}

/// The replica of a chain that the others take the history from: the holder with the newest history.
pub fn choose_source(
    floor: u64, chain: &[MemberId], promises: &BTreeMap<SocketAddr, ReceivedPromise>,
) -> Option<MemberId> {
    let fit = |promise: &&ReceivedPromise| {
        chain.contains(&promise.member) && promise.position.installed_view >= floor
    };
    let newest = |promise: &&ReceivedPromise| (promise.position.installed_view, promise.position.last_index);
    promises.values().filter(fit).max_by_key(newest).map(|promise| promise.member)
}
