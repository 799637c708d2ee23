//! Weighted traffic splits of routes.

/// The fractional part of the golden ratio. Its multiples modulo 1 are spread as evenly as those of any
/// number.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The sequence of samples that splits the traffic of one route at one proxy.
///
/// A low-discrepancy sequence (an additive recurrence with the golden ratio) is used instead of random
/// numbers: the shares are close to the weights even over a few requests, where random samples would deviate
/// by about the square root of the number of requests.
#[derive(Clone, Debug)]
pub struct TrafficSplitter {
    next: f64,
}

impl TrafficSplitter {
    /// Creates a sequence that starts at the fractional part of `first`. Proxies start at random numbers, so
    /// that they don't all send their first requests to the same target.
    pub fn new(first: f64) -> TrafficSplitter {
        TrafficSplitter { next: first.rem_euclid(1.0) }
    }

    /// Returns the next sample, in `0.0..1.0`.
    pub fn next_sample(&mut self) -> f64 {
        let sample = self.next;
        self.next = (sample + GOLDEN_RATIO_FRACTION).fract();
        sample
    }
}

/// Returns the index of the target selected by `sample`, in `0.0..1.0`. Each target takes a share equal to
/// its weight over the sum of the weights. A target whose weight is not above 0 gets nothing; `None` if no
/// weight is above 0.
pub fn weighted_index(weights: impl Iterator<Item = f64> + Clone, sample: f64) -> Option<usize> {
    let sum: f64 = weights.clone().filter(|weight| *weight > 0.0).sum();
    let mut remaining = sample.clamp(0.0, 1.0) * sum;
    let mut last = None;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = Some(index);
        if remaining < weight {
            return last;
        }
        remaining -= weight;
    }
    // Rounding errors may leave a remainder after the last target.
    last
}
