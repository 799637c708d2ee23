//! A test driver for a single replica. The test advances the clock, delivers messages and decides when
//! records are synced. The driver collects the messages that the replica sends.

use crate::digest::{Digest, Fnv};
use crate::entry::{Entry, EntryHeader};
use crate::member::MemberId;
use crate::record::Record;
use crate::view::View;
use crate::{
    Action, BatchId, Event, Heartbeat, HistorySuffix, Link, Message, OperatorResponse, Replica,
    ReplicaSettings, RequestId,
};
use std::net::SocketAddr;
use std::time::Duration;

/// The time between two ticks.
pub const TICK: Duration = Duration::from_millis(20);
/// More ticks than a process needs to propose a view.
const MAX_TICKS_TO_PROPOSE: u32 = 500;

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

pub fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: u64::from(number) }
}

/// A view with members 1 to `members`, all of which are in the chain, in that order.
pub fn view(number: u64, members: u8) -> View {
    let members: Vec<MemberId> = (1..=members).map(member).collect();
    let required = members.len() as u32;
    View {
        number,
        chain: members.clone(),
        members,
        source: Some(member(1)),
        lineage: Vec::new(),
        last_known_served: 0,
        fault_tolerance: required / 2,
        min_members: required,
    }
}

/// Entry `index` of a history in which the version of each entry is its index.
pub fn entry(index: u64) -> Entry {
    let bytes: Vec<u8> = format!("configuration {index}").into_bytes();
    let header = EntryHeader { index, version: index, base: index - 1, digest: Digest::of(&bytes) };
    Entry { header, bytes: bytes.into() }
}

/// The records of a disk that holds view 1 with an empty history.
pub fn disk_of(disk: u64, members: u8) -> Vec<Vec<u8>> {
    let suffix = HistorySuffix::default();
    let records = [
        Record::Identity { disk, bootstrap_seeds: None },
        Record::Decided { view: view(1, members) },
        Record::Install { view: 1, suffix },
    ];
    records.iter().map(Record::encode).collect()
}

/// The identity of a request of another process.
pub const REQUEST_ID: RequestId = RequestId { incarnation: 5, sequence: 1 };

/// Starts a member of a serving view of three, with links to the other two.
pub fn serving(number: u8) -> Driver {
    let mut driver = Driver::start(number, disk_of(u64::from(number), 3), 3);
    let others: Vec<u8> = (1..=3).filter(|other| *other != number).collect();
    driver.run(3, &others);
    assert!(driver.replica.status().is_serving);
    driver.sent.clear();
    driver
}

/// A change to be submitted to the head.
pub fn submit(version: u64, base: u64) -> Message {
    let bytes: Vec<u8> = format!("configuration {version}").into_bytes();
    Message::Submit {
        request_id: REQUEST_ID,
        base,
        version,
        digest: Fnv::of(&bytes),
        bytes: bytes.into(),
        request_hash: None,
        forwarded: false,
    }
}

pub fn is_outcome(message: &Message) -> bool {
    matches!(message, Message::Outcome { .. })
}

/// A replica with its clock, its disk and the messages that it has sent.
pub struct Driver {
    pub replica: Replica,
    pub synced: Vec<Vec<u8>>,
    pub unsynced: Vec<(BatchId, Vec<Vec<u8>>)>,
    pub sent: Vec<(SocketAddr, Message)>,
    pub responses: Vec<OperatorResponse>,
    pub now: Duration,
    number: u8,
    members: u8,
}

impl Driver {
    /// Starts member `number` from these records and handles one tick.
    pub fn start(number: u8, synced: Vec<Vec<u8>>, members: u8) -> Driver {
        let settings = ReplicaSettings::new(address(number), Vec::new(), false, 1, 7);
        let mut actions = Vec::new();
        let replica = Replica::recover(settings, &synced, Duration::ZERO, &mut actions)
            .expect("cannot recover the replica from its records");
        let (sent, unsynced, responses) = (Vec::new(), Vec::new(), Vec::new());
        let now = Duration::ZERO;
        let mut driver = Driver { replica, synced, unsynced, sent, responses, now, number, members };
        driver.execute(actions);
        driver.handle(Event::Tick);
        driver
    }

    /// Passes an event to the replica.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.replica.handle(self.now, event, &mut actions);
        self.execute(actions);
    }

    /// Delivers a message from another process.
    pub fn receive(&mut self, from: u8, message: Message) {
        self.handle(Event::Message { from: address(from), message });
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.sent.push((to, message)),
                Action::Persist { batch, records } => self.unsynced.push((batch, records)),
                Action::Respond { response, .. } => self.responses.push(response),
                _ => {}
            }
        }
    }

    /// Runs for some ticks, each preceded by heartbeats of the `live` processes.
    pub fn run(&mut self, ticks: u32, live: &[u8]) {
        for _ in 0..ticks {
            self.now += TICK;
            for number in live {
                self.receive(*number, Message::Heartbeat(self.heartbeat_of(*number, live)));
            }
            self.handle(Event::Tick);
        }
    }

    /// Runs with heartbeats of all other processes except `unreachable`, until records wait for the disk.
    pub fn run_until_proposal(&mut self, unreachable: u8) {
        let live: Vec<u8> =
            (1..=self.members).filter(|number| *number != self.number && *number != unreachable).collect();
        for _ in 0..MAX_TICKS_TO_PROPOSE {
            if !self.unsynced.is_empty() {
                return;
            }
            self.run(1, &live);
        }
        panic!("no proposal within {MAX_TICKS_TO_PROPOSE} ticks");
    }

    /// The heartbeat of a process that has bidirectional links to the local process and to `linked`.
    pub fn heartbeat_of(&self, number: u8, linked: &[u8]) -> Heartbeat {
        let others = linked.iter().copied().chain([self.number]).filter(|other| *other != number);
        let links = others.map(|other| Link { peer: address(other), bidirectional: true }).collect();
        Heartbeat {
            sender: member(number),
            incarnation: 1,
            may_bootstrap: false,
            counts_for_quorum: true,
            view: 1,
            installed_view: 1,
            sealed: false,
            synced_index: 0,
            committed: None,
            durable_commit_index: Some(0),
            is_leaving: false,
            disk_healthy: true,
            links,
        }
    }

    /// Syncs all records that wait for the disk.
    pub fn sync(&mut self) {
        while !self.unsynced.is_empty() {
            for (batch, records) in std::mem::take(&mut self.unsynced) {
                self.synced.extend(records);
                self.handle(Event::Persisted { batch });
            }
        }
    }

    /// The number of sent messages that satisfy a predicate.
    pub fn count(&self, is_wanted: impl Fn(&Message) -> bool) -> usize {
        self.sent.iter().filter(|(_, message)| is_wanted(message)).count()
    }
}
