//! Tests of when a first start can't complete, and of which seeds are reported as missing.

use super::bootstrap_warning::{MissingSeeds, missing_seeds};
use rstest::rstest;
use std::net::SocketAddr;

fn addresses(hosts: &[u8]) -> Vec<SocketAddr> {
    hosts.iter().map(|host| SocketAddr::from(([10, 0, 0, *host], 7_700))).collect()
}

#[rstest]
#[case::all_run(&[1, 2, 3], &[1, 2, 3, 4], None)]
#[case::majority_runs(&[1, 2, 3], &[1, 3], None)]
#[case::half_of_four(&[1, 2, 3, 4], &[1, 2], Some((3, 2, [3, 4])))]
#[case::seeds_without_control(&[1, 8, 9], &[1, 2, 3], Some((2, 1, [8, 9])))]
#[case::alone(&[1, 2, 3], &[1], Some((2, 1, [2, 3])))]
fn first_start_waits_for_a_majority_of_the_seeds(
    #[case] seeds: &[u8], #[case] running: &[u8], #[case] expected: Option<(usize, usize, [u8; 2])>,
) {
    let expected = expected.map(|(needed, present, absent)| MissingSeeds {
        needed,
        present,
        absent: addresses(&absent),
    });
    assert_eq!(missing_seeds(&addresses(seeds), &addresses(running)), expected);
}
