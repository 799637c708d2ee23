//! Weighted traffic splits.

use lugwharf_routing::{TrafficSplitter, weighted_index};
use rstest::rstest;

#[rstest]
#[case(&[1.0], 0.99, Some(0))]
#[case(&[90.0, 10.0], 0.0, Some(0))]
#[case(&[90.0, 10.0], 0.899, Some(0))]
#[case(&[90.0, 10.0], 0.901, Some(1))]
#[case(&[0.0, 10.0], 0.0, Some(1))]
#[case(&[0.0, 0.0], 0.5, None)]
fn samples_map_to_targets_by_weight(
    #[case] weights: &[f64], #[case] sample: f64, #[case] expected: Option<usize>,
) {
    assert_eq!(weighted_index(weights.iter().copied(), sample), expected);
}

/// With few requests per proxy, each proxy is within two requests of the weights, and all proxies together
/// are within 2 in 100.
#[rstest]
fn shares_of_few_requests_are_near_the_weights(
    #[values(0.5, 0.2, 0.1, 0.05)] weight: f64, #[values(5, 15, 40)] requests: u32,
) {
    let proxies = 300 / requests;
    let mut all = 0;
    for proxy in 0..proxies {
        let mut splitter = TrafficSplitter::new(f64::from(proxy) * 0.377);
        let draws = (0..requests).filter(|_| {
            weighted_index([1.0 - weight, weight].into_iter(), splitter.next_sample()) == Some(1)
        });
        let drawn = draws.count() as f64;
        assert!(
            (drawn - weight * f64::from(requests)).abs() <= 2.0,
            "{drawn} of {requests} at proxy {proxy}"
        );
        all += drawn as u32;
    }
    let share = f64::from(all) / f64::from(proxies * requests);
    assert!((share - weight).abs() <= 0.02, "{share} for {weight}");
}
