//! Simulation of a cluster of replicas on virtual time, with faults, clients and a checker of the safety properties.
//!
//! Each run comes from one seed, which a failure prints. To replay a seed, and to see each step of it:
//!
//! ```text
//! CHAIN_SEED=17 cargo test -p lugwharf-chain --test simulation replay -- --nocapture
//! CHAIN_SEED=17 CHAIN_KIND=leaving CHAIN_TRACE=1 cargo test -p lugwharf-chain --test simulation replay -- --nocapture
//! ```
//!
//! | variable | meaning |
//! | --- | --- |
//! | `CHAIN_SEED` | the seed that `replay` plays |
//! | `CHAIN_KIND` | its kind of run: `dueling` (or `nervous`, its earlier name), `leaving`; else an ordinary run ([`runs::RunKind`]) |
//! | `CHAIN_TRACE` | if set, each step is printed with its virtual time in seconds |
//! | `CHAIN_SEEDS` | `first..end`: the seeds of the tests of many seeds |
//! | `CHAIN_THREADS` | how many seeds these play at a time |
//!
//! [`harness`] is the simulation itself, [`cases`] are single situations, and `regression_digests` fixes what whole runs show.

mod cases;
mod harness;
mod regression_digests;
mod runs;

use runs::RunKind;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// The seeds of ordinary runs that every run of the tests plays.
const SEEDS: Range<u64> = 0..2_000;
/// The seeds of runs with dueling proposers.
const DUELING_SEEDS: Range<u64> = 0..400;
/// The seeds of runs with graceful leaves.
const LEAVING_SEEDS: Range<u64> = 0..1_000;
/// How many failed seeds are printed.
const MAX_PRINTED_FAILURES: usize = 20;

/// Plays all seeds of a range, on several threads.
fn play_seeds(seeds: Range<u64>, kind: RunKind) {
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
                    let played = std::panic::catch_unwind(|| kind.play_seed(seed));
                    if let Err(failure) = played.unwrap_or_else(|_| Err("a panic".to_owned())) {
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

/// The range of `CHAIN_SEEDS`, or else the usual one.
fn seeds_or(usual: Range<u64>) -> Range<u64> {
    let chosen = std::env::var("CHAIN_SEEDS").ok().and_then(|range| {
        let (first, end) = range.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    });
    chosen.unwrap_or(usual)
}

#[test]
fn many_seeds() {
    play_seeds(seeds_or(SEEDS), RunKind::Ordinary);
}

#[test]
fn many_seeds_with_dueling_proposers() {
    play_seeds(seeds_or(DUELING_SEEDS), RunKind::DuelingProposers);
}

#[test]
fn many_seeds_with_graceful_leaves() {
    play_seeds(seeds_or(LEAVING_SEEDS), RunKind::GracefulLeaves);
}

#[test]
fn replay() {
    let Some(seed) = std::env::var("CHAIN_SEED").ok().and_then(|seed| seed.parse().ok()) else { return };
    let kind = match std::env::var("CHAIN_KIND").as_deref() {
        Ok("dueling" | "nervous") => RunKind::DuelingProposers,
        Ok("leaving") => RunKind::GracefulLeaves,
        _ => RunKind::Ordinary,
    };
    if let Err(failure) = kind.play_seed(seed) {
        panic!("seed {seed}: {failure}");
    }
}
