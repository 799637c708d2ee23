//! Tests of decoding records: one of each kind, from literal bytes.

use super::*;
use crate::wire::frame::{Batch, RECORD_SIZE, read_batch};
use lugwharf_sidecar::api::RequestId;
use std::time::Duration;

/// A frame with this tail and one record, whose first bytes are `start`.
fn batch(start: &[u8], tail: &[u8]) -> Batch {
    let mut body = vec![0; RECORD_SIZE];
    body[..start.len()].copy_from_slice(start);
    body.extend_from_slice(tail);
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    // 1500.25 ms, and one record.
    frame.extend_from_slice(&[0, 0, 0, 0, 0, 0x71, 0x97, 0x40, 1, 0, 0, 0]);
    frame.extend_from_slice(&body);
    read_batch(&mut &frame[..]).expect("cannot read the frame").expect("the input has no frame")
}

/// Returns the only record of a batch.
fn single_record<'a>(batch: &'a Batch) -> Record<'a> {
    assert_eq!(batch.now, Duration::from_micros(1_500_250));
    let mut records = batch.records();
    let record = records.next().expect("the frame has no record").expect("cannot decode the record");
    assert!(records.next().is_none());
    record
}

/// 30 and 900 as 64-bit floats.
const THIRTY: [u8; 8] = [0, 0, 0, 0, 0, 0, 0x3e, 0x40];
const NINE_HUNDRED: [u8; 8] = [0, 0, 0, 0, 0, 0x20, 0x8c, 0x40];

#[test]
fn records_without_a_tail_are_decoded_from_literal_bytes() {
    let instance = 0x0403_0201;
    let (id, server) = (RequestId(0x0908_0706), ServerId(0x0b0a_0908_0706));
    let event = |event| Record::Event { instance, event };
    let cases: Vec<(u8, Vec<u8>, Record)> = vec![
        (0, vec![1, 2, 3, 4, 5, 6, 7, 8], event(Event::Timer(TimerId(0x0807_0605_0403_0201)))),
        (1, vec![6, 7, 8, 9], event(Event::ClientDisconnected(id))),
        (5, vec![], Record::Kill { instance }),
        (7, vec![1, 2, 3], Record::Ignored),
        (11, vec![], Record::Unknown(11)),
        (
            8,
            vec![0, 0, 0, 0, 0, 3, 0, 0, 0],
            Record::Discovery { instance, update: DiscoveryUpdate::List { kind: ListKind::Full, number: 3 } },
        ),
        (
            8,
            vec![1, 0, 0, 0, 0, 4, 0, 0, 0],
            Record::Discovery {
                instance,
                update: DiscoveryUpdate::List { kind: ListKind::Delta, number: 4 },
            },
        ),
        (8, vec![2], Record::Discovery { instance, update: DiscoveryUpdate::Failed }),
        (
            8,
            vec![3],
            Record::Discovery {
                instance,
                update: DiscoveryUpdate::List { kind: ListKind::Cached, number: 0 },
            },
        ),
        (
            9,
            [vec![6, 7, 8, 9, 2, 0, 0, 0, 0, 0, 0], THIRTY.to_vec()].concat(),
            event(Event::StreamStarted { id, attempt: 2, elapsed: Duration::from_millis(30) }),
        ),
        (
            6,
            [vec![6, 7, 8, 9, 10, 11, 4, 0, 0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0x20, 0x40, 0, 0, 0x80, 0x3f]]
                .concat(),
            Record::ProbeCompleted {
                instance,
                server,
                outcome: Outcome::Timeout,
                load_values: vec![2.5, 1.0],
            },
        ),
    ];
    for (code, rest, expected) in cases {
        let batch = batch(&[vec![code, 1, 2, 3, 4], rest].concat(), &[]);
        assert_eq!(single_record(&batch), expected, "code {code}");
    }
}

#[test]
fn a_request_has_its_cost_and_origin_in_two_bits() {
    for (attributes, cost, origin) in [
        (0, None, Origin::Fresh),
        (1, Some(Duration::from_millis(30)), Origin::Fresh),
        (2, None, Origin::ClientRetry),
        (3, Some(Duration::from_millis(30)), Origin::ClientRetry),
        (4, None, Origin::Fresh),
    ] {
        let mut bytes = vec![10, 5, 0, 0, 0, 6, 7, 8, 9];
        bytes.extend(THIRTY);
        bytes.resize(25, 0xff);
        bytes.extend(NINE_HUNDRED);
        bytes.extend([0xff; 4]);
        bytes.extend([3, attributes, 0]);
        let (id, client_timeout) = (RequestId(0x0908_0706), Duration::from_millis(900));
        let arrival = Arrival { id, class: 3, cost, client_timeout, origin };
        assert_eq!(
            single_record(&batch(&bytes, &[])),
            Record::Event { instance: 5, event: Event::Request(arrival) }
        );
    }
}

#[test]
fn an_outcome_has_its_code_and_the_status_of_the_request() {
    let all = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];
    for (code, outcome) in (1..).zip(all) {
        for (status_code, request_status) in
            [(0, RequestStatus::AwaitingAnswer), (1, RequestStatus::Finished)]
        {
            let mut bytes = vec![4, 5, 0, 0, 0, 6, 7, 8, 9, 2, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, code, 0];
            bytes.extend(THIRTY);
            bytes.push(status_code);
            let (id, elapsed) = (RequestId(0x0908_0706), Duration::from_millis(30));
            let event = Event::Outcome { id, attempt: 2, outcome, elapsed, request_status };
            assert_eq!(single_record(&batch(&bytes, &[])), Record::Event { instance: 5, event });
        }
    }
}

#[test]
fn a_start_and_a_list_refer_to_the_tail() {
    let bytes = [2, 5, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, 1, 0, 0, 0, 6, 0, 0, 0];
    let start = batch(&bytes, b"-zone=0-");
    assert_eq!(
        single_record(&start),
        Record::Start { instance: 5, seed: 0x0807_0605_0403_0201, settings: "zone=0" }
    );
    let entry_bytes = |availability: u8| {
        let mut entry = vec![availability, 1, 2, 3, 4, 5, 6, 7, 8, 0, 0, 0x20, 0x40, 9, 10, 11];
        entry.extend(if availability == 2 { [0; 8] } else { THIRTY });
        entry
    };
    let list = batch(
        &[3, 15, 0, 0, 0, 2, 0, 0, 0, 3],
        &[b"--".to_vec(), entry_bytes(0), entry_bytes(1), entry_bytes(2)].concat(),
    );
    let server_entry = |availability, started_at| ServerEntry {
        server: ServerId(0x0605_0403_0201),
        availability,
        cell: 0x0807,
        zone: 0x0a09,
        machine_type: 11,
        weight: 2.5,
        started_at,
    };
    let started_at = Some(Duration::from_millis(30));
    let entries = vec![
        server_entry(Availability::Gone, started_at),
        server_entry(Availability::Ready, started_at),
        server_entry(Availability::Draining, None),
    ];
    assert_eq!(single_record(&list), Record::DeclareList { number: 15, entries });
}
