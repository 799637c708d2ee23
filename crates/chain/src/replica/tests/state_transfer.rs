//! Tests of state transfer: which history is sent and installed, and when the view serves.

use super::*;

/// A replica sends its history only for the view that it has installed, and only to members of that view.
#[rstest]
#[case::member(3, 1, 1)]
#[case::no_member(9, 1, 0)]
#[case::another_view(3, 2, 0)]
fn state_is_sent_only_to_members_of_the_view(
    #[case] from: u8, #[case] number: u64, #[case] answers: usize,
    #[values(None, Some(StreamAssembly::new(0).next_request()))] chunk: Option<ChunkRequest>,
) {
    let mut driver = serving(1);
    driver.receive(from, Message::StateRequest { view: number, after: 0, chunk });
    let is_state = |message: &Message| matches!(message, Message::State { .. } | Message::StateChunk { .. });
    assert_eq!(driver.count(is_state), answers);
}

/// A replica that waits for the history of a view ignores the history of other views.
#[rstest]
#[case::of_this_view(2, true)]
#[case::of_the_view_before(1, false)]
#[case::of_a_later_view(3, false)]
fn state_is_installed_only_for_the_current_view(#[case] number: u64, #[case] is_installed: bool) {
    let mut driver = serving(3);
    driver.receive(1, Message::Decided { view: view(2, 3) });
    driver.sync();
    let before = driver.synced.len();
    let chunk = HistoryStream::new(history()).chunk(StreamAssembly::new(0).next_request(), usize::MAX);
    driver.receive(1, Message::StateChunk { view: number, chunk });
    driver.sync();
    driver.receive(1, Message::State { view: number, suffix: history() });
    driver.sync();
    assert_eq!(driver.synced.len() > before, is_installed);
}

/// A view serves once its replicas hold the history. A process with a different disk at the address of a
/// replica does not count.
#[test]
fn new_disk_at_replica_address_does_not_make_view_serve() {
    let mut driver = Driver::start(3, disk_of(3, 3), 3);
    let sender = MemberId { address: address(1), disk: 77 };
    let heartbeat = Heartbeat { sender, ..driver.heartbeat_of(1, &[2]) };
    driver.receive(1, Message::Heartbeat(heartbeat));
    driver.run(1, &[2]);
    assert!(!driver.replica.status().is_serving);
    driver.run(1, &[1, 2]);
    assert!(driver.replica.status().is_serving);
}
