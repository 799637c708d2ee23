//! Tests that a proposal number is used for one proposal only, even if the proposer restarts.

use crate::cases::support::bootstrapped_cluster;
use crate::harness::{Fault, FaultSchedule, FaultTrigger, Scenario, ScheduledFault};
use crate::runs::RunKind;
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of power losses in each run, each of which follows the start of a proposal.
const LOSSES: usize = 12;

/// All machines repeatedly lose power, at any moment between the start of a proposal and its end: before the
/// proposer's own promise is on disk, before those of the others are, and while the view is accepted.
#[rstest]
#[case::three(3, 1)]
#[case::five(5, 2)]
fn a_proposer_that_loses_power_uses_no_number_twice(
    #[case] node_count: usize, #[case] fault_tolerance: usize,
) {
    for seed in 0..200 {
        let scenario = Scenario { node_count, fault_tolerance, ..Scenario::three_nodes() };
        let mut cluster = bootstrapped_cluster(seed, scenario);
        let mut faults = vec![ScheduledFault::at(Duration::ZERO, Fault::Pause { node: 0 })];
        for _ in 0..LOSSES {
            // A sync takes 5 ms and a message up to 3 ms.
            let after = Duration::from_micros(cluster.rng.u64(0..30_000));
            let nodes: Vec<usize> = (1..node_count).collect();
            let restart_after =
                nodes.iter().map(|_| Duration::from_millis(cluster.rng.u64(1..120))).collect();
            let fault = Fault::LosePower { nodes, wiped: BTreeSet::new(), restart_after };
            faults.push(ScheduledFault { trigger: FaultTrigger::AfterProposal(after), fault });
        }
        faults.push(ScheduledFault::at(Duration::from_secs(9), Fault::Resume { node: 0 }));
        let result = cluster.run_round(FaultSchedule { faults, ..FaultSchedule::default() });
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Guards against the reuse of a proposal number: in this run, a restarted proposer once reused a number, and
/// two views were decided under it.
#[test]
fn one_view_is_decided_under_one_number() {
    assert_eq!(RunKind::Ordinary.run_seed(1_029_383), Ok(()));
}
