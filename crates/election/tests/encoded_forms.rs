//! Pins the encoding of messages and log records byte for byte to that of release 1a8c4db. The hex literals
//! were captured from its encoder and must not change, since processes of different releases communicate with
//! each other, and a new release reads the logs of an old one.

use lugwharf_election::{
    Action, BatchId, Elector, ElectorSettings, Event, FencingToken, LeaseHolder, Message, MessageBody, Role,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;

const REQUEST_ID: u64 = 9;
const TOKEN: FencingToken = FencingToken((3 << 24) + 1);
const VIEW: u64 = 3;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte_at = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("the text is not hexadecimal");
    (0..hex.len()).step_by(2).map(byte_at).collect()
}

fn encoded(message: &Message) -> String {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("cannot encode the message");
    hex(&bytes)
}

#[rstest]
#[case::pre_vote(Role::ListWatcher, MessageBody::PreVote { request_id: REQUEST_ID }, "a364726f6c656a4c69737452656164657264766965770364626f6479a16341736ba165726f756e6409")]
#[case::pre_vote_granted(Role::ListWatcher, MessageBody::PreVoteGranted { request_id: REQUEST_ID, highest_token: TOKEN }, "a364726f6c656a4c69737452656164657264766965770364626f6479a16757696c6c696e67a265726f756e640967686967686573741a03000001")]
#[case::request_vote(Role::ListWatcher, MessageBody::RequestVote { request_id: REQUEST_ID, token: TOKEN }, "a364726f6c656a4c69737452656164657264766965770364626f6479a165456c656374a265726f756e640965746f6b656e1a03000001")]
#[case::renew_lease(Role::ListWatcher, MessageBody::RenewLease { request_id: REQUEST_ID, token: TOKEN }, "a364726f6c656a4c69737452656164657264766965770364626f6479a16552656e6577a265726f756e640965746f6b656e1a03000001")]
#[case::vote_granted(Role::ListWatcher, MessageBody::VoteGranted { request_id: REQUEST_ID, token: TOKEN }, "a364726f6c656a4c69737452656164657264766965770364626f6479a164566f7465a265726f756e640965746f6b656e1a03000001")]
#[case::vote_denied(Role::ListWatcher, MessageBody::VoteDenied { request_id: REQUEST_ID, highest_token: TOKEN }, "a364726f6c656a4c69737452656164657264766965770364626f6479a166526566757365a265726f756e640967686967686573741a03000001")]
#[case::release_by_a_holder(Role::ListWatcher, MessageBody::ReleaseLease { token: TOKEN, was_holder: true }, "a364726f6c656a4c69737452656164657264766965770364626f6479a16752656c65617365a265746f6b656e1a030000016468656c64f5")]
#[case::release_by_a_candidate(Role::ListWatcher, MessageBody::ReleaseLease { token: TOKEN, was_holder: false }, "a364726f6c656a4c69737452656164657264766965770364626f6479a16752656c65617365a265746f6b656e1a030000016468656c64f4")]
#[case::stage_planner(Role::StagePlanner, MessageBody::RenewLease { request_id: u64::MAX, token: TOKEN }, "a364726f6c656b53746167654f726465727364766965770364626f6479a16552656e6577a265726f756e641bffffffffffffffff65746f6b656e1a03000001")]
fn a_message_has_the_captured_bytes(#[case] role: Role, #[case] body: MessageBody, #[case] captured: &str) {
    let message = Message { role, view: VIEW, body };
    assert_eq!(encoded(&message), captured);
    let decoded: Message =
        ciborium::from_reader(bytes(captured).as_slice()).expect("cannot decode the message");
    assert_eq!(decoded, message);
    assert_eq!(encoded(&decoded), captured);
}

/// Returns an elector that votes in a view of `members`, restored from the records of its log.
fn voter(role: Role, local_address: SocketAddr, members: Vec<SocketAddr>, records: &[Vec<u8>]) -> Elector {
    let settings = ElectorSettings {
        local_address,
        role,
        lease_duration: Duration::from_millis(1_000),
        renew_interval: Duration::from_millis(250),
        clock_drift_percent: 2,
        seed: 5,
    };
    let mut elector = Elector::recover(settings, records, Duration::ZERO);
    let view = Event::ViewInstalled { number: VIEW, members, is_voter: true };
    elector.handle(Duration::ZERO, view, &mut Vec::new());
    elector
}

/// Returns the record that a voter persists before it votes for `candidate`.
fn grant_record(role: Role, local_address: SocketAddr, candidate: SocketAddr) -> Vec<u8> {
    let mut elector = voter(role, local_address, vec![local_address, candidate], &[]);
    let body = MessageBody::RequestVote { request_id: REQUEST_ID, token: TOKEN };
    let message = Message { role, view: VIEW, body };
    let mut actions = Vec::new();
    elector.handle(Duration::from_secs(2), Event::Message { from: candidate, message }, &mut actions);
    let records = actions.iter().find_map(|action| match action {
        Action::Persist { batch: BatchId(1), records } => Some(records.clone()),
        _ => None,
    });
    let records = records.expect("no Persist action was emitted");
    assert_eq!(records.len(), 1);
    records[0].clone()
}

#[rstest]
#[case::ipv4(
    Role::ListWatcher,
    "10.0.0.1:7000",
    "10.0.0.2:7700",
    "a364726f6c656a4c69737452656164657265746f6b656e1a0300000166686f6c646572a162563482840a000002191e14"
)]
#[case::ipv6(
    Role::ListWatcher,
    "10.0.0.1:7000",
    "[2001:db8::7]:7700",
    "a364726f6c656a4c69737452656164657265746f6b656e1a0300000166686f6c646572a162563682901820010d18b8000000000000000000000007191e14"
)]
#[case::stage_planner(
    Role::StagePlanner,
    "10.0.0.1:7000",
    "10.0.0.2:65535",
    "a364726f6c656b53746167654f726465727365746f6b656e1a0300000166686f6c646572a162563482840a00000219ffff"
)]
fn a_grant_record_has_the_captured_bytes(
    #[case] role: Role, #[case] local_address: SocketAddr, #[case] holder: SocketAddr, #[case] captured: &str,
) {
    assert_eq!(hex(&grant_record(role, local_address, holder)), captured);
    let recovered = voter(role, local_address, vec![local_address, holder], &[bytes(captured)]);
    assert_eq!(recovered.granted_to(Duration::ZERO), Some(LeaseHolder { address: holder, token: TOKEN }));
    let reencoded: Vec<String> = recovered.snapshot_records().iter().map(|record| hex(record)).collect();
    assert_eq!(reencoded, [captured]);
}
