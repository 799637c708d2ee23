//! A proxy's share of the fleet's retry budget for one service.
//!
//! The rule: in any window the service gets at most `ratio x requests + slack` arrivals beyond each request's first. A proxy
//! spends at most `share x (ratio x own requests in the window + slack / proxies)`. This is safe as long as
//! `share x proxies alive <= proxies assumed`, so also while the size of the fleet is stale by a factor of `1 / share`.

use std::time::Duration;

/// Buckets of one window.
const BUCKETS: usize = 20;
/// One more, so that the spans that are looked at cover the window whole, however the buckets lie in it.
const BUCKETS_RETAINED: usize = BUCKETS + 1;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The figures of the rule and this proxy's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals allowed beside.
    pub reserve: f64,
    /// The window.
    pub window: Duration,
    /// The part of all this that is used.
    pub local_share: f64,
}

/// Requests and extra arrivals of one service at this proxy.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    buckets: [Bucket; BUCKETS_RETAINED],
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { buckets: [Bucket::default(); BUCKETS_RETAINED] }
    }
}

impl RetryBudget {
    /// Counts a client's request.
    pub fn deposit(&mut self, now: Duration, config: &RetryBudgetConfig) {
        let bucket = self.bucket(now, config);
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Spends one extra arrival, if there is one to spend among `proxies`.
    pub fn try_withdraw(&mut self, now: Duration, config: &RetryBudgetConfig, proxies: u32) -> bool {
        let (requests, retries) = self.window_counts(now, config);
        let reserve = config.reserve / f64::from(proxies.max(1));
        let allowed = config.local_share * (config.ratio * f64::from(requests) + reserve);
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        let bucket = self.bucket(now, config);
        bucket.retries = bucket.retries.saturating_add(1);
        true
    }

    /// Requests of the window, short by up to one bucket, and retries, over by up to one: both err to the safe side.
    fn window_counts(&self, now: Duration, config: &RetryBudgetConfig) -> (u32, u32) {
        let current = bucket_number(now, config);
        let oldest = current.saturating_sub(BUCKETS as u64);
        let kept = self.buckets.iter().filter(|bucket| bucket.number >= oldest && bucket.number <= current);
        kept.fold((0, 0), |(requests, retries), bucket| {
            let is_within_window = bucket.number > oldest || oldest == 0;
            (requests + if is_within_window { bucket.requests } else { 0 }, retries + bucket.retries)
        })
    }

    fn bucket(&mut self, now: Duration, config: &RetryBudgetConfig) -> &mut Bucket {
        let number = bucket_number(now, config);
        let bucket = &mut self.buckets[(number % BUCKETS_RETAINED as u64) as usize];
        if bucket.number != number {
            *bucket = Bucket { number, ..Bucket::default() };
        }
        bucket
    }
}

fn bucket_number(now: Duration, config: &RetryBudgetConfig) -> u64 {
    let width = (config.window / BUCKETS as u32).max(Duration::from_millis(1));
    (now.as_nanos() / width.as_nanos()) as u64
}
