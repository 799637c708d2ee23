//! Tests of the server table, and of its deltas for readers at older positions.

use fastrand::Rng;
use lugwharf_distribution::{
    ApplyError, MAX_EPOCH_CHANGES, MAX_TOMBSTONES, PROVISIONAL_EPOCH, ServerTable, StaleEpoch,
};
use lugwharf_protocol::{ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition};
use rstest::rstest;
use std::net::SocketAddr;

fn entry(id: &str) -> ServerEntry {
    ServerEntry {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z".to_owned(),
        slots: 4,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
    }
}

fn entries(ids: &[&str]) -> Vec<ServerEntry> {
    ids.iter().map(|id| entry(id)).collect()
}

fn draining_entry(id: &str) -> ServerEntry {
    ServerEntry { state: ServerState::Draining, ..entry(id) }
}

fn at(epoch: u64, sequence: u64) -> TablePosition {
    TablePosition { epoch, sequence }
}

fn table_of(listings: &[(u64, &[&str])]) -> ServerTable {
    let mut table = ServerTable::new();
    for (epoch, ids) in listings {
        table.replace(*epoch, entries(ids)).unwrap();
    }
    table
}

fn ids(entries: &[ServerEntry]) -> Vec<&str> {
    entries.iter().map(|entry| entry.id.as_str()).collect()
}

#[test]
fn sequence_starts_at_one_in_each_epoch() {
    let mut table = ServerTable::new();
    assert_eq!(table.replace(3, entries(&["a"])), Ok(true));
    assert_eq!(table.position(), at(3, 1));
    assert_eq!(table.replace(3, entries(&["a"])), Ok(false));
    assert_eq!(table.position(), at(3, 1));
    assert_eq!(table.replace(3, entries(&["a", "b"])), Ok(true));
    assert_eq!(table.position(), at(3, 2));
    assert_eq!(table.replace(5, entries(&["a", "b"])), Ok(true));
    assert_eq!(table.position(), at(5, 1));
    assert_eq!(table.replace(4, Vec::new()), Err(StaleEpoch { listing: 4, table: 5 }));
    assert_eq!(table.len(), 2);
}

#[test]
fn warmup_countdown_is_stored_but_is_no_change() {
    let mut table = ServerTable::new();
    table.replace(1, vec![ServerEntry { warmup_remaining_ms: 900, ..entry("a") }]).unwrap();
    assert_eq!(table.replace(1, vec![ServerEntry { warmup_remaining_ms: 400, ..entry("a") }]), Ok(false));
    assert_eq!(table.get("a").map(|entry| entry.warmup_remaining_ms), Some(400));
}

#[rstest]
#[case::draining_first(vec![draining_entry("a"), entry("a")])]
#[case::draining_last(vec![entry("a"), draining_entry("a")])]
fn id_listed_twice_is_draining_if_either_line_is(#[case] listing: Vec<ServerEntry>) {
    let mut table = ServerTable::new();
    table.replace(1, listing).unwrap();
    assert_eq!(table.get("a").map(|entry| entry.state), Some(ServerState::Draining));
}

#[rstest]
#[case::empty(at(0, 0), true, &["b", "c"], &[])]
#[case::first(at(1, 1), false, &["c"], &["a"])]
#[case::before_removal(at(1, 2), false, &[], &["a"])]
#[case::unknown_older_epoch(at(0, 9), true, &["b", "c"], &[])]
fn delta_holds_what_is_missing(
    #[case] have: TablePosition, #[case] is_full: bool, #[case] new: &[&str], #[case] removed: &[&str],
) {
    let table = table_of(&[(1, &["a", "b"]), (1, &["a", "b", "c"]), (1, &["b", "c"])]);
    let delta = table.delta_since(have).unwrap();
    assert_eq!(delta.position, at(1, 3));
    assert_eq!(delta.is_full, is_full);
    assert_eq!(ids(&delta.entries), new);
    assert_eq!(delta.removed, removed);
}

