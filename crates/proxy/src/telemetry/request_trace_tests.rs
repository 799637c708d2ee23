//! The format of attempts in the log line of a failed request, and the indexes and names of outcomes.

use crate::inbound::error_response::RequestError;
use crate::outbound::ExchangeError;
use crate::stack::response_class::ResponseClass;
use crate::telemetry::outcome::{AttemptLabel, BodyFailure, RequestOutcome};
use crate::telemetry::request_trace::AttemptTrace;
use lugwharf_routing::Phase;
use std::collections::BTreeSet;
use std::time::Duration;

fn attempt_with_label(label: AttemptLabel) -> AttemptTrace {
    AttemptTrace {
        server: "i-1".into(),
        phase: Phase::Decode,
        connection: Some(7),
        started_at: Duration::from_millis(3),
        elapsed: Duration::from_millis(20),
        time_left: Duration::from_millis(480),
        is_budgeted: false,
        label,
        body: None,
    }
}

#[test]
fn attempt_is_shown_with_server_connection_times_and_outcome() {
    let broken = attempt_with_label(AttemptLabel::Failed(ExchangeError::ConnectionBroken));
    assert_eq!(broken.to_string(), "i-1/decode connection:7 at_ms:3 took_ms:20 left_ms:480 broken");
    let class = ResponseClass::Success;
    let body_timeout = AttemptTrace {
        is_budgeted: true,
        body: Some(BodyFailure::Timeout),
        ..attempt_with_label(AttemptLabel::Response { status: 200, class })
    };
    let text = "i-1/decode connection:7 at_ms:3 took_ms:20 left_ms:480 budgeted success:200 body_timeout";
    assert_eq!(body_timeout.to_string(), text);
    let not_sent =
        AttemptTrace { connection: None, ..attempt_with_label(AttemptLabel::Failed(ExchangeError::Connect)) };
    assert_eq!(not_sent.to_string(), "i-1/decode at_ms:3 took_ms:20 left_ms:480 connect");
}

#[test]
fn each_label_of_an_attempt_has_its_own_index_and_its_fixed_name() {
    let response = |class| AttemptLabel::Response { status: 200, class };
    let labels = [
        (response(ResponseClass::Success), "success"),
        (response(ResponseClass::Failure), "failure"),
        (response(ResponseClass::InvalidRequest), "invalid"),
        (response(ResponseClass::Rejected), "rejected"),
        (response(ResponseClass::Misdirected), "misdirected"),
        (response(ResponseClass::Unusable), "spoilt"),
        (AttemptLabel::Failed(ExchangeError::Connect), "connect"),
        (AttemptLabel::Failed(ExchangeError::Aborted), "moot"),
        (AttemptLabel::Failed(ExchangeError::TooLate), "late"),
        (AttemptLabel::Failed(ExchangeError::ConnectionBroken), "broken"),
        (AttemptLabel::Failed(ExchangeError::Timeout), "timeout"),
    ];
    let indexes: Vec<usize> = labels.iter().map(|(label, _)| label.index()).collect();
    assert_eq!(indexes, (0..AttemptLabel::NAMES.len()).collect::<Vec<_>>());
    let names: Vec<&str> = labels.iter().map(|(label, _)| label.name()).collect();
    assert_eq!(names, labels.map(|(_, name)| name));
}

#[test]
fn each_outcome_of_a_request_has_its_own_index_and_name() {
    let outcomes: Vec<RequestOutcome> = RequestOutcome::all().collect();
    let indexes: Vec<usize> = outcomes.iter().map(|outcome| outcome.index()).collect();
    assert_eq!(indexes, (0..RequestOutcome::COUNT).collect::<Vec<_>>());
    let names: BTreeSet<&str> = outcomes.iter().map(|outcome| outcome.name()).collect();
    assert_eq!(names.len(), RequestOutcome::COUNT);
    let discriminants: Vec<usize> = RequestError::ALL.iter().map(|error| *error as usize).collect();
    assert_eq!(discriminants, (0..RequestError::ALL.len()).collect::<Vec<_>>());
}
