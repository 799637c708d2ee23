//! Tests that logs and messages of earlier versions, which identify changes by FNV-1a alone, are still
//! decoded. The hex strings were captured from the encoder of such a version.

use crate::digest::{Digest, Fnv};
use crate::entry::{Entry, EntryHeader};
use crate::heartbeat::Heartbeat;
use crate::history::History;
use crate::message::Message;
use crate::record::Record;
use rstest::rstest;
use serde::{Deserialize, Serialize};

/// Disk 7, with the bootstrap seed 10.0.0.1:7000.
const IDENTITY: &str = "a1684964656e74697479a2646469736b0768666f756e64696e6781a162563482840a000001191b58";
/// Version 10 based on 0 ("one"), 20 based on 10 ("two"), 30 based on 20 ("three").
const APPENDS: [&str; 3] = [
    "a166417070656e64a165656e747279a2646d61726ba465696e646578016776657273696f6e0a64626173650066646967657374821ba68d369a048b58221b836dbc796631923f656279746573436f6e65",
    "a166417070656e64a165656e747279a2646d61726ba465696e646578026776657273696f6e1464626173650a66646967657374821ba68d9d5edd8b58221b836dbc798fff24016562797465734374776f",
    "a166417070656e64a165656e747279a2646d61726ba465696e646578036776657273696f6e181e64626173651466646967657374821bc7a4c2350083d94f1b7081694153737d4b656279746573457468726565",
];
/// The history of view 4: the same three headers, with the bytes of the last two entries.
const INSTALL: &str = "a167496e7374616c6ca2647669657704687472616e73666572a365616674657200656d61726b7383a465696e646578016776657273696f6e0a64626173650066646967657374821ba68d369a048b58221b836dbc796631923fa465696e646578026776657273696f6e1464626173650a66646967657374821ba68d9d5edd8b58221b836dbc798fff2401a465696e646578036776657273696f6e181e64626173651466646967657374821bc7a4c2350083d94f1b7081694153737d4b66626f6469657382a265696e646578026562797465734374776fa265696e64657803656279746573457468726565";
/// Version 40 based on 30 ("four").
const SUBMIT: &str = "a1665375626d6974a56463616c6ca26b696e6361726e6174696f6e05667469636b6574066462617365181e6776657273696f6e182866646967657374821b696a39325d7572771bb806e974e023434565627974657344666f7572";
/// The same change as entry 4 in view 4.
const REPLICATE: &str = "a1695265706c6963617465a264766965770465656e747279a2646d61726ba465696e646578046776657273696f6e18286462617365181e66646967657374821b696a39325d7572771bb806e974e023434565627974657344666f7572";
const COMMITTED: &str = "a169436f6d6d6974746564a1646d61726ba465696e646578046776657273696f6e18286462617365181e66646967657374821b696a39325d7572771bb806e974e0234345";
const STATE_REQUEST: &str = "a16c537461746552657175657374a264766965770465616674657201";
const STATE: &str = "a1655374617465a2647669657704687472616e73666572a365616674657200656d61726b7383a465696e646578016776657273696f6e0a64626173650066646967657374821ba68d369a048b58221b836dbc796631923fa465696e646578026776657273696f6e1464626173650a66646967657374821ba68d9d5edd8b58221b836dbc798fff2401a465696e646578036776657273696f6e181e64626173651466646967657374821bc7a4c2350083d94f1b7081694153737d4b66626f6469657382a265696e646578026562797465734374776fa265696e64657803656279746573457468726565";
const HEARTBEAT: &str = "a169486561727462656174ab6673656e646572a26761646472657373a162563482840a000001191b58646469736b076b696e6361726e6174696f6e0567666f756e646572f571636f756e74735f666f725f71756f72756df564766965770469696e7374616c6c656404667365616c6564f46673796e6365640369636f6d6d6974746564a465696e646578036776657273696f6e181e64626173651466646967657374821bc7a4c2350083d94f1b7081694153737d4b696469736b5f77656c6cf5656c696e6b7381a26470656572a162563482840a000001191b586774776f5f776179f5";

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("the text is not hexadecimal");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn record(hex: &str) -> Record {
    Record::decode(&bytes(hex)).expect("cannot decode the record")
}

fn message(hex: &str) -> Message {
    ciborium::from_reader(bytes(hex).as_slice()).expect("cannot decode the message")
}

fn encode_and_decode<T: Serialize, U: for<'de> Deserialize<'de>>(value: &T) -> U {
    let mut encoded = Vec::new();
    ciborium::into_writer(value, &mut encoded).expect("cannot encode the value");
    ciborium::from_reader(encoded.as_slice()).expect("cannot decode the value")
}

