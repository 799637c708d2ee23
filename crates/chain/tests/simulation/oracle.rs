//! What must hold at every step; named after the rules.

use lugwharf_chain::{CommittedConfig, MemberId, Message, ProposalNumber, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A change as the operator sends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub version: u64,
    pub base: u64,
    pub bytes: Arc<[u8]>,
}

impl Order {
    pub fn is(&self, config: &CommittedConfig) -> bool {
        (config.version, config.base) == (self.version, self.base) && config.bytes == self.bytes
    }
}

/// Sees every answer and every commit.
#[derive(Default)]
pub struct Oracle {
    pub violation: Option<String>,
    committed: Vec<Arc<CommittedConfig>>,
    refused: Vec<Order>,
    acked: BTreeMap<u64, Order>,
    views: BTreeMap<u64, Arc<View>>,
    /// Which run of which process used a ballot, by the view that it is about.
    ballots: BTreeMap<(u64, u64, MemberId), (usize, u64)>,
    /// The view that a ballot stands for.
    proposals: BTreeMap<(u64, u64, MemberId), View>,
    pub acknowledged: usize,
    pub refusals: usize,
}

impl Oracle {
    pub fn fail(&mut self, what: String) {
        self.violation.get_or_insert(what);
    }

    /// The newest committed version.
    pub fn current(&self) -> u64 {
        self.committed.last().map_or(0, |config| config.version)
    }

    /// The newest acknowledged version.
    pub fn newest_acked(&self) -> u64 {
        self.acked.last_key_value().map_or(0, |(version, _)| *version)
    }

    pub fn was_acked(&self, version: u64) -> bool {
        version == 0 || self.acked.contains_key(&version)
    }

    pub fn is_committed(&self, order: &Order) -> bool {
        self.committed.iter().any(|config| order.is(config))
    }

    /// A process sends a message, in its `run`-th run since the beginning.
    pub fn saw_message(&mut self, node: usize, run: u64, message: &Message) {
        match message {
            Message::Prepare { instance, proposal } => self.saw_ballot(node, run, *instance, *proposal),
            Message::Accept { proposal, view } => self.saw_proposal(*proposal, view),
            _ => {}
        }
    }

    fn saw_ballot(&mut self, node: usize, run: u64, instance: u64, ballot: ProposalNumber) {
        let key = (instance, ballot.round, ballot.proposer);
        let user = *self.ballots.entry(key).or_insert((node, run));
        if user != (node, run) {
            self.fail(format!(
                "VIEWS {ballot:?} for view {instance} is used again after a restart of {node}"
            ));
        }
    }

    fn saw_proposal(&mut self, ballot: ProposalNumber, view: &View) {
        let key = (view.number, ballot.round, ballot.proposer);
        let known = self.proposals.entry(key).or_insert_with(|| view.clone());
        if known != view {
            let both = format!("{known:?} and {view:?}");
            self.fail(format!("VIEWS {ballot:?} stands for two views: {both}"));
        }
    }

    /// A process goes over to a view.
    pub fn saw_view(&mut self, view: &Arc<View>) {
        self.check_members(view);
        let known = self.views.entry(view.number).or_insert_with(|| view.clone());
        if known != view {
            let both = format!("{known:?} and {view:?}");
            self.fail(format!("VIEWS two views under one number: {both}"));
        }
    }

    /// The number of members stays, and one place at a time changes hands.
    fn check_members(&mut self, view: &View) {
        if view.members.len() > view.target_member_count() {
            self.fail(format!("MEMBERS {} in view {}", view.members.len(), view.number));
        }
        let addresses: BTreeSet<_> = view.members.iter().map(|member| member.address).collect();
        if addresses.len() < view.members.len() {
            self.fail(format!("MEMBERS two at one address in view {}", view.number));
        }
        let Some(before) = self.views.get(&(view.number - 1)).filter(|before| before.may_serve()) else {
            return;
        };
        let dropped = before.members.iter().filter(|member| !view.members.contains(member)).count();
        if dropped > 1 || view.members.len() < before.members.len() || view.members.len().is_multiple_of(2) {
            let both = format!("{:?} to {:?}", before.members, view.members);
            self.fail(format!("MEMBERS from view {} on: {both}", before.number));
        }
    }

    /// A process makes a configuration known as committed.
    pub fn saw_commit(&mut self, node: usize, before: Option<u64>, config: &Arc<CommittedConfig>) {
        if before.is_some_and(|before| config.version <= before) {
            self.fail(format!("CONFIG regresses at {node}: {} after {before:?}", config.version));
        }
        if let Some(known) = self.committed.iter().find(|known| known.version == config.version) {
            if known != config {
                self.fail(format!("CONFIG two configurations committed under {}", config.version));
            }
            return;
        }
        if config.base != self.current() {
            let (current, version, base) = (self.current(), config.version, config.base);
            self.fail(format!("CONFIG fork at {node}: {version} on {base}, but {current} is committed"));
        }
        if self.refused.iter().any(|order| order.is(config)) {
            self.fail(format!("CONFIG in force though refused: {}", config.version));
        }
        self.committed.push(config.clone());
    }

    pub fn saw_ack(&mut self, order: &Order) {
        self.acknowledged += 1;
        if !self.is_committed(order) {
            self.fail(format!("ACKS {} acknowledged but never committed", order.version));
        }
        if self.acked.values().any(|other| other.base == order.base && other != order) {
            self.fail(format!("CONFIG two changes on {} acknowledged", order.base));
        }
        self.acked.insert(order.version, order.clone());
    }

    /// `acked_base`: whether the base was acknowledged before the call began.
    pub fn saw_conflict(&mut self, order: &Order, acked_base: bool) {
        self.saw_refusal(order);
        if acked_base && order.base == self.current() && order.version > self.current() {
            self.fail(format!("CONFIG {} refused though it builds on the newest", order.version));
        }
    }

    pub fn saw_outdated(&mut self, order: &Order) {
        self.saw_refusal(order);
        if order.version > self.current() {
            self.fail(format!("CONFIG {} called outdated", order.version));
        }
    }

    fn saw_refusal(&mut self, order: &Order) {
        self.refusals += 1;
        if self.is_committed(order) {
            self.fail(format!("CONFIG {} refused though it was taken", order.version));
        }
        self.refused.push(order.clone());
    }

    /// `at_least`: the newest version that was acknowledged when the read began.
    pub fn saw_read(&mut self, config: Option<&Arc<CommittedConfig>>, at_least: u64) {
        let version = config.map_or(0, |config| config.version);
        if version < at_least {
            self.fail(format!("CONFIG read back {version}, but {at_least} was acknowledged before"));
        }
        if config.is_some_and(|config| !self.committed.contains(config)) {
            self.fail(format!("CONFIG read back {version}, which was never committed"));
        }
    }
}
