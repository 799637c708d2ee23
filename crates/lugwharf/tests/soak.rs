//! The short form of the soak: fixed seeds, with no trouble, one, and several at a time.
//!
//! `lugwharf-soak` plays more of them; a seed that fails here leaves its records in the folder that the panic names.

use lugwharf_soak::{Overlap, Scenario, Schedule, run, write_run_folder};
use rstest::rstest;
use std::path::Path;
use std::time::Duration;

/// For how long troubles go on.
const LENGTH: Duration = Duration::from_secs(6);

#[rstest]
#[case::calm_with_three(1, 0)]
#[case::calm_with_five(3, 0)]
#[case::one_trouble_at_a_time(12, 1)]
#[case::two(21, 2)]
#[case::two_with_five(23, 2)]
#[case::three(30, 3)]
#[tokio::test]
async fn a_seed_of_the_soak_finds_nothing(#[case] seed: u64, #[case] overlap: usize) {
    finds_nothing(&Scenario::of(seed, Overlap(overlap), LENGTH)).await;
}

#[rstest]
#[case::calm(101, 0)]
#[case::two(102, 2)]
#[case::three_with_five(103, 3)]
#[tokio::test]
async fn a_seed_of_the_soak_without_a_core_finds_nothing(#[case] seed: u64, #[case] overlap: usize) {
    finds_nothing(&Scenario::without_core(seed, Overlap(overlap), LENGTH)).await;
}

async fn finds_nothing(scenario: &Scenario) {
    let seed = scenario.seed;
    let schedule = Schedule::draw(scenario);
    let outcome = run(Path::new(env!("CARGO_BIN_EXE_lugwharf")), scenario, &schedule).await.expect("a run");
    assert!(
        outcome.requests > 100 && outcome.reads > 10,
        "{} requests, {} reads",
        outcome.requests,
        outcome.reads
    );
    if outcome.findings.is_empty() {
        return;
    }
    let folder = std::env::temp_dir().join(format!("lugwharf-soak-{}-{seed}", std::process::id()));
    write_run_folder(&folder, &outcome).expect("a folder");
    panic!("seed {seed}: {:#?}\nrecords in {}", outcome.findings, folder.display());
}
