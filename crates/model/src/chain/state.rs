//! A state of the model, and elementary operations on it.

use super::bounds::Bounds;
use super::collections::SmallSet;
use super::identity::{INITIAL_LEARNER, INITIAL_MEMBER_COUNT, Identity, MACHINE_COUNT};
use super::message::Message;
use super::node::{Node, Records};
use super::view::{CHANGE_COUNT, History, MAX_VIEWS, View};

/// A state of the model: the machines, the messages in flight, and the history variables that the properties
/// use.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// The states of the machines.
    pub nodes: [Node; MACHINE_COUNT],
    /// The machine that may still restart. The other machines sync immediately: without a restart, an
    /// unsynced record differs from a synced one only in the messages that it delays.
    pub crashing_machine: Option<u8>,
    /// The synced records of `crashing_machine`.
    pub synced_records: Records,
    /// The messages that `crashing_machine` sends once it has synced its records.
    pub unsynced_messages: Vec<Message>,
    /// The messages in flight, sorted.
    pub in_flight: Vec<Message>,
    /// The decided views; view `n` is at index `n - 1`.
    pub decided_views: [View; MAX_VIEWS],
    /// The replicas that have announced that they hold the history of a view on disk. As in `decided_views`,
    /// view `n` is at index `n - 1`.
    pub installed_members: [SmallSet; MAX_VIEWS],
    /// The committed changes. A commit and its acknowledgement are one step.
    pub committed: History,
    /// The view in which each of `committed` was committed.
    pub committed_in_view: [u8; CHANGE_COUNT],
    /// The rejected changes.
    pub rejected: SmallSet,
    /// Remaining proposals for the second view and for the third.
    pub remaining_proposals: [u8; MAX_VIEWS - 1],
    /// Remaining reads and rejections that need a confirmation of the view.
    pub remaining_confirmations: u8,
    /// Whether a disk may still be lost.
    pub may_lose_disk: bool,
    /// Whether a member may still leave.
    pub may_leave: bool,
    /// The first property that a step has violated.
    pub violated_property: Option<&'static str>,
}

impl State {
    /// The initial state: the first view serves with an empty history.
    pub fn initial(bounds: &Bounds, crashing_machine: Option<u8>) -> State {
        let initial_members = SmallSet::of(&[0, 1, 2]);
        let chain = bounds.initial_chain;
        let view =
            View { number: 1, members: initial_members, chain, source: chain.items()[0], ..View::default() };
        let mut nodes = [Node::default(); MACHINE_COUNT];
        for (machine, node) in nodes.iter_mut().enumerate() {
            node.identity = machine as Identity;
        }
        for node in &mut nodes[..INITIAL_MEMBER_COUNT] {
            node.records.view = view;
            node.is_serving = chain.position(node.identity).is_some();
            node.records.installed = u8::from(node.is_serving);
        }
        let mut decided_views = [View::default(); MAX_VIEWS];
        decided_views[0] = view;
        let mut installed_members = [SmallSet::default(); MAX_VIEWS];
        installed_members[0] = chain.set();
        State {
            synced_records: crashing_machine
                .map_or_else(Records::default, |machine| nodes[usize::from(machine)].records),
            nodes,
            crashing_machine,
            unsynced_messages: Vec::new(),
            in_flight: Vec::new(),
            decided_views,
            installed_members,
            committed: History::default(),
            committed_in_view: [0; CHANGE_COUNT],
            rejected: SmallSet::default(),
            remaining_proposals: bounds.max_proposals,
            remaining_confirmations: bounds.max_confirmations,
            may_lose_disk: bounds.may_lose_disk,
            may_leave: bounds.may_leave,
            violated_property: None,
        }
    }

    /// Whether syncs of a machine are separate steps.
    pub fn has_sync_step(&self, machine: usize) -> bool {
        self.crashing_machine.is_some_and(|crashing| usize::from(crashing) == machine)
    }

    /// The synced records of a machine.
    pub fn synced_records_of(&self, machine: usize) -> &Records {
        if self.has_sync_step(machine) { &self.synced_records } else { &self.nodes[machine].records }
    }

    /// Whether a machine has unsynced records, or messages that wait for a sync.
    pub fn has_unsynced(&self, machine: usize) -> bool {
        self.has_sync_step(machine)
            && (self.synced_records != self.nodes[machine].records || !self.unsynced_messages.is_empty())
    }

    /// Puts a message in flight.
    pub fn send(&mut self, message: Message) {
        if let Err(position) = self.in_flight.binary_search(&message) {
            // Reserves no spare capacity: a search keeps millions of states, and most get no further message.
            self.in_flight.reserve_exact(1);
            self.in_flight.insert(position, message);
        }
    }

    /// Sends a message once all current records of the machine are synced.
    pub fn send_synced(&mut self, machine: usize, message: Message) {
        if self.has_unsynced(machine) {
            if let Err(position) = self.unsynced_messages.binary_search(&message) {
                self.unsynced_messages.insert(position, message);
            }
        } else {
            self.send(message);
        }
    }

    /// The number of committed entries at the start of a history. Replicas learn of commits later, but no
    /// other step depends on when they do.
    pub fn committed_prefix_len(&self, history: &History) -> usize {
        let both = history.items().iter().zip(self.committed.items());
        both.take_while(|(entry, committed)| entry == committed).count()
    }

    /// The acknowledged changes.
    pub fn acknowledged(&self) -> SmallSet {
        self.committed.set()
    }

    /// Records that a step has violated a property; the first violation is kept.
    pub fn record_violation(&mut self, property: &'static str) {
        self.violated_property.get_or_insert(property);
    }

    /// Whether the learner may become a member of the view after `view`.
    pub fn may_admit_learner(&self, view: &View) -> bool {
        let node = &self.nodes[usize::from(INITIAL_LEARNER)];
        !node.has_left && node.identity == INITIAL_LEARNER && !view.members.contains(INITIAL_LEARNER)
    }
}
