//! Outlier ejection: ejection times, trials, and the bound on the ejected share of a pool.

mod common;

use common::{TestQuery, balancer, key_of, ms, select, select_with, unstaged_servers};
use lugwharf_routing::{FailureKind, Observation, OutlierEjection, Phase, Tuning, WorkSize};

#[test]
fn failed_trials_double_the_ejection_time_and_a_success_clears_it() {
    let tuning = Tuning::default();
    let mut ejection = OutlierEjection::default();
    assert!(!ejection.record_failure(FailureKind::ConnectionBroken, &tuning), "one failure may be chance");
    assert!(ejection.record_failure(FailureKind::ConnectionBroken, &tuning));
    let mut now = ms(0);
    for expected in [500, 1_000, 2_000, 4_000, 8_000, 8_000] {
        ejection.eject(now, &tuning);
        assert!(ejection.is_ejected(now + ms(expected - 1)));
        now += ms(expected);
        assert!(!ejection.is_ejected(now), "after {expected} ms");
        ejection.record_start();
        assert!(ejection.is_ejected(now), "one trial at a time");
        assert!(ejection.record_failure(FailureKind::ConnectionBroken, &tuning));
    }
    ejection.record_success();
    assert_eq!(ejection, OutlierEjection::default());
}

/// Attempts that were in flight together fail one after the other, for example when a server crashes under
/// load.
#[test]
fn failures_that_were_in_flight_together_eject_for_the_base_time() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(2));
    let key = key_of(&mut balancer, "a");
    (0..8).for_each(|_| balancer.record_start(key, Phase::Full));
    for at in 0..8 {
        let (elapsed, timeout, work) = (ms(1), ms(1), WorkSize::default());
        let kind = FailureKind::ConnectionBroken;
        let failed = Observation::Failure { kind, elapsed, timeout, work };
        balancer.record_observation(ms(at), key, Phase::Full, failed);
        balancer.record_end(key, Phase::Full);
    }
    let mut is_selected =
        |at| (0..100).any(|_| select(&mut balancer, at).expect("a server is selected").key == key);
    // The second failure ejects the server for 500 ms.
    assert!(!is_selected(ms(500)));
    assert!(is_selected(ms(501)));
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(4));
    let keys = ["a", "b", "c", "d"].map(|id| key_of(&mut balancer, id));
    for key in keys {
        let (elapsed, timeout, work) = (ms(1), ms(1), WorkSize::default());
        let failed = Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work };
        balancer.record_observation(ms(0), key, Phase::Full, failed);
    }
    let mut selected: Vec<_> =
        (0..100).map(|_| select(&mut balancer, ms(1)).expect("a server is selected").key).collect();
    selected.sort_unstable();
    selected.dedup();
    assert_eq!(selected, keys[2..], "the first two are ejected, the others are not");
}

#[test]
fn ejected_servers_are_selected_if_no_other_is_eligible() {
    let mut balancer = balancer(Tuning::default(), unstaged_servers(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    let (elapsed, timeout, work) = (ms(1), ms(1), WorkSize::default());
    balancer.record_observation(
        ms(0),
        a,
        Phase::Full,
        Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work },
    );
    let prompt = Default::default();
    let query = TestQuery { phase: Phase::Full, prompt: &prompt, excluded: &[b], zone: "home" };
    assert_eq!(select_with(&mut balancer, ms(1), &query).expect("a server is selected").key, a);
}
