//! Tests of the log on a healthy disk, truncated at every byte, corrupted at every byte, and on a failing
//! disk.

use lugwharf_store::simulated::SimulatedDisk;
use lugwharf_store::{Disk, FileSystemDirectory, Log, Recovered, StoreError, crc32c};
use rstest::rstest;

/// The lengths of the file header, of a frame without its records, and of a record's length field; see
/// `frame.rs`.
const HEADER_BYTES: usize = 20;
const FRAME_BYTES: usize = 24;
const LENGTH_BYTES: usize = 4;

fn batches() -> Vec<Vec<Vec<u8>>> {
    vec![
        vec![b"one".to_vec()],
        vec![b"two".to_vec(), Vec::new(), b"three".to_vec()],
        vec![vec![7; 300]],
        vec![b"last".to_vec()],
    ]
}

fn frame_bytes(batch: &[Vec<u8>]) -> usize {
    FRAME_BYTES + batch.iter().map(|record| LENGTH_BYTES + record.len()).sum::<usize>()
}

fn disk_with_batches() -> SimulatedDisk {
    let disk = SimulatedDisk::new();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    for batch in batches() {
        log.append(&batch).unwrap();
    }
    disk
}

fn reopen(disk: &SimulatedDisk) -> Recovered {
    Log::open_on(disk.clone()).unwrap().1
}

/// Returns the records of all batches whose frames are complete in a file of `length` bytes.
fn complete_batches(length: usize) -> Vec<Vec<u8>> {
    let mut end = HEADER_BYTES;
    let complete = batches().into_iter().take_while(|batch| {
        end += frame_bytes(batch);
        end <= length
    });
    complete.flatten().collect()
}

#[test]
fn the_checksum_is_crc32c() {
    assert_eq!(crc32c(&[b"123456789"]), 0xe306_9283);
    assert_eq!(crc32c(&[b"1234", b"56789"]), 0xe306_9283);
}

#[test]
fn opening_on_an_empty_disk_creates_an_empty_log() {
    let recovered = reopen(&SimulatedDisk::new());
    assert_eq!(recovered, Recovered { records: Vec::new(), torn_tail: None });
}

#[test]
fn records_are_recovered_in_order() {
    let recovered = reopen(&disk_with_batches());
    assert_eq!(recovered.records, batches().concat());
    assert_eq!(recovered.torn_tail, None);
}

#[test]
fn a_file_truncated_at_any_byte_loses_only_the_torn_frame() {
    let total = HEADER_BYTES + batches().iter().map(|batch| frame_bytes(batch)).sum::<usize>();
    for length in HEADER_BYTES..=total {
        let disk = disk_with_batches();
        disk.truncate("log", length);
        let (mut log, recovered) = Log::open_on(disk.clone()).unwrap();
        let intact = complete_batches(length);
        assert_eq!(recovered.records, intact, "truncated at {length}");
        assert_eq!(recovered.torn_tail.is_some(), log.len_bytes() != length as u64, "truncated at {length}");

        log.append(&[b"next".to_vec()]).unwrap();
        let recovered = reopen(&disk);
        assert_eq!(recovered.records, [intact, vec![b"next".to_vec()]].concat(), "truncated at {length}");
        assert_eq!(recovered.torn_tail, None, "truncated at {length}");
    }
}

#[test]
fn corruption_at_any_byte_is_detected() {
    let total = HEADER_BYTES + batches().iter().map(|batch| frame_bytes(batch)).sum::<usize>();
    let last = total - frame_bytes(&batches()[3]);
    for offset in 0..total {
        let disk = disk_with_batches();
        disk.corrupt("log", offset);
        match Log::open_on(disk) {
            Err(StoreError::UnknownFormat) => assert!(offset < HEADER_BYTES, "byte {offset}"),
            Err(StoreError::Corrupt { .. }) => {
                assert!((HEADER_BYTES..last).contains(&offset), "byte {offset}")
            }
            Ok((_, recovered)) => {
                assert!(offset >= last, "byte {offset}");
                assert_eq!(recovered.records, batches()[..3].concat());
                assert!(recovered.torn_tail.is_some());
            }
            Err(error) => panic!("byte {offset}: {error}"),
        }
    }
}

#[test]
fn a_corrupt_log_can_be_quarantined() {
    let disk = disk_with_batches();
    disk.corrupt("log", HEADER_BYTES + 10);
    assert!(Log::open_on(disk.clone()).is_err());
    Log::quarantine_on(&disk).unwrap();
    assert_eq!(reopen(&disk).records, Vec::<Vec<u8>>::new());
}

#[test]
fn a_full_disk_fails_appends_until_it_has_space() {
    let disk = disk_with_batches();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    disk.set_failing(true);
    assert!(log.append(&[vec![1; 100]]).is_err());
    assert!(log.append(&[vec![2; 100]]).is_err());
    assert!(log.rewrite(&[vec![3; 100]]).is_err());
    disk.set_failing(false);
    log.append(&[b"small".to_vec()]).unwrap();
    let recovered = reopen(&disk);
    assert_eq!(recovered.records, [batches().concat(), vec![b"small".to_vec()]].concat());
    assert_eq!(recovered.torn_tail, None);
}

#[rstest]
#[case::write(0)]
#[case::sync(1)]
fn the_next_append_truncates_the_bytes_of_a_failed_one(#[case] operation: usize) {
    let disk = disk_with_batches();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    disk.fail_after(operation);
    assert!(log.append(&[vec![9; 500]]).is_err());
    log.append(&[b"shorter".to_vec()]).unwrap();
    log.append(&[b"and more".to_vec()]).unwrap();
    let expected = [batches().concat(), vec![b"shorter".to_vec(), b"and more".to_vec()]].concat();
    assert_eq!(reopen(&disk), Recovered { records: expected, torn_tail: None });
}

