//! A proxy's share of the fleet's retry budget for one service.
//!
//! A budget ties retries to requests, so that retries can't multiply the load of a service that already fails: each request
//! deposits, each retry withdraws (Finagle's `RetryBudget`, `tower::retry::budget`; gRPC's retry throttling has the same aim).
//!
//! The fleet's rule: in any window a service gets at most `ratio x requests + reserve` deliveries beyond the first one of each
//! request. A proxy withdraws at most `local_share x (ratio x own requests in the window + reserve / proxies)`. This obeys the
//! rule as long as `local_share x proxies alive <= proxies assumed`: the number of proxies may be stale by a factor of
//! `1 / local_share`.

use std::time::Duration;

/// Buckets of one window.
const BUCKETS: usize = 20;
/// One bucket more than a window has, so that the retained buckets cover a complete window wherever it starts.
const RETAINED_BUCKETS: usize = BUCKETS + 1;

/// The counts of a twentieth of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The fleet's rule and the share of this proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window beside those, for the complete fleet: a service with few requests may retry too.
    pub reserve: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// The share of the rule that proxies use, from 0 to 1. Below 1 it absorbs a stale number of proxies.
    pub local_share: f64,
}

/// The requests and retries of one service at this proxy, in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    buckets: [Bucket; RETAINED_BUCKETS],
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { buckets: [Bucket::default(); RETAINED_BUCKETS] }
    }
}

impl RetryBudget {
    /// Deposits for one request of a client.
    pub fn deposit(&mut self, now: Duration, config: &RetryBudgetConfig) {
        let bucket = self.bucket(now, config);
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Withdraws one retry and returns whether there was one left. `proxies` is the number of proxies that share the reserve.
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

    /// Requests and retries in the window. Requests are short by up to one bucket and retries over by up to one: both err on
    /// the safe side.
    fn window_counts(&self, now: Duration, config: &RetryBudgetConfig) -> (u32, u32) {
        let current = bucket_number(now, config);
        let oldest = current.saturating_sub(BUCKETS as u64);
        let in_window =
            self.buckets.iter().filter(|bucket| bucket.number >= oldest && bucket.number <= current);
        in_window.fold((0, 0), |(requests, retries), bucket| {
            let is_complete = bucket.number > oldest || oldest == 0;
            (requests + if is_complete { bucket.requests } else { 0 }, retries + bucket.retries)
        })
    }

    /// The bucket of `now`, cleared if it held an older one.
    fn bucket(&mut self, now: Duration, config: &RetryBudgetConfig) -> &mut Bucket {
        let number = bucket_number(now, config);
        let bucket = &mut self.buckets[(number % RETAINED_BUCKETS as u64) as usize];
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
