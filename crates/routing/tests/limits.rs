//! What may be sent again: budget windows, attempts, ejection; and which lists are taken.

mod common;

use common::*;
use lugwharf_protocol::{ServerDelta, TablePosition};
use lugwharf_routing::{
    Attempts, Balancer, FailureKind, KvTransferBreaker, LoadReport, Observation, OutlierEjection, Phase,
    RetryBudget, TrafficSplitter, Tuning, WorkSize, by_weight,
};
use rstest::rstest;
use std::time::Duration;

#[test]
fn no_window_gets_more_extras_than_its_requests_and_the_share_of_the_slack_allow() {
    // 10 requests a second, and as many wishes for repeats, over a minute; every sliding window is looked at.
    let (mut budget, terms) = (RetryBudget::default(), terms());
    let (mut requests, mut extras) = (Vec::new(), Vec::new());
    for step in 0..600u64 {
        let now = ms(step * 100);
        // A pause in the middle: what was earned before it is not kept.
        if !(200..400).contains(&step) {
            budget.deposit(now, &terms);
            requests.push(now);
        }
        for _ in 0..3 {
            if budget.try_withdraw(now, &terms, 16) {
                extras.push(now);
            }
        }
    }
    let within = |times: &[Duration], from: Duration| {
        times.iter().filter(|at| **at >= from && **at < from + terms.window).count() as f64
    };
    for from in (0..500).map(|step| ms(step * 100)) {
        // The rule counts requests of this window, the one before and the one half a window before, whichever has most.
        let before = [Duration::ZERO, terms.window / 2, terms.window].map(|shift| from.saturating_sub(shift));
        let counted = before.iter().map(|from| within(&requests, *from)).fold(0.0, f64::max);
        let allowed = terms.ratio * counted + terms.reserve / 16.0;
        assert!(within(&extras, from) <= allowed, "from {from:?}: {} > {allowed}", within(&extras, from));
    }
    assert!(extras.len() > 50, "{} extras: the budget is used", extras.len());
}

#[test]
fn the_fleet_stays_within_its_budget_when_its_size_is_stale_by_half() {
    let mut proxies: Vec<Balancer> = (0..12).map(|_| balancer(Tuning::default(), plain(1))).collect();
    let mut spent = 0;
    for proxy in &mut proxies {
        proxy.set_live_proxies(6);
        proxy.record_request(ms(0), SERVICE);
        spent += (0..100).filter(|_| proxy.try_withdraw_retry(ms(1), SERVICE)).count();
    }
    assert!(spent as f64 <= 0.2 * 12.0 + 32.0, "{spent} extras");
}

/// What happens to a request, step by step, and whether it may run or have its prompt read again then.
#[rstest]
#[case::fresh(false, 1, &[], true, true)]
#[case::an_unsafe_one_that_may_have_run_is_over(false, 3, &["ran"], false, false)]
#[case::a_rejected_one_goes_on(false, 1, &["rejected"], true, true)]
#[case::rejections_are_bounded(false, 3, &["rejected", "rejected", "rejected", "rejected"], false, false)]
#[case::a_safe_one_runs_again(true, 2, &["ran"], true, true)]
#[case::but_not_beyond_its_attempts(true, 2, &["ran", "ran"], false, false)]
#[case::a_first_reading_is_free(false, 1, &["prefilled"], true, false)]
#[case::a_second_one_counts_as_a_run(false, 2, &["prefilled"], true, true)]
#[case::and_leaves_room_for_the_run(false, 2, &["prefilled", "prefilled"], true, false)]
#[case::a_reading_that_broke_may_have_been_taken_up(false, 1, &["record_prefill_failure"], true, false)]
fn what_may_still_be_sent(
    #[case] idempotent: bool, #[case] most: u32, #[case] steps: &[&str], #[case] may_execute: bool,
    #[case] may_prefill: bool,
) {
    let mut attempts = Attempts::new(idempotent, most, 3);
    for step in steps {
        attempts.record_delivery();
        match *step {
            "ran" => attempts.record_execution(),
            "rejected" => attempts.record_rejection(),
            "prefilled" => attempts.record_prefill(),
            "record_prefill_failure" => attempts.record_prefill_failure(),
            other => panic!("no such step: {other}"),
        }
    }
    assert_eq!((attempts.may_execute(), attempts.may_prefill()), (may_execute, may_prefill));
}

#[test]
fn only_the_first_arrival_and_the_first_reading_are_free() {
    let mut attempts = Attempts::new(false, 2, 3);
    assert!(!attempts.needs_retry_budget());
    attempts.record_delivery();
    attempts.record_prefill();
    assert!(!attempts.needs_retry_budget(), "a reading that was taken up does not count");
    attempts.record_delivery();
    assert!(attempts.needs_retry_budget());
    let mut attempts = Attempts::new(false, 2, 3);
    attempts.record_delivery();
    attempts.record_rejection();
    assert!(attempts.needs_retry_budget(), "a reading that was turned away counts");
}

#[test]
fn an_ejected_server_comes_back_by_single_trials_that_double_its_time() {
    let tuning = Tuning::default();
    let mut ejection = OutlierEjection::default();
    assert!(!ejection.record_failure(FailureKind::ConnectionBroken, &tuning), "one is chance");
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

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut balancer = balancer(Tuning::default(), plain(4));
    let keys = ["a", "b", "c", "d"].map(|id| key_of(&mut balancer, id));
    for key in keys {
        let (elapsed, timeout, work) = (ms(1), ms(1), WorkSize::default());
        let failed = Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work };
        balancer.record_observation(ms(0), key, Phase::Full, failed);
    }
    let mut chosen: Vec<_> = (0..100).map(|_| select(&mut balancer, ms(1)).expect("a choice").key).collect();
    chosen.sort_unstable();
    chosen.dedup();
    assert_eq!(chosen, keys[2..], "the first two are ejected, the others can't be");
}

