//! Tests of the recovery of a log, and of the quarantine of an unusable log.

use super::{LogBatch, open};
use crate::command::Command;
use crate::record_owner::RecordOwner;
use rstest::rstest;
use std::fs;
use std::path::PathBuf;
use tokio::sync::mpsc;

fn directory(name: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("lugwharf-storage-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&directory));
    fs::create_dir_all(&directory).expect("cannot create the directory");
    directory
}

/// Writes one record and waits until it is synced.
fn write(directory: &std::path::Path, record: &[u8]) {
    let (commands, mut written) = mpsc::channel(4);
    let opened = open(directory, commands, |_| true).expect("cannot open the log");
    let records = vec![RecordOwner::Chain.tag_record(record.to_vec())];
    opened
        .writer
        .send(LogBatch { owner: RecordOwner::Chain, number: 1, records, is_rewrite: false })
        .expect("the storage thread has ended");
    assert!(matches!(written.blocking_recv(), Some(Command::Persisted(outcome)) if outcome.is_synced));
}

#[test]
fn synced_records_are_recovered() {
    let directory = directory("kept");
    write(&directory, b"one");
    let opened = open(&directory, mpsc::channel(4).0, |_| true).expect("cannot open the log");
    assert!(!opened.was_quarantined);
    assert_eq!(RecordOwner::Chain.untagged_records(&opened.records), [b"one".to_vec()]);
    drop(fs::remove_dir_all(directory));
}

#[rstest]
#[case::unrecoverable("unreadable", false)]
#[case::unknown_format("foreign", true)]
fn unusable_log_is_quarantined_and_replaced_by_an_empty_one(#[case] name: &str, #[case] overwrite: bool) {
    let directory = directory(name);
    write(&directory, b"one");
    if overwrite {
        for file in fs::read_dir(&directory).expect("cannot read the directory").flatten() {
            fs::write(file.path(), b"#!/bin/sh\necho this is no log of ours, and long enough\n")
                .expect("cannot overwrite the log file");
        }
    }
    let opened = open(&directory, mpsc::channel(4).0, |_| overwrite).expect("cannot open the log");
    assert!(opened.was_quarantined);
    assert_eq!(opened.records, Vec::<Vec<u8>>::new());
    drop(opened);
    let again = open(&directory, mpsc::channel(4).0, |_| true).expect("cannot open the log");
    assert!(!again.was_quarantined, "the new log is in place");
    drop(fs::remove_dir_all(directory));
}
