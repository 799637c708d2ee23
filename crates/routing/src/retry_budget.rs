//! A proxy's share of the fleet's retry budget for one service.
//!
//! The budget allows retries in proportion to requests, so that retries can't multiply the load of a service
//! that already fails: each request deposits, each retry withdraws (as in Finagle's `RetryBudget` and
//! `tower::retry::budget`; gRPC's retry throttling has the same aim).
//!
//! The limit of the fleet: in any window, a service gets at most `ratio x requests + reserve` deliveries in
//! addition to the first one of each request. Each proxy withdraws at most
//! `local_share x (ratio x own requests in the window + reserve / proxies)`. The limit holds as long as
//! `local_share x live proxies <= assumed proxies`, so the proxy count may be stale by a factor of
//! `1 / local_share`.

use std::time::Duration;

/// The number of buckets per window.
const BUCKETS: usize = 20;
/// One bucket more than the window has, so that the retained buckets cover a complete window wherever it
/// starts.
const RETAINED_BUCKETS: usize = BUCKETS + 1;

/// The counts of one bucket, a twentieth of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// The configuration of a retry budget: the limit of the fleet and the share of one proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window in addition to those, for the whole fleet, so that services with few
    /// requests may retry too.
    pub reserve: f64,
    /// The length of the sliding window.
    pub window: Duration,
    /// The share of the limit that proxies use, from 0 to 1. A value below 1 tolerates a stale proxy count.
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
    /// Deposits for one client request.
    pub fn deposit(&mut self, now: Duration, config: &RetryBudgetConfig) {
        let bucket = self.bucket(now, config);
        bucket.requests = bucket.requests.saturating_add(1);
    }

    /// Withdraws one retry if the budget allows it; returns whether it did. `proxies` is the number of
    /// proxies that share the reserve.
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

    /// Returns the requests and retries in the window. Requests may be undercounted, and retries overcounted,
    /// by up to one bucket; both errors only reduce the number of retries.
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

    /// Returns the bucket of `now`, cleared if it held the counts of an older one.
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
