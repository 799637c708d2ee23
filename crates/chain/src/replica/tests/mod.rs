//! Tests of a single replica with a controlled disk, clock and set of peers. `docs/design/guards-chain.md`
//! lists the guard that each test covers.

mod driver;
mod learner;
mod read_only;
mod replication;
mod requests;
mod sealing;
mod state_transfer;
mod stored_entries;
mod voting;

use crate::digest::{Blake3, Digest};
use crate::entry::EntryHeader;
use crate::history_stream::{AssemblyProgress, ChunkRequest, HistoryStream, StreamAssembly};
use crate::member::MemberId;
use crate::paxos::{AcceptedComparison, AcceptedProposal, Acceptor, ProposalNumber};
use crate::record::Record;
use crate::request::RequestOutcome;
use crate::view::View;
use crate::{
    EntryBody, Event, Heartbeat, HistorySuffix, Message, OperatorRequestId, OperatorResponse, Replica,
    ReplicaSettings, RequestId,
};
use driver::{Driver, REQUEST_ID, address, disk_of, entry, is_outcome, member, serving, submit, view};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const PROPOSAL: ProposalNumber = ProposalNumber { round: 9, proposer: PROPOSER };
const PROPOSER: MemberId = MemberId {
    address: std::net::SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 3)), 7000),
    disk: 3,
};
/// More ticks than the longest timeout of the settings takes.
const MANY_TICKS: u32 = 100;

fn prepare() -> Message {
    Message::Prepare { instance: 2, proposal: PROPOSAL }
}

fn replicate(index: u64) -> Message {
    Message::Replicate { view: 1, entry: entry(index) }
}

fn is_promise(message: &Message) -> bool {
    matches!(message, Message::Promise { .. })
}

fn is_confirmed(message: &Message) -> bool {
    matches!(message, Message::Confirmed { .. })
}

fn is_replicated(message: &Message) -> bool {
    matches!(message, Message::Replicated { .. })
}

/// Starts a member of a view whose other replicas do not hold the history yet.
fn not_serving(number: u8) -> Driver {
    let mut driver = Driver::start(number, disk_of(u64::from(number), 3), 3);
    let others: Vec<u8> = (1..=3).filter(|other| *other != number).collect();
    for other in &others {
        let heartbeat = Heartbeat { installed_view: 0, ..driver.heartbeat_of(*other, &others) };
        driver.receive(*other, Message::Heartbeat(heartbeat));
    }
    assert!(!driver.replica.status().is_serving);
    driver
}

/// The history of entries 1 and 2.
fn history() -> HistorySuffix {
    let bodies = (1..=2).map(|index| EntryBody { index, bytes: entry(index).bytes }).collect();
    HistorySuffix { after: 0, headers: vec![entry(1).header, entry(2).header], bodies }
}
