//! Short soak tests: fixed seeds without faults, with one fault at a time, and with several.
//!
//! `lugwharf-soak` runs more seeds. The records of a seed that fails here are in the directory that the panic
//! names.

use lugwharf_soak::{FaultKind, Overlap, Scenario, Schedule, run, write_run_folder};
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

/// How long faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(6);

#[rstest]
#[case::calm_with_three(1, 0)]
#[case::calm_with_five(3, 0)]
#[case::one_fault_at_a_time(12, 1)]
#[case::two(21, 2)]
#[case::two_with_five(23, 2)]
#[case::three(30, 3)]
#[tokio::test]
async fn soak_seed_has_no_findings(#[case] seed: u64, #[case] overlap: usize) {
    assert_no_findings(&Scenario::with_core(seed, Overlap(overlap), FAULT_DURATION)).await;
}

#[rstest]
#[case::calm(101, 0)]
#[case::two(102, 2)]
#[case::three_with_five(103, 3)]
#[tokio::test]
async fn soak_seed_with_hosted_control_has_no_findings(#[case] seed: u64, #[case] overlap: usize) {
    assert_no_findings(&Scenario::without_core(seed, Overlap(overlap), FAULT_DURATION)).await;
}

/// Guards against requests that are read whole and never answered, above all around shutdowns: planned work in
/// three series, beside clients that use each connection until it is gone. These seeds have three to five
/// shutdowns of a front-end node among up to six kinds of planned work.
#[rstest]
#[case(246)]
#[case(253)]
#[case(262)]
#[case(276)]
#[tokio::test]
async fn planned_work_has_no_findings(#[case] seed: u64) {
    let scenario = Scenario::with_core(seed, Overlap(3), FAULT_DURATION);
    let schedule = Schedule::draw_from_kinds(&scenario, &FaultKind::planned_kinds());
    assert_schedule_has_no_findings(&scenario, &schedule).await;
}

async fn assert_no_findings(scenario: &Scenario) {
    assert_schedule_has_no_findings(scenario, &Schedule::draw(scenario)).await;
}

async fn assert_schedule_has_no_findings(scenario: &Scenario, schedule: &Schedule) {
    let seed = scenario.seed;
    let outcome = run(Path::new(env!("CARGO_BIN_EXE_lugwharf")), scenario, schedule)
        .await
        .expect("the soak run failed");
    assert!(
        outcome.requests > 100 && outcome.reads > 10,
        "{} requests, {} reads",
        outcome.requests,
        outcome.reads
    );
    if outcome.findings.is_empty() {
        return;
    }
    let directory = std::env::temp_dir().join(format!("lugwharf-soak-{}-{seed}", std::process::id()));
    write_run_folder(&directory, &outcome).expect("cannot write the records of the run");
    panic!("seed {seed}: {:#?}\nrecords in {}", outcome.findings, directory.display());
}
