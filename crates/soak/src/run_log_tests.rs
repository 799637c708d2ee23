//! Tests of the text of `ledger.txt`.

use crate::operator_log::{ConfigRead, ConfigWrite, OperatorLog};
use crate::run_log;
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, ClientRequest, RequestKind};
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::request_log::{Arrival, ReceivedOrder, RequestLog};
use lugwharf_emulator::wire::{Headers, Response};
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn operator_log() -> OperatorLog {
    let log = OperatorLog::default();
    let write = ConfigWrite {
        version: 2,
        base: 1,
        bytes: Vec::new().into(),
        is_valid: true,
        started_at: ms(5),
        ended_at: ms(6),
        outcome: CallOutcome::Refused(Response::new(409)),
        is_resend: false,
    };
    log.record_write(ConfigWrite { version: 3, outcome: CallOutcome::Unknown, ..write.clone() });
    log.record_write(write);
    let from = SocketAddr::from(([127, 0, 0, 9], 80));
    let read = ConfigRead { from, reached: from, started_at: ms(7), ended_at: ms(8), bytes: None };
    log.record_read(ConfigRead { bytes: Some(br#"{"Version":2}"#.to_vec()), ..read.clone() });
    log.record_read(read);
    log
}

fn request_log() -> RequestLog {
    let log = RequestLog::new();
    log.record_arrival(Arrival {
        at: ms(11),
        instance: "i-1-1".to_owned(),
        service: "board".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 9], 80)),
        request_id: None,
        method: "GET".to_owned(),
        target: "/".to_owned(),
        headers: Headers::new(),
        content_hash: 0,
        body_bytes: 0,
    });
    log.record_order(ReceivedOrder { at: ms(12), instance: "i-0-1".to_owned(), body: "{}".to_owned() });
    log
}

#[test]
fn the_ledger_has_one_line_per_write_read_request_arrival_and_order() {
    let mut outcome = ClientRequest::post("ab", "shop.example", "/read/1", RequestKind::Safe).outcome();
    (outcome.ending, outcome.status) = (AttemptEnd::Complete, Some(200));
    let attempt = Attempt {
        front: 1,
        behaviour: Behaviour::Leaving,
        is_connection_reused: true,
        started_at: ms(9),
        sent_at: ms(9),
        ended_at: ms(10),
        body_bytes: 10,
        outcome,
    };
    let text = run_log::render(ms(4), &operator_log(), &[attempt], &request_log());
    let expected = "\
troubles begin at 4 ms
put 5..6 version 3 on 1 None
put 5..6 version 2 on 1 Some(409)
read 7..8 at 127.0.0.9:80 Some(2)
read 7..8 at 127.0.0.9:80 None
request 9..10 ab /read/1 front 1 kept true Leaving Complete Some(200)
arrival 11 - i-1-1 prefill false
order 12 i-0-1 {}
";
    assert_eq!(text, expected);
}
