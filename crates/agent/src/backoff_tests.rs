//! Tests of the delays of the backoff.

use crate::backoff::Backoff;
use std::time::Duration;

const SEED: u64 = 11;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn delays_double_up_to_the_maximum_with_jitter() {
    let mut backoff = Backoff::new(SEED);
    for max_delay in [100, 200, 400, 600, 600, 600] {
        let delay = backoff.next();
        assert!(
            delay >= ms(max_delay / 2) && delay <= ms(max_delay),
            "seed {SEED}: {delay:?} for {max_delay} ms"
        );
    }
}

#[test]
fn a_reset_returns_to_the_shortest_delay() {
    let mut backoff = Backoff::new(SEED);
    for _ in 0..5 {
        backoff.next();
    }
    backoff.reset();
    assert!(backoff.next() <= ms(100), "seed {SEED}");
}

#[test]
fn different_seeds_draw_different_delays() {
    let delays: std::collections::BTreeSet<Duration> =
        (0..50).map(|seed| Backoff::new(seed).next()).collect();
    assert!(delays.len() > 45, "{}", delays.len());
}
