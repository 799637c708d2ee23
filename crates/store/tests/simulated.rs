//! Tests of the simulated disk itself, since the tests of the log depend on the faults that it simulates.

use lugwharf_store::simulated::SimulatedDisk;
use lugwharf_store::{Disk, DiskFile, FileSystemDirectory};
use rstest::rstest;
use std::collections::BTreeSet;
use std::io::ErrorKind;

const SEEDS: u64 = 400;
/// The unit in which a torn write is kept or lost, in bytes.
const SECTOR_BYTES: usize = 64;

/// Returns the distinct contents of `file` after a power loss, over many seeds.
fn outcomes(prepare: impl Fn(&SimulatedDisk)) -> BTreeSet<Option<Vec<u8>>> {
    let run = |seed| {
        let disk = SimulatedDisk::new();
        prepare(&disk);
        disk.lose_power(&mut fastrand::Rng::with_seed(seed));
        disk.read("file").unwrap()
    };
    (0..SEEDS).map(run).collect()
}

/// Returns sectors with different bytes each; the last one is incomplete.
fn content() -> Vec<u8> {
    (0..3 * SECTOR_BYTES + 5).map(|index| (index / SECTOR_BYTES) as u8 + 1).collect()
}

#[test]
fn synced_content_survives() {
    let synced = outcomes(|disk| {
        let mut file = disk.create("file").unwrap();
        file.write_all_at(0, &content()).unwrap();
        file.sync().unwrap();
    });
    assert_eq!(synced, BTreeSet::from([Some(content())]));
}

#[test]
fn an_unsynced_write_is_kept_lost_or_torn() {
    let outcomes = outcomes(|disk| {
        let mut file = disk.create("file").unwrap();
        file.sync().unwrap();
        file.write_all_at(0, &content()).unwrap();
    });
    assert!(outcomes.contains(&Some(content())) && outcomes.contains(&Some(Vec::new())));
    let torn = outcomes.iter().flatten().filter(|bytes| !bytes.is_empty() && **bytes != content());
    let torn: Vec<&Vec<u8>> = torn.collect();
    let has_hole = |bytes: &&&Vec<u8>| bytes.contains(&0);
    assert!(torn.iter().any(|bytes| !bytes.contains(&0)), "no write was cut short");
    assert!(torn.iter().filter(has_hole).count() > 0, "no write has a hole");
    for bytes in torn {
        let kept = bytes.iter().zip(content()).all(|(stored, written)| *stored == written || *stored == 0);
        assert!(kept && bytes.len() <= content().len(), "{bytes:?}");
    }
}

/// A lost sector leaves a hole of zeros.
#[test]
fn a_write_is_torn_at_sectors() {
    let outcomes = outcomes(|disk| {
        let mut file = disk.create("file").unwrap();
        file.sync().unwrap();
        file.write_all_at(0, &content()).unwrap();
    });
    let second_only: Vec<u8> = [vec![0; SECTOR_BYTES], vec![2; SECTOR_BYTES]].concat();
    assert!(outcomes.contains(&Some(second_only)));
}

#[test]
fn an_unsynced_length_is_kept_or_lost() {
    let outcomes = outcomes(|disk| {
        let mut file = disk.create("file").unwrap();
        file.write_all_at(0, &content()).unwrap();
        file.sync().unwrap();
        file.set_length(10).unwrap();
    });
    assert_eq!(outcomes, BTreeSet::from([Some(content()[..10].to_vec()), Some(content())]));
}

#[test]
fn an_unsynced_name_is_kept_or_lost() {
    let outcomes = outcomes(|disk| drop(disk.create("file").unwrap()));
    assert_eq!(outcomes, BTreeSet::from([None, Some(Vec::new())]));
}

#[rstest]
#[case::unsynced(false, &[None, Some(1)])]
#[case::synced(true, &[Some(1)])]
fn a_rename_is_durable_once_the_directory_is_synced(
    #[case] synced: bool, #[case] expected: &[Option<usize>],
) {
    let outcomes = outcomes(|disk| {
        let mut file = disk.create("new").unwrap();
        file.write_all_at(0, &[7]).unwrap();
        file.sync().unwrap();
        disk.rename("new", "file").unwrap();
        if synced {
            disk.sync_directory().unwrap();
        }
    });
    let lengths: Vec<_> = outcomes.iter().map(|content| content.as_ref().map(Vec::len)).collect();
    assert_eq!(lengths, expected);
}

#[rstest]
#[case::unsynced(false, 2)]
#[case::synced(true, 1)]
fn a_removal_is_durable_once_the_directory_is_synced(#[case] synced: bool, #[case] expected: usize) {
    let outcomes = outcomes(|disk| {
        let mut file = disk.create("file").unwrap();
        file.sync().unwrap();
        disk.remove("file").unwrap();
        assert_eq!(disk.read("file").unwrap(), None);
        if synced {
            disk.sync_directory().unwrap();
        }
    });
    assert!(outcomes.contains(&None));
    assert_eq!(outcomes.len(), expected);
}

