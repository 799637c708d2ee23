//! The replica: one process of the core.
//!
//! | module | concern |
//! | --- | --- |
//! | `recovery` | from records to a state, and from a state to the records of a rewrite |
//! | `contact` | heartbeats, and what is learned from them |
//! | `acceptor`, `proposer` | agreeing on the next view |
//! | `follow` | keeping the committed history without a place in the chain |
//! | `leave` | leaving the core before the process ends |
//! | `install` | taking over the history of a new view, and when a view serves |
//! | `replication` | entries down the chain, commits back up |
//! | `head` | judging the changes of the operator |
//! | `tail` | reads, and whether a view is still in force |
//! | `calls` | the operator's calls at this process |
//! | `relay` | calls passed on for processes that do not reach an end of the chain |

mod acceptor;
mod calls;
mod contact;
mod follow;
mod head;
mod install;
mod leave;
mod proposer;
mod recovery;
mod relay;
mod replication;
mod tail;

use crate::api::{Action, Event, LogLine, RecoverError, Status, Ticket};
use crate::consensus::{Acceptor, PromiseHeld, Proposer};
use crate::history::History;
use crate::journal::{Batch, Effect, Journal};
use crate::message::Message;
use crate::model::{CommittedConfig, Mark, MemberId, View};
use crate::peers::Peers;
use crate::planner::Planner;
use crate::record::Record;
use crate::settings::ReplicaSettings;
use calls::Calls;
use contact::Contact;
use follow::Follower;
use head::{Head, SubmittedChange};
use install::Installation;
use relay::Relayed;
use replication::Successor;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tail::Tail;

/// A pause between two events that is longer than this was a pause of the whole process.
const FROZEN_AFTER: Duration = Duration::from_millis(250);

/// One process of the core.
pub struct Replica {
    settings: ReplicaSettings,
    rng: fastrand::Rng,
    identity: MemberId,
    incarnation: u64,
    /// The seeds, if this process may take part in founding the system.
    founding: Option<Vec<SocketAddr>>,
    /// Whether the identity is on disk; nothing is said before.
    ready: bool,
    started: Duration,
    now: Duration,
    out: Vec<Action>,
    /// What this process has said to itself.
    loopback: VecDeque<Message>,

    journal: Journal,
    rewrite_above: usize,
    disk_was_well: bool,

    view: Arc<View>,
    view_since: Duration,
    acceptor: Acceptor,
    proposer: Proposer,
    peers: Peers,
    contact: Contact,

    history: History,
    installation: Installation,
    /// All entries up to this one are on disk.
    synced: u64,
    /// All entries up to this one are known to be committed.
    committed: u64,
    /// The newest committed entry known, though it may not be in the history held here.
    newest_mark: Option<Mark>,
    /// The newest committed configuration known.
    newest: Option<Arc<CommittedConfig>>,

    follower: Follower,
    /// Whether this process was told to end.
    leaving: bool,
    successor: Successor,
    head: Head,
    tail: Tail,
    calls: Calls,
    relayed: Relayed,
}

impl Replica {
    /// Starts a replica from the records of its log; none if the disk is empty.
    pub fn recover(
        settings: ReplicaSettings, records: &[Vec<u8>], now: Duration, out: &mut Vec<Action>,
    ) -> Result<Replica, RecoverError> {
        let mut replica = recovery::recover(settings, records, now)?;
        replica.flush();
        out.append(&mut replica.out);
        Ok(replica)
    }

