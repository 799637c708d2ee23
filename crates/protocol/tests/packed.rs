//! Tests of packed server deltas: they survive a round trip, are compact, and malformed ones are rejected
//! without a panic.

use lugwharf_protocol::{
    ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition, decode, encode,
};
use rstest::rstest;
use std::net::SocketAddr;

/// The size of the length prefix of a frame in bytes.
const LENGTH_BYTES: usize = 4;

fn entry(number: u16) -> ServerEntry {
    let [high, low] = number.to_be_bytes();
    ServerEntry {
        id: format!("i-{number:08x}"),
        service: format!("service-{}", number % 2),
        address: SocketAddr::from(([10, 1, high, low], 8080)),
        zone: format!("some-zone-{}", number % 3),
        slots: 64,
        state: if number.is_multiple_of(5) { ServerState::Draining } else { ServerState::Ready },
        warmup_remaining_ms: u64::from(number % 7),
        stage: [None, Some(Stage::Prefill), Some(Stage::Decode)][usize::from(number % 3)],
        models: (0..number % 3).map(|model| ModelEntry { name: format!("m{model}"), version: 4 }).collect(),
    }
}

fn delta(servers: u16) -> ServerDelta {
    ServerDelta {
        position: TablePosition { epoch: 117_440_513, sequence: 9 },
        is_full: true,
        base: None,
        entries: (0..servers).map(entry).collect(),
        removed: vec!["i-gone".to_owned()],
    }
}

#[rstest]
#[case::nothing(0)]
#[case::one(1)]
#[case::many(60)]
fn a_delta_survives_a_round_trip(#[case] servers: u16) {
    let frame = encode(&delta(servers)).expect("encoded");
    assert_eq!(decode::<ServerDelta>(&frame[LENGTH_BYTES..]).expect("decoded"), delta(servers));
}

/// After a restart of the whole system each front-end node pulls the full list. With 3,000 servers and 300
/// nodes, the network links of a small control plane must be able to transfer this within one second.
#[test]
fn an_entry_of_a_long_list_takes_at_most_50_bytes() {
    let servers = 3_000;
    let bytes = encode(&delta(servers)).expect("encoded").len();
    assert!(bytes <= usize::from(servers) * 50, "{} bytes per entry", bytes / usize::from(servers));
}

#[test]
fn a_truncated_delta_is_rejected_and_a_changed_one_never_panics() {
    let frame = encode(&delta(8)).expect("encoded");
    let body = &frame[LENGTH_BYTES..];
    for length in 0..body.len() {
        assert!(decode::<ServerDelta>(&body[..length]).is_err(), "{length}");
    }
    for offset in 0..body.len() {
        for mask in [0x01, 0x17, 0x80, 0xff] {
            let mut changed = body.to_vec();
            changed[offset] ^= mask;
            drop(decode::<ServerDelta>(&changed));
        }
    }
}
