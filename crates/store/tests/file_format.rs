//! Pins the log file format byte for byte, since new versions must open the logs of old versions and vice
//! versa.
//!
//! The bytes were captured from commit 1a8c4db and must not change.

use lugwharf_store::simulated::SimulatedDisk;
use lugwharf_store::{Disk, DiskFile, Log, StoreError, crc32c};
use std::fmt::Write;

const LOG: &str = "log";
const NEW_LOG: &str = "log.new";
const QUARANTINED: &str = "log.damaged";

/// A header of generation 1.
const EMPTY_LOG: &str = "4c57484c4f4700010100000000000000c62ca567";
/// Three appends: the record "one"; the records "two", "" and "three"; no records.
const APPENDED: &str = "4c57484c4f4700010100000000000000c62ca5674c77463102fa674501000000000000000700000001000000030000006f6e654c774631f8907b4e020000000000000014000000030000000300000074776f000000000500000074687265654c774631934e4c2d03000000000000000000000000000000";
/// Generation 2: a rewrite with the records "kept" and "also", then an append of "added".
const REWRITTEN: &str = "4c57484c4f4700010200000000000000afabe1bc4c774631db9c6aff01000000000000001000000002000000040000006b65707404000000616c736f4c7746310bac221202000000000000000900000001000000050000006164646564";
/// Generation 2: a rewrite without records.
const REWRITTEN_TO_NOTHING: &str =
    "4c57484c4f4700010200000000000000afabe1bc4c774631fd12840701000000000000000000000000000000";

fn hex(bytes: &[u8]) -> String {
    let mut text = String::new();
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a string succeeds");
    }
    text
}

fn unhex(text: &str) -> Vec<u8> {
    let byte_at = |at: usize| u8::from_str_radix(&text[at..at + 2], 16).expect("hex");
    (0..text.len()).step_by(2).map(byte_at).collect()
}

fn content(disk: &SimulatedDisk, name: &str) -> Option<String> {
    disk.read(name).expect("readable").map(|bytes| hex(&bytes))
}

fn disk_with(name: &str, content: &[u8]) -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    disk.create(name).expect("a file").write_all_at(0, content).expect("a write");
    disk
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

/// Returns a log that was created on an empty disk and appended to.
fn appended() -> (SimulatedDisk, Log<SimulatedDisk>) {
    let disk = SimulatedDisk::new();
    let (mut log, _) = Log::open_on(disk.clone()).expect("a log");
    for batch in [&["one"][..], &["two", "", "three"], &[]] {
        log.append(&records(batch)).expect("appended");
    }
    (disk, log)
}

#[test]
fn a_new_log_contains_only_the_header() {
    let disk = SimulatedDisk::new();
    Log::open_on(disk.clone()).expect("a log");
    assert_eq!(content(&disk, LOG).as_deref(), Some(EMPTY_LOG));
    assert_eq!(content(&disk, NEW_LOG), None);
}

#[test]
fn each_append_writes_one_frame() {
    let (disk, log) = appended();
    assert_eq!(content(&disk, LOG).as_deref(), Some(APPENDED));
    assert_eq!(log.len_bytes() as usize * 2, APPENDED.len());
}

#[test]
fn a_rewrite_creates_a_file_of_the_next_generation() {
    let (disk, mut log) = appended();
    log.rewrite(&records(&["kept", "also"])).expect("rewritten");
    log.append(&records(&["added"])).expect("appended");
    assert_eq!(content(&disk, LOG).as_deref(), Some(REWRITTEN));
    assert_eq!(content(&disk, NEW_LOG), None);
}

#[test]
fn a_rewrite_without_records_contains_an_empty_frame() {
    let (disk, mut log) = appended();
    log.rewrite(&[]).expect("rewritten");
    assert_eq!(content(&disk, LOG).as_deref(), Some(REWRITTEN_TO_NOTHING));
}

/// Records longer than 1 MiB together are written as several frames.
#[test]
fn a_long_rewrite_has_several_frames() {
    let (disk, mut log) = appended();
    let long: Vec<Vec<u8>> = (1..=4).map(|number| vec![number; 400 << 10]).collect();
    log.rewrite(&long).expect("rewritten");
    let file = disk.read(LOG).expect("readable").expect("log exists");
    assert_eq!((file.len(), crc32c(&[&file])), (1638484, 2436837807));
    assert_eq!(Log::open_on(disk).expect("a log").1.records, long);
}

#[test]
fn captured_files_are_read_and_appended_to() {
    let cases = [
        (EMPTY_LOG, records(&[]), "4c7746312708db75010000000000000005000000010000000100000078"),
        (
            APPENDED,
            records(&["one", "two", "", "three"]),
            "4c7746317e82f84c040000000000000005000000010000000100000078",
        ),
        (
            REWRITTEN,
            records(&["kept", "also", "added"]),
            "4c77463163d84f72030000000000000005000000010000000100000078",
        ),
        (REWRITTEN_TO_NOTHING, records(&[]), "4c7746318ea5457f020000000000000005000000010000000100000078"),
    ];
    for (file, expected, added) in cases {
        let disk = disk_with(LOG, &unhex(file));
        let (mut log, recovered) = Log::open_on(disk.clone()).expect("a log");
        assert_eq!((recovered.records, recovered.torn_tail), (expected, None), "{file}");
        assert_eq!(content(&disk, LOG).as_deref(), Some(file));
        log.append(&records(&["x"])).expect("appended");
        assert_eq!(content(&disk, LOG), Some(format!("{file}{added}")));
    }
}

/// If a process dies before the rename of a new file and there is no log, the new file becomes the log.
#[test]
fn a_new_file_becomes_the_log_if_there_is_none() {
    let disk = disk_with(NEW_LOG, &unhex(REWRITTEN));
    let recovered = Log::open_on(disk.clone()).expect("a log").1;
    assert_eq!(recovered.records, records(&["kept", "also", "added"]));
    assert_eq!(content(&disk, LOG).as_deref(), Some(REWRITTEN));
    assert_eq!(content(&disk, NEW_LOG), None);
}

/// Frames of generation 1 after a header of generation 2 do not belong to this file.
#[test]
fn frames_of_another_generation_are_truncated() {
    let header = unhex(REWRITTEN)[..20].to_vec();
    let earlier = unhex(APPENDED)[20..].to_vec();
    let disk = disk_with(LOG, &[header.clone(), earlier.clone()].concat());
    let recovered = Log::open_on(disk.clone()).expect("a log").1;
    assert_eq!(recovered.records, records(&[]));
    let tail = recovered.torn_tail.expect("a torn tail");
    assert_eq!((tail.offset, tail.bytes), (20, earlier.len() as u64));
    assert_eq!(content(&disk, LOG), Some(hex(&header)));
}

#[test]
fn a_corrupt_log_is_quarantined_under_its_file_name() {
    let mut file = unhex(APPENDED);
    file[30] ^= 1;
    let disk = disk_with(LOG, &file);
    let error = Log::open_on(disk.clone()).expect_err("log is corrupt");
    assert!(matches!(error, StoreError::Corrupt { offset: 20 }), "{error}");
    Log::quarantine_on(&disk).expect("quarantined");
    assert_eq!(content(&disk, QUARANTINED), Some(hex(&file)));
    assert_eq!(content(&disk, LOG), None);
}

#[test]
fn a_file_of_another_format_version_is_rejected() {
    let error =
        Log::open_on(disk_with(LOG, b"LWHLOG\x00\x02 and so on, to the end")).expect_err("unknown format");
    assert!(matches!(error, StoreError::UnknownFormat), "{error}");
}
