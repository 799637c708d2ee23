//! Tests that messages between control processes, and the owner tag of log records, are encoded to the same
//! bytes as in the version from which the literals were captured. Processes of several versions run side by
//! side during an upgrade, so the bytes must not change.

use crate::message::{PeerMessage, TablesMessage};
use crate::record_owner::RecordOwner;
use lugwharf_chain::Message as ChainMessage;
use lugwharf_election::{Message as ElectionMessage, MessageBody, Role};
use lugwharf_protocol::{
    ConfigRecord, FleetSummary, ModelEntry, ServerDelta, ServerEntry, ServerState, ServiceLoad, Stage,
    TablePosition, Update, VersionVector, decode, encode,
};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// The size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;

pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

pub fn from_hex(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("the text is not hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Asserts that the value encodes to these bytes, and that the value decoded from them encodes to the same
/// bytes again.
pub fn assert_bytes<T: Serialize + DeserializeOwned>(value: &T, hex: &str) {
    assert_eq!(to_hex(&encode(value).expect("cannot encode the value")[LENGTH_BYTES..]), hex);
    let decoded: T = decode(&from_hex(hex)).expect("cannot decode the value");
    assert_eq!(to_hex(&encode(&decoded).expect("cannot encode the value")[LENGTH_BYTES..]), hex);
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_700))
}

fn vector() -> VersionVector {
    VersionVector { config: 300, servers: TablePosition { epoch: 7, sequence: 70_000 }, live_proxies: 12 }
}

fn have(is_platform_reachable: bool, processes: Vec<SocketAddr>) -> TablesMessage {
    let loads = vec![ServiceLoad { service: "model".to_owned(), prefill: 2, decode: 500 }];
    TablesMessage::Report {
        vector: vector(),
        front_count: 4,
        loads,
        is_platform_reachable,
        processes,
        list_digest: None,
    }
}

fn have_with_digest() -> TablesMessage {
    let mut message = have(true, Vec::new());
    if let TablesMessage::Report { list_digest, .. } = &mut message {
        *list_digest = Some(0x0123_4567_89ab_cdef);
    }
    message
}

fn servers() -> ServerDelta {
    let entry = ServerEntry {
        id: "i-1".to_owned(),
        service: "model".to_owned(),
        address: address(9),
        zone: "zone-a".to_owned(),
        slots: 16,
        state: ServerState::Ready,
        warmup_remaining_ms: 1_500,
        stage: Some(Stage::Prefill),
        models: vec![ModelEntry { name: "base".to_owned(), version: 3 }],
    };
    let other = ServerEntry {
        id: "i-2".to_owned(),
        state: ServerState::Draining,
        stage: None,
        models: Vec::new(),
        ..entry.clone()
    };
    ServerDelta {
        position: TablePosition { epoch: 7, sequence: 70_001 },
        is_full: false,
        base: None,
        entries: vec![entry, other],
        removed: vec!["i-3".to_owned()],
    }
}

fn update(config: bool, servers_: bool, fleet: bool) -> TablesMessage {
    TablesMessage::Update(Update {
        vector: vector(),
        config: config.then(|| ConfigRecord { version: 300, bytes: b"{}".to_vec() }),
        servers: servers_.then(servers),
        fleet: fleet.then_some(FleetSummary { live_proxies: 12 }),
    })
}

#[rstest]
#[case::have(have(false, vec![address(1), address(2)]), "a16448617665a566766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f46970726f63657373657382a162563482840a000001191e14a162563482840a000002191e14")]
#[case::have_with_the_platform_reachable(have(true, vec![address(1)]), "a16448617665a566766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f56970726f63657373657381a162563482840a000001191e14")]
#[case::have_of_a_learner(
    have(true, Vec::new()),
    "a16448617665a566766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f56970726f63657373657380"
)]
#[case::have_with_a_digest(
    have_with_digest(),
    "a16448617665a666766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f56970726f63657373657380666469676573741b0123456789abcdef"
)]
#[case::update_of_everything(
    update(true, true, true),
    "a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967a26776657273696f6e19012c656279746573427b7d6773657276657273a668706f736974696f6ea26565706f6368076873657175656e63651a000111716577686f6c65f4656e616d657382656d6f64656c667a6f6e652d61666d6f64656c738281a2646e616d6564626173656776657273696f6e038064726f7773828963692d3100a162563482840a000009191e140110f51905dcf5008963692d3200a162563482840a000009191e140110f41905dcf6016772656d6f7665648163692d3365666c656574a16c6c6976655f70726f786965730c"
)]
#[case::update_of_the_configuration(
    update(true, false, false),
    "a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967a26776657273696f6e19012c656279746573427b7d6773657276657273f665666c656574f6"
)]
#[case::update_of_the_servers(
    update(false, true, false),
    "a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967f66773657276657273a668706f736974696f6ea26565706f6368076873657175656e63651a000111716577686f6c65f4656e616d657382656d6f64656c667a6f6e652d61666d6f64656c738281a2646e616d6564626173656776657273696f6e038064726f7773828963692d3100a162563482840a000009191e140110f51905dcf5008963692d3200a162563482840a000009191e140110f41905dcf6016772656d6f7665648163692d3365666c656574f6"
)]
#[case::update_of_the_fleet(
    update(false, false, true),
    "a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967f66773657276657273f665666c656574a16c6c6976655f70726f786965730c"
)]
#[case::update_of_nothing(
    update(false, false, false),
    "a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967f66773657276657273f665666c656574f6"
)]
fn tables_message_is_encoded_as_captured(#[case] message: TablesMessage, #[case] hex: &str) {
    assert_bytes(&message, hex);
}

