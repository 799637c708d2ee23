//! Tests of operator requests: recognition of resent changes, forwarding, and outcomes.

use super::*;

const REQUEST_HASH: Blake3 = Blake3(3, 4);
const OTHER_REQUEST_HASH: Blake3 = Blake3(5, 6);

fn submit_change(sequence: u64, version: u64, base: u64, request: Option<Blake3>, bytes: &[u8]) -> Message {
    let request_id = RequestId { incarnation: 9, sequence };
    let bytes: Arc<[u8]> = bytes.into();
    let digest = Digest::of(&bytes).fnv;
    Message::Submit { request_id, base, version, digest, bytes, request_hash: request, forwarded: false }
}

/// The head of a view whose first two entries are committed, the first of them with [`REQUEST_HASH`].
fn head() -> Driver {
    let mut driver = serving(1);
    for (sequence, version, request, bytes) in
        [(1, 4, Some(REQUEST_HASH), b"four".as_slice()), (2, 6, None, b"six".as_slice())]
    {
        let base = if version == 4 { 0 } else { 4 };
        driver.receive(2, submit_change(sequence, version, base, request, bytes));
        driver.sync();
        let header =
            EntryHeader { index: sequence, version, base, digest: Digest::of_request(bytes, request) };
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

/// The base is no longer retained, so the bytes cannot be computed again. The change is identified by the
/// hash of its request.
#[rstest]
#[case::that_request(4, 0, Some(REQUEST_HASH), RequestOutcome::Accepted)]
#[case::another_request(4, 0, Some(OTHER_REQUEST_HASH), RequestOutcome::Conflict { current: 6 })]
#[case::another_base(4, 3, Some(REQUEST_HASH), RequestOutcome::Conflict { current: 6 })]
#[case::another_number(5, 0, Some(REQUEST_HASH), RequestOutcome::Conflict { current: 6 })]
fn change_without_bytes_is_recognised_by_request_hash_or_refused(
    #[case] version: u64, #[case] base: u64, #[case] request: Option<Blake3>, #[case] outcome: RequestOutcome,
) {
    let mut driver = head();
    driver.receive(2, submit_change(7, version, base, request, b""));
    assert_eq!(outcomes(&driver), [outcome]);
}

/// A full configuration with the same bytes is the same change.
#[test]
fn change_is_recognised_by_bytes_as_well() {
    let mut driver = head();
    driver.receive(2, submit_change(7, 4, 0, None, b"four"));
    assert_eq!(outcomes(&driver), [RequestOutcome::Accepted]);
}

#[test]
fn change_without_bytes_on_current_version_is_neither_appended_nor_refused() {
    let mut driver = head();
    driver.receive(2, submit_change(7, 9, 6, Some(OTHER_REQUEST_HASH), b""));
    driver.sync();
    driver.run(3, &[2, 3]);
    assert_eq!(driver.count(is_outcome), 0);
    let is_replicate = |message: &Message| matches!(message, Message::Replicate { .. });
    assert_eq!(driver.count(is_replicate), 0);
}

/// A request hash is encoded only if there is one, since headers of earlier versions have none.
#[rstest]
#[case::whole(None)]
#[case::from_a_request(Some(REQUEST_HASH))]
fn header_keeps_the_request_hash(#[case] request: Option<Blake3>) {
    let header = EntryHeader { index: 1, version: 4, base: 0, digest: Digest::of_request(b"four", request) };
    let mut bytes = Vec::new();
    ciborium::into_writer(&header, &mut bytes).expect("cannot encode the header");
    assert_eq!(
        ciborium::from_reader::<EntryHeader, _>(bytes.as_slice()).expect("cannot decode the header"),
        header
    );
    let names_request = String::from_utf8_lossy(&bytes).contains("request");
    assert_eq!(names_request, request.is_some());
}

/// An outcome is only accepted for a request of this incarnation.
#[rstest]
#[case::own_request(0, 1, Some(OperatorResponse::Conflict { current: 7 }))]
#[case::earlier_incarnation(1, 1, None)]
#[case::another_request(0, 2, None)]
fn outcome_answers_only_its_own_request(
    #[case] incarnation_offset: u64, #[case] sequence: u64, #[case] response: Option<OperatorResponse>,
) {
    let mut driver = serving(2);
    let submission = Event::Submit {
        id: OperatorRequestId(1),
        base: 3,
        version: 4,
        request_hash: None,
        bytes: b"{}".as_slice().into(),
    };
    driver.handle(submission);
    let forwarded = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Submit { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let incarnation =
        forwarded.expect("no Submit message was sent").incarnation.wrapping_add(incarnation_offset);
    let outcome = crate::RequestOutcome::Conflict { current: 7 };
    driver.receive(1, Message::Outcome { request_id: RequestId { incarnation, sequence }, outcome });
    assert_eq!(driver.responses.first().cloned(), response);
}

/// A request of another process is forwarded once, to the head or the tail, and its outcome is returned to
/// that process.
#[rstest]
#[case::change(submit(1, 0), 1)]
#[case::read(Message::Read { request_id: REQUEST_ID, forwarded: false }, 3)]
fn request_is_forwarded_once_and_outcome_returned(#[case] request: Message, #[case] end: u8) {
    let mut driver = serving(2);
    let origin = address(9);
    driver.handle(Event::Message { from: origin, message: request.clone() });
    let forwarded: Vec<(SocketAddr, Message)> =
        driver.sent.iter().filter(|(_, message)| is_request(message)).cloned().collect();
    let [(to, message)] = forwarded.as_slice() else {
        panic!("expected one forwarded request: {forwarded:?}")
    };
    assert_eq!(*to, address(end));
    // A forwarded request is not forwarded again, which could create a loop.
    driver.sent.clear();
    driver.receive(if end == 1 { 3 } else { 1 }, message.clone());
    assert_eq!(driver.count(is_request), 0);
    let outcome = RequestOutcome::Accepted;
    driver.receive(end, Message::Outcome { request_id: REQUEST_ID, outcome });
    let back = driver.sent.iter().find(|(_, message)| is_outcome(message)).map(|(to, _)| *to);
    assert_eq!(back, Some(origin));
    // A second outcome is not forwarded.
    driver.sent.clear();
    driver.receive(end, Message::Outcome { request_id: REQUEST_ID, outcome });
    assert_eq!(driver.count(is_outcome), 0);
    driver.receive(end, request);
    assert_eq!(
        driver.count(is_request),
        0,
        "a request from an end of the chain is not forwarded back to that end"
    );
}

fn is_request(message: &Message) -> bool {
    matches!(message, Message::Submit { .. } | Message::Read { .. })
}
