//! Checks the safety properties at every step. The message of a violation starts with the name of the
//! violated rule: ACKS, CONFIG, DISK, MEMBERS or VIEWS.

use lugwharf_chain::{CommittedConfig, MemberId, Message, ProposalNumber, View};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A change as an operator submits it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub version: u64,
    /// The version on which the change is based, 0 for the first.
    pub base: u64,
    pub bytes: Arc<[u8]>,
}

impl Change {
    /// Whether a committed configuration is identical to this change.
    pub fn matches(&self, config: &CommittedConfig) -> bool {
        (config.version, config.base) == (self.version, self.base) && config.bytes == self.bytes
    }
}

/// A proposal number together with the view for which it was used: number of the view, round, proposer.
type ProposalKey = (u64, u64, MemberId);

/// Observes every message, view, commit and response, and keeps the first violation.
#[derive(Default)]
pub struct SafetyChecker {
    /// The first violation, if there is one.
    pub violation: Option<String>,
    /// The configurations that processes have reported as committed, oldest first.
    committed: Vec<Arc<CommittedConfig>>,
    /// The changes that were rejected.
    rejected: Vec<Change>,
    /// The changes that were acknowledged, by version.
    acknowledged: BTreeMap<u64, Change>,
    /// The views that processes have entered, by number.
    views: BTreeMap<u64, Arc<View>>,
    /// The machine and process incarnation that used each proposal number.
    proposers: BTreeMap<ProposalKey, (usize, u64)>,
    /// The view that was proposed under each proposal number.
    proposals: BTreeMap<ProposalKey, View>,
    /// The number of acknowledgements that clients have received.
    pub acknowledged_count: usize,
    /// The number of rejections that clients have received.
    pub rejected_count: usize,
}

