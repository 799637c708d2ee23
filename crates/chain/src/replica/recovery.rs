//! Recovers a replica from the records of its log, and creates the snapshot for a rewrite of the log.

use super::{
    Replica, change_queue::ChangeQueue, commit::NewestCommitted, forwarding::ForwardedRequests,
    heartbeats::HeartbeatSchedule, learner::Learner, outbox::Outbox, pending_requests::PendingRequests,
    read_only::ReadOnly, replication::Successor, state_transfer::StateTransfer,
};
use crate::digest::Fnv;
use crate::error::RecoverError;
use crate::history::History;
use crate::journal::{Effect, Journal};
use crate::log_event::LogEvent;
use crate::member::MemberId;
use crate::paxos::{AcceptedProposal, Acceptor, ProposalNumber, Proposer};
use crate::peers::Peers;
use crate::record::Record;
use crate::settings::ReplicaSettings;
use crate::view::View;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A list of fewer seeds is assumed to name all processes of the system. A longer list may name only some of
/// them.
const MIN_PARTIAL_SEEDS: usize = 3;

/// The identity from the first record of a log.
struct RecoveredIdentity {
    disk: u64,
    bootstrap_seeds: Option<Vec<SocketAddr>>,
}

/// The state that results from the records of a log.
#[derive(Default)]
struct RecoveredState {
    identity: Option<RecoveredIdentity>,
    view: Option<View>,
    acceptor: Acceptor,
    history: History,
    installed_view: u64,
}

impl RecoveredState {
    fn apply(&mut self, record: Record) -> Result<(), RecoverError> {
        match record {
            Record::Identity { disk, bootstrap_seeds } => {
                self.identity = Some(RecoveredIdentity { disk, bootstrap_seeds });
            }
            Record::Promise { instance, proposal } => self.promise(instance, proposal),
            Record::Accept { proposal, view } => {
                self.promise(view.number, proposal);
                self.acceptor.accepted = Some(Box::new(AcceptedProposal { number: proposal, view }));
            }
            Record::Decided { view } => {
                self.view = Some(view);
                self.acceptor = Acceptor::default();
            }
            Record::Install { view, suffix } => {
                if !self.history.install(&suffix) {
                    return Err(RecoverError::Gap { index: suffix.after });
                }
                self.installed_view = view;
            }
            Record::Append { entry } => {
                let index = entry.header.index;
                if !self.history.append(entry) {
                    return Err(RecoverError::Gap { index });
                }
            }
        }
        Ok(())
    }

    fn promise(&mut self, instance: u64, proposal: ProposalNumber) {
        debug_assert_eq!(instance, self.view.as_ref().map_or(0, |view| view.number) + 1);
        self.acceptor.promised = Some(proposal);
    }
}

/// Starts a replica from the records of its log.
pub fn recover(
    settings: ReplicaSettings, records: &[Vec<u8>], now: Duration,
) -> Result<Replica, RecoverError> {
    let history = History::new(settings.history);
    let mut state = RecoveredState { history, ..RecoveredState::default() };
    for (index, bytes) in records.iter().enumerate() {
        let record = Record::decode(bytes).map_err(|reason| RecoverError::Unreadable { index, reason })?;
        state.apply(record)?;
        if state.identity.is_none() {
            return Err(RecoverError::NoIdentity);
        }
    }
    let log_bytes = records.iter().map(Vec::len).sum();
    let is_new_disk = state.identity.is_none();
    let mut replica = build_replica(settings, state, log_bytes, now);
    replica.start(is_new_disk);
    Ok(replica)
}

