//! A state of the model, and the elementary changes of one.

use super::bounds::Bounds;
use super::collections::SmallSet;
use super::identity::{FOUNDER_COUNT, Identity, MACHINE_COUNT, NEWCOMER};
use super::message::Message;
use super::node::{Node, Records};
use super::view::{CHANGE_COUNT, History, MAX_VIEWS, View};

/// A state of the model: the machines, the messages in flight, and what the properties compare with.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// The machines.
    pub nodes: [Node; MACHINE_COUNT],
    /// The machine that may restart yet. The others sync at once, since without a restart only messages tell the difference.
    pub crashing_machine: Option<u8>,
    /// What the crashing machine has synced.
    pub synced_records: Records,
    /// What the crashing machine sends once it has synced its records.
    pub unsynced_messages: Vec<Message>,
    /// Messages in flight, sorted.
    pub in_flight: Vec<Message>,
    /// The views agreed, by number from 1.
    pub decided_views: [View; MAX_VIEWS],
    /// The replicas that have announced that they hold the history of a view on disk, by number of the view from 1.
    pub installed_members: [SmallSet; MAX_VIEWS],
    /// What was committed, which is acknowledged at once.
    pub committed: History,
    /// The views in which these were committed.
    pub committed_in_view: [u8; CHANGE_COUNT],
    /// What was rejected.
    pub rejected: SmallSet,
    /// Proposals left for the second view and for the third.
    pub remaining_proposals: [u8; MAX_VIEWS - 1],
    /// Reads and rejections left that need a confirmation.
    pub remaining_confirmations: u8,
    /// Whether a disk may be lost yet.
    pub may_wipe: bool,
    /// Whether a member may leave yet.
    pub may_leave: bool,
    /// The first property that a step has violated.
    pub violated_property: Option<&'static str>,
}

impl State {
    /// The initial state: the first view serves and nothing was changed yet.
    pub fn initial(bounds: &Bounds, crashing_machine: Option<u8>) -> State {
        let founders = SmallSet::of(&[0, 1, 2]);
        let chain = bounds.initial_chain;
        let view = View { number: 1, members: founders, chain, source: chain.items()[0], ..View::default() };
        let mut nodes = [Node::default(); MACHINE_COUNT];
        for (machine, node) in nodes.iter_mut().enumerate() {
            node.identity = machine as Identity;
        }
        for node in &mut nodes[..FOUNDER_COUNT] {
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
            may_wipe: bounds.may_wipe,
            may_leave: bounds.may_leave,
            violated_property: None,
        }
    }

    /// Whether a machine syncs by a step of its own.
    pub fn has_sync_step(&self, machine: usize) -> bool {
        self.crashing_machine.is_some_and(|crashing| usize::from(crashing) == machine)
    }

    /// What a machine has synced.
    pub fn synced_records_of(&self, machine: usize) -> &Records {
        if self.has_sync_step(machine) { &self.synced_records } else { &self.nodes[machine].records }
    }

    /// Whether a machine has something to sync.
    pub fn has_unsynced(&self, machine: usize) -> bool {
        self.has_sync_step(machine)
            && (self.synced_records != self.nodes[machine].records || !self.unsynced_messages.is_empty())
    }

    /// Puts a message in flight.
    pub fn send(&mut self, message: Message) {
        if let Err(place) = self.in_flight.binary_search(&message) {
            // Without spare capacity: there are millions of states, and most grow no further.
            self.in_flight.reserve_exact(1);
            self.in_flight.insert(place, message);
        }
    }

    /// Sends a message once all records of the machine so far are synced.
    pub fn send_synced(&mut self, machine: usize, message: Message) {
        if self.has_unsynced(machine) {
            if let Err(place) = self.unsynced_messages.binary_search(&message) {
                self.unsynced_messages.insert(place, message);
            }
        } else {
            self.send(message);
        }
    }

    /// How many entries of a history are committed. Replicas learn it late, but nothing else depends on when.
    pub fn committed_prefix_len(&self, history: &History) -> usize {
        let both = history.items().iter().zip(self.committed.items());
        both.take_while(|(entry, committed)| entry == committed).count()
    }

    /// The changes that were acknowledged.
    pub fn acknowledged(&self) -> SmallSet {
        self.committed.set()
    }

    /// Records that a step has violated a property.
    pub fn record_violation(&mut self, property: &'static str) {
        self.violated_property.get_or_insert(property);
    }

    /// Whether the newcomer may become a member of the view after this one.
    pub fn may_admit_newcomer(&self, view: &View) -> bool {
        let node = &self.nodes[usize::from(NEWCOMER)];
        !node.has_left && node.identity == NEWCOMER && !view.members.contains(NEWCOMER)
    }
}
