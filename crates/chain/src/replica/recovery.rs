//! From records to a state, and from a state to the records of a rewrite.

use super::{Replica, change_queue::Head, heartbeats::Contact, learner::Follower, pending_requests::Calls};
use super::{forwarding::Relayed, read_only::Tail, replication::Successor, state_transfer::Installation};
use crate::digest::Fnv;
use crate::error::RecoverError;
use crate::history::History;
use crate::journal::{Effect, Journal};
use crate::log_event::LogEvent;
use crate::member::MemberId;
use crate::paxos::{Acceptor, Proposer};
use crate::peers::Peers;
use crate::record::Record;
use crate::settings::ReplicaSettings;
use crate::view::View;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Fewer seeds than this are all the processes that there are.
const FULL_SEEDS: usize = 3;

/// What the records of a log add up to.
#[derive(Default)]
struct Recovered {
    identity: Option<(u64, Option<Vec<SocketAddr>>)>,
    view: Option<View>,
    acceptor: Acceptor,
    history: History,
    installed: u64,
}

impl Recovered {
    fn apply(&mut self, record: Record) -> Result<(), RecoverError> {
        match record {
            Record::Identity { disk, bootstrap_seeds } => self.identity = Some((disk, bootstrap_seeds)),
            Record::Promise { instance, proposal } => self.promise(instance, proposal),
            Record::Accept { proposal, view } => {
                self.promise(view.number, proposal);
                self.acceptor.accepted = Some(Box::new((proposal, view)));
            }
            Record::Decided { view } => {
                self.view = Some(view);
                self.acceptor = Acceptor::default();
            }
            Record::Install { view, suffix } => {
                if !self.history.install(&suffix) {
                    return Err(RecoverError::Gap { index: suffix.after });
                }
                self.installed = view;
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

    fn promise(&mut self, instance: u64, proposal: crate::paxos::ProposalNumber) {
        debug_assert_eq!(instance, self.view.as_ref().map_or(0, |view| view.number) + 1);
        self.acceptor.promised = Some(proposal);
    }
}

/// Starts a replica from the records of its log.
pub fn recover(
    settings: ReplicaSettings, records: &[Vec<u8>], now: Duration,
) -> Result<Replica, RecoverError> {
    let history = History::new(settings.history);
    let mut recovered = Recovered { history, ..Recovered::default() };
    for (index, bytes) in records.iter().enumerate() {
        let record = Record::decode(bytes).map_err(|reason| RecoverError::Unreadable { index, reason })?;
        recovered.apply(record)?;
        if recovered.identity.is_none() {
            return Err(RecoverError::NoIdentity);
        }
    }
    let log_bytes = records.iter().map(Vec::len).sum();
    Ok(assemble(settings, recovered, log_bytes, now))
}

fn assemble(settings: ReplicaSettings, recovered: Recovered, log_bytes: usize, now: Duration) -> Replica {
    // Processes that are given the same seed must still not back off in step.
    let own = Fnv::of(settings.local_address.to_string().as_bytes());
    let mut rng = fastrand::Rng::with_seed(settings.seed ^ own.0);
    let incarnation = rng.u64(..);
    let empty = recovered.identity.is_none();
    let (disk, bootstrap_seeds) =
        recovered.identity.unwrap_or_else(|| (rng.u64(1..), bootstrap_seeds(&settings)));
    let identity = MemberId { address: settings.local_address, disk };
    let view = recovered.view.unwrap_or_else(|| view_zero(&settings, bootstrap_seeds.as_deref()));
    let last_index = recovered.history.last_index();
    let mut replica = Replica {
        peers: Peers::new(settings.local_address, settings.suspect_after),
        rewrite_above: settings.rewrite_threshold_bytes,
        settings,
        rng,
        identity,
        incarnation,
        bootstrap_seeds,
        ready: false,
        started: now,
        now,
        out: Vec::new(),
        loopback: VecDeque::new(),
        journal: Journal::new(log_bytes),
        disk_was_well: true,
        view: Arc::new(view),
        view_since: now,
        proposer: Proposer::recover(recovered.acceptor.promised),
        acceptor: recovered.acceptor,
        contact: Contact::default(),
        history: recovered.history,
        installation: Installation::new(recovered.installed),
        synced: last_index,
        // Each entry but the last was committed before the next one was written.
        committed: last_index.saturating_sub(1),
        newest_mark: None,
        newest: None,
        follower: Follower::default(),
        leaving: false,
        successor: Successor::default(),
        head: Head::default(),
        tail: Tail::default(),
        calls: Calls::default(),
        forwarded: Relayed::default(),
    };
    replica.start(empty);
    replica
}

fn bootstrap_seeds(settings: &ReplicaSettings) -> Option<Vec<SocketAddr>> {
    let mut seeds = settings.seeds.clone();
    seeds.sort();
    seeds.dedup();
    let founds = settings.bootstrap && settings.counts_for_quorum && seeds.contains(&settings.local_address);
    founds.then_some(seeds)
}

/// The seeds as the acceptors of the first view; nobody, for a process that may not bootstrap.
fn view_zero(settings: &ReplicaSettings, bootstrap_seeds: Option<&[SocketAddr]>) -> View {
    let seeds = bootstrap_seeds.unwrap_or_default();
    let wanted = 2 * settings.fault_tolerance + 1;
    let required = if seeds.len() < FULL_SEEDS { wanted.min(seeds.len()) } else { wanted };
    View {
        number: 0,
        members: seeds.iter().map(|address| MemberId { address: *address, disk: 0 }).collect(),
        chain: Vec::new(),
        source: None,
        lineage: Vec::new(),
        last_known_served: 0,
        fault_tolerance: settings.fault_tolerance as u32,
        min_members: required as u32,
    }
}

impl Replica {
    fn start(&mut self, empty: bool) {
        if empty {
            let record =
                Record::Identity { disk: self.identity.disk, bootstrap_seeds: self.bootstrap_seeds.clone() };
            self.record(&record);
        }
        self.journal.then(Effect::Ready);
        let may_bootstrap = self.bootstrap_seeds.is_some();
        self.log(LogEvent::Started { identity: self.identity, may_bootstrap, view: self.view.number });
        self.publish(self.committed);
        let known = self.settings.seeds.clone().into_iter();
        let members = self.view.members.clone().into_iter().map(|member| member.address);
        for address in known.chain(members) {
            self.peers.learn(address, self.now);
        }
    }

    /// The records that stand for the whole state.
    pub(super) fn snapshot(&self) -> Vec<Vec<u8>> {
        let mut records = vec![Record::Identity {
            disk: self.identity.disk,
            bootstrap_seeds: self.bootstrap_seeds.clone(),
        }];
        let installed = self.installation.installed;
        records.extend(Record::installation(installed, installed, &self.history.suffix(0)));
        if self.view.number > 0 {
            records.push(Record::Decided { view: self.view.as_ref().clone() });
        }
        let instance = self.view.number + 1;
        if let Some(held) = &self.acceptor.accepted {
            records.push(Record::Accept { proposal: held.0, view: held.1.clone() });
        }
        if let Some(proposal) = self.acceptor.promised {
            records.push(Record::Promise { instance, proposal });
        }
        records.iter().map(Record::encode).collect()
    }
}
