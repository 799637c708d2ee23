//! Each switch of the tuning takes its mechanism out, and nothing else is needed for that.

mod common;

use common::{Ask, balancer, choose, choose_with, entry, key_of, ms, plain};
use lugwharf_protocol::Stage;
use lugwharf_routing::{Failure, Part, Prompt, Sample, ServerKey, Tuning, Work};
use rstest::rstest;
use std::collections::BTreeMap;

const DRAWS: usize = 400;

/// How often each server is chosen.
fn draws(balancer: &mut lugwharf_routing::Balancer) -> BTreeMap<ServerKey, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..DRAWS {
        *counts.entry(choose(balancer, ms(1)).expect("a server").key).or_insert(0) += 1;
    }
    counts
}

fn answered(took: u64) -> Sample {
    Sample::Answered { took: ms(took), work: Work::default() }
}

/// With two candidates the slowest of three is never chosen, with one as often as the others.
#[rstest]
#[case::two(true, 0)]
#[case::one(false, DRAWS / 5)]
fn switch_draws_two(#[case] draws_two: bool, #[case] least: usize) {
    let mut balancer = balancer(Tuning { draws_two, ..Tuning::default() }, plain(3));
    let slow = key_of(&mut balancer, "a");
    for (id, took) in [("a", 900), ("b", 10), ("c", 10)] {
        let key = key_of(&mut balancer, id);
        balancer.observed(ms(0), key, Part::Whole, answered(took));
    }
    let count = draws(&mut balancer).get(&slow).copied().unwrap_or(0);
    assert!(if draws_two { count == 0 } else { count >= least }, "{count}");
}

/// Of two equal servers the one with requests in flight loses, unless they don't count.
#[rstest]
#[case::counts(true)]
#[case::does_not(false)]
fn switch_counts_in_flight(#[case] counts_in_flight: bool) {
    let mut balancer = balancer(Tuning { counts_in_flight, ..Tuning::default() }, plain(2));
    let busy = key_of(&mut balancer, "a");
    (0..3).for_each(|_| balancer.started(busy, Part::Whole));
    let count = draws(&mut balancer).get(&busy).copied().unwrap_or(0);
    assert_eq!(count > 0, !counts_in_flight, "{count}");
}

/// One slow answer after many fast ones prices a server at once, or hardly.
#[rstest]
#[case::at_once(true)]
#[case::smoothly(false)]
fn switch_rises_at_once(#[case] rises_at_once: bool) {
    let mut balancer = balancer(Tuning { rises_at_once, ..Tuning::default() }, plain(2));
    let (spiky, steady) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.observed(ms(0), spiky, Part::Whole, answered(10));
    balancer.observed(ms(0), steady, Part::Whole, answered(50));
    balancer.observed(ms(0), spiky, Part::Whole, answered(900));
    let count = draws(&mut balancer).get(&spiky).copied().unwrap_or(0);
    assert_eq!(count > 0, !rises_at_once, "{count}");
}

/// A failure prices a server, unless it is no sample.
#[rstest]
#[case::samples(true)]
#[case::does_not(false)]
fn switch_samples_failures(#[case] samples_failures: bool) {
    let mut balancer = balancer(Tuning { samples_failures, ..Tuning::default() }, plain(2));
    let (failed, other) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.observed(ms(0), failed, Part::Whole, answered(10));
    balancer.observed(ms(0), other, Part::Whole, answered(50));
    let (took, timeout, work) = (ms(5), ms(1_000), Work::default());
    balancer.observed(
        ms(0),
        failed,
        Part::Whole,
        Sample::Failed { failure: Failure::Status, took, timeout, work },
    );
    let count = draws(&mut balancer).get(&failed).copied().unwrap_or(0);
    assert_eq!(count > 0, !samples_failures, "{count}");
}

/// A server without samples counts as the median of the others, or as the fastest.
#[rstest]
#[case::median(true)]
#[case::fastest(false)]
fn switch_starts_at_median(#[case] starts_at_median: bool) {
    let mut balancer = balancer(Tuning { starts_at_median, ..Tuning::default() }, plain(3));
    let unknown = key_of(&mut balancer, "a");
    for (id, took) in [("b", 100), ("c", 100)] {
        let key = key_of(&mut balancer, id);
        balancer.observed(ms(0), key, Part::Whole, answered(took));
    }
    balancer.started(unknown, Part::Whole);
    let count = draws(&mut balancer).get(&unknown).copied().unwrap_or(0);
    assert_eq!(count > 0, !starts_at_median, "{count}");
}

#[rstest]
#[case::home_first(true)]
#[case::anywhere(false)]
fn switch_prefers_home(#[case] prefers_home: bool) {
    let entries = vec![entry("a", "home", None), entry("b", "away", None), entry("c", "away", None)];
    let mut balancer = balancer(Tuning { prefers_home, ..Tuning::default() }, entries);
    let home = key_of(&mut balancer, "a");
    let count = draws(&mut balancer).get(&home).copied().unwrap_or(0);
    assert_eq!(count == DRAWS, prefers_home, "{count}");
}

#[rstest]
#[case::ejects(true)]
#[case::does_not(false)]
fn switch_ejects(#[case] ejects: bool) {
    let tuning = Tuning { ejects, samples_failures: false, ..Tuning::default() };
    let mut balancer = balancer(tuning, plain(4));
    let failing = key_of(&mut balancer, "a");
    let (took, timeout, work) = (ms(5), ms(1_000), Work::default());
    balancer.observed(
        ms(0),
        failing,
        Part::Whole,
        Sample::Failed { failure: Failure::Connect, took, timeout, work },
    );
    let count = draws(&mut balancer).get(&failing).copied().unwrap_or(0);
    assert_eq!(count > 0, !ejects, "{count}");
}

/// Requests with one shared part go to one server where all are alike, or anywhere.
#[rstest]
#[case::steers(true)]
#[case::does_not(false)]
fn switch_steers(#[case] steers: bool) {
    let entries = (0..9).map(|number| entry(&format!("s{number}"), "home", Some(Stage::Prefill))).collect();
    let mut balancer = balancer(Tuning { steers, ..Tuning::default() }, entries);
    let prompt = Prompt::parse(Some("a1:1000,b1:10"), Some("1010,5"));
    let ask = Ask { part: Part::Prefill, prompt: &prompt, excluded: &[], zone: "home" };
    let mut chosen: Vec<ServerKey> =
        (0..50).map(|_| choose_with(&mut balancer, ms(1), &ask).expect("a server").key).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len() == 1, steers, "{}", chosen.len());
}
