//! Tests that a replica that has promised the next view no longer participates in the current one.

use super::*;

/// An entry that is appended after the promise may be missing from the history that the next view installs.
#[test]
fn sealed_replica_stops_replicating() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    driver.sync();
    assert_eq!(driver.count(is_replicated), 1);
    driver.receive(3, prepare());
    driver.sync();
    let records = driver.synced.len();
    driver.receive(1, replicate(2));
    driver.sync();
    driver.run(1, &[1, 3]);
    assert_eq!((driver.count(is_replicated), driver.synced.len()), (1, records));
}

/// An entry that was being synced when the replica promised the next view is not acknowledged in the current
/// view.
#[test]
fn replica_sealed_during_sync_does_not_acknowledge() {
    let mut driver = serving(2);
    driver.receive(1, replicate(1));
    driver.receive(3, prepare());
    driver.sync();
    assert_eq!(driver.count(is_replicated), 0);
    assert_eq!(driver.count(is_promise), 1);
}

#[test]
fn sealed_replica_confirms_no_view() {
    let confirm = Message::Confirm { view: 1, request_id: REQUEST_ID };
    let mut driver = serving(2);
    driver.receive(3, confirm.clone());
    assert_eq!(driver.count(is_confirmed), 1);
    driver.receive(3, prepare());
    driver.receive(3, confirm);
    assert_eq!(driver.count(is_confirmed), 1, "a view was confirmed before the promise was synced");
}

/// After its promise, a head decides no change and a tail responds to no read, even if the request arrived
/// earlier.
#[rstest]
#[case::head(1, submit(1, 0))]
#[case::tail(3, Message::Read { request_id: REQUEST_ID, forwarded: false })]
fn sealed_head_and_tail_send_no_outcome(#[case] local: u8, #[case] message: Message) {
    let mut driver = serving(local);
    let proposal = ProposalNumber { round: 9, proposer: member(2) };
    driver.receive(2, Message::Prepare { instance: 2, proposal });
    driver.sync();
    let records = driver.synced.len();
    driver.receive(2, message);
    driver.sync();
    for number in 1..=3 {
        let request_id = RequestId { incarnation: 0, sequence: 1 };
        driver.receive(number, Message::Confirmed { view: 1, request_id });
    }
    assert_eq!((driver.count(is_outcome), driver.synced.len()), (0, records));
}
