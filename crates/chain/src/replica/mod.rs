//! The replica: the state machine of one control process.
//!
//! | Module | Responsibility | State |
//! | --- | --- | --- |
//! | `recovery` | recovery of the state from the log, and the snapshot for a rewrite of the log | |
//! | `outbox` | actions for the driver, and messages of the replica to itself | [`Outbox`] |
//! | `heartbeats` | sending and receiving heartbeats | [`HeartbeatSchedule`], [`Peers`] |
//! | `acceptor`, `proposer` | decision on the next view by Paxos | [`Acceptor`], [`Proposer`] |
//! | `view_change` | entering a decided view | the view |
//! | `state_transfer` | transfer of the history of a new view, and the start of service | [`StateTransfer`] |
//! | `replication` | replication of entries, and acknowledgements | [`Successor`] |
//! | `commit` | commits and their announcement | commit index, [`NewestCommitted`] |
//! | `learner` | replication of the committed history outside the chain | [`Learner`] |
//! | `leave` | graceful leave before the process ends | |
//! | `change_queue` | decisions on the operator's changes, at the head | [`ChangeQueue`] |
//! | `read_only` | linearizable reads at the tail, and confirmation that the view is current | [`ReadOnly`] |
//! | `pending_requests` | requests that this process has received from operators | [`PendingRequests`] |
//! | `forwarding` | requests of processes that cannot reach an end of the chain | [`ForwardedRequests`] |

mod acceptor;
mod change_queue;
mod commit;
mod forwarding;
mod heartbeats;
mod learner;
mod leave;
mod outbox;
mod pending_requests;
mod proposer;
mod read_only;
mod recovery;
mod replication;
mod state_transfer;
#[cfg(test)]
mod tests;
mod view_change;

use crate::action::{Action, BatchId};
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
use crate::settings::ReplicaSettings;
use crate::status::ReplicaStatus;
use crate::view::View;
use crate::view_planner::ViewPlanner;
use change_queue::{ChangeQueue, SubmittedChange};
use commit::NewestCommitted;
use forwarding::ForwardedRequests;
use heartbeats::HeartbeatSchedule;
use learner::Learner;
use outbox::Outbox;
use pending_requests::PendingRequests;
use read_only::ReadOnly;
use replication::Successor;
use state_transfer::StateTransfer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A longer interval between two events counts as a pause of the whole process, since ticks arrive every 20
/// to 50 ms.
const MAX_EVENT_INTERVAL: Duration = Duration::from_millis(250);

/// A replica: the state machine of one process of the control plane.
///
/// A replica does no I/O and reads no clock. It is deterministic: the same settings, records and events yield
/// the same actions.
pub struct Replica {
    settings: ReplicaSettings,
    rng: fastrand::Rng,
    identity: MemberId,
    /// A random number, generated when the process started.
    incarnation: u64,
    /// The seeds, if this process may take part in bootstrapping the first view.
    bootstrap_seeds: Option<Vec<SocketAddr>>,
    /// Whether the identity is on disk. Until then no message is sent or handled.
    is_ready: bool,
    /// Whether this process is shutting down and asks to be left out of the next view.
    is_leaving: bool,
    started_at: Duration,
    /// The time of the current event.
    now: Duration,
    outbox: Outbox,

    journal: Journal,
    /// The size in bytes above which the log is rewritten.
    rewrite_threshold_bytes: usize,
    /// The disk health that was last reported to the process log.
    disk_was_healthy: bool,

    view: Arc<View>,
    /// The time at which this process entered the view.
    view_entered_at: Duration,
    acceptor: Acceptor,
    proposer: Proposer,
    peers: Peers,
    heartbeat_schedule: HeartbeatSchedule,

    history: History,
    state_transfer: StateTransfer,
    /// The index up to which all entries are on disk. At most the last index of the history.
    synced_index: u64,
    /// The index up to which all entries are known to be committed. At most the last index of the history.
    commit_index: u64,
    newest_committed: NewestCommitted,

    learner: Learner,
    successor: Successor,
    change_queue: ChangeQueue,
    read_only: ReadOnly,
    pending_requests: PendingRequests,
    forwarded_requests: ForwardedRequests,
}

impl Replica {
    /// Starts a replica from the records of its log, which are empty for a new disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are not those of a replica. The disk then counts as lost: the driver
    /// moves the log aside and starts without records and without `bootstrap`.
    pub fn recover(
        settings: ReplicaSettings, records: &[Vec<u8>], now: Duration, actions: &mut Vec<Action>,
    ) -> Result<Replica, RecoverError> {
        let mut replica = recovery::recover(settings, records, now)?;
        replica.start_batch_if_idle();
        replica.outbox.append_to(actions);
        Ok(replica)
    }

