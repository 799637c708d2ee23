//! The proposer of the next view.

use super::Replica;
use crate::log_event::{LogEvent, ViewChangeReason};
use crate::member::MemberId;
use crate::message::Message;
use crate::paxos::ProposalNumber;
use crate::paxos::{self, Attempt, Lineage, Phase, ReceivedPromise};
use crate::view::View;
use crate::view_planner::Plan;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Two rounds with two syncs on a disk 25 times slower than usual, with room.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(800);
/// After a majority of promises, the others are waited for this long: they may hold a longer history.
const STRAGGLERS: Duration = Duration::from_millis(100);
/// The second in the order of the chain proposes this much after the first, the third after the second.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// The first pause after a failed attempt; doubles with each failure.
const BACKOFF: Duration = Duration::from_millis(80);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// A proposal that stopped the present view should be finished by its proposer within this.
const UNFINISHED_AFTER: Duration = Duration::from_millis(500);
/// A view should serve within this: a suffix and a sync on a slow disk, with room.
const STUCK_AFTER: Duration = Duration::from_millis(1_500);
/// At the first start, seeds that are silent are waited for this long.
const FOUNDING_PATIENCE: Duration = Duration::from_millis(1_000);

impl Replica {
    pub(super) fn propose_when_due(&mut self) {
        match &self.proposer.attempt {
            Some(attempt) if self.now >= attempt.deadline => self.fail_attempt(),
            Some(_) => self.choose_when_ready(),
            None => self.consider_proposing(),
        }
    }

    fn consider_proposing(&mut self) {
        if !self.is_acceptor() || self.now < self.proposer.not_before {
            return;
        }
        let Some((plan, reason)) = self.desired() else {
            self.proposer.desired_since = None;
            return;
        };
        let since = *self.proposer.desired_since.get_or_insert(self.now);
        let rank = plan.chain.iter().position(|replica| *replica == self.identity);
        let rank = rank.unwrap_or(plan.chain.len());
        if self.now >= since + RANK_DELAY * rank as u32 {
            self.begin_attempt(reason);
        }
    }

    /// A view that should follow the present one, and why.
    fn desired(&self) -> Option<(Plan, ViewChangeReason)> {
        let planner = self.planner();
        let plan = planner.plan(&[])?;
        if self.view.number == 0 && !self.founders_complete(&plan) {
            return None;
        }
        let reason =
            planner.reason(&plan).or_else(|| self.stopped().filter(|_| planner.admissible(&plan)))?;
        Some((plan, reason))
    }

    fn founders_complete(&self, plan: &Plan) -> bool {
        let all = self.view.members.len();
        let linked = plan.members.len() == all && plan.chain.len() == all;
        linked || self.now >= self.started + FOUNDING_PATIENCE
    }

    /// Whether the present view was stopped, or never came to serve.
    fn stopped(&self) -> Option<ViewChangeReason> {
        if self.contact_sealed_for(UNFINISHED_AFTER) {
            return Some(ViewChangeReason::UnfinishedProposal);
        }
        // A process outside the chain may not hear all of it.
        let stuck = self.view.position(self.identity).is_some()
            && self.view.may_serve()
            && !self.installation.serving
            && self.now >= self.view_since + STUCK_AFTER;
        stuck.then_some(ViewChangeReason::Stalled)
    }

    fn contact_sealed_for(&self, time: Duration) -> bool {
        self.proposer.sealed_since.is_some_and(|since| self.now >= since + time)
    }

    /// Brings up to date since when some member has promised a view that was not agreed yet.
    pub(super) fn note_seals(&mut self) {
        let sealed = |member: &MemberId| {
            let beat = self.peers.fresh_beat(member.address, self.now);
            beat.is_some_and(|beat| beat.view == self.view.number && beat.sealed)
        };
        let any = self.sealed() || self.view.members.iter().any(sealed);
        let since = self.proposer.sealed_since;
        self.proposer.sealed_since = if any { since.or(Some(self.now)) } else { None };
    }

    fn begin_attempt(&mut self, reason: ViewChangeReason) {
        let round = self.proposer.highest_round + 1;
        self.proposer.highest_round = round;
        let proposal = ProposalNumber { round, proposer: self.identity };
        let deadline = self.now + ATTEMPT_TIMEOUT;
        let phase = Phase::Preparing { promises: BTreeMap::new(), majority_since: None };
        self.proposer.attempt = Some(Attempt { proposal, deadline, phase });
        let instance = self.view.number + 1;
        self.log(LogEvent::Proposing { number: instance, reason });
        self.promise(instance, proposal);
        // Nobody hears of a proposal before this process's own promise is on disk: after a restart it goes on above that
        // promise, so that no proposal is ever used for a second proposal.
        for member in self.view.members.clone() {
            self.send_synced(member.address, Message::Prepare { instance, proposal });
        }
    }

