//! Servers of one service, and the state that they share.

use crate::kv_transfer::KvTransferBreaker;
use crate::phase::Phase;
use crate::retry_budget::RetryBudget;
use crate::server::ServerKey;
use std::time::Duration;

/// How long a median is cached. It is taken over all servers of the service, which is too costly for each
/// selection.
const MEDIAN_TTL: Duration = Duration::from_millis(200);
/// The latency assumed if none is known, in ms; it is low, so that servers without samples are tried.
pub(crate) const OPTIMISTIC_LATENCY_MS: f64 = 1.0;

/// The servers of one service, with their shared retry budget, circuit breaker and median latencies.
#[derive(Debug, Default)]
pub(crate) struct ServicePool {
    /// The servers in listing order, which the random draws depend on.
    pub servers: Vec<ServerKey>,
    pub retry_budget: RetryBudget,
    pub kv_transfers: KvTransferBreaker,
    medians: [Median; Phase::COUNT],
}

/// A cached median and the time until which it is valid.
#[derive(Clone, Copy, Debug, Default)]
struct Median {
    value: f64,
    valid_until: Duration,
}

impl ServicePool {
    /// Returns the median latency of one phase in ms per unit of work. `known` returns the latency of each
    /// server that has samples; without samples the median is [`OPTIMISTIC_LATENCY_MS`]. The median is cached
    /// for [`MEDIAN_TTL`].
    pub fn median_latency<'a, K, I>(&'a mut self, now: Duration, phase: Phase, known: K) -> f64
    where
        K: FnOnce(&'a [ServerKey]) -> I,
        I: Iterator<Item = f64> + 'a,
    {
        let cached = self.medians[phase.index()];
        if now < cached.valid_until {
            return cached.value;
        }
        let mut known: Vec<f64> = known(&self.servers).collect();
        let value = median(&mut known).unwrap_or(OPTIMISTIC_LATENCY_MS);
        self.medians[phase.index()] = Median { value, valid_until: now + MEDIAN_TTL };
        value
    }
}

fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}