#[test]
fn a_rewrite_replaces_all_records() {
    let disk = disk_with_batches();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    log.rewrite(&[b"kept".to_vec()]).unwrap();
    log.append(&[b"added".to_vec()]).unwrap();
    assert_eq!(reopen(&disk).records, vec![b"kept".to_vec(), b"added".to_vec()]);
    log.rewrite(&[b"again".to_vec()]).unwrap();
    assert_eq!(reopen(&disk).records, vec![b"again".to_vec()]);
    assert_eq!(log.len_bytes() as usize, HEADER_BYTES + frame_bytes(&[b"again".to_vec()]));
}

#[test]
fn a_failed_rewrite_keeps_the_old_log_in_use() {
    // The failing operations: creating, writing and syncing the new file.
    for operation in 0..3 {
        let disk = disk_with_batches();
        let (mut log, _) = Log::open_on(disk.clone()).unwrap();
        disk.fail_after(operation);
        assert!(log.rewrite(&[b"kept".to_vec()]).is_err());
        log.append(&[b"added".to_vec()]).unwrap();
        assert_eq!(reopen(&disk).records, [batches().concat(), vec![b"added".to_vec()]].concat());
    }
}

#[test]
fn a_failed_rename_poisons_the_log_until_a_rewrite() {
    let disk = disk_with_batches();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    disk.fail_after(3);
    assert!(log.rewrite(&[b"kept".to_vec()]).is_err());
    assert!(matches!(log.append(&[b"added".to_vec()]), Err(StoreError::Poisoned)));
    log.rewrite(&[b"kept".to_vec()]).unwrap();
    log.append(&[b"added".to_vec()]).unwrap();
    assert_eq!(reopen(&disk).records, vec![b"kept".to_vec(), b"added".to_vec()]);
}

#[test]
fn an_append_above_the_frame_limit_is_rejected() {
    let (mut log, _) = Log::open_on(SimulatedDisk::new()).unwrap();
    assert!(matches!(log.append(&[vec![0; 65 << 20]]), Err(StoreError::TooLong { .. })));
    log.append(&[b"fits".to_vec()]).unwrap();
}

#[test]
fn a_directory_of_the_file_system_stores_a_log() {
    let path = std::env::temp_dir().join(format!("lugwharf-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    let (mut log, recovered) = Log::open(&path).unwrap();
    assert_eq!(recovered.records, Vec::<Vec<u8>>::new());
    log.append(&[b"one".to_vec()]).unwrap();
    log.rewrite(&[b"two".to_vec()]).unwrap();
    log.append(&[b"three".to_vec()]).unwrap();
    let (_, recovered) = Log::open(&path).unwrap();
    assert_eq!(recovered.records, vec![b"two".to_vec(), b"three".to_vec()]);
    Log::quarantine(&path).unwrap();
    assert_eq!(Log::open_on(FileSystemDirectory::new(&path)).unwrap().1.records, Vec::<Vec<u8>>::new());
    std::fs::remove_dir_all(&path).unwrap();
}

/// The record is far shorter than the frame limit, but longer than a limit with a wrong factor would allow.
#[test]
fn a_long_record_is_recovered() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    let long = vec![3; 3 << 20];
    log.append(std::slice::from_ref(&long)).unwrap();
    assert_eq!(reopen(&disk).records, vec![long]);
}

/// The disk fails, so an I/O error shows that the longest frame has passed the log's own length check.
#[test]
fn the_longest_frame_passes_the_length_check() {
    let disk = SimulatedDisk::new();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    disk.set_failing(true);
    let longest = (64 << 20) - LENGTH_BYTES;
    assert!(matches!(log.append(&[vec![0; longest]]), Err(StoreError::Io(_))));
    assert!(matches!(log.append(&[vec![0; longest + 1]]), Err(StoreError::TooLong { .. })));
}

/// Frame checksums cover the generation, so that a frame of an earlier file is not accepted as a frame of the
/// current file.
#[test]
fn each_rewrite_increments_the_generation() {
    const GENERATION: std::ops::Range<usize> = 8..16;
    let disk = disk_with_batches();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    let generation =
        || u64::from_le_bytes(disk.read("log").unwrap().unwrap()[GENERATION].try_into().unwrap());
    assert_eq!(generation(), 1);
    log.rewrite(&[b"kept".to_vec()]).unwrap();
    assert_eq!(generation(), 2);
    log.rewrite(&[b"kept".to_vec()]).unwrap();
    assert_eq!(generation(), 3);
}

/// The torn last frame contains a record with the bytes of a valid frame with the expected sequence number.
#[test]
fn a_torn_tail_that_contains_the_expected_frame_is_not_corruption() {
    let source = SimulatedDisk::new();
    Log::open_on(source.clone()).unwrap().0.append(&[b"inner".to_vec()]).unwrap();
    let inner = source.read("log").unwrap().unwrap()[HEADER_BYTES..].to_vec();
    let disk = SimulatedDisk::new();
    let (mut log, _) = Log::open_on(disk.clone()).unwrap();
    log.append(&[inner, b"more".to_vec()]).unwrap();
    let length = log.len_bytes() as usize;
    disk.truncate("log", length - 1);
    let recovered = reopen(&disk);
    assert_eq!(recovered.records, Vec::<Vec<u8>>::new());
    assert!(recovered.torn_tail.is_some());
}
