//! Simulates a cluster of replicas in virtual time, with fault injection, clients and a checker of the safety
//! properties.
//!
//! Each run is determined by a seed, which is printed on failure. To replay a seed, optionally with a trace
//! of each step:
//!
//! ```text
//! CHAIN_SEED=17 cargo test -p lugwharf-chain --test simulation replay -- --nocapture
//! CHAIN_SEED=17 CHAIN_KIND=leaving CHAIN_TRACE=1 cargo test -p lugwharf-chain --test simulation replay -- --nocapture
//! ```
//!
//! | Variable | Meaning |
//! | --- | --- |
//! | `CHAIN_SEED` | the seed that `replay` runs |
//! | `CHAIN_KIND` | `dueling` (formerly `nervous`) or `leaving`, otherwise an ordinary run ([`runs::RunKind`]) |
//! | `CHAIN_TRACE` | if set, each step is printed with its virtual time in seconds |
//! | `CHAIN_SEEDS` | `first..end`: the range of seeds for the `many_seeds` tests |
//! | `CHAIN_THREADS` | the number of seeds that these tests run in parallel |
//!
//! [`harness`] contains the simulation, [`cases`] contains single scenarios, and `regression_digests` fixes
//! the digests of whole runs.

mod cases;
mod harness;
mod regression_digests;
mod runs;

use runs::RunKind;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The default seeds of ordinary runs.
const SEEDS: Range<u64> = 0..2_000;
/// The default seeds of runs with dueling proposers.
const DUELING_SEEDS: Range<u64> = 0..400;
/// The default seeds of runs with graceful leaves.
const LEAVING_SEEDS: Range<u64> = 0..1_000;
/// The maximum number of failed seeds that are printed.
const MAX_PRINTED_FAILURES: usize = 20;

/// Runs all seeds of a range on several threads.
fn run_seeds(seeds: Range<u64>, kind: RunKind) {
    let next = AtomicU64::new(seeds.start);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..thread_count() {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let result = std::panic::catch_unwind(|| kind.run_seed(seed));
                    if let Err(failure) = result.unwrap_or_else(|_| Err("a panic".to_owned())) {
                        failures
                            .lock()
                            .expect("no thread panics while it adds a failure")
                            .push((seed, failure));
                    }
                }
            });
        }
    });
    let mut failures = failures.into_inner().expect("no thread panics while it adds a failure");
    failures.sort();
    for (seed, failure) in failures.iter().take(MAX_PRINTED_FAILURES) {
        println!("seed {seed}: {failure}");
    }
    assert!(failures.is_empty(), "{} of {} seeds failed", failures.len(), seeds.end - seeds.start);
}

fn thread_count() -> usize {
    let chosen = std::env::var("CHAIN_THREADS").ok().and_then(|count| count.parse().ok());
    chosen.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |count| count.get().min(8)))
}

/// The range of `CHAIN_SEEDS`, or the default if the variable is not set.
fn seeds_or(default: Range<u64>) -> Range<u64> {
    let chosen = std::env::var("CHAIN_SEEDS").ok().and_then(|range| {
        let (first, end) = range.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    chosen.unwrap_or(default)
}

#[test]
fn many_seeds() {
    run_seeds(seeds_or(SEEDS), RunKind::Ordinary);
}

#[test]
fn many_seeds_with_dueling_proposers() {
    run_seeds(seeds_or(DUELING_SEEDS), RunKind::DuelingProposers);
}

#[test]
fn many_seeds_with_graceful_leaves() {
    run_seeds(seeds_or(LEAVING_SEEDS), RunKind::GracefulLeaves);
}

#[test]
fn replay() {
    let Some(seed) = std::env::var("CHAIN_SEED").ok().and_then(|seed| seed.parse().ok()) else { return };
    let kind = match std::env::var("CHAIN_KIND").as_deref() {
        Ok("dueling" | "nervous") => RunKind::DuelingProposers,
        Ok("leaving") => RunKind::GracefulLeaves,
        _ => RunKind::Ordinary,
    };
    if let Err(failure) = kind.run_seed(seed) {
        panic!("seed {seed}: {failure}");
    }
}
