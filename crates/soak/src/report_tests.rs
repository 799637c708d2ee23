//! Tests of the files of a failing seed, and of the text of the summary.

use crate::finding::Finding;
use crate::harness::RunOutcome;
use crate::report::{Summary, write_run_folder};
use crate::schedule::Schedule;

fn outcome() -> RunOutcome {
    RunOutcome {
        schedule: Schedule::parse("crowd 100 200 3 4\nmute 299 50 1 2\n").expect("the schedule is valid"),
        findings: vec![Finding { rule: "drain", facts: "i-5-1".to_owned() }],
        requests: 7,
        successes: 5,
        changes: 3,
        reads: 2,
        ledger: "ledger\n".to_owned(),
        logs: "logs\n".to_owned(),
    }
}

#[test]
fn a_run_folder_holds_schedule_findings_ledger_and_logs() {
    let folder = std::env::temp_dir().join(format!("lugwharf-soak-report-{}", std::process::id()));
    write_run_folder(&folder, &outcome()).expect("the run folder is written");
    let mut files: Vec<(String, String)> = std::fs::read_dir(&folder)
        .expect("the run folder is listed")
        .map(|file| file.expect("the directory entry is readable"))
        .map(|file| {
            let text = std::fs::read_to_string(file.path()).expect("the file is readable text");
            (file.file_name().to_string_lossy().into_owned(), text)
        })
        .collect();
    std::fs::remove_dir_all(&folder).expect("the run folder is removed");
    files.sort();
    let expected = [
        ("findings.txt", "drain: i-5-1\n"),
        ("ledger.txt", "ledger\n"),
        ("processes.log", "logs\n"),
        ("schedule.txt", "crowd 100 200 3 4\nmute 299 50 1 2\n"),
    ];
    assert_eq!(files, expected.map(|(name, text)| (name.to_owned(), text.to_owned())));
}

#[test]
fn a_summary_counts_seeds_requests_faults_overlapping_kinds_and_rules() {
    let mut summary = Summary::default();
    assert!(summary.is_clean());
    summary.add(9, &outcome());
    summary.add(10, &RunOutcome { findings: Vec::new(), ..outcome() });
    assert!(!summary.is_clean());
    let expected = "\
seeds 2, failed 1 {9}
requests 14, successes 10
changes 6, reads 4
pairs of fault kinds that overlapped 1 of 861
  mute              2
  crowd             2
violations 1
  drain                 1
";
    assert_eq!(summary.to_string(), expected);
}