    /// Handles an event and appends the resulting actions. `now` is the monotonic time since the start of the
    /// process.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.advance_clock(now);
        match event {
            Event::Tick => self.on_tick(),
            Event::Message { from, message } => self.on_message(from, message),
            Event::LinkDown { peer } => self.peers.record_link_down(peer),
            Event::Submit { id, base, version, request_hash, bytes } => {
                self.submit(id, base, version, request_hash, bytes);
            }
            Event::Read { id } => self.read(id),
            Event::Cancel { id } => self.cancel(id),
            Event::Leave => self.leave(),
            Event::Persisted { batch } => self.on_persisted(batch),
            Event::PersistFailed { batch } => self.journal.record_failure(self.now, batch),
        }
        self.run_to_quiescence();
        self.outbox.append_to(actions);
    }

    /// Replaces the seeds, for example after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        for seed in &seeds {
            self.peers.add(*seed, self.now);
        }
        self.settings.seeds = seeds;
    }

    /// The status of this replica.
    pub fn status(&self) -> ReplicaStatus {
        let addresses = |members: &[MemberId]| members.iter().map(|member| member.address).collect();
        ReplicaStatus {
            identity: self.identity,
            view_number: self.view.number,
            members: addresses(&self.view.members),
            chain: addresses(&self.view.chain),
            chain_position: self.view.position(self.identity),
            is_member: self.is_member(),
            committed_version: self.newest_committed.config.as_ref().map(|config| config.version),
            is_serving: self.state_transfer.is_serving,
            committed_index: self.newest_committed.index(),
            has_quorum: self.has_quorum(),
            has_accepted_next_view: self.acceptor.accepted.is_some(),
            disk_healthy: self.disk_healthy(),
            learners: self.learner_addresses(),
            durable_commit_index: self.durable_commit_index(),
            leave_state: self.leave_state(),
            uptime: self.now.saturating_sub(self.started_at),
        }
    }

    /// Advances the clock. A pause of the whole process counts neither as missing heartbeats of the peers nor
    /// as a slow disk.
    fn advance_clock(&mut self, now: Duration) {
        let interval = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if interval > MAX_EVENT_INTERVAL {
            self.peers.discount_pause(interval, self.now);
            self.journal.discount_pause(interval);
        }
    }

    fn on_tick(&mut self) {
        if let Some(batch) = self.journal.take_retry(self.now) {
            self.persist(batch);
        }
        self.report_disk_health();
        if self.is_ready {
            self.peers.refresh_health(self.now);
            self.send_heartbeats_if_due();
            self.refresh_sealed_since();
            self.propose_if_due();
            self.request_state_if_due();
            self.catch_up_if_due();
            self.drop_idle_streams();
            self.retransmit_if_due();
            self.repeat_confirmation_if_due();
        }
        self.drive_pending_requests();
    }

    fn report_disk_health(&mut self) {
        let is_healthy = self.disk_healthy();
        if is_healthy != self.disk_was_healthy {
            self.disk_was_healthy = is_healthy;
            self.outbox.log(if is_healthy { LogEvent::DiskHealthy } else { LogEvent::DiskFault });
            self.send_heartbeats_soon();
        }
    }

    fn on_message(&mut self, from: SocketAddr, message: Message) {
        if !self.is_ready {
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.on_heartbeat(from, heartbeat),
            Message::ViewRequest { above } => self.on_view_request(from, above),
            Message::Decided { view } => self.on_decided(view),
            Message::Prepare { instance, proposal } => self.on_prepare(from, instance, proposal),
            Message::Promise { sender, instance, proposal, accepted, position } => {
                let promise = ReceivedPromise { member: sender, accepted, position };
                self.on_promise(instance, proposal, promise);
            }
            Message::Rejected { instance, proposal, promised } => {
                self.on_rejected(instance, proposal, promised);
            }
            Message::Accept { proposal, view } => self.on_accept(from, proposal, view),
            Message::Accepted { instance, proposal } => self.on_accepted(from, instance, proposal),
            Message::StateRequest { view, after, chunk } => self.on_state_request(from, view, after, chunk),
            Message::State { view, suffix } => self.on_state(view, &suffix),
            Message::StateChunk { view, chunk } => self.on_state_chunk(from, view, &chunk),
            Message::HistoryRequest { after, chunk } => self.on_history_request(from, after, chunk),
            Message::HistoryChunk { chunk } => self.on_history_chunk(from, &chunk),
            Message::Replicate { view, entry } => self.on_replicate(from, view, entry),
            Message::Replicated { view, index } => self.on_replicated(from, view, index),
            Message::Committed { header } => self.on_committed(from, header),
            Message::Confirm { view, request_id } => self.on_confirm(from, view, request_id),
            Message::Confirmed { view, request_id } => self.on_confirmed(from, view, request_id),
            Message::Submit { request_id, base, version, digest: _, bytes, request_hash, forwarded } => {
                let change = SubmittedChange { request_id, base, version, request_hash, bytes };
                let is_head = self.view.head() == Some(self.identity);
                match forwarded || is_head {
                    true => self.on_submit(from, change),
                    false => self.forward_submit(from, change),
                }
            }
            Message::Read { request_id, forwarded: false } if self.view.tail() != Some(self.identity) => {
                self.forward_read(from, request_id);
            }
            Message::Read { request_id, forwarded: _ } => self.on_read(from, request_id),
            Message::Outcome { request_id, outcome } => self.on_outcome(from, request_id, outcome),
            Message::ConfigRequest { above } => self.on_config_request(from, above),
            Message::Config { config } => self.on_config(config),
        }
    }

    fn on_persisted(&mut self, batch: BatchId) {
        let effects = self.journal.record_persisted(batch);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::BecomeReady => self.become_ready(),
                Effect::Send { to, message } => self.outbox.send(to, message),
                Effect::StateInstalled { view, last_index } => self.on_state_installed(view, last_index),
                Effect::LearnerSynced { index } => self.on_learner_synced(index),
                Effect::EntrySynced { view, header } => self.on_entry_synced(view, header),
            }
        }
    }

    /// Handles the messages of this process to itself and the effects that wait for no sync, until none
    /// remain. Then starts the next batch.
    fn run_to_quiescence(&mut self) {
        loop {
            let effects = self.journal.take_released();
            let had_effects = !effects.is_empty();
            self.apply(effects);
            let message = self.outbox.take_loopback();
            if !had_effects && message.is_none() {
                break;
            }
            if let Some(message) = message {
                self.on_message(self.identity.address, message);
            }
        }
        self.start_batch_if_idle();
    }

    /// Starts the next batch, or a rewrite if the log exceeds its size limit.
    fn start_batch_if_idle(&mut self) {
        if self.journal.is_idle() && self.journal.log_bytes() > self.rewrite_threshold_bytes {
            let snapshot = self.snapshot();
            let snapshot_bytes: usize = snapshot.iter().map(Vec::len).sum();
            self.rewrite_threshold_bytes = self.settings.rewrite_threshold_bytes.max(2 * snapshot_bytes);
            if self.journal.log_bytes() > self.rewrite_threshold_bytes {
                let batch = self.journal.start_rewrite(self.now, snapshot);
                return self.persist(batch);
            }
        }
        if let Some(batch) = self.journal.start_batch(self.now) {
            self.persist(batch);
        }
    }

    fn persist(&mut self, batch: Batch) {
        let Batch { id: batch, records, is_rewrite } = batch;
        self.outbox.push(match is_rewrite {
            true => Action::RewriteLog { batch, records },
            false => Action::Persist { batch, records },
        });
    }

    fn append_record(&mut self, record: &Record) {
        self.journal.append(record.encode());
    }

    /// Sends a message once all records appended so far are synced.
    fn send_after_sync(&mut self, to: SocketAddr, message: Message) {
        self.journal.after_sync(Effect::Send { to, message });
    }

    fn disk_healthy(&self) -> bool {
        self.journal.is_healthy(self.now, self.settings.suspect_after)
    }

    /// Whether this process has promised the view after the newest one that it knows. It then no longer
    /// participates in the newest view that it knows.
    fn is_sealed(&self) -> bool {
        self.acceptor.promised.is_some()
    }

    fn is_member(&self) -> bool {
        self.view.members.contains(&self.identity)
    }

    /// Whether this process is an acceptor of the next view.
    fn is_acceptor(&self) -> bool {
        if self.view.number == 0 { self.bootstrap_seeds.is_some() } else { self.is_member() }
    }

    /// The position in the chain, if this process holds the view's history and participates in the view.
    fn active_position(&self) -> Option<usize> {
        let is_active = self.state_transfer.installed_view == self.view.number && !self.is_sealed();
        self.view.position(self.identity).filter(|_| is_active)
    }

    fn is_active_head(&self) -> bool {
        self.active_position() == Some(0)
    }

    fn is_active_tail(&self) -> bool {
        self.active_position().is_some_and(|position| position + 1 == self.view.chain.len())
    }

    fn planner(&self) -> ViewPlanner<'_> {
        ViewPlanner {
            view: &self.view,
            local_member: self.identity,
            disk_healthy: self.disk_healthy(),
            may_bootstrap: self.bootstrap_seeds.is_some(),
            is_leaving: self.is_leaving,
            installed_view: self.state_transfer.synced_view,
            committed_index: self.newest_committed.index(),
            peers: &self.peers,
            settings: &self.settings,
            now: self.now,
        }
    }

    /// Whether this process has bidirectional links to a majority of the members, counting itself.
    fn has_quorum(&self) -> bool {
        let local_address = self.identity.address;
        let is_connected =
            |address: SocketAddr| address == local_address || self.peers.is_bidirectional(address, self.now);
        let connected = self.view.members.iter().filter(|member| is_connected(member.address)).count();
        self.view.number > 0 && connected >= self.view.majority()
    }
}