#[test]
fn where_only_ejected_servers_are_left_they_are_used() {
    let mut balancer = balancer(Tuning::default(), plain(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    let (elapsed, timeout, work) = (ms(1), ms(1), WorkSize::default());
    balancer.record_observation(
        ms(0),
        a,
        Phase::Full,
        Observation::Failure { kind: FailureKind::Connect, elapsed, timeout, work },
    );
    let prompt = Default::default();
    let ask = Ask { phase: Phase::Full, prompt: &prompt, excluded: &[b], zone: "home" };
    assert_eq!(select_with(&mut balancer, ms(1), &ask).expect("a choice").key, a);
}

#[rstest]
#[case::newer_sequence(position(1, 2), true)]
#[case::newer_epoch(position(2, 1), true)]
#[case::older_epoch(position(0, 9), false)]
#[case::older_sequence(position(1, 0), false)]
fn older_lists_are_ignored(#[case] at: TablePosition, #[case] is_taken: bool) {
    let mut balancer = balancer(Tuning::default(), plain(1));
    assert_eq!(balancer.apply(ms(0), &whole(at, Vec::new())), is_taken);
    assert_eq!(balancer.has_servers(), !is_taken);
}

#[test]
fn changes_keep_what_is_known_of_those_that_stay() {
    let mut balancer = balancer(Tuning::default(), plain(2));
    let (a, b) = (key_of(&mut balancer, "a"), key_of(&mut balancer, "b"));
    balancer.record_start(a, Phase::Full);
    let removed = vec!["b".to_owned()];
    let delta = ServerDelta { position: position(1, 2), is_full: false, entries: plain(1), removed };
    assert!(balancer.apply(ms(0), &delta));
    assert_eq!(balancer.in_flight(a, Phase::Full), 1);
    assert!(!balancer.is_listed(b));
    assert!(balancer.apply(ms(0), &whole(position(1, 3), plain(2))));
    assert_ne!(key_of(&mut balancer, "b"), b, "one that comes back is another one");
    balancer.record_end(b, Phase::Full);
    let mut moved = plain(2);
    moved[0].address.set_port(9);
    assert!(balancer.apply(ms(0), &whole(position(1, 4), moved)));
    assert!(!balancer.is_listed(a), "an id at another address is another server");
}

#[rstest]
#[case("3,0,8", Some((3, 0, 8)), false)]
#[case("4,0,8", Some((4, 0, 8)), true)]
#[case("1, 1, 8", Some((1, 1, 8)), true)]
#[case("1,1", None, false)]
#[case("a,b,c", None, false)]
fn reports_are_read(#[case] text: &str, #[case] expected: Option<(u32, u32, u32)>, #[case] busy: bool) {
    let report = LoadReport::parse(text, ms(0));
    assert_eq!(report.map(|report| (report.running, report.waiting, report.slots)), expected);
    assert_eq!(report.is_some_and(|report| report.is_busy()), busy);
}

#[rstest]
#[case(&[1.0], 0.99, Some(0))]
#[case(&[90.0, 10.0], 0.0, Some(0))]
#[case(&[90.0, 10.0], 0.899, Some(0))]
#[case(&[90.0, 10.0], 0.901, Some(1))]
#[case(&[0.0, 10.0], 0.0, Some(1))]
#[case(&[0.0, 0.0], 0.5, None)]
fn splits_go_by_weight(#[case] weights: &[f64], #[case] lot: f64, #[case] expected: Option<usize>) {
    assert_eq!(by_weight(weights.iter().copied(), lot), expected);
}

/// Many proxies with few requests each: each of them is within two requests of the weights, and all together within 2 in 100.
#[rstest]
fn shares_of_few_requests_are_near_the_weights(
    #[values(0.5, 0.2, 0.1, 0.05)] weight: f64, #[values(5, 15, 40)] requests: u32,
) {
    let proxies = 300 / requests;
    let mut all = 0;
    for proxy in 0..proxies {
        let mut splitter = TrafficSplitter::new(f64::from(proxy) * 0.377);
        let draws = (0..requests)
            .filter(|_| by_weight([1.0 - weight, weight].into_iter(), splitter.next_sample()) == Some(1));
        let drawn = draws.count() as f64;
        assert!(
            (drawn - weight * f64::from(requests)).abs() <= 2.0,
            "{drawn} of {requests} at proxy {proxy}"
        );
        all += drawn as u32;
    }
    let share = f64::from(all) / f64::from(proxies * requests);
    assert!((share - weight).abs() <= 0.02, "{share} for {weight}");
}

#[test]
fn pairs_are_given_up_once_most_hand_overs_fail_but_for_trials() {
    let mut breaker = KvTransferBreaker::default();
    let (mut now, mut failures) = (ms(0), 0);
    while breaker.try_acquire(now) {
        breaker.record(now, false);
        failures += 1;
    }
    assert_eq!(failures, 3);
    let trials = (0..50).filter(|_| {
        now += ms(100);
        breaker.try_acquire(now)
    });
    assert_eq!(trials.count(), 10, "one each half second");
    breaker.record(now, true);
    assert!(breaker.try_acquire(now), "one success brings the share down to under a half");
}
