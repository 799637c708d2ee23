//! Pins the encoding of every message byte for byte, since processes of two versions communicate with each
//! other during an upgrade.
//!
//! The bytes were captured from the encoder of commit 1a8c4db and must not change.

use lugwharf_protocol::{
    AgentRequest, ConfigRecord, ControlReply, FeedMessage, FleetSummary, ModelEntry, ProxyReport,
    ServerDelta, ServerEntry, ServerState, ServiceLoad, Stage, TablePosition, Update, VersionVector, decode,
    encode,
};
use rstest::rstest;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::{Debug, Write};
use std::net::SocketAddr;

/// The size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

fn unhex(text: &str) -> Vec<u8> {
    let byte_at = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte_at).collect()
}

/// Asserts that `value` is encoded as `frame`, and that `frame` is decoded to `value` and re-encoded to the
/// same bytes.
fn assert_encoded<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, frame: &str) {
    assert_eq!(hex(&encode(value).expect("encoded")), frame, "{value:?}");
    let bytes = unhex(frame);
    let read: T = decode(&bytes[LENGTH_BYTES..]).expect("decoded");
    assert_eq!(&read, value);
    assert_eq!(hex(&encode(&read).expect("encoded again")), frame);
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn position() -> TablePosition {
    TablePosition { epoch: 117_440_513, sequence: 9 }
}

fn vector() -> VersionVector {
    VersionVector { config: 300, servers: position(), live_proxies: 24 }
}

fn loads() -> Vec<ServiceLoad> {
    vec![
        ServiceLoad { service: "chat".to_owned(), prefill: 3, decode: 70_000 },
        ServiceLoad { service: "board".to_owned(), prefill: 0, decode: 0 },
    ]
}

fn config() -> ConfigRecord {
    ConfigRecord { version: 300, bytes: vec![b'{', 0, 255, b'}'] }
}

fn model(name: &str, version: u64) -> ModelEntry {
    ModelEntry { name: name.to_owned(), version }
}

fn entry(id: &str, state: ServerState, stage: Option<Stage>, models: Vec<ModelEntry>) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "chat".to_owned(),
        address: address("10.1.2.3:8080"),
        zone: "a".to_owned(),
        slots: 64,
        state,
        warmup_remaining_ms: 1_500,
        stage,
        models,
    }
}

/// Returns entries with every combination of state and stage, shared and distinct sets of models, two
/// services, two zones, and IPv4 and IPv6 addresses.
fn entries() -> Vec<ServerEntry> {
    let two = || vec![model("m", 4), model("n", 5)];
    let mut entries = vec![
        entry("i-1", ServerState::Ready, None, Vec::new()),
        entry("i-2", ServerState::Ready, Some(Stage::Prefill), two()),
        entry("i-3", ServerState::Ready, Some(Stage::Decode), two()),
        entry("i-4", ServerState::Draining, None, vec![model("m", 4)]),
        entry("i-5", ServerState::Draining, Some(Stage::Prefill), Vec::new()),
        entry("i-6", ServerState::Draining, Some(Stage::Decode), vec![model("m", 4)]),
    ];
    entries[3].address = address("[2001:db8::1]:443");
    entries[4].service = "board".to_owned();
    entries[4].warmup_remaining_ms = 0;
    entries[5].zone = "b".to_owned();
    entries
}

fn delta() -> ServerDelta {
    let removed = vec!["i-7".to_owned(), "i-8".to_owned()];
    ServerDelta {
        position: position(),
        is_full: false,
        base: None,
        entries: entries()[1..2].to_vec(),
        removed,
    }
}

fn full_list() -> ServerDelta {
    ServerDelta { position: position(), is_full: true, base: None, entries: entries(), removed: Vec::new() }
}

fn fleet() -> FleetSummary {
    FleetSummary { live_proxies: 24 }
}

fn full_update() -> Update {
    Update { vector: vector(), config: Some(config()), servers: Some(delta()), fleet: Some(fleet()) }
}

