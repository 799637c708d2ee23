//! Peak EWMA, the score, power of two choices, locality and eligibility.

mod common;

use common::{
    SEED, TestQuery, balancer, entry, full_delta, key_of, ms, position, select, select_with, unstaged_servers,
};
use lugwharf_protocol::{ServerState, Stage};
use lugwharf_routing::{FailureKind, Observation, PeakEwma, Phase, Tuning, WorkSize};
use rstest::rstest;
use std::collections::HashMap;
use std::time::Duration;

const DECAY: Duration = Duration::from_secs(10);

#[rstest]
#[case::the_first_sample_is_the_average(&[(0, 100.0)], 100.0)]
#[case::a_higher_sample_replaces_it_at_once(&[(0, 100.0), (1, 250.0)], 250.0)]
#[case::a_lower_sample_at_the_same_time_changes_nothing(&[(0, 100.0), (0, 10.0)], 100.0)]
#[case::a_lower_sample_after_the_decay_time_has_weight_1_minus_1_over_e(&[(0, 100.0), (10_000, 0.0)], 36.787_944)]
#[case::a_lower_sample_long_after_replaces_it(&[(0, 100.0), (1_000_000, 10.0)], 10.0)]
#[case::invalid_samples_are_ignored(&[(0, 100.0), (1, f64::NAN), (2, f64::INFINITY), (3, -1.0)], 100.0)]
fn average_rises_at_once_and_decays_over_time(#[case] samples: &[(u64, f64)], #[case] expected: f64) {
    let mut average = PeakEwma::default();
    for (at, sample) in samples {
        average.observe(ms(*at), DECAY, *sample, true);
    }
    let value = average.value().expect("the average has a sample");
    assert!((value - expected).abs() < 1e-3, "{value} instead of {expected}");
}

#[test]
fn old_average_decays_towards_the_baseline() {
    let mut average = PeakEwma::default();
    assert_eq!(average.decayed(ms(0), DECAY, 7.0), 7.0, "no samples: the baseline");
    average.observe(ms(0), DECAY, 1_000.0, true);
    assert_eq!(average.decayed(ms(0), DECAY, 7.0), 1_000.0);
    assert!(average.decayed(ms(100_000), DECAY, 7.0) < 8.0);
}

fn success_after(elapsed_ms: u64) -> Observation {
    Observation::Success { elapsed: ms(elapsed_ms), work: WorkSize::default() }
}

#[test]
fn lower_product_of_latency_and_in_flight_wins() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), a, Phase::Full, success_after(10));
    balancer.record_observation(ms(0), b, Phase::Full, success_after(25));
    // 10 x 1 < 25 x 1; 10 x 2 < 25 x 1; 10 x 3 > 25 x 1.
    for (in_flight, expected) in [(0, a), (1, a), (2, b)] {
        assert_eq!(balancer.in_flight(a, Phase::Full), in_flight);
        assert_eq!(
            select(&mut balancer, ms(0)).expect("a server is selected").key,
            expected,
            "{in_flight} in flight"
        );
        balancer.record_start(a, Phase::Full);
    }
    balancer.record_end(a, Phase::Full);
    balancer.record_end(a, Phase::Full);
    assert_eq!(
        select(&mut balancer, ms(0)).expect("a server is selected").key,
        a,
        "ended requests are not in flight"
    );
}

#[test]
fn failure_is_sampled_as_the_longer_of_elapsed_time_and_timeout() {
    for (elapsed, timeout, expected) in [(5, 400, 400), (700, 400, 700)] {
        let mut balancer = balancer(Tuning::default(), unstaged_servers(1));
        let a = key_of(&mut balancer, "a");
        let failed = Observation::Failure {
            kind: FailureKind::Timeout,
            elapsed: ms(elapsed),
            timeout: ms(timeout),
            work: WorkSize::default(),
        };
        balancer.record_observation(ms(0), a, Phase::Full, failed);
        assert_eq!(select(&mut balancer, ms(0)).expect("a server is selected").estimate, ms(expected));
    }
}

#[test]
fn rejection_is_no_latency_sample_but_marks_the_server_saturated_for_a_while() {
    let tuning = Tuning::default();
    let mut balancer = balancer(tuning.clone(), unstaged_servers(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_observation(ms(0), a, Phase::Full, success_after(20));
    balancer.record_observation(ms(0), b, Phase::Full, success_after(40));
    assert_eq!(select(&mut balancer, ms(0)).expect("a server is selected").key, a);
    balancer.record_observation(ms(1), a, Phase::Full, Observation::Rejected);
    assert_eq!(select(&mut balancer, ms(2)).expect("a server is selected").key, b, "a is saturated");
    let later = select(&mut balancer, ms(2) + tuning.load_report_ttl).expect("a server is selected");
    assert_eq!((later.key, later.is_busy), (a, false));
    balancer.record_observation(ms(2), a, Phase::Full, Observation::Inconclusive);
    assert_eq!(select(&mut balancer, ms(2) + tuning.load_report_ttl).expect("a server is selected").key, a);
}

#[test]
fn candidates_are_distinct_so_the_worst_of_three_never_wins() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(3));
    let keys = ["a", "b", "c"].map(|id| key_of(&mut balancer, id));
    for (key, elapsed_ms) in keys.iter().zip([10, 20, 1_000]) {
        balancer.record_observation(ms(0), *key, Phase::Full, success_after(elapsed_ms));
    }
    let mut wins: HashMap<_, u32> = HashMap::new();
    for _ in 0..3_000 {
        *wins.entry(select(&mut balancer, ms(0)).expect("a server is selected").key).or_default() += 1;
    }
    assert_eq!(wins.get(&keys[2]), None, "seed {SEED}: the worst can't be drawn twice");
    // The best server is in two of three pairs.
    let best = wins[&keys[0]];
    assert!((1_850..2_150).contains(&best), "seed {SEED}: {best} of 3000");
}

