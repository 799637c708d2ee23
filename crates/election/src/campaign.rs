//! One attempt of this process to get the role.

use crate::settings::FencingToken;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It asks who would vote for it.
    Asking,
    /// Its own grant under a new token is on its way to the disk. Nobody else has heard of the token yet.
    Preparing(FencingToken),
    /// It stands under a token, which its own disk holds.
    Standing(FencingToken),
}

/// How the answers to one question stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A majority says yes.
    Won,
    /// So many say no that no majority can say yes.
    Lost,
    /// Neither yet.
    Open,
}

/// One attempt of this process to get the role: one question to all members and their answers.
#[derive(Clone, Debug)]
pub(crate) struct Campaign {
    pub(crate) phase: Phase,
    pub(crate) request_id: u64,
    /// Before the question was sent first.
    pub(crate) started: Duration,
    /// When the question was sent last.
    pub(crate) asked: Duration,
    /// The highest token heard of.
    pub(crate) highest_token: FencingToken,
    yes: BTreeSet<SocketAddr>,
    no: BTreeSet<SocketAddr>,
}

impl Campaign {
    /// A question that is about to be sent.
    pub(crate) fn new(phase: Phase, request_id: u64, started: Duration, highest_token: FencingToken) -> Self {
        Self {
            phase,
            request_id,
            started,
            asked: started,
            highest_token,
            yes: BTreeSet::new(),
            no: BTreeSet::new(),
        }
    }

    /// Takes a yes from a member.
    pub(crate) fn accept(&mut self, from: SocketAddr, highest_token: FencingToken) {
        self.no.remove(&from);
        self.yes.insert(from);
        self.highest_token = self.highest_token.max(highest_token);
    }

    /// Takes a no from a member.
    pub(crate) fn refuse(&mut self, from: SocketAddr, highest_token: FencingToken) {
        self.highest_token = self.highest_token.max(highest_token);
        if !self.yes.contains(&from) {
            self.no.insert(from);
        }
    }

    /// Whether a member has said yes.
    pub(crate) fn has_yes_of(&self, member: &SocketAddr) -> bool {
        self.yes.contains(member)
    }

    /// Whether it has taken too long. A question that was sent again just before has the time for its answers.
    pub(crate) fn is_over(&self, now: Duration, longest: Duration, answer_within: Duration) -> bool {
        now >= self.started + longest && !(self.phase == Phase::Asking && now < self.asked + answer_within)
    }

    /// Whether its question, if it is one that promises nothing, is to be sent again.
    pub(crate) fn is_due_again(&self, now: Duration, pause: Duration) -> bool {
        self.phase == Phase::Asking && now >= self.asked + pause
    }

    /// How it stands among so many members.
    pub(crate) fn outcome(&self, members: usize) -> Outcome {
        let majority = members / 2 + 1;
        if self.yes.len() >= majority {
            Outcome::Won
        } else if members.saturating_sub(self.no.len()) < majority {
            Outcome::Lost
        } else {
            Outcome::Open
        }
    }
}