#[rstest]
#[case::same(at(1, 2))]
#[case::ahead(at(1, 3))]
#[case::later_epoch(at(2, 1))]
fn reader_that_is_not_behind_gets_no_delta(#[case] have: TablePosition) {
    let table = table_of(&[(1, &["a"]), (1, &["a", "b"])]);
    assert_eq!(table.delta_since(have), None);
}

#[test]
fn delta_across_epochs_holds_no_unchanged_entry() {
    let mut writer = table_of(&[(1, &["a", "b"]), (1, &["a", "b", "c"])]);
    let mut successor = ServerTable::new();
    successor.apply(&writer.delta_since(at(0, 0)).unwrap()).unwrap();
    writer.replace(1, entries(&["a", "b", "c", "d"])).unwrap();
    successor.apply(&writer.delta_since(successor.position()).unwrap()).unwrap();
    let behind = at(1, 2);
    let current = successor.position();
    successor.replace(7, entries(&["a", "b", "c", "d"])).unwrap();
    let delta = successor.delta_since(current).unwrap();
    let unchanged = ServerDelta { position: at(7, 1), base: Some(current), ..ServerDelta::default() };
    assert_eq!(delta, unchanged);
    assert_eq!(ids(&successor.delta_since(behind).unwrap().entries), ["d"]);
    successor.replace(9, entries(&["a", "b", "d"])).unwrap();
    let delta = successor.delta_since(current).unwrap();
    assert!(!delta.is_full);
    assert_eq!((delta.entries.len(), delta.removed), (0, vec!["c".to_owned()]));
}

#[test]
fn reader_beyond_the_end_of_an_epoch_gets_the_full_list() {
    let mut writer = table_of(&[(1, &["a", "b"])]);
    let mut successor = ServerTable::new();
    successor.apply(&writer.delta_since(at(0, 0)).unwrap()).unwrap();
    writer.replace(1, entries(&["a"])).unwrap();
    successor.replace(2, entries(&["a", "b"])).unwrap();
    assert!(successor.delta_since(writer.position()).unwrap().is_full);
    assert!(!successor.delta_since(at(1, 1)).unwrap().is_full);
    assert_eq!(writer.apply(&successor.delta_since(writer.position()).unwrap()), Ok(true));
    assert!(writer.entries().eq(successor.entries()));
}

#[test]
fn delta_of_an_earlier_writer_is_ignored() {
    let old = table_of(&[(1, &["a"]), (1, &["a", "b"])]);
    let mut table = table_of(&[(2, &["c"])]);
    assert_eq!(table.apply(&old.delta_since(at(0, 0)).unwrap()), Ok(false));
    assert_eq!(table.apply(&old.delta_since(at(1, 1)).unwrap()), Ok(false));
    assert_eq!(table.position(), at(2, 1));
}

#[test]
fn incremental_delta_to_an_empty_table_is_a_gap() {
    let source = table_of(&[(1, &["a"]), (1, &["a", "b"])]);
    let mut table = ServerTable::new();
    let incremental = source.delta_since(at(1, 1)).unwrap();
    let gap = ApplyError::Gap { have: at(0, 0), base: Some(at(1, 1)), to: at(1, 2) };
    assert_eq!(table.apply(&incremental), Err(gap));
    assert_eq!(table.apply(&source.delta_since(table.position()).unwrap()), Ok(true));
}

#[test]
fn full_list_is_sent_where_removals_are_forgotten() {
    let mut table = ServerTable::new();
    let many: Vec<ServerEntry> = (0..=MAX_TOMBSTONES).map(|number| entry(&number.to_string())).collect();
    table.replace(1, many).unwrap();
    table.replace(1, entries(&["0"])).unwrap();
    assert!(!table.delta_since(at(1, 1)).unwrap().is_full);
    table.replace(1, Vec::new()).unwrap();
    assert!(table.delta_since(at(1, 1)).unwrap().is_full);
    assert!(!table.delta_since(at(1, 2)).unwrap().is_full);
}

