//! Tests of the history: append, recognition of resent changes, and installation of another replica's
//! history.

use crate::digest::Digest;
use crate::entry::{Entry, EntryHeader, HistorySuffix};
use crate::history::History;
use crate::settings::HistoryLimits;
use rstest::rstest;

fn entry(index: u64, version: u64, base: u64, text: &str) -> Entry {
    let header = EntryHeader { index, version, base, digest: Digest::of(text.as_bytes()) };
    Entry { header, bytes: text.as_bytes().into() }
}

fn history(entries: u64) -> History {
    let mut history = History::default();
    for index in 1..=entries {
        assert!(history.append(entry(index, 10 * index, 10 * (index - 1), "text")));
    }
    history
}

#[test]
fn append_rejects_an_entry_that_does_not_follow() {
    let mut history = history(3);
    assert!(!history.append(entry(3, 30, 20, "text")));
    assert!(!history.append(entry(5, 50, 40, "text")));
    assert!(history.append(entry(4, 40, 30, "text")));
    assert_eq!(history.last_index(), 4);
}

#[rstest]
#[case::same(20, 10, "text", Some(2))]
#[case::other_base(20, 9, "text", None)]
#[case::other_bytes(20, 10, "other", None)]
#[case::unknown(25, 20, "text", None)]
fn find_recognises_a_resent_change(
    #[case] version: u64, #[case] base: u64, #[case] text: &str, #[case] index: Option<u64>,
) {
    let found = history(3).find(version, base, Digest::of(text.as_bytes()));
    assert_eq!(found.map(|header| header.index), index);
}

#[test]
fn only_the_newest_bodies_are_retained() {
    let history = history(5);
    assert!(history.config(3).is_none());
    assert!(history.config(4).is_some());
    assert!(history.config(5).is_some());
    assert!(history.header(1).is_some());
}

#[rstest]
#[case::empty(0, 0)]
#[case::shorter(2, 2)]
#[case::complete(5, 5)]
#[case::with_an_uncommitted_entry(3, 2)]
fn install_takes_over_the_source_history(#[case] entries: u64, #[case] committed: u64) {
    let source = history(5);
    let mut replica = history(entries);
    assert!(replica.install(&source.suffix(committed)));
    assert_eq!(replica.suffix(0).headers, source.suffix(0).headers);
    assert_eq!(replica.config(5), source.config(5));
    assert_eq!(replica.last(), source.last());
}

#[test]
fn install_replaces_an_uncommitted_entry() {
    let mut replica = history(3);
    assert!(replica.append(entry(4, 41, 30, "lost")));
    assert!(replica.install(&history(4).suffix(3)));
    assert_eq!(replica.last_version(), 40);
}

#[test]
fn install_rejects_a_gap() {
    let mut replica = history(2);
    assert!(!replica.install(&history(6).suffix(4)));
    let mut with_gap = history(6).suffix(2);
    with_gap.headers.remove(1);
    assert!(!replica.install(&with_gap));
    assert_eq!(replica.last_index(), 2);
}

#[test]
fn install_of_a_truncated_history_replaces_everything() {
    let mut suffix = history(6).suffix(0);
    suffix.headers.drain(..3);
    let mut replica = history(2);
    assert!(replica.install(&suffix));
    assert_eq!(replica.header(3), None);
    assert_eq!(replica.last_index(), 6);
    let empty = HistorySuffix { after: 6, headers: Vec::new(), bodies: Vec::new() };
    assert!(replica.install(&empty));
    assert_eq!(replica.last_index(), 6);
}

/// Entries 1 to 6 have the versions 10 to 60. The headers of the last three are retained.
#[rstest]
#[case::dropped_header(30, 20, true)]
#[case::between_dropped_headers(15, 10, true)]
#[case::first_retained_header(40, 30, false)]
#[case::between_last_dropped_and_first_retained(35, 30, false)]
#[case::on_a_later_base(30, 60, false)]
#[case::newer(70, 60, false)]
fn may_have_dropped_recognises_versions_before_the_first_header(
    #[case] version: u64, #[case] base: u64, #[case] dropped: bool,
) {
    let mut limited = History::new(HistoryLimits { max_headers: 3, max_bodies: 2 });
    assert!(limited.install(&history(6).suffix(0)));
    assert_eq!(limited.may_have_dropped(version, base), dropped);
    assert!(!history(6).may_have_dropped(version, base));
}
