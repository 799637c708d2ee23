//! The proposer of the next view: Paxos phases 1a and 2a, and the conditions for starting an attempt.
//!
//! Any member may propose. Members wait for one delay per position in the chain, so that they rarely compete.
//! Competing proposals are safe and are resolved by the proposal numbers and a random backoff.

use super::Replica;
use crate::log_event::{LogEvent, ViewChangeReason};
use crate::member::MemberId;
use crate::message::Message;
use crate::paxos::{self, Attempt, Lineage, Phase, ProposalNumber, ReceivedPromise};
use crate::view::View;
use crate::view_planner::Plan;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of each phase. Two message rounds with two syncs on a disk that is 25 times slower than usual
/// complete well within it.
const PHASE_TIMEOUT: Duration = Duration::from_millis(800);
/// The time for which the remaining promises are awaited after a majority: they may report a longer history.
const STRAGGLER_WAIT: Duration = Duration::from_millis(100);
/// The delay between consecutive members, in the order of the chain.
const RANK_DELAY: Duration = Duration::from_millis(150);
/// The maximum backoff after the first failed attempt. It doubles with each further failure, up to
/// `MAX_BACKOFF_DOUBLINGS` times.
const BASE_BACKOFF: Duration = Duration::from_millis(80);
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// The time within which a proposer should complete a proposal that has sealed the current view.
const UNFINISHED_AFTER: Duration = Duration::from_millis(500);
/// The time within which a view should serve. A transfer and a sync on a slow disk complete well within it.
const STALLED_AFTER: Duration = Duration::from_millis(1_500);
/// The time for which unreachable seeds are awaited when the system starts for the first time.
const BOOTSTRAP_WAIT: Duration = Duration::from_millis(1_000);

impl Replica {
    pub(super) fn propose_if_due(&mut self) {
        match &self.proposer.attempt {
            Some(attempt) if self.now >= attempt.deadline => self.fail_attempt(),
            Some(_) => self.begin_phase_two_if_ready(),
            None => self.begin_attempt_if_due(),
        }
    }

    fn begin_attempt_if_due(&mut self) {
        if !self.is_acceptor() || self.now < self.proposer.backoff_until {
            return;
        }
        let Some((plan, reason)) = self.wanted_change() else {
            self.proposer.change_wanted_since = None;
            return;
        };
        let wanted_since = *self.proposer.change_wanted_since.get_or_insert(self.now);
        let rank = plan.chain.iter().position(|replica| *replica == self.identity);
        let rank = rank.unwrap_or(plan.chain.len());
        if self.now >= wanted_since + RANK_DELAY * rank as u32 {
            self.begin_attempt(reason);
        }
    }

    /// The view that should replace the current one, and the reason.
    fn wanted_change(&self) -> Option<(Plan, ViewChangeReason)> {
        let planner = self.planner();
        let plan = planner.plan(&[])?;
        if self.view.number == 0 && !self.may_begin_bootstrap(&plan) {
            return None;
        }
        let no_progress = || self.no_progress_reason().filter(|_| planner.is_admissible(&plan));
        let reason = planner.change_reason(&plan).or_else(no_progress)?;
        Some((plan, reason))
    }

    /// Whether all seeds are linked with each other, or `BOOTSTRAP_WAIT` has passed.
    fn may_begin_bootstrap(&self, plan: &Plan) -> bool {
        let seeds = self.view.members.len();
        let all_linked = plan.members.len() == seeds && plan.chain.len() == seeds;
        all_linked || self.now >= self.started_at + BOOTSTRAP_WAIT
    }

    /// The reason to replace a view that makes no progress, because it was sealed or has not started to serve
    /// in time, regardless of its links.
    fn no_progress_reason(&self) -> Option<ViewChangeReason> {
        if self.proposer.sealed_since.is_some_and(|since| self.now >= since + UNFINISHED_AFTER) {
            return Some(ViewChangeReason::UnfinishedProposal);
        }
        // A process outside the chain may not receive heartbeats from all replicas of the chain.
        let is_stalled = self.view.position(self.identity).is_some()
            && self.view.may_serve()
            && !self.state_transfer.is_serving
            && self.now >= self.view_entered_at + STALLED_AFTER;
        is_stalled.then_some(ViewChangeReason::Stalled)
    }

    /// Updates the time since which a member has promised a view that is not decided yet.
    pub(super) fn refresh_sealed_since(&mut self) {
        let has_sealed = |member: &MemberId| {
            let heartbeat = self.peers.live_heartbeat(member.address, self.now);
            heartbeat.is_some_and(|heartbeat| heartbeat.view == self.view.number && heartbeat.sealed)
        };
        let any_sealed = self.is_sealed() || self.view.members.iter().any(has_sealed);
        let sealed_since = self.proposer.sealed_since;
        self.proposer.sealed_since = if any_sealed { sealed_since.or(Some(self.now)) } else { None };
    }