#[test]
fn full_list_is_sent_where_epochs_are_forgotten() {
    let mut table = table_of(&[(1, &["a"])]);
    let epochs = MAX_EPOCH_CHANGES as u64;
    (2..=1 + epochs).for_each(|epoch| assert_eq!(table.replace(epoch, entries(&["a"])), Ok(true)));
    assert!(!table.delta_since(at(1, 1)).unwrap().is_full);
    table.replace(2 + epochs, entries(&["a"])).unwrap();
    assert!(table.delta_since(at(1, 1)).unwrap().is_full);
}

/// Several processes pull from each other in any order while the writer changes: each process that reaches
/// the writer's position has the writer's content.
#[test]
fn tables_at_the_same_position_have_the_same_content() {
    for seed in 0..400 {
        simulate_pulls(seed);
    }
}

fn simulate_pulls(seed: u64) {
    const PROCESSES: usize = 5;
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let mut random = Rng::with_seed(seed);
    let mut tables: Vec<ServerTable> = (0..PROCESSES).map(|_| ServerTable::new()).collect();
    let mut contents: std::collections::BTreeMap<TablePosition, Vec<String>> = Default::default();
    let (mut epoch, mut writer) = (1, 0);
    for _ in 0..300 {
        match random.u8(..10) {
            0 => (epoch, writer) = (epoch + 1, random.usize(..PROCESSES)),
            1..=3 => {
                let listed: Vec<&str> = IDS.into_iter().filter(|_| random.bool()).collect();
                if tables[writer].replace(epoch, entries(&listed)) == Ok(true) {
                    let content = tables[writer].entries().map(|entry| entry.id.clone()).collect();
                    contents.insert(tables[writer].position(), content);
                }
            }
            4 if random.u8(..8) == 0 => {
                let restarted = random.usize(..PROCESSES);
                tables[restarted] = ServerTable::new();
                // A writer that has restarted must be elected again.
                epoch += u64::from(restarted == writer);
            }
            _ => {
                let (from, to) = (random.usize(..PROCESSES), random.usize(..PROCESSES));
                if let Some(delta) = tables[from].delta_since(tables[to].position()) {
                    assert_eq!(tables[to].apply(&delta), Ok(true), "seed {seed}");
                }
            }
        }
        for table in tables.iter().filter(|table| table.position() != TablePosition::default()) {
            let ids: Vec<String> = table.entries().map(|entry| entry.id.clone()).collect();
            assert_eq!(Some(&ids), contents.get(&table.position()), "seed {seed} at {:?}", table.position());
        }
    }
}

/// An update that is on its way to a process.
struct DirectUpdate {
    to: usize,
    delta: ServerDelta,
}

/// Guards against a process that misses an update of the writer and applies the next one: it had the writer's
/// position without the writer's content, and nothing repaired it (`review/4`).
///
/// The writer sends each change to all processes unasked. These updates are lost, repeated and reordered,
/// while processes pull from each other and the writer changes.
#[rstest]
#[case::with_bases(true)]
#[case::of_an_earlier_version(false)]
fn tables_at_the_same_position_have_the_same_content_despite_lost_updates(#[case] sends_bases: bool) {
    for seed in 0..400 {
        simulate_direct_updates(seed, sends_bases);
    }
}

