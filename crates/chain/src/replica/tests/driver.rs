//! One process with its disk and clock in the hands of a test: what it wants stored is on disk once the test says so, and what it
//! sends lies here.

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

/// How often the driver says that time has passed.
pub const TICK: Duration = Duration::from_millis(20);
/// Ticks until a process that hears nobody proposes a view, with room.
const MANY_TICKS: u32 = 500;

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

pub fn member(number: u8) -> MemberId {
    MemberId { address: address(number), disk: u64::from(number) }
}

/// A view of members 1 to `members`, all of them in the chain in that order.
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

/// Entry `index` of a history in which each version is its place.
pub fn entry(index: u64) -> Entry {
    let bytes: Vec<u8> = format!("configuration {index}").into_bytes();
    let header = EntryHeader { index, version: index, base: index - 1, digest: Digest::of(&bytes) };
    Entry { header, bytes: bytes.into() }
}

/// The records of the disk of member `disk` that holds view 1 with an empty history.
pub fn disk_of(disk: u64, members: u8) -> Vec<Vec<u8>> {
    let suffix = HistorySuffix::default();
    let records = [
        Record::Identity { disk, bootstrap_seeds: None },
        Record::Decided { view: view(1, members) },
        Record::Install { view: 1, suffix },
    ];
    records.iter().map(Record::encode).collect()
}

/// A request_id or call of another process.
pub const QUESTION: RequestId = RequestId { incarnation: 5, sequence: 1 };

/// A member of a view of three that serves, as it hears the other two.
pub fn serving(me: u8) -> Driver {
    let mut driver = Driver::start(me, disk_of(u64::from(me), 3), 3);
    let others: Vec<u8> = (1..=3).filter(|number| *number != me).collect();
    driver.run(3, &others);
    assert!(driver.replica.status().is_serving);
    driver.sent.clear();
    driver
}

/// A change for the head.
pub fn submit(version: u64, base: u64) -> Message {
    let bytes: Vec<u8> = format!("configuration {version}").into_bytes();
    Message::Submit {
        request_id: QUESTION,
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

/// One process and what it wants done.
pub struct Driver {
    pub replica: Replica,
    pub synced: Vec<Vec<u8>>,
    pub unsynced: Vec<(BatchId, Vec<Vec<u8>>)>,
    pub sent: Vec<(SocketAddr, Message)>,
    pub answers: Vec<OperatorResponse>,
    pub now: Duration,
    me: u8,
    members: u8,
}

impl Driver {
    /// Starts member `me` from these records, ready to be told something.
    pub fn start(me: u8, synced: Vec<Vec<u8>>, members: u8) -> Driver {
        let settings = ReplicaSettings::new(address(me), Vec::new(), false, 1, 7);
        let mut out = Vec::new();
        let replica = Replica::recover(settings, &synced, Duration::ZERO, &mut out).expect("readable");
        let (sent, unsynced, answers) = (Vec::new(), Vec::new(), Vec::new());
        let mut driver =
            Driver { replica, synced, unsynced, sent, answers, now: Duration::ZERO, me, members };
        driver.carry_out(out);
        driver.handle(Event::Tick);
        driver
    }

    pub fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.replica.handle(self.now, event, &mut out);
        self.carry_out(out);
    }

    /// A message of another process.
    pub fn receive(&mut self, from: u8, message: Message) {
        self.handle(Event::Message { from: address(from), message });
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.sent.push((to, message)),
                Action::Persist { batch, records } => self.unsynced.push((batch, records)),
                Action::Respond { response, .. } => self.answers.push(response),
                _ => {}
            }
        }
    }

    /// Lets time pass with heartbeats of these processes.
    pub fn run(&mut self, ticks: u32, beating: &[u8]) {
        for _ in 0..ticks {
            self.now += TICK;
            for number in beating {
                self.receive(*number, Message::Heartbeat(self.heartbeat_of(*number, beating)));
            }
            self.handle(Event::Tick);
        }
    }

    /// Lets time pass while all others but one beat, until records wait for the disk.
    pub fn until_it_proposes(&mut self, silent: u8) {
        let beating: Vec<u8> =
            (1..=self.members).filter(|number| *number != self.me && *number != silent).collect();
        for _ in 0..MANY_TICKS {
            if !self.unsynced.is_empty() {
                return;
            }
            self.run(1, &beating);
        }
        panic!("no proposal");
    }

    /// The heartbeat of a process that hears this one and these.
    pub fn heartbeat_of(&self, number: u8, beating: &[u8]) -> Heartbeat {
        let others = beating.iter().copied().chain([self.me]).filter(|other| *other != number);
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

    /// The disk has what it was given.
    pub fn sync(&mut self) {
        while !self.unsynced.is_empty() {
            for (batch, records) in std::mem::take(&mut self.unsynced) {
                self.synced.extend(records);
                self.handle(Event::Persisted { batch });
            }
        }
    }

    /// How many messages of a kind were sent.
    pub fn count(&self, is_wanted: impl Fn(&Message) -> bool) -> usize {
        self.sent.iter().filter(|(_, message)| is_wanted(message)).count()
    }
}