    /// Begins phase 1 with a new proposal number.
    fn begin_attempt(&mut self, reason: ViewChangeReason) {
        let round = self.proposer.highest_round + 1;
        self.proposer.highest_round = round;
        let proposal = ProposalNumber { round, proposer: self.identity };
        let deadline = self.now + PHASE_TIMEOUT;
        let phase = Phase::Preparing { promises: BTreeMap::new(), majority_since: None };
        self.proposer.attempt = Some(Attempt { proposal, deadline, phase });
        let instance = self.view.number + 1;
        let faulty_replica = self.planner().faulty_replica();
        self.outbox.log(LogEvent::Proposing { view_number: instance, reason, faulty_replica });
        self.promise(instance, proposal);
        // The proposal number is sent only after this process's own promise is on disk. A restarted process
        // continues above that promise, so no number is ever used twice.
        for member in self.view.members.clone() {
            self.send_after_sync(member.address, Message::Prepare { instance, proposal });
        }
    }

    /// Delays attempts of this process, so that another proposer can complete its own.
    pub(super) fn yield_to_other_proposer(&mut self) {
        self.proposer.backoff_until = self.proposer.backoff_until.max(self.now + UNFINISHED_AFTER);
    }

    fn fail_attempt(&mut self) {
        self.proposer.attempt = None;
        self.proposer.change_wanted_since = None;
        let doublings = self.proposer.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        self.proposer.consecutive_failures += 1;
        let max_backoff_ms = (BASE_BACKOFF * (1 << doublings)).as_millis() as u64;
        let backoff = Duration::from_millis(self.rng.u64(0..=max_backoff_ms));
        self.proposer.backoff_until = self.now + backoff;
    }

    pub(super) fn on_promise(&mut self, instance: u64, proposal: ProposalNumber, promise: ReceivedPromise) {
        let majority = self.view.majority();
        if instance != self.view.number + 1 || !self.view.has_acceptor(promise.member) {
            return;
        }
        let Some(attempt) = self.proposer.attempt_for(proposal) else { return };
        let Phase::Preparing { promises, majority_since } = &mut attempt.phase else { return };
        promises.insert(promise.member.address, promise);
        if promises.len() >= majority {
            majority_since.get_or_insert(self.now);
            self.begin_phase_two_if_ready();
        }
    }

    /// Starts phase 2 once a majority has promised and either all remaining live members have promised too or
    /// `STRAGGLER_WAIT` has passed.
    fn begin_phase_two_if_ready(&mut self) {
        let Some(attempt) = &self.proposer.attempt else { return };
        let Phase::Preparing { promises, majority_since: Some(majority_since) } = &attempt.phase else {
            return;
        };
        let is_awaited = |member: &MemberId| {
            !promises.contains_key(&member.address) && self.peers.is_alive(member.address, self.now)
        };
        let is_complete = !self.view.members.iter().any(is_awaited);
        if !is_complete && self.now < *majority_since + STRAGGLER_WAIT {
            return;
        }
        let Some(view) = self.choose_view(promises) else { return };
        let proposal = attempt.proposal;
        let phase = Phase::Accepting { view: Box::new(view.clone()), accepted: BTreeSet::new() };
        self.proposer.attempt = Some(Attempt { proposal, deadline: self.now + PHASE_TIMEOUT, phase });
        for member in self.view.members.clone() {
            self.outbox.send(member.address, Message::Accept { proposal, view: view.clone() });
        }
    }

    /// The view to propose after these promises: the accepted one with the highest proposal number, which may
    /// already be decided, or else a new one. `None` if no admissible view has a replica that holds every
    /// acknowledged entry.
    fn choose_view(&self, promises: &BTreeMap<SocketAddr, ReceivedPromise>) -> Option<View> {
        let accepted = promises.values().filter_map(|promise| promise.accepted.as_ref());
        if let Some(highest) = accepted.max_by_key(|accepted| accepted.number) {
            return Some(highest.view.clone());
        }
        let planner = self.planner();
        let lineage = Lineage::after(&self.view, self.state_transfer.is_serving, promises);
        let min_view = lineage.min_source_view();
        let up_to_date_members = paxos::replicas_with_history(min_view, promises);
        let plan = planner.plan(&up_to_date_members).filter(|plan| planner.is_admissible(plan))?;
        let source = paxos::choose_source(min_view, &plan.chain, promises)?;
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
        if self.proposer.attempt_for(proposal).is_some() {
            self.fail_attempt();
        }
    }

    pub(super) fn on_accepted(&mut self, from: SocketAddr, instance: u64, proposal: ProposalNumber) {
        let majority = self.view.majority();
        if instance != self.view.number + 1 || !self.view.has_member_at(from) {
            return;
        }
        let Some(attempt) = self.proposer.attempt_for(proposal) else { return };
        let Phase::Accepting { view, accepted } = &mut attempt.phase else { return };
        accepted.insert(from);
        if accepted.len() >= majority {
            let view = view.as_ref().clone();
            self.announce_decided(view);
        }
    }

    /// Announces a decided view to the members of the old and the new view, and enters it.
    fn announce_decided(&mut self, view: View) {
        let old_members = self.view.members.clone();
        let addresses = old_members.iter().chain(&view.members).map(|member| member.address);
        let others: BTreeSet<SocketAddr> =
            addresses.filter(|address| *address != self.identity.address).collect();
        for address in others {
            self.outbox.send(address, Message::Decided { view: view.clone() });
        }
        self.enter_view(view);
    }
}
