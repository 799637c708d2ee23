//! The replica: one process of the core.
//!
//! | module | concern |
//! | --- | --- |
//! | `recovery` | from records to a state, and from a state to the records of a rewrite |
//! | `heartbeats` | heartbeats, and what is learned from them |
//! | `acceptor`, `proposer` | agreeing on the next view |
//! | `learner` | keeping the committed history without a place in the chain |
//! | `leave` | leaving the core before the process ends |
//! | `state_transfer` | taking over the history of a new view, and when a view serves |
//! | `replication` | entries down the chain, commits back up |
//! | `change_queue` | judging the changes of the operator |
//! | `read_only` | reads, and whether a view is still in force |
//! | `pending_requests` | the operator's calls at this process |
//! | `forwarding` | calls passed on for processes that do not reach an end of the chain |

mod acceptor;
mod change_queue;
mod forwarding;
mod heartbeats;
mod learner;
mod leave;
mod pending_requests;
mod proposer;
mod read_only;
mod recovery;
mod replication;
mod state_transfer;

use crate::action::{Action, OperatorResponse};
use crate::entry::{CommittedConfig, EntryHeader};
use crate::error::RecoverError;
use crate::event::Event;
use crate::history::History;
use crate::journal::{Batch, Effect, Journal};
use crate::log_event::LogEvent;
use crate::member::MemberId;
use crate::message::Message;
use crate::paxos::{Acceptor, Proposer, ReceivedPromise};
use crate::peers::Peers;
use crate::record::Record;
use crate::request::OperatorRequestId;
use crate::settings::ReplicaSettings;
use crate::status::ReplicaStatus;
use crate::view::View;
use crate::view_planner::Planner;
use change_queue::{Head, SubmittedChange};
use forwarding::Relayed;
use heartbeats::Contact;
use learner::Follower;
use pending_requests::Calls;
use read_only::Tail;
use replication::Successor;
use state_transfer::Installation;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A pause between two events that is longer than this was a pause of the whole process.
const FROZEN_AFTER: Duration = Duration::from_millis(250);

/// One process of the core.
pub struct Replica {
    settings: ReplicaSettings,
    rng: fastrand::Rng,
    identity: MemberId,
    incarnation: u64,
    /// The seeds, if this process may take part in bootstrapping.
    bootstrap_seeds: Option<Vec<SocketAddr>>,
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
    newest_mark: Option<EntryHeader>,
    /// The newest committed configuration known.
    newest: Option<Arc<CommittedConfig>>,

    follower: Follower,
    /// Whether this process was told to end.
    leaving: bool,
    successor: Successor,
    head: Head,
    tail: Tail,
    calls: Calls,
    forwarded: Relayed,
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
            Event::Submit { id, base, version, request_hash, bytes } => {
                self.submit(id, base, version, request_hash, bytes);
            }
            Event::Read { id } => self.read(id),
            Event::Cancel { id } => self.abandon(id),
            Event::Leave => self.leave(),
            Event::Persisted { batch } => self.stored(batch),
            Event::PersistFailed { batch } => self.journal.failed(now, batch),
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
    pub fn status(&self) -> ReplicaStatus {
        let addresses = |members: &[MemberId]| members.iter().map(|member| member.address).collect();
        ReplicaStatus {
            identity: self.identity,
            view: self.view.number,
            members: addresses(&self.view.members),
            chain: addresses(&self.view.chain),
            position: self.view.position(self.identity),
            is_member: self.is_member(),
            committed_version: self.newest.as_ref().map(|config| config.version),
            is_serving: self.installation.serving,
            committed_index: self.newest_mark.map_or(0, |header| header.index),
            has_quorum: self.has_quorum(),
            has_accepted_next_view: self.acceptor.accepted.is_some(),
            disk_healthy: self.disk_healthy(),
            learners: self.learners(),
            durable_commit_index: self.durable_commit_index(),
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
        let well = self.disk_healthy();
        if well != self.disk_was_well {
            self.disk_was_well = well;
            self.log(if well { LogEvent::DiskHealthy } else { LogEvent::DiskFault });
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
            Message::Prepare { instance, proposal } => self.on_prepare(from, instance, proposal),
            Message::Promise { sender, instance, proposal, accepted, position } => {
                self.on_promise(instance, proposal, ReceivedPromise { member: sender, accepted, position });
            }
            Message::Rejected { instance, proposal, promised } => {
                self.on_rejected(instance, proposal, promised)
            }
            Message::Accept { proposal, view } => self.on_accept(from, proposal, view),
            Message::Accepted { instance, proposal } => self.on_accepted(from, instance, proposal),
            Message::StateRequest { view, after, chunk } => self.on_state_request(from, view, after, chunk),
            Message::State { view, suffix } => self.on_state(view, &suffix),
            Message::StateChunk { view, chunk } => self.on_state_piece(from, view, &chunk),
            Message::HistoryRequest { after, chunk } => self.on_history_request(from, after, chunk),
            Message::HistoryChunk { chunk } => self.on_history_piece(from, &chunk),
            Message::Replicate { view, entry } => self.on_replicate(from, view, entry),
            Message::Replicated { view, index } => self.on_replicated(from, view, index),
            Message::Committed { header } => self.learn_commit(from, header),
            Message::Confirm { view, request_id } => self.on_confirm(from, view, request_id),
            Message::Confirmed { view, request_id } => self.on_confirmed(from, view, request_id),
            Message::Submit { request_id, base, version, digest: _, bytes, request_hash, forwarded } => {
                let change = SubmittedChange { request_id, base, version, request_hash, bytes };
                let is_head = self.view.head() == Some(self.identity);
                match forwarded || is_head {
                    true => self.on_submit(from, change),
                    false => self.relay_submit(from, change),
                }
            }
            Message::Read { request_id, forwarded: false } if self.view.tail() != Some(self.identity) => {
                self.relay_read(from, request_id);
            }
            Message::Read { request_id, forwarded: _ } => self.on_read(from, request_id),
            Message::Outcome { request_id, outcome } => self.on_outcome(from, request_id, outcome),
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
                Effect::Appended { view, header } => self.on_appended(view, header),
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
            self.rewrite_above = self.settings.rewrite_threshold_bytes.max(2 * live);
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
            if rewrite { Action::RewriteLog { batch, records } } else { Action::Persist { batch, records } };
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

    fn log(&mut self, line: LogEvent) {
        self.out.push(Action::Log(line));
    }

    fn answer(&mut self, id: OperatorRequestId, response: OperatorResponse) {
        self.out.push(Action::Respond { id, response });
    }

    fn disk_healthy(&self) -> bool {
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
        if self.view.number == 0 { self.bootstrap_seeds.is_some() } else { self.is_member() }
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
            disk_healthy: self.disk_healthy(),
            may_bootstrap: self.bootstrap_seeds.is_some(),
            leaving: self.leaving,
            installed: self.installation.synced,
            committed: self.newest_mark.map_or(0, |header| header.index),
            peers: &self.peers,
            settings: &self.settings,
            now: self.now,
        }
    }

    fn has_quorum(&self) -> bool {
        let me = self.identity.address;
        let reached = |address: SocketAddr| address == me || self.peers.bidirectional(address, self.now);
        let count = self.view.members.iter().filter(|member| reached(member.address)).count();
        self.view.number > 0 && count >= self.view.majority()
    }
}