#[rstest]
#[case::pull_of_nothing(AgentRequest::Pull { node: String::new(), incarnation: 0, have: VersionVector::default(), wait_ms: 0, loads: Vec::new() }, "00000060a16450756c6ca5646e6f6465606b696e6361726e6174696f6e006468617665a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730067776169745f6d7300656c6f61647380")]
#[case::pull(AgentRequest::Pull { node: "front-a-1".to_owned(), incarnation: 1_765_000_000_000_000, have: vector(), wait_ms: 500, loads: loads() }, "000000bda16450756c6ca5646e6f64656966726f6e742d612d316b696e6361726e6174696f6e1b00064542160750006468617665a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f78696573181867776169745f6d731901f4656c6f61647382a3677365727669636564636861746770726566696c6c03666465636f64651a00011170a3677365727669636565626f6172646770726566696c6c00666465636f646500")]
#[case::announce_nobody(AgentRequest::Announce { control: Vec::new() }, "00000014a168416e6e6f756e6365a167636f6e74726f6c80")]
#[case::announce(AgentRequest::Announce { control: vec![address("10.1.0.1:7721"), address("[::1]:7721")] }, "0000003aa168416e6e6f756e6365a167636f6e74726f6c82a162563482840a010001191e29a1625636829000000000000000000000000000000001191e29")]
fn agent_request(#[case] message: AgentRequest, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

#[rstest]
#[case::without_quorum(ControlReply::Update { has_quorum: false, control: Vec::new(), update: Update::default() }, "00000074a166557064617465a368696e5f746f756368f467636f6e74726f6c8066757064617465a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273f665666c656574f6")]
#[case::with_quorum(ControlReply::Update { has_quorum: true, control: vec![address("10.1.0.1:7721"), address("[::1]:7721")], update: full_update() }, "00000158a166557064617465a368696e5f746f756368f567636f6e74726f6c82a162563482840a010001191e29a1625636829000000000000000000000000000000001191e2966757064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f78696573181866636f6e666967a26776657273696f6e19012c656279746573447b00ff7d6773657276657273a668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f4656e616d65738264636861746161666d6f64656c738182a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0564726f7773818963692d3200a162563482840a010203191f90011840f51905dcf5006772656d6f7665648263692d3763692d3865666c656574a16c6c6976655f70726f786965731818")]
fn control_reply(#[case] message: ControlReply, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

#[rstest]
#[case::nothing(
    Update::default(),
    "00000051a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273f665666c656574f6"
)]
#[case::config(Update { config: Some(config()), ..Update::default() }, "00000067a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967a26776657273696f6e19012c656279746573447b00ff7d6773657276657273f665666c656574f6")]
#[case::servers(Update { servers: Some(full_list()), ..Update::default() }, "0000018ea466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273a668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f5656e616d6573846463686174616165626f6172646162666d6f64656c73838082a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0581a2646e616d65616d6776657273696f6e0464726f7773868963692d3100a162563482840a010203191f90011840f51905dcf6008963692d3200a162563482840a010203191f90011840f51905dcf5018963692d3300a162563482840a010203191f90011840f51905dcf4018963692d3400a162563682901820010d18b80000000000000000000000011901bb011840f41905dcf6028963692d3502a162563482840a010203191f90011840f400f5008963692d3600a162563482840a010203191f90031840f41905dcf4026772656d6f7665648065666c656574f6")]
#[case::fleet(Update { fleet: Some(fleet()), ..Update::default() }, "00000060a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273f665666c656574a16c6c6976655f70726f786965731818")]
#[case::all(
    full_update(),
    "0000010fa466766563746f72a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f78696573181866636f6e666967a26776657273696f6e19012c656279746573447b00ff7d6773657276657273a668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f4656e616d65738264636861746161666d6f64656c738182a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0564726f7773818963692d3200a162563482840a010203191f90011840f51905dcf5006772656d6f7665648263692d3763692d3865666c656574a16c6c6976655f70726f786965731818"
)]
fn update(#[case] message: Update, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

#[rstest]
#[case::nothing(
    FeedMessage::Update(Update::default()),
    "00000059a166557064617465a466766563746f72a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f786965730066636f6e666967f66773657276657273f665666c656574f6"
)]
#[case::all(
    FeedMessage::Update(full_update()),
    "00000117a166557064617465a466766563746f72a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f78696573181866636f6e666967a26776657273696f6e19012c656279746573447b00ff7d6773657276657273a668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f4656e616d65738264636861746161666d6f64656c738182a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0564726f7773818963692d3200a162563482840a010203191f90011840f51905dcf5006772656d6f7665648263692d3763692d3865666c656574a16c6c6976655f70726f786965731818"
)]
fn feed_message(#[case] message: FeedMessage, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

#[rstest]
#[case::nothing(ProxyReport { have: VersionVector::default(), loads: Vec::new() }, "0000003ea26468617665a366636f6e666967006773657276657273a26565706f6368006873657175656e6365006c6c6976655f70726f7869657300656c6f61647380")]
#[case::all(ProxyReport { have: vector(), loads: loads() }, "00000088a26468617665a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f786965731818656c6f61647382a3677365727669636564636861746770726566696c6c03666465636f64651a00011170a3677365727669636565626f6172646770726566696c6c00666465636f646500")]
fn proxy_report(#[case] message: ProxyReport, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

#[rstest]
#[case::nothing(
    ServerDelta::default(),
    "00000041a668706f736974696f6ea26565706f6368006873657175656e6365006577686f6c65f4656e616d657380666d6f64656c738064726f7773806772656d6f76656480"
)]
#[case::change(
    delta(),
    "00000093a668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f4656e616d65738264636861746161666d6f64656c738182a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0564726f7773818963692d3200a162563482840a010203191f90011840f51905dcf5006772656d6f7665648263692d3763692d38"
)]
#[case::change_with_its_base(
    ServerDelta { base: Some(TablePosition { epoch: 7, sequence: 8 }), ..delta() },
    "000000aaa768706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f46462617365a26565706f6368076873657175656e636508656e616d65738264636861746161666d6f64656c738182a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0564726f7773818963692d3200a162563482840a010203191f90011840f51905dcf5006772656d6f7665648263692d3763692d38"
)]
#[case::full_list(
    full_list(),
    "0000013ea668706f736974696f6ea26565706f63681a070000016873657175656e6365096577686f6c65f5656e616d6573846463686174616165626f6172646162666d6f64656c73838082a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e0581a2646e616d65616d6776657273696f6e0464726f7773868963692d3100a162563482840a010203191f90011840f51905dcf6008963692d3200a162563482840a010203191f90011840f51905dcf5018963692d3300a162563482840a010203191f90011840f51905dcf4018963692d3400a162563682901820010d18b80000000000000000000000011901bb011840f41905dcf6028963692d3502a162563482840a010203191f90011840f400f5008963692d3600a162563482840a010203191f90031840f41905dcf4026772656d6f76656480"
)]
fn server_delta(#[case] message: ServerDelta, #[case] frame: &str) {
    assert_encoded(&message, frame);
}

