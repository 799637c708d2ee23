//! A state of the model, and the steps between states.

use super::Bounds;
use super::guards::{Guard, Guards};
use super::message::Message;
use super::node::{CAMPAIGN_TICKS, ElectorState, FIRST_VIEW_MEMBERS, LEASE_TICKS, MACHINE_COUNT, Node};
use super::token::Token;

/// A state of the model: the machines, the messages in flight, the shared clock, and the remaining bounds.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct State {
    /// The clock, in ticks.
    pub(super) now: u8,
    pub(super) nodes: [Node; MACHINE_COUNT],
    /// The messages in flight, sorted.
    pub(super) in_flight: Vec<Message>,
    /// The highest token under which the lease was held.
    pub(super) highest_held_token: Token,
    pub(super) remaining_campaigns: u8,
    pub(super) remaining_renewals: u8,
    pub(super) remaining_releases: u8,
    pub(super) remaining_crashes: u8,
    /// The first property that a step has violated.
    pub(super) violated_property: Option<&'static str>,
}

impl State {
    /// The initial state: all members of the first view are followers.
    pub(super) fn initial(bounds: &Bounds) -> State {
        let mut nodes = [Node::default(); MACHINE_COUNT];
        for machine in FIRST_VIEW_MEMBERS {
            nodes[machine].view = 1;
        }
        State {
            now: 0,
            nodes,
            in_flight: Vec::new(),
            highest_held_token: Token::default(),
            remaining_campaigns: bounds.max_campaigns,
            remaining_renewals: bounds.max_renewals,
            remaining_releases: bounds.max_releases,
            remaining_crashes: bounds.max_crashes,
            violated_property: None,
        }
    }

    /// Puts a message in flight.
    pub(super) fn send(&mut self, message: Message) {
        if let Err(position) = self.in_flight.binary_search(&message) {
            self.in_flight.insert(position, message);
        }
    }

    /// Whether the second view is decided: a majority of the members of the first view has accepted it.
    pub(super) fn has_second_view(&self) -> bool {
        let sealed = FIRST_VIEW_MEMBERS.iter().filter(|machine| self.nodes[**machine].sealed >= 1);
        sealed.count() > FIRST_VIEW_MEMBERS.len() / 2
    }

    /// The number of machines that hold the lease now.
    pub(super) fn holder_count(&self) -> usize {
        let is_holder = |node: &&Node| matches!(node.elector, ElectorState::LeaseHolder { expires_at, .. } if self.now < expires_at);
        self.nodes.iter().filter(is_holder).count()
    }

    /// Drops expired leases, campaigns, waiting times and messages, so that states that differ only in times
    /// in the past become equal.
    pub(super) fn drop_expired(&mut self, guards: Guards) {
        let now = self.now;
        let campaign_ticks = if guards.has(Guard::CampaignsTimeOut) { CAMPAIGN_TICKS } else { LEASE_TICKS };
        for node in &mut self.nodes {
            node.granted_lease.take_if(|lease| lease.expires_at <= now);
            if node.quarantined_until <= now {
                node.quarantined_until = 0;
            }
            if node.votes_from <= now {
                node.votes_from = 0;
            }
            let is_over = match node.elector {
                ElectorState::Follower => false,
                // A candidacy that can no longer get votes does not prevent the machine from campaigning
                // again.
                ElectorState::PreVote { started_at, .. } | ElectorState::Candidate { started_at, .. } => {
                    started_at + campaign_ticks <= now
                }
                ElectorState::LeaseHolder { expires_at, .. } => expires_at <= now,
            };
            if is_over {
                node.elector = ElectorState::Follower;
            }
        }
        // A vote for an older request cannot make a machine the holder.
        self.in_flight.retain(|message| match *message {
            Message::RequestVote { sent_at, .. }
            | Message::RenewLease { sent_at, .. }
            | Message::VoteGranted { sent_at, .. } => now < sent_at + LEASE_TICKS,
            Message::ReleaseLease { .. } => true,
        });
    }
}

/// A step of the model. The `Debug` form is a line in the trace of a counterexample. The first field is the
/// machine.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The clock advances by one tick.
    Tick,
    /// A machine accepts the second view.
    AcceptView(usize),
    /// A machine enters the second view.
    EnterView(usize),
    /// A machine restarts.
    Restart(usize),
    /// A machine restarts and loses its last vote.
    RestartUnsynced(usize),
    /// A machine starts a pre-vote.
    StartPreVote(usize),
    /// Another machine grants the pre-vote of a machine.
    PreVoteGranted(usize, usize),
    /// A machine requests votes under a token.
    RequestVotes(usize, Token),
    /// A machine acquires the lease.
    AcquireLease(usize, Token),
    /// A holder requests the renewal of its lease.
    RequestRenewal(usize),
    /// A holder has renewed its lease until a given time.
    RenewLease(usize, u8),
    /// A candidate or holder releases its lease.
    ReleaseLease(usize),
    /// A voter handles a message.
    Receive(usize, Message),
}

/// Collects the steps that are possible in one state.
pub(super) struct Steps<'a> {
    /// The state before each step.
    pub(super) from: &'a State,
    /// The collected steps, each with the state after it.
    pub(super) found: &'a mut Vec<(Step, State)>,
}

impl Steps<'_> {
    /// Adds a step; `change` turns the state before it into the state after it.
    pub(super) fn add(&mut self, step: Step, change: impl FnOnce(&mut State)) {
        let mut state = self.from.clone();
        change(&mut state);
        self.found.push((step, state));
    }
}
