//! Weighted traffic splits of a route.

/// The fractional part of the golden ratio. Its multiples modulo 1 are spread as evenly as those of any number.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The sequence of samples by which one proxy splits the traffic of one route.
///
/// A low-discrepancy sequence (an additive recurrence with the golden ratio) in place of random numbers: the shares of a few
/// requests are near the weights, where random samples would miss them by about the square root of the number of requests.
#[derive(Clone, Debug)]
pub struct TrafficSplitter {
    next: f64,
}

impl TrafficSplitter {
    /// A sequence that starts at the fractional part of `first`. Proxies start at random numbers, lest all of them send their
    /// first requests to the same target.
    pub fn new(first: f64) -> TrafficSplitter {
        TrafficSplitter { next: first.rem_euclid(1.0) }
    }

    /// The next sample, in `0.0..1.0`.
    pub fn next_sample(&mut self) -> f64 {
        let sample = self.next;
        self.next = (sample + GOLDEN_RATIO_FRACTION).fract();
        sample
    }
}

/// The index of the target that `sample`, in `0.0..1.0`, falls on, where each target takes a share of its weight over the sum.
/// Weights that are not above 0 get nothing; `None` if no weight is above 0.
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
    // Rounding may leave a remainder behind the last target.
    last
}