    /// Handles one event. `now` is steady time and does not go back.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Tick => self.tick(),
            Event::Message { from, message } => self.receive(from, message),
            Event::LinkDown { peer } => self.peers.link_down(peer),
            Event::Submit { ticket, base, version, request, bytes } => {
                self.submit(ticket, base, version, request, bytes);
            }
            Event::Read { ticket } => self.read(ticket),
            Event::Abandon { ticket } => self.abandon(ticket),
            Event::Leave => self.leave(),
            Event::Stored { batch } => self.stored(batch),
            Event::StoreFailed { batch } => self.journal.failed(now, batch),
        }
        self.settle();
        out.append(&mut self.out);
    }

    /// The settings file names other seeds now.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in &seeds {
            self.peers.learn(*seed, self.now);
        }
        self.settings.seeds = seeds;
    }

    /// A summary.
    pub fn status(&self) -> Status {
        let addresses = |members: &[MemberId]| members.iter().map(|member| member.address).collect();
        Status {
            identity: self.identity,
            view: self.view.number,
            members: addresses(&self.view.members),
            chain: addresses(&self.view.chain),
            position: self.view.position(self.identity),
            member: self.is_member(),
            committed: self.newest.as_ref().map(|config| config.version),
            serving: self.installation.serving,
            newest_index: self.newest_mark.map_or(0, |mark| mark.index),
            in_touch: self.in_touch(),
            accepted_next: self.acceptor.accepted.is_some(),
            disk_well: self.disk_well(),
            learners: self.learners(),
            held: self.held(),
            leave: self.leave_state(),
            uptime: self.now.saturating_sub(self.started),
        }
    }

    fn advance(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if pause > FROZEN_AFTER {
            self.peers.forgive(pause, self.now);
            self.journal.forgive(pause);
        }
    }

    fn tick(&mut self) {
        if let Some(batch) = self.journal.retry(self.now) {
            self.launch(batch);
        }
        self.note_disk();
        if self.ready {
            self.peers.refresh(self.now);
            self.beat_when_due();
            self.note_seals();
            self.propose_when_due();
            self.install_when_due();
            self.follow_when_due();
            self.drop_idle_streams();
            self.replicate_when_due();
            self.confirm_when_due();
        }
        self.drive_calls();
    }

    fn note_disk(&mut self) {
        let well = self.disk_well();
        if well != self.disk_was_well {
            self.disk_was_well = well;
            self.log(if well { LogLine::DiskWell } else { LogLine::DiskTrouble });
            self.beat_soon();
        }
    }

    fn receive(&mut self, from: SocketAddr, message: Message) {
        if !self.ready {
            return;
        }
        match message {
            Message::Heartbeat(beat) => self.on_heartbeat(from, beat),
            Message::ViewRequest { above } => self.on_view_request(from, above),
            Message::Decided { view } => self.on_decided(view),
            Message::Prepare { instance, ballot } => self.on_prepare(from, instance, ballot),
            Message::Promise { sender, instance, ballot, accepted, holding } => {
                self.on_promise(instance, ballot, PromiseHeld { member: sender, accepted, holding });
            }
            Message::Rejected { instance, ballot, promised } => self.on_rejected(instance, ballot, promised),
            Message::Accept { ballot, view } => self.on_accept(from, ballot, view),
            Message::Accepted { instance, ballot } => self.on_accepted(from, instance, ballot),
            Message::StateRequest { view, after, piece } => self.on_state_request(from, view, after, piece),
            Message::State { view, transfer } => self.on_state(view, &transfer),
            Message::StatePiece { view, piece } => self.on_state_piece(from, view, &piece),
            Message::HistoryRequest { after, piece } => self.on_history_request(from, after, piece),
            Message::HistoryPiece { piece } => self.on_history_piece(from, &piece),
            Message::Replicate { view, entry } => self.on_replicate(from, view, entry),
            Message::Replicated { view, index } => self.on_replicated(from, view, index),
            Message::Committed { mark } => self.learn_commit(from, mark),
            Message::Confirm { view, question } => self.on_confirm(from, view, question),
            Message::Confirmed { view, question } => self.on_confirmed(from, view, question),
            Message::Submit { call, base, version, digest: _, bytes, request, relayed } => {
                let change = SubmittedChange { call, base, version, request, bytes };
                let is_head = self.view.head() == Some(self.identity);
                match relayed || is_head {
                    true => self.on_submit(from, change),
                    false => self.relay_submit(from, change),
                }
            }
            Message::Read { call, relayed: false } if self.view.tail() != Some(self.identity) => {
                self.relay_read(from, call);
            }
            Message::Read { call, relayed: _ } => self.on_read(from, call),
            Message::Outcome { call, outcome } => self.on_outcome(from, call, outcome),
            Message::ConfigRequest { above } => self.on_config_request(from, above),
            Message::Config { config } => self.on_config(config),
        }
    }

    fn stored(&mut self, batch: u64) {
        let effects = self.journal.stored(batch);
        self.run(effects);
    }

    fn run(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Ready => self.become_ready(),
                Effect::Send { to, message } => self.send(to, message),
                Effect::Installed { view, last_index } => self.on_installed(view, last_index),
                Effect::Followed { index } => self.on_followed(index),
                Effect::Appended { view, mark } => self.on_appended(view, mark),
            }
        }
    }

    /// Handles what this process has said to itself and what waits for no disk, and starts the next batch.
    fn settle(&mut self) {
        loop {
            let effects = self.journal.take_unbound();
            let idle = effects.is_empty();
            self.run(effects);
            let said = self.loopback.pop_front();
            if idle && said.is_none() {
                break;
            }
            if let Some(message) = said {
                self.receive(self.identity.address, message);
            }
        }
        self.flush();
    }

    fn flush(&mut self) {
        if self.journal.idle() && self.journal.log_bytes() > self.rewrite_above {
            let snapshot = self.snapshot();
            let live: usize = snapshot.iter().map(Vec::len).sum();
            self.rewrite_above = self.settings.rewrite_above.max(2 * live);
            if self.journal.log_bytes() > self.rewrite_above {
                let batch = self.journal.begin_rewrite(self.now, snapshot);
                return self.launch(batch);
            }
        }
        if let Some(batch) = self.journal.begin(self.now) {
            self.launch(batch);
        }
    }

    fn launch(&mut self, batch: Batch) {
        let Batch { number: batch, records, rewrite } = batch;
        let store =
            if rewrite { Action::Rewrite { batch, records } } else { Action::Store { batch, records } };
        self.out.push(store);
    }

    fn record(&mut self, record: &Record) {
        self.journal.record(record.encode());
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        if to == self.identity.address {
            self.loopback.push_back(message);
        } else {
            self.out.push(Action::Send { to, message });
        }
    }

    /// Says it once all records so far are synced.
    fn send_synced(&mut self, to: SocketAddr, message: Message) {
        self.journal.then(Effect::Send { to, message });
    }

    fn log(&mut self, line: LogLine) {
        self.out.push(Action::Log(line));
    }

    fn answer(&mut self, ticket: Ticket, answer: crate::api::Answer) {
        self.out.push(Action::Answer { ticket, answer });
    }

    fn disk_well(&self) -> bool {
        self.journal.well(self.now, self.settings.suspect_after)
    }

    /// Whether this process has promised a view after the newest one that it knows. It then takes part in that newest
    /// view no more.
    fn sealed(&self) -> bool {
        self.acceptor.promised.is_some()
    }

    fn is_member(&self) -> bool {
        self.view.members.contains(&self.identity)
    }

    /// Whether this process votes on the next view.
    fn is_acceptor(&self) -> bool {
        if self.view.number == 0 { self.founding.is_some() } else { self.is_member() }
    }

    /// The position in the chain, if this process holds the view's history and takes part.
    fn active_position(&self) -> Option<usize> {
        let active = self.installation.installed == self.view.number && !self.sealed();
        self.view.position(self.identity).filter(|_| active)
    }

    fn is_active_head(&self) -> bool {
        self.active_position() == Some(0)
    }

    fn is_active_tail(&self) -> bool {
        self.active_position().is_some_and(|position| position + 1 == self.view.chain.len())
    }

    fn planner(&self) -> Planner<'_> {
        Planner {
            view: &self.view,
            me: self.identity,
            disk_well: self.disk_well(),
            founder: self.founding.is_some(),
            leaving: self.leaving,
            installed: self.installation.synced,
            committed: self.newest_mark.map_or(0, |mark| mark.index),
            peers: &self.peers,
            settings: &self.settings,
            now: self.now,
        }
    }

    fn in_touch(&self) -> bool {
        let me = self.identity.address;
        let reached = |address: SocketAddr| address == me || self.peers.two_way(address, self.now);
        let count = self.view.members.iter().filter(|member| reached(member.address)).count();
        self.view.number > 0 && count >= self.view.majority()
    }
}
