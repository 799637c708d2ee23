//! What the line about a failed request says of its sends.

use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::stack::response_class::ResponseClass;
use crate::telemetry::outcome::{AttemptLabel, BodyOutcome, RequestOutcome};
use crate::telemetry::request_trace::AttemptTrace;
use lugwharf_routing::Phase;
use std::collections::BTreeSet;
use std::time::Duration;

fn send(outcome: AttemptLabel) -> AttemptTrace {
    AttemptTrace {
        server: "i-1".into(),
        part: Phase::Decode,
        connection: Some(7),
        begun: Duration::from_millis(3),
        took: Duration::from_millis(20),
        left: Duration::from_millis(480),
        paid: false,
        outcome,
        body: None,
    }
}

#[test]
fn a_send_tells_its_server_its_connection_its_times_and_its_end() {
    let broken = send(AttemptLabel::Failed(ExchangeError::ConnectionBroken));
    assert_eq!(broken.to_string(), "i-1/decode connection:7 at_ms:3 took_ms:20 left_ms:480 broken");
    let class = ResponseClass::Success;
    let answered = AttemptTrace {
        paid: true,
        body: Some(BodyOutcome::Timeout),
        ..send(AttemptLabel::Response { status: 200, class })
    };
    let text = "i-1/decode connection:7 at_ms:3 took_ms:20 left_ms:480 paid success:200 body_timeout";
    assert_eq!(answered.to_string(), text);
    let unsent = AttemptTrace { connection: None, ..send(AttemptLabel::Failed(ExchangeError::Connect)) };
    assert_eq!(unsent.to_string(), "i-1/decode at_ms:3 took_ms:20 left_ms:480 connect");
}

#[test]
fn each_end_of_a_request_has_a_place_and_a_name_of_its_own() {
    let outcomes: Vec<RequestOutcome> = RequestOutcome::all().collect();
    let places: Vec<usize> = outcomes.iter().map(|outcome| outcome.index()).collect();
    assert_eq!(places, (0..RequestOutcome::COUNT).collect::<Vec<_>>());
    let names: BTreeSet<&str> = outcomes.iter().map(|outcome| outcome.name()).collect();
    assert_eq!(names.len(), RequestOutcome::COUNT);
    let kinds: Vec<usize> = RequestError::ALL.iter().map(|refusal| *refusal as usize).collect();
    assert_eq!(kinds, (0..RequestError::ALL.len()).collect::<Vec<_>>());
}
