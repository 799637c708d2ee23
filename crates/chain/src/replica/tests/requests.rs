//! The operator's requests: recognising a resent change, forwarding, outcomes.

use super::*;

const REQUEST: Blake3 = Blake3(3, 4);
const OTHER: Blake3 = Blake3(5, 6);

fn submit_change(ticket: u64, version: u64, base: u64, request: Option<Blake3>, bytes: &[u8]) -> Message {
    let request_id = RequestId { incarnation: 9, sequence: ticket };
    let bytes: Arc<[u8]> = bytes.into();
    let digest = Digest::of(&bytes).fnv;
    Message::Submit { request_id, base, version, digest, bytes, request_hash: request, forwarded: false }
}

/// The head of a view whose first two entries are committed, the first one from [`REQUEST`].
fn head() -> Driver {
    let mut driver = serving(1);
    for (ticket, version, request, bytes) in
        [(1, 4, Some(REQUEST), b"four".as_slice()), (2, 6, None, b"six".as_slice())]
    {
        let base = if version == 4 { 0 } else { 4 };
        driver.receive(2, submit_change(ticket, version, base, request, bytes));
        driver.sync();
        let header = EntryHeader { index: ticket, version, base, digest: Digest::of_request(bytes, request) };
        driver.receive(3, Message::Committed { header });
    }
    driver.sent.clear();
    driver
}

fn outcomes(driver: &Driver) -> Vec<RequestOutcome> {
    let outcome = |message: &Message| match message {
        Message::Outcome { outcome, .. } => Some(*outcome),
        _ => None,
    };
    driver.sent.iter().filter_map(|(_, message)| outcome(message)).collect()
}

/// Its base is no longer at hand, so that its bytes can't be computed anew.
#[rstest]
#[case::that_request(4, 0, Some(REQUEST), RequestOutcome::Accepted)]
#[case::another_request(4, 0, Some(OTHER), RequestOutcome::Conflict { current: 6 })]
#[case::another_base(4, 3, Some(REQUEST), RequestOutcome::Conflict { current: 6 })]
#[case::another_number(5, 0, Some(REQUEST), RequestOutcome::Conflict { current: 6 })]
fn change_without_bytes_is_recognised_by_request_hash_or_refused(
    #[case] version: u64, #[case] base: u64, #[case] request: Option<Blake3>, #[case] outcome: RequestOutcome,
) {
    let mut driver = head();
    driver.receive(2, submit_change(7, version, base, request, b""));
    assert_eq!(outcomes(&driver), [outcome]);
}

/// The same bytes, sent whole, are the same change.
#[test]
fn change_is_recognised_by_bytes_as_well() {
    let mut driver = head();
    driver.receive(2, submit_change(7, 4, 0, None, b"four"));
    assert_eq!(outcomes(&driver), [RequestOutcome::Accepted]);
}

#[test]
fn change_without_bytes_on_current_version_is_neither_appended_nor_refused() {
    let mut driver = head();
    driver.receive(2, submit_change(7, 9, 6, Some(OTHER), b""));
    driver.sync();
    driver.run(3, &[2, 3]);
    assert_eq!(driver.count(is_outcome), 0);
    let is_replicate = |message: &Message| matches!(message, Message::Replicate { .. });
    assert_eq!(driver.count(is_replicate), 0);
}

/// Marks of earlier versions have no request, and are read; a header with one is read back with it.
#[rstest]
#[case::whole(None)]
#[case::from_a_request(Some(REQUEST))]
fn header_keeps_the_request_hash(#[case] request: Option<Blake3>) {
    let header = EntryHeader { index: 1, version: 4, base: 0, digest: Digest::of_request(b"four", request) };
    let mut bytes = Vec::new();
    ciborium::into_writer(&header, &mut bytes).expect("bytes");
    assert_eq!(ciborium::from_reader::<EntryHeader, _>(bytes.as_slice()).expect("a header"), header);
    let names_request = String::from_utf8_lossy(&bytes).contains("request");
    assert_eq!(names_request, request.is_some());
}

/// A process that serves calls of the operator passes on an outcome only for the call of this run that it belongs to.
#[rstest]
#[case::its_own(0, 1, Some(OperatorResponse::Conflict { current: 7 }))]
#[case::of_the_run_before(1, 1, None)]
#[case::of_another_call(0, 2, None)]
fn outcome_answers_only_its_own_request(
    #[case] other_run: u64, #[case] ticket: u64, #[case] answer: Option<OperatorResponse>,
) {
    let mut driver = serving(2);
    let event = Event::Submit {
        id: OperatorRequestId(1),
        base: 3,
        version: 4,
        request_hash: None,
        bytes: b"{}".as_slice().into(),
    };
    driver.handle(event);
    let passed = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Submit { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let incarnation = passed.expect("a call for the head").incarnation.wrapping_add(other_run);
    let outcome = crate::RequestOutcome::Conflict { current: 7 };
    driver.receive(1, Message::Outcome { request_id: RequestId { incarnation, sequence: ticket }, outcome });
    assert_eq!(driver.answers.first().cloned(), answer);
}

/// A call of another process goes on to the head or the tail once, and its outcome back to that process.
#[rstest]
#[case::a_change(submit(1, 0), 1)]
#[case::a_read(Message::Read { request_id: QUESTION, forwarded: false }, 3)]
fn request_is_forwarded_once_and_outcome_returned(#[case] asked: Message, #[case] end: u8) {
    let mut driver = serving(2);
    let origin = address(9);
    driver.handle(Event::Message { from: origin, message: asked.clone() });
    let passed: Vec<(SocketAddr, Message)> =
        driver.sent.iter().filter(|(_, message)| is_call(message)).cloned().collect();
    let [(to, message)] = passed.as_slice() else { panic!("{passed:?}") };
    assert_eq!(*to, address(end));
    // It does not go on again, so that no two processes send it to and fro.
    driver.sent.clear();
    driver.receive(if end == 1 { 3 } else { 1 }, message.clone());
    assert_eq!(driver.count(is_call), 0);
    let outcome = RequestOutcome::Accepted;
    driver.receive(end, Message::Outcome { request_id: QUESTION, outcome });
    let back = driver.sent.iter().find(|(_, message)| is_outcome(message)).map(|(to, _)| *to);
    assert_eq!(back, Some(origin));
    // Nor does a second outcome.
    driver.sent.clear();
    driver.receive(end, Message::Outcome { request_id: QUESTION, outcome });
    assert_eq!(driver.count(is_outcome), 0);
    driver.receive(end, asked);
    assert_eq!(driver.count(is_call), 0, "an end that asks gets nothing back from itself");
}

fn is_call(message: &Message) -> bool {
    matches!(message, Message::Submit { .. } | Message::Read { .. })
}
