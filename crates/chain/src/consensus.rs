//! Single-decree consensus on the next view: the state of an acceptor and of a proposer.

use crate::message::HistoryPosition;
use crate::model::{Ancestor, MemberId, ProposalNumber, View};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// More views in a row than ever come to nothing while the core is no worse than it must bear.
const MAX_ANCESTORS: usize = 16;

/// What an acceptor has promised and accepted for the view after the newest one.
#[derive(Clone, Debug, Default)]
pub struct Acceptor {
    /// The highest proposal it takes part in.
    pub promised: Option<ProposalNumber>,
    /// The view that it has accepted, and in which proposal.
    pub accepted: Option<Box<(ProposalNumber, View)>>,
}

impl Acceptor {
    /// Whether a proposal may be promised or accepted.
    pub fn admits(&self, proposal: ProposalNumber) -> bool {
        self.promised.is_none_or(|promised| proposal >= promised)
    }

    /// How an admitted proposal compares to what was accepted.
    pub fn compare(&self, proposal: ProposalNumber, view: &View) -> Held {
        match &self.accepted {
            Some(held) if held.0 == proposal && held.1 == *view => Held::Same,
            Some(held) if held.0 == proposal => Held::OtherValue,
            _ => Held::Lower,
        }
    }
}

/// How a proposal compares to what an acceptor has accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// Nothing was accepted, or in a lower proposal.
    Lower,
    /// This very proposal was accepted.
    Same,
    /// Another value was accepted under the same proposal. No sound proposer does that.
    OtherValue,
}

/// A promise as its proposer keeps it.
#[derive(Clone, Debug)]
pub struct ReceivedPromise {
    /// Who promised.
    pub member: MemberId,
    /// What the acceptor has accepted in a lower proposal.
    pub accepted: Option<Box<(ProposalNumber, View)>>,
    /// The history that it holds.
    pub position: HistoryPosition,
}

/// How far a proposal is.
#[derive(Clone, Debug)]
pub enum Phase {
    /// Promises are gathered.
    Preparing {
        /// The promises so far.
        promises: BTreeMap<SocketAddr, ReceivedPromise>,
        /// Since when they are a majority.
        majority_since: Option<Duration>,
    },
    /// Acceptances are gathered.
    Accepting {
        /// The view.
        view: Box<View>,
        /// Who has accepted it.
        accepted: BTreeSet<SocketAddr>,
    },
}

/// A proposal under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its number.
    pub proposal: ProposalNumber,
    /// When it is given up.
    pub deadline: Duration,
    /// How far it is.
    pub phase: Phase,
}

/// The state of a proposer.
#[derive(Debug, Default)]
pub struct Proposer {
    /// The proposal under way.
    pub attempt: Option<Attempt>,
    /// Not before this time is another one begun.
    pub not_before: Duration,
    /// How many failed in a row.
    pub failures: u32,
    /// The highest round seen.
    pub highest_round: u64,
    /// Since when another view is desired.
    pub desired_since: Option<Duration>,
    /// Since when some member has promised a view that was not agreed yet.
    pub sealed_since: Option<Duration>,
}

impl Proposer {
    /// The proposer of a process that starts again: it goes on above every proposal that it may have used before, since its
    /// own promise was on disk before anybody else heard of one.
    pub fn recover(promised: Option<ProposalNumber>) -> Proposer {
        Proposer { highest_round: promised.map_or(0, |proposal| proposal.round), ..Proposer::default() }
    }
}

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
