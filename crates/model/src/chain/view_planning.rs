//! The views that a proposer may propose: members, chain, source and lineage.
//!
//! The planner of `lugwharf-chain` chooses one of them; the search tries each.

use super::ChainModel;
use super::collections::SmallSet;
use super::guards::Guard;
use super::identity::{INITIAL_LEARNER, INITIAL_MEMBER_COUNT, Identity, machine_of, next_identity};
use super::node::Node;
use super::state::State;
use super::view::{Ancestor, Chain, MAX_VIEWS, ProposalNumber, View};

/// The number of disks that may be lost at the same time without the loss of an acknowledged change, `f`.
const FAULT_TOLERANCE: usize = 1;

/// A promise that the proposer has received.
#[derive(Clone, Copy)]
pub(super) struct ReceivedPromise {
    pub(super) member: Identity,
    pub(super) accepted: Option<(ProposalNumber, View)>,
    pub(super) installed: u8,
    pub(super) last_index: u8,
}

impl ChainModel {
    /// The views that a proposer may propose after it received `promises`.
    pub(super) fn possible_views(
        &self, state: &State, proposer: &Node, promises: &[ReceivedPromise],
    ) -> Vec<View> {
        let accepted = promises.iter().filter_map(|promise| promise.accepted);
        let accepted = accepted.max_by_key(|(proposal, _)| *proposal);
        if let Some((_, view)) = accepted.filter(|_| self.guards.has(Guard::AcceptedViewAdopted)) {
            return vec![view];
        }
        let current = proposer.records.view;
        let is_in_chain = current.is_in_chain(proposer.identity);
        let chain_is_installed =
            current.chain.set().is_subset_of(state.installed_members[usize::from(current.number) - 1]);
        let mut views = self.views_with_lineage(state, proposer, proposer.is_serving, promises);
        // A member outside the chain may have learned that the view serves.
        if chain_is_installed && !is_in_chain {
            views.extend(self.views_with_lineage(state, proposer, true, promises));
        }
        views
    }

    /// The possible views, with the lineage for a proposer that knows (`has_served`) or does not know that
    /// its current view has served.
    fn views_with_lineage(
        &self, state: &State, proposer: &Node, has_served: bool, promises: &[ReceivedPromise],
    ) -> Vec<View> {
        let current = proposer.records.view;
        let (lineage, base) = self.lineage_after(&current, has_served, promises);
        let newest = lineage[0].number;
        // The newest view that may have served. The source must have installed its history or a later one.
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

    /// The lineage and the base of the view after `view`: the views that may have been the last view to
    /// serve, newest first, and the newest view before those, which is treated as a view that has served. A
    /// view whose chain includes a replica that has promised but not installed the history of the view has
    /// not served and, since that replica is sealed, never will.
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
        for (position, ancestor) in all.enumerate() {
            lineage[position] = ancestor;
        }
        (lineage, view.base)
    }

    /// Whether a view has enough members and replicas to serve once its chain holds the history.
    pub(super) fn may_serve(&self, view: &View) -> bool {
        view.members.len() >= INITIAL_MEMBER_COUNT && view.chain.len() >= self.min_chain_length()
    }

    fn min_chain_length(&self) -> usize {
        if self.guards.has(Guard::MinChainLength) { FAULT_TOLERANCE + 1 } else { 1 }
    }

    /// The current members, and each set in which one of them is replaced.
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
            if may_replace && self.bounds.may_add_learner && state.may_admit_learner(&proposer.records.view) {
                memberships.push(others.with(INITIAL_LEARNER));
            }
        }
        memberships
    }

    /// The chains that the proposer may choose. They include the proposer, and keep the order of the current
    /// chain.
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