/// Earlier versions send neither `reaches` nor `processes`: the platform then counts as reachable, and the
/// list of processes is empty. The decoded message is encoded in the present form.
#[rstest]
#[case::neither(
    "a16448617665a366766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f4",
    true,
    0
)]
#[case::without_processes(
    "a16448617665a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f4",
    false,
    0
)]
#[case::without_reaches(
    "a16448617665a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46970726f63657373657381a162563482840a000001191e14",
    true,
    1
)]
fn have_of_an_earlier_version_is_decoded_with_defaults(
    #[case] hex: &str, #[case] is_reachable: bool, #[case] process_count: usize,
) {
    let decoded: TablesMessage = decode(&from_hex(hex)).expect("cannot decode the value");
    let processes = [address(1)].into_iter().take(process_count).collect();
    let current = have(is_reachable, processes);
    assert_eq!(
        to_hex(&encode(&decoded).expect("cannot encode the value")),
        to_hex(&encode(&current).expect("cannot encode the value"))
    );
}

fn chain_message() -> PeerMessage {
    PeerMessage::Chain(ChainMessage::ViewRequest { above: 4 })
}

fn election_message() -> PeerMessage {
    let body = MessageBody::PreVote { request_id: 9 };
    PeerMessage::Election(ElectionMessage { role: Role::ListWatcher, view: 4, body })
}

#[rstest]
#[case::chain(chain_message(), "a165436861696ea16b5669657752657175657374a16561626f766504")]
#[case::election(
    election_message(),
    "a168456c656374696f6ea364726f6c656a4c69737452656164657264766965770464626f6479a16341736ba165726f756e6409"
)]
#[case::tables_have(PeerMessage::Tables(have(true, vec![address(1)])), "a1665461626c6573a16448617665a566766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c6666726f6e747304656c6f61647381a36773657276696365656d6f64656c6770726566696c6c02666465636f64651901f46772656163686573f56970726f63657373657381a162563482840a000001191e14")]
#[case::tables_update(
    PeerMessage::Tables(update(false, true, false)),
    "a1665461626c6573a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f6368076873657175656e63651a000111706c6c6976655f70726f786965730c66636f6e666967f66773657276657273a668706f736974696f6ea26565706f6368076873657175656e63651a000111716577686f6c65f4656e616d657382656d6f64656c667a6f6e652d61666d6f64656c738281a2646e616d6564626173656776657273696f6e038064726f7773828963692d3100a162563482840a000009191e140110f51905dcf5008963692d3200a162563482840a000009191e140110f41905dcf6016772656d6f7665648163692d3365666c656574f6"
)]
fn peer_body_is_encoded_as_captured(#[case] body: PeerMessage, #[case] hex: &str) {
    assert_bytes(&body, hex);
}

#[rstest]
#[case::chain(RecordOwner::Chain, "01aabb")]
#[case::election(RecordOwner::Election, "02aabb")]
fn first_byte_of_a_record_identifies_its_owner(#[case] owner: RecordOwner, #[case] hex: &str) {
    let record = owner.tag_record(vec![0xaa, 0xbb]);
    assert_eq!(to_hex(&record), hex);
    let other = match owner {
        RecordOwner::Chain => RecordOwner::Election,
        RecordOwner::Election => RecordOwner::Chain,
    };
    let all = [from_hex(hex), other.tag_record(vec![0xcc]), vec![0, 0xdd], vec![3, 0xdd], Vec::new()];
    assert_eq!(owner.untagged_records(&all), [vec![0xaa, 0xbb]]);
}