/// A single server entry is encoded as a map, as it may occur in records of the crate `distribution`. In a
/// server delta it is encoded as a row of a packed list.
#[rstest]
#[case::ready(
    entry("i-1", ServerState::Ready, None, Vec::new()),
    "00000064a962696463692d31677365727669636564636861746761646472657373a162563482840a010203191f90647a6f6e65616165736c6f747318406573746174656552656164796c636f6c645f6c6566745f6d731905dc657374616765f6666d6f64656c7380"
)]
#[case::ready_prefill(entry("i-2", ServerState::Ready, Some(Stage::Prefill), vec![model("m", 4), model("n", 5)]), "0000008da962696463692d32677365727669636564636861746761646472657373a162563482840a010203191f90647a6f6e65616165736c6f747318406573746174656552656164796c636f6c645f6c6566745f6d731905dc6573746167656750726566696c6c666d6f64656c7382a2646e616d65616d6776657273696f6e04a2646e616d65616e6776657273696f6e05")]
#[case::draining_decode(entry("i-3", ServerState::Draining, Some(Stage::Decode), vec![model("m", 4)]), "0000007ea962696463692d33677365727669636564636861746761646472657373a162563482840a010203191f90647a6f6e65616165736c6f7473184065737461746568447261696e696e676c636f6c645f6c6566745f6d731905dc657374616765664465636f6465666d6f64656c7381a2646e616d65616d6776657273696f6e04")]
fn server_entry(#[case] value: ServerEntry, #[case] frame: &str) {
    assert_encoded(&value, frame);
}

#[test]
fn parts_of_messages() {
    assert_encoded(&position(), "00000016a26565706f63681a070000016873657175656e636509");
    assert_encoded(
        &vector(),
        "00000038a366636f6e66696719012c6773657276657273a26565706f63681a070000016873657175656e6365096c6c6976655f70726f786965731818",
    );
    assert_encoded(
        &loads(),
        "0000004482a3677365727669636564636861746770726566696c6c03666465636f64651a00011170a3677365727669636565626f6172646770726566696c6c00666465636f646500",
    );
    assert_encoded(&config(), "00000017a26776657273696f6e19012c656279746573447b00ff7d");
    assert_encoded(&fleet(), "00000010a16c6c6976655f70726f786965731818");
    assert_encoded(&model("m", 4), "00000011a2646e616d65616d6776657273696f6e04");
    assert_encoded(&Stage::Prefill, "000000086750726566696c6c");
    assert_encoded(&Stage::Decode, "00000007664465636f6465");
    assert_encoded(&ServerState::Ready, "00000006655265616479");
    assert_encoded(&ServerState::Draining, "0000000968447261696e696e67");
}

/// Two forms that the current encoder does not produce: bytes as an array of integers, and an unknown field
/// of a later version.
#[test]
fn other_forms_of_a_configuration_are_read() {
    // {"version": 300, "bytes": [123, 0, 255, 125], "later": null}
    let body = unhex("a36776657273696f6e19012c65627974657384187b0018ff187d656c61746572f6");
    assert_eq!(decode::<ConfigRecord>(&body).expect("decoded"), config());
}

/// The input is {"version": 300}.
#[test]
fn a_configuration_without_its_bytes_is_rejected() {
    assert!(decode::<ConfigRecord>(&unhex("a16776657273696f6e19012c")).is_err());
}
