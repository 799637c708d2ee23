//! Tests of the journal: at most one batch in flight, release of effects after the sync, and retries.

use crate::action::BatchId;
use crate::journal::{Effect, Journal};
use std::time::Duration;

const SUSPECT_AFTER: Duration = Duration::from_millis(700);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn journal() -> Journal {
    let mut journal = Journal::new(0);
    journal.append(vec![1]);
    journal.after_sync(Effect::BecomeReady);
    journal
}

#[test]
fn effects_are_released_after_their_records_are_synced() {
    let mut journal = journal();
    assert!(journal.take_released().is_empty());
    let batch = journal.start_batch(at(0)).unwrap();
    journal.after_sync(Effect::BecomeReady);
    assert!(journal.take_released().is_empty());
    assert_eq!(journal.record_persisted(batch.id).len(), 1);
    assert_eq!(journal.take_released().len(), 1);
}

#[test]
fn only_one_batch_is_in_flight() {
    let mut journal = journal();
    let first = journal.start_batch(at(0)).unwrap();
    journal.append(vec![2]);
    journal.append(vec![3]);
    assert!(journal.start_batch(at(1)).is_none());
    assert!(journal.record_persisted(BatchId(first.id.0 + 1)).is_empty());
    journal.record_persisted(first.id);
    let second = journal.start_batch(at(2)).unwrap();
    assert_eq!(second.records, vec![vec![2], vec![3]]);
}

#[test]
fn failed_batch_is_retried_and_disk_is_unhealthy_until_persisted() {
    let mut journal = journal();
    let batch = journal.start_batch(at(0)).unwrap();
    assert!(journal.is_healthy(at(10), SUSPECT_AFTER));
    journal.record_failure(at(10), batch.id);
    assert!(!journal.is_healthy(at(10), SUSPECT_AFTER));
    assert!(journal.record_persisted(batch.id).is_empty());
    assert!(journal.take_retry(at(100)).is_none());
    let retried = journal.take_retry(at(500)).unwrap();
    assert_eq!((retried.id, &retried.records), (batch.id, &batch.records));
    assert!(!journal.is_healthy(at(501), SUSPECT_AFTER));
    assert_eq!(journal.record_persisted(batch.id).len(), 1);
    assert!(journal.is_healthy(at(502), SUSPECT_AFTER));
}

#[test]
fn disk_that_hangs_is_unhealthy() {
    let mut journal = journal();
    journal.start_batch(at(0)).unwrap();
    assert!(journal.is_healthy(at(699), SUSPECT_AFTER));
    assert!(!journal.is_healthy(at(700), SUSPECT_AFTER));
    journal.discount_pause(at(1_000));
    assert!(journal.is_healthy(at(1_000), SUSPECT_AFTER));
}

#[test]
fn rewrite_replaces_the_records_of_the_next_batch() {
    let mut journal = journal();
    let batch = journal.start_rewrite(at(0), vec![vec![9; 10]]);
    assert!(batch.is_rewrite);
    assert_eq!(journal.log_bytes(), 10);
    assert_eq!(journal.record_persisted(batch.id).len(), 1);
    assert!(journal.start_batch(at(1)).is_none());
}
