//! The views that a proposer may propose: members, chain, source and lineage.
//!
//! The planner of `lugwharf-chain` decides for one of them; here each is tried.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::identity::{FOUNDER_COUNT, Identity, NEWCOMER, machine_of, next_identity};
use super::node::Node;
use super::state::State;
use super::view::{Ancestor, Chain, MAX_VIEWS, ProposalNumber, View};

/// How many disks may be lost at once without losing an acknowledged change, `f`.
const FAULT_TOLERANCE: usize = 1;

/// A promise as its proposer has received it.
#[derive(Clone, Copy)]
pub(super) struct ReceivedPromise {
    pub(super) member: Identity,
    pub(super) accepted: Option<(ProposalNumber, View)>,
    pub(super) installed: u8,
    pub(super) last_index: u8,
}

impl ChainModel {
    /// The views that may be proposed after these promises.
    pub(super) fn possible_views(
        &self, state: &State, proposer: &Node, promises: &[ReceivedPromise],
    ) -> Vec<View> {
        let accepted = promises.iter().filter_map(|promise| promise.accepted);
        let accepted = accepted.max_by_key(|(proposal, _)| *proposal);
        if let Some((_, view)) = accepted.filter(|_| self.guards.has(Guard::AcceptedViewAdopted)) {
            return vec![view];
        }
        let current = proposer.records.view;
        let in_chain = current.has_in_chain(proposer.identity);
        let chain_is_installed =
            current.chain.set().is_subset_of(state.installed_members[usize::from(current.number) - 1]);
        let mut views = self.views_with_lineage(state, proposer, proposer.is_serving, promises);
        // A member outside the chain may know that the view serves.
        if chain_is_installed && !in_chain {
            views.extend(self.views_with_lineage(state, proposer, true, promises));
        }
        views
    }

    /// The views with the lineage that follows from whether the proposer knows that its view has served.
    fn views_with_lineage(
        &self, state: &State, proposer: &Node, has_served: bool, promises: &[ReceivedPromise],
    ) -> Vec<View> {
        let current = proposer.records.view;
        let (lineage, base) = self.lineage_after(&current, has_served, promises);
        let newest = lineage[0].number;
        let floor = if newest > 0 { newest } else { base };
        let floor = if self.guards.has(Guard::SourceHoldsNewestHistory) { floor } else { 0 };
        let eligible = promises.iter().filter(|promise| promise.installed >= floor);
        let holders = eligible.fold(SmallSet::default(), |holders, promise| holders.with(promise.member));
        let mut views = Vec::new();
        for members in self.possible_memberships(state, proposer, holders) {
            for chain in self.possible_chains(&current, proposer.identity, members) {
                if let Some(source) = choose_source(floor, &chain, promises) {
                    views.push(View { number: current.number + 1, members, chain, source, lineage, base });
                }
            }
        }
        views
    }

    /// The views that may have been the last to serve, newest first, and the last view before those. A view whose chain has
    /// a promised replica without its history has not served and, since that replica is sealed, never will.
    fn lineage_after(
        &self, view: &View, has_served: bool, promises: &[ReceivedPromise],
    ) -> ([Ancestor; MAX_VIEWS - 1], u8) {
        let mut lineage = [Ancestor::default(); MAX_VIEWS - 1];
        if has_served {
            return (lineage, view.number);
        }
        let current = Ancestor { number: view.number, chain: view.chain.set() };
        let current = Some(current).filter(|_| self.may_serve(view));
        let before = view.lineage.into_iter().filter(|ancestor| ancestor.number > 0);
        let never_served = |ancestor: &Ancestor| {
            let mut replicas = promises.iter().filter(|promise| ancestor.chain.contains(promise.member));
            replicas.any(|promise| promise.installed < ancestor.number)
        };
        let all = current.into_iter().chain(before).filter(|ancestor| !never_served(ancestor));
        for (place, ancestor) in all.enumerate() {
            lineage[place] = ancestor;
        }
        (lineage, view.base)
    }

    /// Whether a view may serve once its chain holds the history.
    pub(super) fn may_serve(&self, view: &View) -> bool {
        view.members.len() >= FOUNDER_COUNT && view.chain.len() >= self.min_chain_length()
    }

    fn min_chain_length(&self) -> usize {
        if self.guards.has(Guard::MinChainLength) { FAULT_TOLERANCE + 1 } else { 1 }
    }

    /// The current members, and each set with one of them replaced.
    fn possible_memberships(&self, state: &State, proposer: &Node, holders: SmallSet) -> Vec<SmallSet> {
        let current = proposer.records.view.members;
        let mut memberships = vec![current];
        for member in current.iter().filter(|member| *member != proposer.identity) {
            let others = current.without(member);
            let lost_disk = state.nodes[machine_of(member)].identity != member;
            if lost_disk {
                memberships.push(others.with(next_identity(member)));
            }
            let other_holders = holders.without(member).len();
            let may_replace = lost_disk
                || other_holders > FAULT_TOLERANCE
                || !self.guards.has(Guard::ReplaceOnlyWithSpareReplicas);
            if may_replace && self.bounds.may_add_newcomer && state.may_admit_newcomer(&proposer.records.view)
            {
                memberships.push(others.with(NEWCOMER));
            }
        }
        memberships
    }

    /// The chains that the proposer may choose: itself and others, in the order of the current chain.
    fn possible_chains(&self, current: &View, proposer: Identity, members: SmallSet) -> Vec<Chain> {
        let mut candidates: Vec<Identity> = members.iter().collect();
        candidates.sort_by_key(|member| {
            (current.chain.position(*member).unwrap_or(usize::MAX), machine_of(*member))
        });
        let mut chains = Vec::new();
        for subset in 0..1_u32 << candidates.len() {
            let indexed = candidates.iter().enumerate();
            let chain: Vec<Identity> =
                indexed.filter(|(index, _)| subset & 1 << index != 0).map(|(_, member)| *member).collect();
            let length = self.min_chain_length()..=self.bounds.max_chain_length;
            if chain.contains(&proposer) && length.contains(&chain.len()) {
                chains.push(Chain::of(&chain));
            }
        }
        chains
    }
}

/// The replica of the chain with the newest history, among those that have installed `floor` or a later view.
fn choose_source(floor: u8, chain: &Chain, promises: &[ReceivedPromise]) -> Option<Identity> {
    let eligible = promises
        .iter()
        .filter(|promise| chain.position(promise.member).is_some() && promise.installed >= floor);
    let newest =
        eligible.max_by_key(|promise| (promise.installed, promise.last_index, machine_of(promise.member)));
    newest.map(|promise| promise.member)
}