fn build_replica(
    settings: ReplicaSettings, state: RecoveredState, log_bytes: usize, now: Duration,
) -> Replica {
    // The local address is mixed into the seed, so that processes with the same seed do not back off in step.
    let address_hash = Fnv::of(settings.local_address.to_string().as_bytes());
    let mut rng = fastrand::Rng::with_seed(settings.seed ^ address_hash.0);
    let incarnation = rng.u64(..);
    let RecoveredIdentity { disk, bootstrap_seeds } =
        state.identity.unwrap_or_else(|| new_identity(&settings, &mut rng));
    let view = state.view.unwrap_or_else(|| initial_view(&settings, bootstrap_seeds.as_deref()));
    let last_index = state.history.last_index();
    Replica {
        identity: MemberId { address: settings.local_address, disk },
        incarnation,
        bootstrap_seeds,
        is_ready: false,
        is_leaving: false,
        started_at: now,
        now,
        outbox: Outbox::new(settings.local_address),
        journal: Journal::new(log_bytes),
        rewrite_threshold_bytes: settings.rewrite_threshold_bytes,
        disk_was_healthy: true,
        view: Arc::new(view),
        view_entered_at: now,
        proposer: Proposer::recover(state.acceptor.promised),
        acceptor: state.acceptor,
        peers: Peers::new(settings.local_address, settings.suspect_after),
        heartbeat_schedule: HeartbeatSchedule::default(),
        history: state.history,
        state_transfer: StateTransfer::recover(state.installed_view),
        synced_index: last_index,
        // Each entry except the last was committed before the next one was appended.
        commit_index: last_index.saturating_sub(1),
        newest_committed: NewestCommitted::default(),
        learner: Learner::default(),
        successor: Successor::default(),
        change_queue: ChangeQueue::default(),
        read_only: ReadOnly::default(),
        pending_requests: PendingRequests::default(),
        forwarded_requests: ForwardedRequests::default(),
        settings,
        rng,
    }
}

fn new_identity(settings: &ReplicaSettings, rng: &mut fastrand::Rng) -> RecoveredIdentity {
    RecoveredIdentity { disk: rng.u64(1..), bootstrap_seeds: bootstrap_seeds(settings) }
}

/// The seeds, if this process may take part in bootstrapping the first view.
fn bootstrap_seeds(settings: &ReplicaSettings) -> Option<Vec<SocketAddr>> {
    let mut seeds = settings.seeds.clone();
    seeds.sort();
    seeds.dedup();
    let is_seed = seeds.contains(&settings.local_address);
    (settings.bootstrap && settings.counts_for_quorum && is_seed).then_some(seeds)
}

/// View 0, whose members are the seeds as the acceptors of view 1. Without members if this process may not
/// bootstrap.
fn initial_view(settings: &ReplicaSettings, bootstrap_seeds: Option<&[SocketAddr]>) -> View {
    let seeds = bootstrap_seeds.unwrap_or_default();
    let member_count = 2 * settings.fault_tolerance + 1;
    let has_all_seeds = seeds.len() < MIN_PARTIAL_SEEDS;
    let min_members = if has_all_seeds { member_count.min(seeds.len()) } else { member_count };
    View {
        number: 0,
        members: seeds.iter().map(|address| MemberId { address: *address, disk: 0 }).collect(),
        chain: Vec::new(),
        source: None,
        lineage: Vec::new(),
        last_known_served: 0,
        fault_tolerance: settings.fault_tolerance as u32,
        min_members: min_members as u32,
    }
}

impl Replica {
    fn start(&mut self, is_new_disk: bool) {
        if is_new_disk {
            self.append_record(&self.identity_record());
        }
        self.journal.after_sync(Effect::BecomeReady);
        let may_bootstrap = self.bootstrap_seeds.is_some();
        let (identity, view_number) = (self.identity, self.view.number);
        self.outbox.log(LogEvent::Started { identity, may_bootstrap, view_number });
        self.publish(self.commit_index);
        let seeds = self.settings.seeds.clone().into_iter();
        let members = self.view.members.clone().into_iter().map(|member| member.address);
        for address in seeds.chain(members) {
            self.peers.add(address, self.now);
        }
    }

    fn identity_record(&self) -> Record {
        Record::Identity { disk: self.identity.disk, bootstrap_seeds: self.bootstrap_seeds.clone() }
    }

    /// The encoded records that represent the current state.
    pub(super) fn snapshot(&self) -> Vec<Vec<u8>> {
        let mut records = vec![self.identity_record()];
        let installed_view = self.state_transfer.installed_view;
        records.extend(Record::installation(installed_view, installed_view, &self.history.suffix(0)));
        if self.view.number > 0 {
            records.push(Record::Decided { view: self.view.as_ref().clone() });
        }
        let instance = self.view.number + 1;
        if let Some(accepted) = &self.acceptor.accepted {
            records.push(Record::Accept { proposal: accepted.number, view: accepted.view.clone() });
        }
        if let Some(proposal) = self.acceptor.promised {
            records.push(Record::Promise { instance, proposal });
        }
        records.iter().map(Record::encode).collect()
    }
}