#[rstest]
#[case::none(0, None)]
#[case::one(1, Some("a"))]
fn selection_from_pools_of_one_or_none(#[case] servers: u8, #[case] expected: Option<&str>) {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(servers));
    let chosen = select(&mut balancer, ms(0)).ok();
    assert_eq!(chosen.as_ref().map(|selection| &*selection.id), expected);
}

#[test]
fn server_without_samples_starts_at_the_median_of_the_others() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(4));
    for (id, elapsed_ms) in [("a", 10), ("b", 30), ("c", 90)] {
        let key = key_of(&mut balancer, id);
        balancer.record_observation(ms(0), key, Phase::Full, success_after(elapsed_ms));
    }
    let others = ["a", "b", "c"].map(|id| key_of(&mut balancer, id));
    let prompt = Default::default();
    let query = TestQuery { phase: Phase::Full, prompt: &prompt, excluded: &others, zone: "home" };
    let new_server = select_with(&mut balancer, ms(0), &query).expect("the new server is selected");
    assert_eq!((&*new_server.id, new_server.estimate), ("d", ms(30)));
}

#[test]
fn phases_have_their_own_averages_and_counts() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(1));
    let a = key_of(&mut balancer, "a");
    balancer.record_observation(ms(0), a, Phase::Prefill, success_after(500));
    balancer.record_start(a, Phase::Prefill);
    assert_eq!(balancer.in_flight(a, Phase::Decode), 0);
    assert!(select(&mut balancer, ms(0)).expect("a server is selected").estimate < ms(10));
}

#[rstest]
#[case(Phase::Prefill, Stage::Prefill, true)]
#[case(Phase::Prefill, Stage::Decode, false)]
#[case(Phase::Decode, Stage::Decode, true)]
#[case(Phase::Decode, Stage::Prefill, false)]
#[case(Phase::Full, Stage::Decode, true)]
#[case(Phase::Full, Stage::Prefill, false)]
fn phase_is_served_only_by_servers_of_its_stage(
    #[case] phase: Phase, #[case] stage: Stage, #[case] fits: bool,
) {
    let mut balancer = balancer(Tuning::default(), vec![entry("a", "home", Some(stage))]);
    let prompt = Default::default();
    let query = TestQuery { phase, prompt: &prompt, excluded: &[], zone: "home" };
    assert_eq!(select_with(&mut balancer, ms(0), &query).is_ok(), fits);
}

#[test]
fn draining_servers_and_other_models_are_not_eligible() {
    let mut draining = entry("a", "home", None);
    draining.state = ServerState::Draining;
    let mut other = entry("b", "home", None);
    other.models[0].name = "other".to_owned();
    let mut balancer = balancer(Tuning::default(), vec![draining, other]);
    assert!(select(&mut balancer, ms(0)).is_err());
}

#[test]
fn misdirected_server_is_not_eligible_until_its_entry_changes_or_the_backoff_passed() {
    let tuning = Tuning::default();
    let mut balancer = balancer(tuning.clone(), unstaged_servers(1));
    let a = key_of(&mut balancer, "a");
    balancer.record_misdirected(ms(0), a);
    assert!(select(&mut balancer, ms(1)).is_err());
    assert!(!balancer.is_eligible(ms(1), a, Phase::Full));
    // An identical entry changes nothing.
    assert!(balancer.apply(ms(2), &full_delta(position(1, 2), unstaged_servers(1))));
    assert!(select(&mut balancer, ms(2)).is_err());
    let mut changed = unstaged_servers(1);
    changed[0].slots = 3;
    assert!(balancer.apply(ms(3), &full_delta(position(1, 3), changed)));
    assert!(select(&mut balancer, ms(3)).is_ok());
    balancer.record_misdirected(ms(4), a);
    assert!(select(&mut balancer, ms(4) + tuning.misdirected_backoff).is_ok());
}

#[test]
fn local_zone_is_preferred_while_it_is_fast_enough() {
    let entries = vec![entry("a", "home", None), entry("b", "away", None), entry("c", "away", None)];
    let mut balancer = balancer(Tuning::default(), entries);
    let a = key_of(&mut balancer, "a");
    balancer.record_observation(ms(0), a, Phase::Full, success_after(100));
    for id in ["b", "c"] {
        let key = key_of(&mut balancer, id);
        balancer.record_observation(ms(0), key, Phase::Full, success_after(10));
    }
    for _ in 0..50 {
        assert_eq!(
            select(&mut balancer, ms(0)).expect("a server is selected").key,
            a,
            "100 ms are within half of 300 ms"
        );
    }
    balancer.record_observation(ms(0), a, Phase::Full, success_after(1_000));
    let away =
        (0..50).filter(|_| select(&mut balancer, ms(0)).expect("a server is selected").key != a).count();
    assert_eq!(away, 50, "seed {SEED}: each pair has a faster one");
}

#[test]
fn requests_in_flight_are_limited_per_server() {
    let tuning = Tuning { min_in_flight_limit: 2, in_flight_limit_factor: 0.0, ..Tuning::default() };
    let mut balancer = balancer(tuning, unstaged_servers(1));
    let a = key_of(&mut balancer, "a");
    for _ in 0..2 {
        assert!(select(&mut balancer, ms(0)).is_ok());
        balancer.record_start(a, Phase::Full);
    }
    assert_eq!(select(&mut balancer, ms(0)), Err(lugwharf_routing::SelectionError::Saturated));
    balancer.record_end(a, Phase::Full);
    assert!(select(&mut balancer, ms(0)).is_ok());
}
