//! Retry budget, bounds on the attempts of one request, and circuit breaker for KV cache transfers.

mod common;

use common::{SERVICE, balancer, ms, retry_budget_config, unstaged_servers};
use lugwharf_routing::{Attempts, Balancer, KvTransferBreaker, RetryBudget, Tuning};
use rstest::rstest;
use std::time::Duration;

#[test]
fn withdrawals_of_any_window_are_bounded_by_its_deposits_and_the_reserve() {
    // 10 requests per second with three attempted withdrawals each, over one minute; every sliding window is
    // checked.
    let (mut budget, config) = (RetryBudget::default(), retry_budget_config());
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for step in 0..600u64 {
        let now = ms(step * 100);
        // A pause of the requests: earlier deposits must expire.
        if !(200..400).contains(&step) {
            budget.deposit(now, &config);
            requests.push(now);
        }
        for _ in 0..3 {
            if budget.try_withdraw(now, &config, 16) {
                retries.push(now);
            }
        }
    }
    let within = |times: &[Duration], from: Duration| {
        times.iter().filter(|at| **at >= from && **at < from + config.window).count() as f64
    };
    for from in (0..500).map(|step| ms(step * 100)) {
        // The limit applies to the requests of this window, of the one before, or of the one half a window
        // before, whichever has most.
        let before =
            [Duration::ZERO, config.window / 2, config.window].map(|shift| from.saturating_sub(shift));
        let counted = before.iter().map(|from| within(&requests, *from)).fold(0.0, f64::max);
        let allowed = config.ratio * counted + config.reserve / 16.0;
        assert!(within(&retries, from) <= allowed, "from {from:?}: {} > {allowed}", within(&retries, from));
    }
    assert!(retries.len() > 50, "{} retries: the budget is used", retries.len());
}

#[test]
fn fleet_stays_within_its_budget_when_the_proxy_count_is_stale_by_half() {
    let mut proxies: Vec<Balancer> =
        (0..12).map(|_| balancer(Tuning::default(), unstaged_servers(1))).collect();
    let mut spent = 0;
    for proxy in &mut proxies {
        proxy.set_live_proxies(6);
        proxy.record_request(ms(0), SERVICE);
        spent += (0..100).filter(|_| proxy.try_withdraw_retry(ms(1), SERVICE)).count();
    }
    assert!(spent as f64 <= 0.2 * 12.0 + 32.0, "{spent} retries");
}

/// Whether a request may be executed or prefilled after a sequence of outcomes.
#[rstest]
#[case::fresh(false, 1, &[], true, true)]
#[case::not_idempotent_and_possibly_executed(false, 3, &["executed"], false, false)]
#[case::rejected(false, 1, &["rejected"], true, true)]
#[case::too_many_rejections(false, 3, &["rejected", "rejected", "rejected", "rejected"], false, false)]
#[case::idempotent_and_possibly_executed(true, 2, &["executed"], true, true)]
#[case::idempotent_at_its_bound(true, 2, &["executed", "executed"], false, false)]
#[case::first_prefill_is_free(false, 1, &["prefilled"], true, false)]
#[case::second_prefill_counts_as_an_execution(false, 2, &["prefilled"], true, true)]
#[case::prefills_leave_room_for_the_execution(false, 2, &["prefilled", "prefilled"], true, false)]
#[case::failed_prefill_may_have_been_executed(false, 1, &["prefill_failed"], true, false)]
fn attempts_still_allowed_after_each_outcome(
    #[case] is_idempotent: bool, #[case] max_executions: u32, #[case] steps: &[&str],
    #[case] may_execute: bool, #[case] may_prefill: bool,
) {
    let mut attempts = Attempts::new(is_idempotent, max_executions, 3);
    for step in steps {
        attempts.record_delivery();
        match *step {
            "executed" => attempts.record_execution(),
            "rejected" => attempts.record_rejection(),
            "prefilled" => attempts.record_prefill(),
            "prefill_failed" => attempts.record_prefill_failure(),
            other => panic!("no such step: {other}"),
        }
    }
    assert_eq!((attempts.may_execute(), attempts.may_prefill()), (may_execute, may_prefill));
}

#[test]
fn only_the_first_delivery_and_the_first_prefill_need_no_budget() {
    let mut attempts = Attempts::new(false, 2, 3);
    assert!(!attempts.needs_retry_budget());
    attempts.record_delivery();
    attempts.record_prefill();
    assert!(!attempts.needs_retry_budget(), "a successful first prefill does not count");
    attempts.record_delivery();
    assert!(attempts.needs_retry_budget());
    let mut attempts = Attempts::new(false, 2, 3);
    attempts.record_delivery();
    attempts.record_rejection();
    assert!(attempts.needs_retry_budget(), "a rejected prefill counts");
}

#[test]
fn breaker_opens_once_most_transfers_fail_and_allows_trials() {
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
    assert_eq!(trials.count(), 10, "one each 500 ms");
    breaker.record(now, true);
    assert!(breaker.try_acquire(now), "one success brings the share down to under a half");
}
