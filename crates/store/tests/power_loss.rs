//! Simulates a power loss at every disk operation: synced records are durable, unsynced appends are recovered
//! completely or not at all.

use lugwharf_store::Log;
use lugwharf_store::simulated::SimulatedDisk;

const SEEDS: u64 = 400;
/// More disk operations than any step below performs.
const MAX_OPERATIONS: usize = 8;

fn record(rng: &mut fastrand::Rng) -> Vec<u8> {
    let length = rng.usize(0..300);
    std::iter::repeat_with(|| rng.u8(..)).take(length).collect()
}

fn batch(rng: &mut fastrand::Rng) -> Vec<Vec<u8>> {
    let count = rng.usize(1..4);
    std::iter::repeat_with(|| record(rng)).take(count).collect()
}

/// Performs steps until one fails, simulates a power loss and checks the recovered records. The failed step
/// may have taken effect or not.
fn run_until_failure(seed: u64, fails_after: usize) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let disk = SimulatedDisk::new();
    let mut expected: Vec<Vec<u8>> = Vec::new();
    for _ in 0..4 {
        let (mut log, recovered) = Log::open_on(disk.clone()).unwrap();
        assert_eq!(recovered.records, expected, "seed {seed}, failure after {fails_after}");
        for _ in 0..rng.usize(0..5) {
            step(&mut log, &mut expected, &mut rng).unwrap();
        }
        disk.fail_after(fails_after);
        let mut attempted = expected.clone();
        while step(&mut log, &mut attempted, &mut rng).is_ok() {
            expected = attempted.clone();
        }
        disk.lose_power(&mut rng);
        let (_, recovered) = Log::open_on(disk.clone()).unwrap();
        let is_consistent = recovered.records == expected || recovered.records == attempted;
        assert!(is_consistent, "seed {seed}, failure after {fails_after}");
        expected = recovered.records;
    }
}

/// Appends to or rewrites the log. Sets `expected` to the content of the log if the step succeeds.
fn step(
    log: &mut Log<SimulatedDisk>, expected: &mut Vec<Vec<u8>>, rng: &mut fastrand::Rng,
) -> Result<(), lugwharf_store::StoreError> {
    let added = batch(rng);
    if rng.u8(..4) == 0 {
        *expected = added.clone();
        return log.rewrite(&added);
    }
    expected.extend(added.clone());
    log.append(&added)
}

#[test]
fn synced_records_survive_a_power_loss_at_every_operation() {
    for seed in 0..SEEDS {
        for fails_after in 0..MAX_OPERATIONS {
            run_until_failure(seed, fails_after);
        }
    }
}

#[test]
fn a_log_is_usable_after_a_power_loss_at_its_creation() {
    for seed in 0..SEEDS {
        for fails_after in 0..MAX_OPERATIONS {
            let mut rng = fastrand::Rng::with_seed(seed);
            let disk = SimulatedDisk::new();
            disk.fail_after(fails_after);
            let _ = Log::open_on(disk.clone());
            disk.lose_power(&mut rng);
            disk.fail_after(usize::MAX);
            let (mut log, recovered) = Log::open_on(disk.clone()).unwrap();
            assert_eq!(recovered.records, Vec::<Vec<u8>>::new(), "seed {seed}, failure after {fails_after}");
            log.append(&[b"one".to_vec()]).unwrap();
            disk.lose_power(&mut rng);
            let (_, recovered) = Log::open_on(disk).unwrap();
            assert_eq!(recovered.records, vec![b"one".to_vec()], "seed {seed}, failure after {fails_after}");
        }
    }
}

/// A process that dies between a write and the sync leaves bytes that exist only in the page cache. The next
/// process reads them, so it must sync them before relying on them.
#[test]
fn recovered_records_are_synced_before_they_are_returned() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = SimulatedDisk::new();
        let (mut log, _) = Log::open_on(disk.clone()).unwrap();
        disk.fail_after(1);
        assert!(log.append(&[b"unsynced".to_vec()]).is_err());
        let (_, read) = Log::open_on(disk.clone()).unwrap();
        disk.lose_power(&mut rng);
        let (_, recovered) = Log::open_on(disk).unwrap();
        assert_eq!(recovered.records, read.records, "seed {seed}");
    }
}

/// After a rewrite whose directory sync failed, nothing is appended until the directory is synced.
#[test]
fn an_append_after_an_unsynced_rename_is_durable() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let disk = SimulatedDisk::new();
        let (mut log, _) = Log::open_on(disk.clone()).unwrap();
        disk.fail_after(4);
        assert!(log.rewrite(&[b"kept".to_vec()]).is_err());
        log.append(&[b"added".to_vec()]).unwrap();
        disk.lose_power(&mut rng);
        let (_, recovered) = Log::open_on(disk).unwrap();
        assert_eq!(recovered.records, vec![b"kept".to_vec(), b"added".to_vec()], "seed {seed}");
    }
}

/// A rewrite with several frames takes effect completely or not at all.
#[test]
fn a_long_rewrite_is_atomic_at_every_operation_that_fails() {
    let long: Vec<Vec<u8>> = (1..=3).map(|number| vec![number; 700 << 10]).collect();
    let (mut old_count, mut new_count) = (0, 0);
    for seed in 0..8 {
        // The failing operation: creating the file, one of three frame writes, the sync, the rename, the
        // directory sync, or none.
        for fails_after in 0..8 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let disk = SimulatedDisk::new();
            let (mut log, _) = Log::open_on(disk.clone()).unwrap();
            log.append(&[b"old".to_vec()]).unwrap();
            disk.fail_after(fails_after);
            let written = log.rewrite(&long);
            disk.lose_power(&mut rng);
            disk.fail_after(usize::MAX);
            let (mut log, recovered) = Log::open_on(disk.clone()).unwrap();
            let is_new = recovered.records == long;
            assert!(is_new || recovered.records == [b"old".to_vec()], "seed {seed}, after {fails_after}");
            assert!(is_new || written.is_err(), "seed {seed}, after {fails_after}");
            old_count += usize::from(!is_new);
            new_count += usize::from(is_new);
            log.append(&[b"added".to_vec()]).unwrap();
            let (_, recovered) = Log::open_on(disk).unwrap();
            assert_eq!(recovered.records.last(), Some(&b"added".to_vec()));
        }
    }
    assert!(old_count >= 40 && new_count >= 8, "{old_count} old, {new_count} new");
}