    /// Another process proposes: it gets the time to finish.
    pub(super) fn yield_to_other(&mut self) {
        self.proposer.not_before = self.proposer.not_before.max(self.now + UNFINISHED_AFTER);
    }

    fn fail_attempt(&mut self) {
        self.proposer.attempt = None;
        self.proposer.desired_since = None;
        let doublings = self.proposer.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.proposer.failures += 1;
        let longest = (BACKOFF * (1 << doublings)).as_millis() as u64;
        let pause = Duration::from_millis(self.rng.u64(0..=longest));
        self.proposer.not_before = self.now + pause;
    }

    pub(super) fn on_promise(&mut self, instance: u64, proposal: ProposalNumber, promise: ReceivedPromise) {
        let majority = self.view.majority();
        if instance != self.view.number + 1 || !self.view.has_acceptor(promise.member) {
            return;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return;
        };
        let Phase::Preparing { promises, majority_since } = &mut attempt.phase else { return };
        promises.insert(promise.member.address, promise);
        if promises.len() >= majority {
            majority_since.get_or_insert(self.now);
            self.choose_when_ready();
        }
    }

    fn choose_when_ready(&mut self) {
        let Some(attempt) = &self.proposer.attempt else { return };
        let Phase::Preparing { promises, majority_since: Some(since) } = &attempt.phase else { return };
        let awaited = |member: &MemberId| {
            !promises.contains_key(&member.address) && self.peers.fresh(member.address, self.now)
        };
        let all = !self.view.members.iter().any(awaited);
        if !all && self.now < *since + STRAGGLERS {
            return;
        }
        let Some(view) = self.choose(promises) else { return };
        let proposal = attempt.proposal;
        let phase = Phase::Accepting { view: Box::new(view.clone()), accepted: BTreeSet::new() };
        self.proposer.attempt = Some(Attempt { proposal, deadline: self.now + ATTEMPT_TIMEOUT, phase });
        for member in self.view.members.clone() {
            self.send(member.address, Message::Accept { proposal, view: view.clone() });
        }
    }

    /// The view that may be proposed after these promises: one that may have been agreed already, else a new one.
    fn choose(&self, promises: &BTreeMap<SocketAddr, ReceivedPromise>) -> Option<View> {
        let accepted = promises.values().filter_map(|promise| promise.accepted.as_ref());
        if let Some(held) = accepted.max_by_key(|held| held.0) {
            return Some(held.1.clone());
        }
        let planner = self.planner();
        let lineage = Lineage::after(&self.view, self.installation.serving, promises);
        let floor = lineage.floor();
        let holders = paxos::holders(floor, promises);
        let plan = planner.plan(&holders).filter(|plan| planner.admissible(plan))?;
        let source = paxos::choose_source(floor, &plan.chain, promises)?;
        Some(View {
            number: self.view.number + 1,
            members: plan.members,
            chain: plan.chain,
            source: Some(source),
            lineage: lineage.ancestors,
            last_known_served: lineage.last_known_served,
            fault_tolerance: self.view.fault_tolerance,
            min_members: self.view.min_members,
        })
    }

    pub(super) fn on_rejected(&mut self, instance: u64, proposal: ProposalNumber, promised: ProposalNumber) {
        if instance != self.view.number + 1 {
            return;
        }
        self.proposer.highest_round = self.proposer.highest_round.max(promised.round);
        if self.proposer.attempt.as_ref().is_some_and(|attempt| attempt.proposal == proposal) {
            self.fail_attempt();
        }
    }

    pub(super) fn on_accepted(&mut self, from: SocketAddr, instance: u64, proposal: ProposalNumber) {
        let majority = self.view.majority();
        if instance != self.view.number + 1 || !self.view.has_member_at(from) {
            return;
        }
        let Some(attempt) = self.proposer.attempt.as_mut().filter(|attempt| attempt.proposal == proposal)
        else {
            return;
        };
        let Phase::Accepting { view, accepted } = &mut attempt.phase else { return };
        accepted.insert(from);
        if accepted.len() >= majority {
            let view = view.as_ref().clone();
            self.announce(view);
        }
    }

    fn announce(&mut self, view: View) {
        let old = self.view.members.clone();
        let all = old.iter().chain(&view.members).map(|member| member.address);
        let addresses: BTreeSet<SocketAddr> =
            all.filter(|address| *address != self.identity.address).collect();
        for address in addresses {
            self.send(address, Message::Decided { view: view.clone() });
        }
        self.adopt(view);
    }
}