/// One power loss in four loses all unsynced changes of content and names; the others lose only some. This
/// reveals a log whose correctness depends on the outcome of a single change.
#[rstest]
#[case::writes(true)]
#[case::names(false)]
fn one_power_loss_in_four_loses_all_unsynced_changes(#[case] writes: bool) {
    const CHANGES: usize = 12;
    let run = |seed| {
        let disk = SimulatedDisk::new();
        for index in 0..CHANGES {
            let mut file = disk.create(&index.to_string()).unwrap();
            if writes {
                file.sync().unwrap();
                file.write_all_at(0, &[1]).unwrap();
            }
        }
        disk.lose_power(&mut fastrand::Rng::with_seed(seed));
        let kept = |index: &usize| match disk.read(&index.to_string()).unwrap() {
            Some(content) => !writes || !content.is_empty(),
            None => false,
        };
        (0..CHANGES).filter(kept).count()
    };
    let kept: Vec<usize> = (0..SEEDS).map(run).collect();
    let all_lost = kept.iter().filter(|kept| **kept == 0).count() as u64;
    let some_lost = kept.iter().filter(|kept| (1..CHANGES).contains(*kept)).count() as u64;
    assert!((SEEDS / 6..SEEDS / 3).contains(&all_lost), "{all_lost} of {SEEDS}");
    assert!(some_lost > SEEDS / 2, "{some_lost} of {SEEDS}");
}

#[test]
fn removing_a_missing_file_fails() {
    let missing = SimulatedDisk::new().remove("file").map_err(|error| error.kind());
    assert_eq!(missing, Err(ErrorKind::NotFound));
}

#[test]
fn a_wiped_disk_is_empty() {
    let disk = SimulatedDisk::new();
    disk.create("file").unwrap().sync().unwrap();
    disk.wipe();
    assert_eq!(disk.read("file").unwrap(), None);
}

#[test]
fn the_first_half_of_a_failed_write_is_written() {
    let disk = SimulatedDisk::new();
    let mut file = disk.create("file").unwrap();
    disk.fail_after(0);
    assert!(file.write_all_at(0, &[1; 10]).is_err());
    assert_eq!(disk.read("file").unwrap(), Some(vec![1; 5]));
}

/// A write within the existing content, including one up to its end, does not change the length.
#[rstest]
#[case::within(0, 2)]
#[case::to_the_end(3, 2)]
fn an_overwrite_keeps_the_other_bytes(#[case] offset: u64, #[case] length: usize) {
    let disk = SimulatedDisk::new();
    let mut file = disk.create("file").unwrap();
    file.write_all_at(0, &[1; 5]).unwrap();
    file.write_all_at(offset, &vec![2; length]).unwrap();
    let mut expected = vec![1; 5];
    expected[offset as usize..offset as usize + length].fill(2);
    assert_eq!(disk.read("file").unwrap(), Some(expected));
}

/// A temporary directory for one test.
struct TemporaryDirectory(std::path::PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let path = std::env::temp_dir().join(format!("lugwharf-store-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryDirectory(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Otherwise an unreadable log would be treated as absent, and an empty one would be created.
#[test]
fn an_unreadable_file_is_an_error_and_not_absent() {
    let directory_guard = TemporaryDirectory::new("unreadable");
    let directory = FileSystemDirectory::new(&directory_guard.0);
    assert!(matches!(directory.read("log"), Ok(None)));
    std::os::unix::fs::symlink("log", directory_guard.0.join("log")).unwrap();
    assert!(directory.read("log").is_err());
}

#[test]
fn a_file_of_the_file_system_is_truncated_and_removed() {
    let directory_guard = TemporaryDirectory::new("cut");
    let directory = FileSystemDirectory::new(&directory_guard.0);
    let mut file = directory.create("log").unwrap();
    file.write_all_at(0, b"abcdef").unwrap();
    file.set_length(3).unwrap();
    assert_eq!(directory.read("log").unwrap(), Some(b"abc".to_vec()));
    directory.remove("log").unwrap();
    assert!(matches!(directory.read("log"), Ok(None)));
}

/// Only a power loss shows whether a sync reaches the disk. This test checks that the system call is made and
/// that its error is returned.
#[test]
fn an_error_of_fsync_is_returned() {
    let directory_guard = TemporaryDirectory::new("sync");
    std::os::unix::fs::symlink("/dev/null", directory_guard.0.join("log")).unwrap();
    let mut device = FileSystemDirectory::new(&directory_guard.0).open("log").unwrap();
    assert!(device.sync().is_err());
    assert!(FileSystemDirectory::new(&directory_guard.0.join("none")).sync_directory().is_err());
}
