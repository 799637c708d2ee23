//! Tests that reads at the tail wait for a confirmation of the view.

use super::*;

#[test]
fn tail_answers_no_read_before_view_serves() {
    let mut driver = not_serving(3);
    driver.receive(2, Message::Read { request_id: REQUEST_ID, forwarded: false });
    let confirm_id = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Confirm { request_id, .. } => Some(*request_id),
        _ => None,
    });
    driver.receive(
        1,
        Message::Confirmed { view: 1, request_id: confirm_id.expect("no confirmation was requested") },
    );
    assert_eq!(driver.count(is_outcome), 0);
}

/// The tail responds to a read only after a majority has confirmed the view, in the current view and
/// incarnation and in the round of the read.
#[rstest]
#[case::this_round(0, 0, 1)]
#[case::another_incarnation(1, 0, 0)]
#[case::another_view(0, 1, 0)]
fn confirmation_counts_only_for_its_round_view_and_incarnation(
    #[case] incarnation_offset: u64, #[case] view_offset: u64, #[case] answers: usize,
) {
    let mut driver = serving(3);
    driver.receive(2, Message::Read { request_id: REQUEST_ID, forwarded: false });
    let confirm_id = driver.sent.iter().find_map(|(_, message)| match message {
        Message::Confirm { request_id, .. } => Some(*request_id),
        _ => None,
    });
    let request_id = confirm_id.expect("no confirmation was requested");
    let incarnation = request_id.incarnation.wrapping_add(incarnation_offset);
    let request_id = RequestId { incarnation, ..request_id };
    driver.receive(1, Message::Confirmed { view: 1 + view_offset, request_id });
    assert_eq!(driver.count(is_outcome), answers);
}