fn simulate_direct_updates(seed: u64, sends_bases: bool) {
    const PROCESSES: usize = 4;
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let mut random = Rng::with_seed(seed);
    let mut tables: Vec<ServerTable> = (0..PROCESSES).map(|_| ServerTable::new()).collect();
    let mut contents: std::collections::BTreeMap<TablePosition, (Vec<String>, u64)> = Default::default();
    let mut updates: Vec<DirectUpdate> = Vec::new();
    let (mut epoch, mut writer) = (1, 0);
    for _ in 0..300 {
        match random.u8(..12) {
            0 => (epoch, writer) = (epoch + 1, random.usize(..PROCESSES)),
            1..=3 => {
                let listed: Vec<&str> = IDS.into_iter().filter(|_| random.bool()).collect();
                let before = tables[writer].position();
                if tables[writer].replace(epoch, entries(&listed)) == Ok(true) {
                    let content = tables[writer].entries().map(|entry| entry.id.clone()).collect();
                    contents.insert(tables[writer].position(), (content, tables[writer].digest()));
                    let mut delta = tables[writer].delta_since(before).expect("the position has advanced");
                    delta.base = delta.base.filter(|_| sends_bases);
                    let received_by = (0..PROCESSES).filter(|to| *to != writer);
                    updates.extend(received_by.map(|to| DirectUpdate { to, delta: delta.clone() }));
                }
            }
            // The update is lost, delivered, or delivered and kept to be delivered again.
            4..=9 if !updates.is_empty() => {
                let index = random.usize(..updates.len());
                let DirectUpdate { to, delta } = &updates[index];
                if random.u8(..4) > 0 {
                    // A gap leaves the table unchanged, which is checked below.
                    let _ = tables[*to].apply(delta);
                }
                if random.u8(..4) > 0 {
                    updates.swap_remove(index);
                }
            }
            _ => {
                let (from, to) = (random.usize(..PROCESSES), random.usize(..PROCESSES));
                if let Some(delta) = tables[from].delta_since(tables[to].position()) {
                    assert_eq!(tables[to].apply(&delta), Ok(true), "seed {seed}");
                }
            }
        }
        for table in tables.iter().filter(|table| table.position() != TablePosition::default()) {
            let ids: Vec<String> = table.entries().map(|entry| entry.id.clone()).collect();
            let expected = contents.get(&table.position());
            assert_eq!(Some(&(ids, table.digest())), expected, "seed {seed} at {:?}", table.position());
        }
    }
}

/// A table beyond the base of a delta in another epoch may contain changes that the writer never saw.
#[rstest]
#[case::at_the_base(Some(at(2, 3)), at(2, 3), true)]
#[case::before_the_base(Some(at(2, 3)), at(2, 2), false)]
#[case::beyond_the_base(Some(at(2, 3)), at(2, 4), true)]
#[case::at_a_base_in_an_earlier_epoch(Some(at(1, 9)), at(1, 9), true)]
#[case::beyond_a_base_in_an_earlier_epoch(Some(at(1, 9)), at(1, 10), false)]
#[case::in_the_epoch_after_the_base(Some(at(1, 9)), at(2, 1), true)]
#[case::without_a_base_next(None, at(2, 5), true)]
#[case::without_a_base_behind(None, at(2, 4), false)]
#[case::without_a_base_in_an_earlier_epoch(None, at(1, 5), false)]
#[case::empty(Some(at(2, 3)), at(0, 0), false)]
fn delta_is_applied_only_if_no_other_change_is_missing(
    #[case] base: Option<TablePosition>, #[case] have: TablePosition, #[case] is_applied: bool,
) {
    let mut table = ServerTable::new();
    let full = ServerDelta { position: have, is_full: true, ..ServerDelta::default() };
    assert_eq!(table.apply(&full), Ok(have != at(0, 0)));
    let delta = ServerDelta { position: at(2, 6), base, entries: entries(&["a"]), ..ServerDelta::default() };
    let expected = if is_applied { Ok(true) } else { Err(ApplyError::Gap { have, base, to: at(2, 6) }) };
    assert_eq!(table.apply(&delta), expected);
    assert_eq!((table.position(), table.len()), if is_applied { (at(2, 6), 1) } else { (have, 0) });
}

