//! Standing for the role, holding it, and giving it up.

use super::guards::Guard;
use super::types::{LEASE, Message, Node, Standing, Token, members};
use super::voter::{Asked, grant};
use super::{ElectionModel, State, Step, Steps, TOKENS_CLIMB};

impl ElectionModel {
    pub(super) fn hold(&self, machine: usize, steps: &mut Steps<'_>) {
        match steps.from.nodes[machine].standing {
            Standing::Follower => self.ask(machine, steps),
            Standing::Asking { started, highest: None } => self.hear_willing(machine, started, steps),
            Standing::Asking { highest: Some(highest), .. } => self.stand(machine, highest, steps),
            Standing::Candidate { token, started } => self.win(machine, token, started, steps),
            Standing::Holder { token, until } => {
                self.renew(machine, token, steps);
                self.extend(machine, token, until, steps);
            }
        }
        let standing = steps.from.nodes[machine].standing;
        let stands = matches!(standing, Standing::Candidate { .. } | Standing::Holder { .. });
        if stands && steps.from.releases > 0 {
            steps.add(Step::GiveUp(machine), |state| {
                state.releases -= 1;
                self.give_up(state, machine);
            });
        }
    }

    /// A process that would elect itself asks the others.
    fn ask(&self, machine: usize, steps: &mut Steps<'_>) {
        let state = steps.from;
        let members = members(state.nodes[machine].view);
        let may_stand = self.bounds.candidates.contains(&machine) && members.contains(&machine);
        if state.campaigns == 0 || !may_stand || !self.would_elect(state, machine, machine) {
            return;
        }
        if !self.guards.has(Guard::AskedFirst) {
            let known = members.iter().map(|member| state.nodes[*member].highest).max();
            return self.stand(machine, known.unwrap_or_default(), steps);
        }
        steps.add(Step::Ask(machine), |state| {
            state.campaigns -= 1;
            state.nodes[machine].standing = Standing::Asking { started: state.now, highest: None };
        });
    }

    /// Another member is willing; with it, that is a majority.
    fn hear_willing(&self, machine: usize, started: u8, steps: &mut Steps<'_>) {
        let state = steps.from;
        let node = &state.nodes[machine];
        for other in members(node.view).iter().copied().filter(|other| *other != machine) {
            let asked = &state.nodes[other];
            if asked.view == node.view && self.would_elect(state, other, machine) {
                let highest = Some(node.highest.max(asked.highest));
                steps.add(Step::Willing(machine, other), |state| {
                    state.nodes[machine].standing = Standing::Asking { started, highest };
                });
            }
        }
    }

    /// It asks for grants, its own among them.
    fn stand(&self, machine: usize, highest: Token, steps: &mut Steps<'_>) {
        let state = steps.from;
        let Node { view, sealed, promise, highest: own, .. } = state.nodes[machine];
        let of_view = self.guards.has(Guard::TokensOfView);
        let token = if of_view { highest.next_in(view) } else { Token(highest.0 + 1) };
        let from = machine as u8;
        let open = view > sealed || !self.guards.has(Guard::SealStopsGrants);
        let free = promise.is_none_or(|promise| promise.holder == from);
        steps.add(Step::Stand(machine, token), |state| {
            state.campaigns -= u8::from(!self.guards.has(Guard::AskedFirst));
            let sent = state.now;
            state.nodes[machine].standing = Standing::Candidate { token, started: sent };
            state.send(Message::Elect { view, from, token, sent });
            if open && free && token > own {
                grant(state, machine, &Asked { view, from, token, sent, renewal: false }, false);
            }
        });
    }

    /// Whether a majority of the machine's view has granted what it asked for at that time.
    fn granted(&self, state: &State, machine: usize, wanted: Token, asked: u8) -> bool {
        let present = state.nodes[machine].view;
        let votes = state.network.iter().filter(|message| match **message {
            Message::Vote { view, voter, to, token, sent } => {
                let mine = usize::from(to) == machine && token == wanted && sent == asked;
                mine && view == present && members(view).contains(&usize::from(voter))
            }
            _ => false,
        });
        let majority =
            if self.guards.has(Guard::MajorityElects) { members(present).len() / 2 + 1 } else { 1 };
        votes.count() >= majority
    }

    fn lease_from(&self, state: &State, asked: u8) -> u8 {
        let begins = if self.guards.has(Guard::LeaseFromRequest) { asked } else { state.now };
        begins + LEASE
    }

    fn win(&self, machine: usize, token: Token, started: u8, steps: &mut Steps<'_>) {
        let until = self.lease_from(steps.from, started);
        if steps.from.now >= until || !self.granted(steps.from, machine, token, started) {
            return;
        }
        steps.add(Step::Win(machine, token), |state| {
            state.nodes[machine].standing = Standing::Holder { token, until };
            if token <= state.highest_held {
                state.broken.get_or_insert(TOKENS_CLIMB);
            }
            state.highest_held = token;
        });
    }

    fn renew(&self, machine: usize, token: Token, steps: &mut Steps<'_>) {
        let state = steps.from;
        let view = state.nodes[machine].view;
        if state.renewals == 0 {
            return;
        }
        steps.add(Step::Renew(machine), |state| {
            state.renewals -= 1;
            let sent = state.now;
            state.send(Message::Renew { view, from: machine as u8, token, sent });
        });
    }

    fn extend(&self, machine: usize, token: Token, until: u8, steps: &mut Steps<'_>) {
        let state = steps.from;
        let present = state.nodes[machine].view;
        for message in &state.network {
            let Message::Renew { view, from, token: renewed, sent } = *message else { continue };
            let mine = usize::from(from) == machine && renewed == token && view == present;
            let longer = self.lease_from(state, sent);
            if mine && longer > until && self.granted(state, machine, token, sent) {
                steps.add(Step::Extend(machine, longer), |state| {
                    state.nodes[machine].standing = Standing::Holder { token, until: longer };
                });
            }
        }
    }

    /// Gives up a candidacy, in vain, or the role; at the machine itself at once.
    pub(super) fn give_up(&self, state: &mut State, machine: usize) {
        let node = &mut state.nodes[machine];
        let (token, held) = match node.standing {
            Standing::Follower => return,
            Standing::Asking { .. } => {
                node.standing = Standing::Follower;
                return;
            }
            Standing::Candidate { token, .. } => (token, false),
            Standing::Holder { token, .. } => (token, true),
        };
        node.standing = Standing::Follower;
        node.highest = node.highest.max(token);
        node.release(token, machine as u8);
        node.promise.take_if(|promise| usize::from(promise.holder) == machine && promise.token == token);
        let view = node.view;
        state.send(Message::Release { view, from: machine as u8, token, held });
    }
}
