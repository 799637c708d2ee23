//! Tests of replication along the chain, and of commits at the tail.

use super::*;

/// The tail commits an entry only after the entry is on its own disk and the view serves.
#[rstest]
#[case::in_a_view_that_serves(true)]
#[case::in_one_that_does_not(false)]
fn tail_commits_synced_entry_if_view_serves(#[case] serves: bool) {
    let mut driver = if serves { serving(3) } else { Driver::start(3, disk_of(3, 3), 3) };
    if !serves {
        let without_history = crate::Heartbeat { installed_view: 0, ..driver.heartbeat_of(1, &[2]) };
        driver.receive(1, Message::Heartbeat(without_history));
        driver.run(1, &[2]);
    }
    let is_committed = |message: &Message| matches!(message, Message::Committed { .. });
    driver.receive(2, replicate(1));
    assert_eq!(driver.count(is_committed), 0, "committed before the entry was synced");
    driver.sync();
    assert_eq!(driver.count(is_committed) > 0, serves);
}

#[test]
fn head_appends_no_change_before_view_serves() {
    let mut driver = not_serving(1);
    driver.receive(2, submit(1, 0));
    assert!(driver.unsynced.is_empty());
}

/// An uncommitted change may still be lost, so no other change may be rejected because of it.
#[test]
fn change_is_not_refused_because_of_an_uncommitted_one() {
    let mut driver = serving(1);
    driver.receive(2, submit(1, 0));
    driver.sync();
    let Message::Submit { base, version, digest, bytes, .. } = submit(2, 0) else {
        unreachable!("submit returns a Submit message")
    };
    let request_id = RequestId { sequence: 2, ..REQUEST_ID };
    driver.receive(
        3,
        Message::Submit { request_id, base, version, digest, bytes, request_hash: None, forwarded: false },
    );
    assert_eq!(driver.count(is_outcome), 0);
    driver.receive(3, Message::Committed { header: entry(1).header });
    let is_conflict = |message: &Message| {
        matches!(message, Message::Outcome { outcome: crate::RequestOutcome::Conflict { .. }, .. })
    };
    assert_eq!(driver.count(is_conflict), 1);
}

/// Entries from other processes or other views are ignored.
#[rstest]
#[case::its_predecessor(1, 1, true)]
#[case::another_member(3, 1, false)]
#[case::an_earlier_view(1, 0, false)]
#[case::a_later_view(1, 2, false)]
fn entry_is_appended_only_from_the_predecessor_in_the_current_view(
    #[case] from: u8, #[case] number: u64, #[case] is_appended: bool,
) {
    let mut driver = serving(2);
    driver.receive(from, Message::Replicate { view: number, entry: entry(1) });
    assert_eq!(!driver.unsynced.is_empty(), is_appended);
}

/// An entry is sent again until the successor acknowledges it in the current view.
#[rstest]
#[case::in_this_view(1, false)]
#[case::in_another(2, true)]
fn entry_is_retransmitted_until_acknowledged_in_the_current_view(
    #[case] number: u64, #[case] is_retransmitted: bool,
) {
    let mut driver = serving(1);
    driver.receive(2, submit(1, 0));
    driver.sync();
    let is_entry = |message: &Message| matches!(message, Message::Replicate { .. });
    let sent = driver.count(is_entry);
    driver.receive(2, Message::Replicated { view: number, index: 1 });
    driver.run(MANY_TICKS, &[2, 3]);
    assert_eq!(driver.count(is_entry) > sent, is_retransmitted);
}
