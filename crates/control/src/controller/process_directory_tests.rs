//! Tests of which processes are listed, which processes are reported to, and which count of proxies is used.

use super::process_directory::{MAX_PROCESSES, ProcessDirectory};
use std::net::SocketAddr;
use std::time::Duration;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn process(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_700))
}

fn processes_numbered(numbers: impl IntoIterator<Item = u8>) -> Vec<SocketAddr> {
    numbers.into_iter().map(process).collect()
}

#[test]
fn learner_is_listed_until_its_ttl_after_the_last_message() {
    let mut processes = ProcessDirectory::default();
    let members = processes_numbered(1..=3);
    processes.record_message(seconds(1), process(4));
    assert_eq!(processes.all(seconds(11), process(1), &members), processes_numbered(1..=4));
    assert_eq!(processes.all(seconds(12), process(1), &members), members);
    processes.record_message(seconds(12), process(4));
    assert_eq!(processes.all(seconds(12), process(1), &members), processes_numbered(1..=4));
}

#[test]
fn members_and_this_process_are_always_listed() {
    let processes = ProcessDirectory::default();
    assert_eq!(
        processes.all(seconds(99), process(5), &processes_numbered(1..=3)),
        processes_numbered([1, 2, 3, 5])
    );
}

#[test]
fn learner_lists_processes_reported_by_a_member() {
    let mut processes = ProcessDirectory::default();
    let members = processes_numbered(1..=3);
    processes.record_reported_processes(seconds(1), &processes_numbered(1..=6));
    assert_eq!(processes.all(seconds(2), process(5), &members), processes_numbered(1..=6));
    assert_eq!(processes.all(seconds(12), process(5), &members), processes_numbered([1, 2, 3, 5]));
}

#[test]
fn members_report_to_all_and_learners_to_members_only() {
    let mut processes = ProcessDirectory::default();
    let members = processes_numbered(1..=3);
    processes.record_reported_processes(seconds(1), &processes_numbered(1..=18));
    assert_eq!(
        processes.report_recipients(seconds(1), process(2), &members),
        processes_numbered([1].into_iter().chain(3..=18))
    );
    assert_eq!(processes.report_recipients(seconds(1), process(9), &members), members);
}

#[test]
fn live_proxies_is_the_largest_fresh_report_of_a_member() {
    let mut processes = ProcessDirectory::default();
    let members = processes_numbered(1..=3);
    processes.record_live_proxies(seconds(1), process(1), 30);
    processes.record_live_proxies(seconds(2), process(2), 28);
    processes.record_live_proxies(seconds(2), process(4), 99);
    assert_eq!(processes.live_proxies(seconds(3), &members), 30);
    assert_eq!(processes.live_proxies(seconds(4), &members), 28);
    assert_eq!(processes.live_proxies(seconds(5), &members), 0);
}

#[test]
fn process_beyond_the_bound_is_added_once_others_have_expired() {
    let mut processes = ProcessDirectory::default();
    let count = u8::try_from(MAX_PROCESSES).expect("the limit does not fit into a u8");
    processes.record_reported_processes(seconds(0), &processes_numbered(0..count));
    processes.record_message(seconds(1), process(200));
    assert_eq!(processes.all(seconds(1), process(0), &[]).len(), MAX_PROCESSES);
    processes.record_message(seconds(11), process(200));
    assert_eq!(processes.all(seconds(11), process(0), &[]), processes_numbered([0, 200]));
}
