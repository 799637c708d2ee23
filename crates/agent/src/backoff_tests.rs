//! The pauses of the backoff.

use crate::backoff::Backoff;
use std::time::Duration;

const SEED: u64 = 11;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn pauses_double_up_to_the_maximum_with_jitter() {
    let mut backoff = Backoff::new(SEED);
    for max_pause in [100, 200, 400, 600, 600, 600] {
        let pause = backoff.next();
        assert!(
            pause >= ms(max_pause / 2) && pause <= ms(max_pause),
            "seed {SEED}: {pause:?} for {max_pause} ms"
        );
    }
}

#[test]
fn a_reset_returns_to_the_shortest_pause() {
    let mut backoff = Backoff::new(SEED);
    for _ in 0..5 {
        backoff.next();
    }
    backoff.reset();
    assert!(backoff.next() <= ms(100), "seed {SEED}");
}

#[test]
fn different_seeds_draw_different_pauses() {
    let pauses: std::collections::BTreeSet<Duration> =
        (0..50).map(|seed| Backoff::new(seed).next()).collect();
    assert!(pauses.len() > 45, "{}", pauses.len());
}