/// The history that results from [`APPENDS`].
fn appended() -> History {
    let mut history = History::default();
    for hex in APPENDS {
        let Record::Append { entry } = record(hex) else { panic!("the record is not an Append") };
        assert!(history.append(entry));
    }
    history
}

/// The history that results from [`INSTALL`].
fn installed() -> History {
    let Record::Install { view: 4, suffix } = record(INSTALL) else { panic!("the record is not an Install") };
    let mut history = History::default();
    assert!(history.install(&suffix));
    history
}

#[test]
fn identity_of_earlier_version_is_decoded() {
    assert!(matches!(record(IDENTITY), Record::Identity { disk: 7, bootstrap_seeds: Some(_) }));
}

/// The BLAKE3 hash is added to digests whose bytes are retained. Without the bytes, a resent change is
/// recognised by its FNV-1a hash.
#[rstest]
#[case::appended(appended(), [true, true, true])]
#[case::installed(installed(), [false, true, true])]
fn log_of_earlier_version_is_decoded(#[case] history: History, #[case] has_blake3: [bool; 3]) {
    let known = |index: u64| {
        history.header(index).expect("the history does not retain the header").digest.blake3.is_some()
    };
    assert_eq!([1, 2, 3].map(known), has_blake3);
    for (version, text) in [(10, "one"), (20, "two"), (30, "three")] {
        assert!(history.find(version, version - 10, Digest::of(text.as_bytes())).is_some(), "{text}");
        assert!(history.find(version, version - 10, Digest::of(b"other")).is_none(), "{text}");
    }
}

#[test]
fn messages_of_earlier_version_are_decoded() {
    let Message::Submit { base: 30, version: 40, digest, bytes, .. } = message(SUBMIT) else {
        panic!("the message is not a Submit")
    };
    assert_eq!((digest, bytes.as_ref()), (Fnv::of(b"four"), &b"four"[..]));
    let Message::Replicate { view: 4, entry } = message(REPLICATE) else {
        panic!("the message is not a Replicate")
    };
    assert!(entry.header.digest.matches_bytes(b"four"));
    let Message::Committed { header } = message(COMMITTED) else { panic!("the message is not a Committed") };
    assert!(header.is_same(&entry.header));
    assert!(matches!(message(STATE_REQUEST), Message::StateRequest { view: 4, after: 1, .. }));
    let Message::State { view: 4, suffix } = message(STATE) else { panic!("the message is not a State") };
    assert_eq!((suffix.headers.len(), suffix.bodies.len()), (3, 2));
    let Message::Heartbeat(Heartbeat { committed: Some(header), .. }) = message(HEARTBEAT) else {
        panic!("the message is not a Heartbeat")
    };
    assert_eq!((header.index, header.version), (3, 30));
}

/// A header as the earlier version decodes it.
#[derive(Deserialize)]
struct EarlierEntryHeader {
    index: u64,
    version: u64,
    base: u64,
    digest: Fnv,
}

/// The fields of a heartbeat, as the earlier version decodes it, that this test checks.
#[derive(Deserialize)]
struct EarlierHeartbeat {
    committed: Option<EarlierEntryHeader>,
    synced: u64,
}

#[test]
fn earlier_version_decodes_this_encoding() {
    let header = EntryHeader { index: 3, version: 30, base: 20, digest: Digest::of(b"three") };
    let read: EarlierEntryHeader = encode_and_decode(&header);
    assert_eq!((read.index, read.version, read.base), (3, 30, 20));
    assert_eq!(read.digest, Fnv::of(b"three"));
    let Message::Heartbeat(heartbeat) = message(HEARTBEAT) else { panic!("the message is not a Heartbeat") };
    let read: EarlierHeartbeat = encode_and_decode(&Heartbeat { committed: Some(header), ..heartbeat });
    assert_eq!((read.synced, read.committed.map(|header| header.index)), (3, Some(3)));
}

/// A header from an earlier version has fewer hashes but identifies the same entry.
#[test]
fn commit_from_an_earlier_version_is_recognised() {
    let mut history = appended();
    let digest = Digest::of(b"four");
    let header = EntryHeader { index: 4, version: 40, base: 30, digest };
    assert!(history.append(Entry { header, bytes: b"four"[..].into() }));
    let Message::Committed { header } = message(COMMITTED) else { panic!("the message is not a Committed") };
    assert_eq!(header.digest.blake3, None);
    assert!(history.contains(&header));
    assert!(!history.contains(&EntryHeader { base: 20, ..header }));
}
