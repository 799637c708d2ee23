//! How an elector takes messages of others and the ends of its writes.

use super::{Elector, SPREAD_PART, Standing};
use crate::campaign::Phase;
use crate::message::{Action, BatchId, Message, MessageBody};
use crate::settings::FencingToken;
use crate::voter::{Asked, Request, Verdict};
use std::net::SocketAddr;
use std::time::Duration;

impl Elector {
    pub(super) fn on_message(
        &mut self, now: Duration, from: SocketAddr, message: Message, out: &mut Vec<Action>,
    ) {
        let Some(view) = &self.view else { return };
        if message.role != self.settings.role {
            return;
        }
        if message.view > view.number {
            // The sender knows a later view, so this one is over.
            self.voter.seal(message.view - 1);
            return;
        }
        let is_current = message.view == view.number && view.members.contains(&from);
        let (view, is_voter) = (view.number, view.voter);
        match message.body {
            MessageBody::VoteGranted { request_id, token } if is_current => {
                self.on_vote(now, from, request_id, token, out)
            }
            MessageBody::PreVoteGranted { request_id, highest_token } if is_current => {
                self.on_willing(now, from, request_id, highest_token, out)
            }
            MessageBody::VoteDenied { request_id, highest_token } if is_current => {
                self.on_refuse(now, from, request_id, highest_token, out)
            }
            // A holder that is no member of the new view gives up there too.
            MessageBody::ReleaseLease { token, was_holder: held }
                if message.view == view && token.view() <= view =>
            {
                self.on_release(now, from, token, held);
            }
            MessageBody::PreVote { request_id } if is_voter => {
                self.on_ask(now, from, request_id, is_current, out)
            }
            MessageBody::RequestVote { request_id, token } if is_voter => {
                self.answer(now, Request::Elect, Asked { from, view, request_id, token }, is_current, out);
            }
            MessageBody::RenewLease { request_id, token } if is_voter => {
                if is_current {
                    self.note_claim(from, token);
                }
                self.answer(now, Request::Renew, Asked { from, view, request_id, token }, is_current, out);
            }
            _ => {}
        }
    }

    fn on_ask(
        &mut self, now: Duration, from: SocketAddr, request_id: u64, is_current: bool, out: &mut Vec<Action>,
    ) {
        let view = self.view.as_ref().map_or(0, |view| view.number);
        let highest_token = self.voter.highest_token();
        let willing = is_current && self.voter.would_elect(now, view, from) && self.yields_to(from);
        if willing {
            self.make_way(now);
        }
        let body = if willing {
            MessageBody::PreVoteGranted { request_id, highest_token }
        } else {
            MessageBody::VoteDenied { request_id, highest_token }
        };
        self.send(from, body, out);
    }

    /// Lets another process, which asks for votes, finish before this one asks.
    fn make_way(&mut self, now: Duration) {
        let longest = self.settings.lease_duration / SPREAD_PART;
        let later = now + longest + self.pause(longest);
        if let Standing::Follower { ask_at } = &mut self.standing {
            *ask_at = Some(later);
        }
    }

    /// Of two processes that want the role at once the one with the lower address goes on, so that they do not take
    /// each other's votes. Neither drops its own campaign, as the other one may be unable to finish.
    fn yields_to(&self, from: SocketAddr) -> bool {
        match self.standing {
            Standing::Follower { .. } => true,
            Standing::Candidate(_) => from < self.settings.local_address,
            Standing::Holder(_) => false,
        }
    }

    fn answer(
        &mut self, now: Duration, request: Request, asked: Asked, is_current: bool, out: &mut Vec<Action>,
    ) {
        if is_current {
            self.on_request(now, request, asked, out);
        } else {
            // The refusal carries the later view, which ends the asker's.
            self.refuse(now, asked, out);
        }
    }

