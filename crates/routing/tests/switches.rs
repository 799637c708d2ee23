//! Each switch of the tuning takes its mechanism out, and nothing else is needed for that.

mod common;

use common::{Ask, balancer, entry, key_of, ms, plain, select, select_with};
use lugwharf_protocol::Stage;
use lugwharf_routing::{FailureKind, Observation, Phase, Prompt, ServerKey, Tuning, WorkSize};
use rstest::rstest;
use std::collections::BTreeMap;

const DRAWS: usize = 400;

/// How often each server is chosen.
fn draws(balancer: &mut lugwharf_routing::Balancer) -> BTreeMap<ServerKey, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..DRAWS {
        *counts.entry(select(balancer, ms(1)).expect("a server").key).or_insert(0) += 1;
    }
    counts
}

fn answered(took: u64) -> Observation {
    Observation::Success { elapsed: ms(took), work: WorkSize::default() }
}

/// With two candidates the slowest of three is never chosen, with one as often as the others.
#[rstest]
#[case::two(true, 0)]
#[case::one(false, DRAWS / 5)]
fn switch_uses_two_choices(#[case] uses_two_choices: bool, #[case] least: usize) {
    let mut balancer = balancer(Tuning { uses_two_choices, ..Tuning::default() }, plain(3));
    let slow = key_of(&mut balancer, "a");
    for (id, took) in [("a", 900), ("b", 10), ("c", 10)] {
        let key = key_of(&mut balancer, id);
        balancer.record_observation(ms(0), key, Phase::Full, answered(took));
    }
    let count = draws(&mut balancer).get(&slow).copied().unwrap_or(0);
    assert!(if uses_two_choices { count == 0 } else { count >= least }, "{count}");
}

/// Of two equal servers the one with requests in flight loses, unless they don't count.
#[rstest]
#[case::counts(true)]
#[case::does_not(false)]
fn switch_counts_in_flight(#[case] counts_in_flight: bool) {
    let mut balancer = balancer(Tuning { counts_in_flight, ..Tuning::default() }, plain(2));
    let busy = key_of(&mut balancer, "a");
    (0..3).for_each(|_| balancer.record_start(busy, Phase::Full));
    let count = draws(&mut balancer).get(&busy).copied().unwrap_or(0);
    assert_eq!(count > 0, !counts_in_flight, "{count}");
}

/// One slow answer after many fast ones prices a server at once, or hardly.
#[rstest]
#[case::at_once(true)]
#[case::smoothly(false)]
fn switch_is_peak_sensitive(#[case] is_peak_sensitive: bool) {
    let mut balancer = balancer(Tuning { is_peak_sensitive, ..Tuning::default() }, plain(2));
    let (spiky, steady) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), spiky, Phase::Full, answered(10));
    balancer.record_observation(ms(0), steady, Phase::Full, answered(50));
    balancer.record_observation(ms(0), spiky, Phase::Full, answered(900));
    let count = draws(&mut balancer).get(&spiky).copied().unwrap_or(0);
    assert_eq!(count > 0, !is_peak_sensitive, "{count}");
}

/// A failure prices a server, unless it is no sample.
#[rstest]
#[case::samples(true)]
#[case::does_not(false)]
fn switch_samples_failures(#[case] samples_failures: bool) {
    let mut balancer = balancer(Tuning { samples_failures, ..Tuning::default() }, plain(2));
    let (failed, other) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), failed, Phase::Full, answered(10));
    balancer.record_observation(ms(0), other, Phase::Full, answered(50));
    let (elapsed, timeout, work) = (ms(5), ms(1_000), WorkSize::default());
    balancer.record_observation(
        ms(0),
        failed,
        Phase::Full,
        Observation::Failure { kind: FailureKind::ServerError, elapsed, timeout, work },
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
        balancer.record_observation(ms(0), key, Phase::Full, answered(took));
    }
    balancer.record_start(unknown, Phase::Full);
    let count = draws(&mut balancer).get(&unknown).copied().unwrap_or(0);
    assert_eq!(count > 0, !starts_at_median, "{count}");
}

#[rstest]
#[case::home_first(true)]
#[case::anywhere(false)]
fn switch_prefers_local_zone(#[case] prefers_local_zone: bool) {
    let entries = vec![entry("a", "home", None), entry("b", "away", None), entry("c", "away", None)];
    let mut balancer = balancer(Tuning { prefers_local_zone, ..Tuning::default() }, entries);
    let home = key_of(&mut balancer, "a");
    let count = draws(&mut balancer).get(&home).copied().unwrap_or(0);
    assert_eq!(count == DRAWS, prefers_local_zone, "{count}");
}

#[rstest]
#[case::ejects_outliers(true)]
#[case::does_not(false)]
fn switch_ejects_outliers(#[case] ejects_outliers: bool) {
    let tuning = Tuning { ejects_outliers, samples_failures: false, ..Tuning::default() };
    let mut balancer = balancer(tuning, plain(4));
    let failing = key_of(&mut balancer, "a");
    let (elapsed, timeout, work) = (ms(5), ms(1_000), WorkSize::default());
    balancer.record_observation(
        ms(0),
        failing,
        Phase::Full,
        Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work },
    );
    let count = draws(&mut balancer).get(&failing).copied().unwrap_or(0);
    assert_eq!(count > 0, !ejects_outliers, "{count}");
}

/// Requests with one shared part go to one server where all are alike, or anywhere.
#[rstest]
#[case::uses_prefix_affinity(true)]
#[case::does_not(false)]
fn switch_uses_prefix_affinity(#[case] uses_prefix_affinity: bool) {
    let entries = (0..9).map(|number| entry(&format!("s{number}"), "home", Some(Stage::Prefill))).collect();
    let mut balancer = balancer(Tuning { uses_prefix_affinity, ..Tuning::default() }, entries);
    let prompt = Prompt::parse(Some("a1:1000,b1:10"), Some("1010,5"));
    let ask = Ask { phase: Phase::Prefill, prompt: &prompt, excluded: &[], zone: "home" };
    let mut chosen: Vec<ServerKey> =
        (0..50).map(|_| select_with(&mut balancer, ms(1), &ask).expect("a server").key).collect();
    chosen.sort();
    chosen.dedup();
    assert_eq!(chosen.len() == 1, uses_prefix_affinity, "{}", chosen.len());
}