/// Two processes that have just started read the list themselves at different times, so their lists differ at
/// the same position.
#[test]
fn reader_of_a_provisional_list_gets_the_first_full_list_of_an_epoch() {
    let one = table_of(&[(PROVISIONAL_EPOCH, &["a", "gone"])]);
    let mut other = table_of(&[(PROVISIONAL_EPOCH, &["a", "b"])]);
    assert_eq!(one.position(), other.position());
    assert_eq!(one.delta_since(TablePosition::default()).map(|delta| delta.is_full), Some(true));
    other.replace(7, entries(&["a", "b", "c"])).expect("cannot replace the server list");
    let delta = other.delta_since(one.position()).expect("the reader gets no delta");
    assert!(delta.is_full);
    let mut reader = one.clone();
    assert_eq!(reader.apply(&delta), Ok(true));
    let ids: Vec<&str> = reader.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["a", "b", "c"]);
}

#[test]
fn delta_holds_no_removal_that_the_reader_has_seen() {
    let table = table_of(&[(1, &["a", "b"]), (1, &["b"]), (1, &["b", "c"])]);
    assert_eq!(table.delta_since(at(1, 2)).map(|delta| delta.removed), Some(Vec::new()));
}

#[test]
fn is_empty_only_without_servers() {
    let mut table = table_of(&[(1, &["a"])]);
    assert!(!table.is_empty());
    table.replace(1, Vec::new()).unwrap();
    assert!(table.is_empty());
}

/// A changed field that was not compared would keep its old value at every reader.
#[rstest]
#[case::service(ServerEntry { service: "other".to_owned(), ..entry("a") })]
#[case::address(ServerEntry { address: SocketAddr::from(([127, 0, 0, 2], 80)), ..entry("a") })]
#[case::zone(ServerEntry { zone: "other".to_owned(), ..entry("a") })]
#[case::slots(ServerEntry { slots: 5, ..entry("a") })]
#[case::state(draining_entry("a"))]
#[case::stage(ServerEntry { stage: Some(Stage::Decode), ..entry("a") })]
#[case::models(ServerEntry { models: vec![ModelEntry { name: "m".to_owned(), version: 1 }], ..entry("a") })]
fn any_other_difference_is_a_change(#[case] listed: ServerEntry) {
    let mut table = table_of(&[(1, &["a"])]);
    assert_eq!(table.replace(1, vec![listed.clone()]), Ok(true));
    assert_eq!(table.delta_since(at(1, 1)).map(|delta| delta.entries), Some(vec![listed]));
    assert_ne!(table.digest(), table_of(&[(1, &["a"])]).digest());
}

/// Processes of different versions and architectures compare their digests.
#[test]
fn digest_is_fixed_and_leaves_out_the_warmup() {
    let mut table = table_of(&[(1, &["a", "b"])]);
    assert_eq!(table.digest(), 0x2779a63b9823afdd);
    table.replace(1, vec![entry("b"), ServerEntry { warmup_remaining_ms: 9, ..entry("a") }]).unwrap();
    assert_eq!(table.digest(), table_of(&[(7, &["a", "b"])]).digest());
}

#[test]
fn restated_list_is_sent_in_full_to_every_reader() {
    let mut table = table_of(&[(2, &["a"]), (2, &["a", "b"])]);
    let digest = table.digest();
    table.restate();
    assert_eq!((table.position(), table.digest()), (at(2, 3), digest));
    assert!(table.delta_since(at(2, 2)).is_some_and(|delta| delta.is_full && delta.entries.len() == 2));
}

/// Only the ends of epochs count towards the bound, not the changes within an epoch.
#[test]
fn changes_within_an_epoch_do_not_forget_earlier_epochs() {
    let mut table = table_of(&[(1, &["a"]), (2, &["a"])]);
    for change in 0..2 * MAX_EPOCH_CHANGES {
        let listed: &[&str] = if change % 2 == 0 { &["a", "b"] } else { &["a"] };
        assert_eq!(table.replace(2, entries(listed)), Ok(true));
    }
    assert_eq!(table.delta_since(at(1, 1)).map(|delta| delta.is_full), Some(false));
}