    pub(super) fn on_request(
        &mut self, now: Duration, request: Request, asked: Asked, out: &mut Vec<Action>,
    ) {
        match self.voter.consider(now, request, asked) {
            Verdict::Vote => self.vote(now, asked, out),
            Verdict::VoteOnceStored { batch, record } => {
                out.push(Action::Persist { batch, records: vec![record.encode()] });
            }
            Verdict::Waiting => {}
            Verdict::Refuse => self.refuse(now, asked, out),
        }
    }

    pub(super) fn on_stored(&mut self, now: Duration, batch: BatchId, out: &mut Vec<Action>) {
        let answered = self.voter.stored(now, batch);
        if let Some(asked) = answered.filter(|asked| self.is_of_this_view(asked)) {
            self.vote(now, asked, out);
        }
    }

    pub(super) fn on_store_failed(&mut self, now: Duration, batch: BatchId, out: &mut Vec<Action>) {
        let failed = self.voter.store_failed(batch);
        if let Some(asked) = failed.filter(|asked| self.is_of_this_view(asked)) {
            self.refuse(now, asked, out);
        }
    }

    fn is_of_this_view(&self, asked: &Asked) -> bool {
        self.view.as_ref().is_some_and(|view| view.number == asked.view)
    }

    fn vote(&mut self, now: Duration, asked: Asked, out: &mut Vec<Action>) {
        let Asked { from, request_id, token, .. } = asked;
        if from == self.settings.local_address {
            self.on_vote(now, from, request_id, token, out);
            return;
        }
        self.failures = 0;
        self.send(from, MessageBody::VoteGranted { request_id, token }, out);
    }

    fn refuse(&mut self, now: Duration, asked: Asked, out: &mut Vec<Action>) {
        let highest_token = self.voter.highest_token();
        if asked.from == self.settings.local_address {
            self.on_refuse(now, asked.from, asked.request_id, highest_token, out);
            return;
        }
        self.send(asked.from, MessageBody::VoteDenied { request_id: asked.request_id, highest_token }, out);
    }

    fn on_vote(
        &mut self, now: Duration, from: SocketAddr, request_id: u64, token: FencingToken,
        out: &mut Vec<Action>,
    ) {
        let members = self.view.as_ref().map_or(0, |view| view.members.len());
        match &mut self.standing {
            Standing::Holder(tenure) if tenure.token == token => {
                tenure.vote(from, request_id, members, self.settings.holder_lease());
            }
            Standing::Candidate(campaign)
                if from == self.settings.local_address
                    && campaign.request_id == request_id
                    && campaign.phase == Phase::Preparing(token) =>
            {
                self.canvass(now, out);
            }
            Standing::Candidate(campaign)
                if campaign.request_id == request_id && campaign.phase == Phase::Standing(token) =>
            {
                campaign.accept(from, token);
                self.count(now, out);
            }
            _ => {}
        }
    }

    fn on_willing(
        &mut self, now: Duration, from: SocketAddr, request_id: u64, highest_token: FencingToken,
        out: &mut Vec<Action>,
    ) {
        let Standing::Candidate(campaign) = &mut self.standing else { return };
        if campaign.request_id == request_id && campaign.phase == Phase::Asking {
            campaign.accept(from, highest_token);
            self.count(now, out);
        }
    }

    fn on_refuse(
        &mut self, now: Duration, from: SocketAddr, request_id: u64, highest_token: FencingToken,
        out: &mut Vec<Action>,
    ) {
        let Standing::Candidate(campaign) = &mut self.standing else { return };
        if campaign.request_id != request_id {
            return;
        }
        if let Phase::Preparing(_) = campaign.phase {
            // Only this process was asked.
            self.give_up(now, out);
            return;
        }
        campaign.refuse(from, highest_token);
        self.count(now, out);
    }

    fn on_release(&mut self, now: Duration, from: SocketAddr, token: FencingToken, held: bool) {
        self.voter.release(from, token);
        if held {
            self.voter.note_held(token);
            self.voter.settle(now);
            self.claims.released(from, token);
        }
    }
}