impl SafetyChecker {
    /// Records a violation, unless there already is one.
    pub fn record_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }

    /// The newest committed version.
    pub fn committed_version(&self) -> u64 {
        self.committed.last().map_or(0, |config| config.version)
    }

    /// The newest acknowledged version.
    pub fn acknowledged_version(&self) -> u64 {
        self.acknowledged.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Whether a version was acknowledged. Version 0 represents the absence of a configuration.
    pub fn is_acknowledged(&self, version: u64) -> bool {
        version == 0 || self.acknowledged.contains_key(&version)
    }

    fn is_committed(&self, change: &Change) -> bool {
        self.committed.iter().any(|config| change.matches(config))
    }

    /// Checks a message that a process sends.
    pub fn check_message(&mut self, node: usize, incarnation: u64, message: &Message) {
        match message {
            Message::Prepare { instance, proposal } => {
                self.check_prepare(node, incarnation, *instance, *proposal);
            }
            Message::Accept { proposal, view } => self.check_accept(*proposal, view),
            _ => {}
        }
    }

    /// Checks that a proposal number is used by one process only, even after a restart.
    fn check_prepare(&mut self, node: usize, incarnation: u64, instance: u64, proposal: ProposalNumber) {
        let key = (instance, proposal.round, proposal.proposer);
        let proposer = *self.proposers.entry(key).or_insert((node, incarnation));
        if proposer != (node, incarnation) {
            self.record_violation(format!(
                "VIEWS {proposal:?} for view {instance} is used again after a restart of {node}"
            ));
        }
    }

    /// Checks that only one view is proposed under a proposal number.
    fn check_accept(&mut self, proposal: ProposalNumber, view: &View) {
        let key = (view.number, proposal.round, proposal.proposer);
        let known = self.proposals.entry(key).or_insert_with(|| view.clone());
        if known != view {
            let both = format!("{known:?} and {view:?}");
            self.record_violation(format!("VIEWS {proposal:?} was used for two views: {both}"));
        }
    }

    /// Checks that each view number is used for one view only, when a process enters a view.
    pub fn check_view(&mut self, view: &Arc<View>) {
        self.check_membership(view);
        let known = self.views.entry(view.number).or_insert_with(|| view.clone());
        if known != view {
            let both = format!("{known:?} and {view:?}");
            self.record_violation(format!("VIEWS two views under one number: {both}"));
        }
    }

    /// Checks that the number of members is odd and does not decrease, and that at most one member is
    /// replaced.
    fn check_membership(&mut self, view: &View) {
        if view.members.len() > view.target_member_count() {
            self.record_violation(format!(
                "MEMBERS view {1} has {0} members, more than the target",
                view.members.len(),
                view.number
            ));
        }
        let addresses: BTreeSet<_> = view.members.iter().map(|member| member.address).collect();
        if addresses.len() < view.members.len() {
            self.record_violation(format!(
                "MEMBERS two members with the same address in view {}",
                view.number
            ));
        }
        let previous = self.views.get(&(view.number - 1)).filter(|previous| previous.may_serve());
        let Some(previous) = previous else { return };
        let replaced = previous.members.iter().filter(|member| !view.members.contains(member)).count();
        let has_shrunk = view.members.len() < previous.members.len();
        if replaced > 1 || has_shrunk || view.members.len().is_multiple_of(2) {
            let both = format!("{:?} to {:?}", previous.members, view.members);
            self.record_violation(format!(
                "MEMBERS invalid change of members after view {}: {both}",
                previous.number
            ));
        }
    }

    /// Checks a configuration that a process reports as committed. `previous` is the version that the process
    /// reported before.
    pub fn check_commit(&mut self, node: usize, previous: Option<u64>, config: &Arc<CommittedConfig>) {
        if previous.is_some_and(|previous| config.version <= previous) {
            self.record_violation(format!(
                "CONFIG committed version of {node} decreased: {} after {previous:?}",
                config.version
            ));
        }
        if let Some(known) = self.committed.iter().find(|known| known.version == config.version) {
            if known != config {
                let version = config.version;
                self.record_violation(format!("CONFIG two configurations committed under {version}"));
            }
            return;
        }
        if config.base != self.committed_version() {
            let (current, version, base) = (self.committed_version(), config.version, config.base);
            self.record_violation(format!(
                "CONFIG fork at {node}: committed {version} is based on {base}, but the newest is {current}"
            ));
        }
        if self.rejected.iter().any(|change| change.matches(config)) {
            self.record_violation(format!("CONFIG committed though rejected: {}", config.version));
        }
        self.committed.push(config.clone());
    }

    /// Checks an acknowledgement: the change is committed, and no other change on its base is acknowledged.
    pub fn check_acknowledgement(&mut self, change: &Change) {
        self.acknowledged_count += 1;
        if !self.is_committed(change) {
            self.record_violation(format!("ACKS {} acknowledged but never committed", change.version));
        }
        if self.acknowledged.values().any(|other| other.base == change.base && other != change) {
            self.record_violation(format!("CONFIG two changes on {} acknowledged", change.base));
        }
        self.acknowledged.insert(change.version, change.clone());
    }

    /// Checks a conflict: a change on the newest version must not be rejected, if its base was acknowledged
    /// before the call started (`is_base_acknowledged`).
    pub fn check_conflict(&mut self, change: &Change, is_base_acknowledged: bool) {
        self.record_rejection(change);
        let current = self.committed_version();
        if is_base_acknowledged && change.base == current && change.version > current {
            self.record_violation(format!(
                "CONFIG {} rejected though it is based on the newest version",
                change.version
            ));
        }
    }

    /// Checks a rejection because the version is not higher than the newest one.
    pub fn check_stale_version(&mut self, change: &Change) {
        self.record_rejection(change);
        if change.version > self.committed_version() {
            self.record_violation(format!(
                "CONFIG {} rejected as stale though it is newer than the committed version",
                change.version
            ));
        }
    }

    fn record_rejection(&mut self, change: &Change) {
        self.rejected_count += 1;
        if self.is_committed(change) {
            self.record_violation(format!("CONFIG {} rejected though it was committed", change.version));
        }
        self.rejected.push(change.clone());
    }

    /// Checks the response to a read. `at_least` is the newest version that was acknowledged before the call
    /// started.
    pub fn check_read(&mut self, config: Option<&Arc<CommittedConfig>>, at_least: u64) {
        let version = config.map_or(0, |config| config.version);
        if version < at_least {
            self.record_violation(format!(
                "CONFIG read returned {version}, but {at_least} was acknowledged before"
            ));
        }
        if config.is_some_and(|config| !self.committed.contains(config)) {
            self.record_violation(format!("CONFIG read returned {version}, which was never committed"));
        }
    }
}
