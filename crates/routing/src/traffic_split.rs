//! Picks one of several targets by weight.

/// The fractional part of the golden ratio: multiples of it, without their whole parts, lie as evenly as they can.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Lots for one split at one proxy, from 0 to below 1. They are spread evenly over any number of requests, so that the shares of
/// few requests are near the weights; random lots would miss them by the square root of the number.
#[derive(Clone, Debug)]
pub struct TrafficSplitter {
    next: f64,
}

impl TrafficSplitter {
    /// Lots that begin anywhere, so that proxies don't next_sample alike.
    pub fn new(first: f64) -> TrafficSplitter {
        TrafficSplitter { next: first.rem_euclid(1.0) }
    }

    /// The next sample.
    pub fn next_sample(&mut self) -> f64 {
        let sample = self.next;
        self.next = (sample + STEP).fract();
        sample
    }
}

/// The index of a target: each with a chance of its weight over the sum. `sample` is a random number from 0 to below 1. `None`
/// if no weight is above 0.
pub fn by_weight(weights: impl Iterator<Item = f64> + Clone, sample: f64) -> Option<usize> {
    let sum: f64 = weights.clone().filter(|weight| *weight > 0.0).sum();
    let mut left = sample.clamp(0.0, 1.0) * sum;
    let mut last = None;
    for (index, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = Some(index);
        if left < weight {
            return last;
        }
        left -= weight;
    }
    last
}
