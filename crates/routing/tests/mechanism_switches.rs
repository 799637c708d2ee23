//! Each switch of the tuning turns off its own mechanism.

mod common;

use common::{TestQuery, balancer, entry, key_of, ms, select, select_with, unstaged_servers};
use lugwharf_protocol::Stage;
use lugwharf_routing::{FailureKind, Observation, Phase, Prompt, ServerKey, Tuning, WorkSize};
use rstest::rstest;
use std::collections::BTreeMap;

const SELECTIONS: usize = 400;

/// Returns how often each server is selected.
fn count_selections(balancer: &mut lugwharf_routing::Balancer) -> BTreeMap<ServerKey, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..SELECTIONS {
        *counts.entry(select(balancer, ms(1)).expect("a server is selected").key).or_insert(0) += 1;
    }
    counts
}

fn success_after(elapsed_ms: u64) -> Observation {
    Observation::Success { elapsed: ms(elapsed_ms), work: WorkSize::default() }
}

/// With two choices the slowest of three servers is never selected; with one choice it is selected as often
/// as the others.
#[rstest]
#[case::two(true, 0)]
#[case::one(false, SELECTIONS / 5)]
fn switch_uses_two_choices(#[case] uses_two_choices: bool, #[case] min: usize) {
    let mut balancer = balancer(Tuning { uses_two_choices, ..Tuning::default() }, unstaged_servers(3));
    let slow = key_of(&mut balancer, "a");
    for (id, elapsed_ms) in [("a", 900), ("b", 10), ("c", 10)] {
        let key = key_of(&mut balancer, id);
        balancer.record_observation(ms(0), key, Phase::Full, success_after(elapsed_ms));
    }
    let count = count_selections(&mut balancer).get(&slow).copied().unwrap_or(0);
    assert!(if uses_two_choices { count == 0 } else { count >= min }, "{count}");
}

/// Of two servers with equal latency, the one with requests in flight is not selected, unless they don't
/// count towards the score.
#[rstest]
#[case::counts(true)]
#[case::does_not(false)]
fn switch_counts_in_flight(#[case] counts_in_flight: bool) {
    let mut balancer = balancer(Tuning { counts_in_flight, ..Tuning::default() }, unstaged_servers(2));
    let busy = key_of(&mut balancer, "a");
    (0..3).for_each(|_| balancer.record_start(busy, Phase::Full));
    let count = count_selections(&mut balancer).get(&busy).copied().unwrap_or(0);
    assert_eq!(count > 0, !counts_in_flight, "{count}");
}

/// One slow response after a fast one raises the average of a server at once, or gradually if the switch is
/// off.
#[rstest]
#[case::at_once(true)]
#[case::slowly(false)]
fn switch_is_peak_sensitive(#[case] is_peak_sensitive: bool) {
    let mut balancer = balancer(Tuning { is_peak_sensitive, ..Tuning::default() }, unstaged_servers(2));
    let (spiky, steady) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), spiky, Phase::Full, success_after(10));
    balancer.record_observation(ms(0), steady, Phase::Full, success_after(50));
    balancer.record_observation(ms(0), spiky, Phase::Full, success_after(900));
    let count = count_selections(&mut balancer).get(&spiky).copied().unwrap_or(0);
    assert_eq!(count > 0, !is_peak_sensitive, "{count}");
}

/// A failure raises the average of a server, unless failures are not sampled.
#[rstest]
#[case::samples(true)]
#[case::does_not(false)]
fn switch_samples_failures(#[case] samples_failures: bool) {
    let mut balancer = balancer(Tuning { samples_failures, ..Tuning::default() }, unstaged_servers(2));
    let (failed, other) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), failed, Phase::Full, success_after(10));
    balancer.record_observation(ms(0), other, Phase::Full, success_after(50));
    let (elapsed, timeout, work) = (ms(5), ms(1_000), WorkSize::default());
    balancer.record_observation(
        ms(0),
        failed,
        Phase::Full,
        Observation::Failure { kind: FailureKind::ServerError, elapsed, timeout, work },
    );
    let count = count_selections(&mut balancer).get(&failed).copied().unwrap_or(0);
    assert_eq!(count > 0, !samples_failures, "{count}");
}

/// A server without samples is assumed to have the median latency of the others, or a low latency if the
/// switch is off.
#[rstest]
#[case::median(true)]
#[case::fastest(false)]
fn switch_starts_at_median(#[case] starts_at_median: bool) {
    let mut balancer = balancer(Tuning { starts_at_median, ..Tuning::default() }, unstaged_servers(3));
    let unknown = key_of(&mut balancer, "a");
    for (id, elapsed_ms) in [("b", 100), ("c", 100)] {
        let key = key_of(&mut balancer, id);
        balancer.record_observation(ms(0), key, Phase::Full, success_after(elapsed_ms));
    }
    balancer.record_start(unknown, Phase::Full);
    let count = count_selections(&mut balancer).get(&unknown).copied().unwrap_or(0);
    assert_eq!(count > 0, !starts_at_median, "{count}");
}

#[rstest]
#[case::local_first(true)]
#[case::anywhere(false)]
fn switch_prefers_local_zone(#[case] prefers_local_zone: bool) {
    let entries = vec![entry("a", "home", None), entry("b", "away", None), entry("c", "away", None)];
    let mut balancer = balancer(Tuning { prefers_local_zone, ..Tuning::default() }, entries);
    let home = key_of(&mut balancer, "a");
    let count = count_selections(&mut balancer).get(&home).copied().unwrap_or(0);
    assert_eq!(count == SELECTIONS, prefers_local_zone, "{count}");
}

#[rstest]
#[case::ejects_outliers(true)]
#[case::does_not(false)]
fn switch_ejects_outliers(#[case] ejects_outliers: bool) {
    let tuning = Tuning { ejects_outliers, samples_failures: false, ..Tuning::default() };
    let mut balancer = balancer(tuning, unstaged_servers(4));
    let failing = key_of(&mut balancer, "a");
    let (elapsed, timeout, work) = (ms(5), ms(1_000), WorkSize::default());
    balancer.record_observation(
        ms(0),
        failing,
        Phase::Full,
        Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work },
    );
    let count = count_selections(&mut balancer).get(&failing).copied().unwrap_or(0);
    assert_eq!(count > 0, !ejects_outliers, "{count}");
}

/// Requests with a shared segment go to one of several equal servers, or to any of them if the switch is off.
#[rstest]
#[case::uses_prefix_affinity(true)]
#[case::does_not(false)]
fn switch_uses_prefix_affinity(#[case] uses_prefix_affinity: bool) {
    let entries = (0..9).map(|number| entry(&format!("s{number}"), "home", Some(Stage::Prefill))).collect();
    let mut balancer = balancer(Tuning { uses_prefix_affinity, ..Tuning::default() }, entries);
    let prompt = Prompt::parse(Some("a1:1000,b1:10"), Some("1010,5"));
    let query = TestQuery { phase: Phase::Prefill, prompt: &prompt, excluded: &[], zone: "home" };
    let mut selected: Vec<ServerKey> = (0..50)
        .map(|_| select_with(&mut balancer, ms(1), &query).expect("a server is selected").key)
        .collect();
    selected.sort();
    selected.dedup();
    assert_eq!(selected.len() == 1, uses_prefix_affinity, "{}", selected.len());
}
