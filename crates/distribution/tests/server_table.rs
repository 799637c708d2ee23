//! What a holder of an older position is sent.

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

fn draining(id: &str) -> ServerEntry {
    ServerEntry { state: ServerState::Draining, ..entry(id) }
}

fn at(epoch: u64, sequence: u64) -> TablePosition {
    TablePosition { epoch, sequence }
}

fn written(listings: &[(u64, &[&str])]) -> ServerTable {
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
fn counts_changes_from_one_in_each_epoch() {
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
fn takes_a_countdown_for_no_change_but_keeps_it() {
    let mut table = ServerTable::new();
    table.replace(1, vec![ServerEntry { warmup_remaining_ms: 900, ..entry("a") }]).unwrap();
    assert_eq!(table.replace(1, vec![ServerEntry { warmup_remaining_ms: 400, ..entry("a") }]), Ok(false));
    assert_eq!(table.get("a").map(|entry| entry.warmup_remaining_ms), Some(400));
}

#[rstest]
#[case::draining_first(vec![draining("a"), entry("a")])]
#[case::draining_last(vec![entry("a"), draining("a")])]
fn counts_an_id_listed_twice_as_draining(#[case] listing: Vec<ServerEntry>) {
    let mut table = ServerTable::new();
    table.replace(1, listing).unwrap();
    assert_eq!(table.get("a").map(|entry| entry.state), Some(ServerState::Draining));
}

#[rstest]
#[case::nothing_held(at(0, 0), true, &["b", "c"], &[])]
#[case::first(at(1, 1), false, &["c"], &["a"])]
#[case::before_removal(at(1, 2), false, &[], &["a"])]
#[case::unknown_older_epoch(at(0, 9), true, &["b", "c"], &[])]
fn sends_what_is_missing(
    #[case] have: TablePosition, #[case] whole: bool, #[case] new: &[&str], #[case] removed: &[&str],
) {
    let table = written(&[(1, &["a", "b"]), (1, &["a", "b", "c"]), (1, &["b", "c"])]);
    let delta = table.delta_since(have).unwrap();
    assert_eq!(delta.position, at(1, 3));
    assert_eq!(delta.is_full, whole);
    assert_eq!(ids(&delta.entries), new);
    assert_eq!(delta.removed, removed);
}

#[rstest]
#[case::same(at(1, 2))]
#[case::ahead(at(1, 3))]
#[case::later_epoch(at(2, 1))]
fn sends_nothing_to_a_holder_that_is_not_behind(#[case] have: TablePosition) {
    let table = written(&[(1, &["a"]), (1, &["a", "b"])]);
    assert_eq!(table.delta_since(have), None);
}

#[test]
fn sends_no_unchanged_entry_at_a_change_of_reader() {
    let mut reader = written(&[(1, &["a", "b"]), (1, &["a", "b", "c"])]);
    let mut successor = ServerTable::new();
    successor.apply(&reader.delta_since(at(0, 0)).unwrap()).unwrap();
    reader.replace(1, entries(&["a", "b", "c", "d"])).unwrap();
    successor.apply(&reader.delta_since(successor.position()).unwrap()).unwrap();
    let behind = at(1, 2);
    let level = successor.position();
    successor.replace(7, entries(&["a", "b", "c", "d"])).unwrap();
    let delta = successor.delta_since(level).unwrap();
    assert_eq!(delta, ServerDelta { position: at(7, 1), ..ServerDelta::default() });
    assert_eq!(ids(&successor.delta_since(behind).unwrap().entries), ["d"]);
    successor.replace(9, entries(&["a", "b", "d"])).unwrap();
    let delta = successor.delta_since(level).unwrap();
    assert!(!delta.is_full);
    assert_eq!((delta.entries.len(), delta.removed), (0, vec!["c".to_owned()]));
}

#[test]
fn sends_the_whole_to_a_holder_of_what_the_next_reader_never_saw() {
    let mut reader = written(&[(1, &["a", "b"])]);
    let mut successor = ServerTable::new();
    successor.apply(&reader.delta_since(at(0, 0)).unwrap()).unwrap();
    reader.replace(1, entries(&["a"])).unwrap();
    successor.replace(2, entries(&["a", "b"])).unwrap();
    assert!(successor.delta_since(reader.position()).unwrap().is_full);
    assert!(!successor.delta_since(at(1, 1)).unwrap().is_full);
    assert_eq!(reader.apply(&successor.delta_since(reader.position()).unwrap()), Ok(true));
    assert!(reader.entries().eq(successor.entries()));
}

#[test]
fn refuses_what_an_earlier_reader_still_sends() {
    let old = written(&[(1, &["a"]), (1, &["a", "b"])]);
    let mut table = written(&[(2, &["c"])]);
    assert_eq!(table.apply(&old.delta_since(at(0, 0)).unwrap()), Ok(false));
    assert_eq!(table.apply(&old.delta_since(at(1, 1)).unwrap()), Ok(false));
    assert_eq!(table.position(), at(2, 1));
}

#[test]
fn asks_for_the_whole_where_differences_do_not_follow() {
    let source = written(&[(1, &["a"]), (1, &["a", "b"])]);
    let mut table = ServerTable::new();
    let differences = source.delta_since(at(1, 1)).unwrap();
    assert_eq!(table.apply(&differences), Err(ApplyError::Gap { have: at(0, 0), to: at(1, 2) }));
    assert_eq!(table.apply(&source.delta_since(table.position()).unwrap()), Ok(true));
}

#[test]
fn forgets_old_removals_and_then_sends_the_whole() {
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
fn forgets_old_epochs_and_then_sends_the_whole() {
    let mut table = written(&[(1, &["a"])]);
    let epochs = MAX_EPOCH_CHANGES as u64;
    (2..=1 + epochs).for_each(|epoch| assert_eq!(table.replace(epoch, entries(&["a"])), Ok(true)));
    assert!(!table.delta_since(at(1, 1)).unwrap().is_full);
    table.replace(2 + epochs, entries(&["a"])).unwrap();
    assert!(table.delta_since(at(1, 1)).unwrap().is_full);
}

/// Several processes pull from each other in any order while the reader role moves: whoever reaches the position of
/// the writer has its content.
#[test]
fn brings_every_holder_to_the_same_content() {
    for seed in 0..400 {
        play(seed);
    }
}

fn play(seed: u64) {
    const PROCESSES: usize = 5;
    const IDS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
    let mut random = Rng::with_seed(seed);
    let mut tables: Vec<ServerTable> = (0..PROCESSES).map(|_| ServerTable::new()).collect();
    let mut contents: std::collections::BTreeMap<TablePosition, Vec<String>> = Default::default();
    let (mut epoch, mut reader) = (1, 0);
    for _ in 0..300 {
        match random.u8(..10) {
            0 => (epoch, reader) = (epoch + 1, random.usize(..PROCESSES)),
            1..=3 => {
                let listed: Vec<&str> = IDS.into_iter().filter(|_| random.bool()).collect();
                if tables[reader].replace(epoch, entries(&listed)) == Ok(true) {
                    let content = tables[reader].entries().map(|entry| entry.id.clone()).collect();
                    contents.insert(tables[reader].position(), content);
                }
            }
            4 if random.u8(..8) == 0 => {
                let restarted = random.usize(..PROCESSES);
                tables[restarted] = ServerTable::new();
                // A writer that starts anew has to be elected anew.
                epoch += u64::from(restarted == reader);
            }
            _ => {
                let (from, to) = (random.usize(..PROCESSES), random.usize(..PROCESSES));
                if let Some(delta) = tables[from].delta_since(tables[to].position()) {
                    assert_eq!(tables[to].apply(&delta), Ok(true), "seed {seed}");
                }
            }
        }
        for table in tables.iter().filter(|table| table.position() != TablePosition::default()) {
            let held: Vec<String> = table.entries().map(|entry| entry.id.clone()).collect();
            assert_eq!(Some(&held), contents.get(&table.position()), "seed {seed} at {:?}", table.position());
        }
    }
}

/// Two processes that have just started read the list for themselves, a moment apart: their lists differ at one position.
#[test]
fn a_holder_of_a_provisional_list_gets_the_whole_of_the_first_that_was_read_under_a_token() {
    let one = written(&[(PROVISIONAL_EPOCH, &["a", "gone"])]);
    let mut other = written(&[(PROVISIONAL_EPOCH, &["a", "b"])]);
    assert_eq!(one.position(), other.position());
    assert_eq!(one.delta_since(TablePosition::default()).map(|delta| delta.is_full), Some(true));
    other.replace(7, entries(&["a", "b", "c"])).expect("a later epoch");
    let delta = other.delta_since(one.position()).expect("something newer");
    assert!(delta.is_full);
    let mut holder = one.clone();
    assert_eq!(holder.apply(&delta), Ok(true));
    let held: Vec<&str> = holder.entries().map(|entry| entry.id.as_str()).collect();
    assert_eq!(held, ["a", "b", "c"]);
}

#[test]
fn names_no_removal_that_its_holder_has_seen() {
    let table = written(&[(1, &["a", "b"]), (1, &["b"]), (1, &["b", "c"])]);
    assert_eq!(table.delta_since(at(1, 2)).map(|delta| delta.removed), Some(Vec::new()));
}

#[test]
fn tells_an_empty_list_from_one_with_servers() {
    let mut table = written(&[(1, &["a"])]);
    assert!(!table.is_empty());
    table.replace(1, Vec::new()).unwrap();
    assert!(table.is_empty());
}

/// A field that is not compared would keep its old value at every holder.
#[rstest]
#[case::service(ServerEntry { service: "other".to_owned(), ..entry("a") })]
#[case::address(ServerEntry { address: SocketAddr::from(([127, 0, 0, 2], 80)), ..entry("a") })]
#[case::zone(ServerEntry { zone: "other".to_owned(), ..entry("a") })]
#[case::slots(ServerEntry { slots: 5, ..entry("a") })]
#[case::state(draining("a"))]
#[case::stage(ServerEntry { stage: Some(Stage::Decode), ..entry("a") })]
#[case::models(ServerEntry { models: vec![ModelEntry { name: "m".to_owned(), version: 1 }], ..entry("a") })]
fn takes_any_other_difference_for_a_change(#[case] listed: ServerEntry) {
    let mut table = written(&[(1, &["a"])]);
    assert_eq!(table.replace(1, vec![listed.clone()]), Ok(true));
    assert_eq!(table.delta_since(at(1, 1)).map(|delta| delta.entries), Some(vec![listed]));
}

/// Only ends of epochs count against the bound, not each change within one.
#[test]
fn remembers_an_earlier_epoch_over_many_changes_of_the_next() {
    let mut table = written(&[(1, &["a"]), (2, &["a"])]);
    for change in 0..2 * MAX_EPOCH_CHANGES {
        let listed: &[&str] = if change % 2 == 0 { &["a", "b"] } else { &["a"] };
        assert_eq!(table.replace(2, entries(listed)), Ok(true));
    }
    assert_eq!(table.delta_since(at(1, 1)).map(|delta| delta.is_full), Some(false));
}
