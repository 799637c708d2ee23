//! Whole runs, whose scenario and faults are generated from a seed.

use crate::harness::fault::FaultLimits;
use crate::harness::fault_generator::FaultScheduleGenerator;
use crate::harness::{Cluster, FaultSchedule, Scenario};
use lugwharf_chain::HistoryLimits;
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum duration of a sync, which is 25 times as long as a sync of 5 ms.
const MAX_SYNC_TIME: Duration = Duration::from_millis(125);
/// The number of fault rounds of a run.
const ROUNDS: usize = 2;
/// The number of fault periods of a run with dueling proposers.
const DUELING_PERIODS: usize = 3;
/// The maximum message delay in a run with dueling proposers.
const DUELING_MAX_DELAY: Duration = Duration::from_millis(200);

/// A kind of run.
#[derive(Clone, Copy, Debug)]
pub enum RunKind {
    /// Rounds of random faults, each followed by a stable period in which changes must be acknowledged.
    Ordinary,
    /// Links are so slow, and peers are suspected so early, that processes keep proposing competing views.
    /// Only safety is checked, since such a cluster need not make progress.
    DuelingProposers,
    /// Like an ordinary run, with processes that leave gracefully, either permanently or to restart.
    GracefulLeaves,
}

impl RunKind {
    /// Runs a seed. The error is the first violation.
    pub fn run_seed(self, seed: u64) -> Result<(), String> {
        self.run(&mut self.cluster(seed))
    }

    /// Creates the cluster of a seed, before any event.
    pub fn cluster(self, seed: u64) -> Cluster {
        let scenario = generate_scenario(seed);
        match self {
            RunKind::Ordinary | RunKind::GracefulLeaves => Cluster::new(seed, scenario),
            RunKind::DuelingProposers => {
                let max_delay = DUELING_MAX_DELAY;
                Cluster::new(seed, Scenario { has_dueling_proposers: true, max_delay, ..scenario })
            }
        }
    }

    /// Runs a cluster. The error is the first violation.
    pub fn run(self, cluster: &mut Cluster) -> Result<(), String> {
        match self {
            RunKind::Ordinary => run_ordinary(cluster),
            RunKind::DuelingProposers => run_dueling_proposers(cluster),
            RunKind::GracefulLeaves => run_graceful_leaves(cluster),
        }
    }
}

fn generate_scenario(seed: u64) -> Scenario {
    // Uses a separate generator, so that a scenario can be generated independently of the run.
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let (node_count, fault_tolerance) =
        *rng.choice(&[(3, 1), (3, 1), (3, 1), (5, 2), (4, 1), (5, 1)]).expect("the list of choices is empty");
    let has_slow_disks = rng.u32(..4) == 0;
    let has_slow_links = rng.u32(..6) == 0;
    let client_count = rng.usize(1..=3);
    let sync_time_us = if has_slow_disks { rng.u64(10_000..100_000) } else { rng.u64(300..6_000) };
    let max_delay_us = if has_slow_links { rng.u64(30_000..150_000) } else { rng.u64(300..12_000) };
    Scenario {
        node_count,
        fault_tolerance,
        client_count,
        sync_time: Duration::from_micros(sync_time_us),
        max_delay: Duration::from_micros(max_delay_us),
        rewrite_threshold_bytes: *rng
            .choice(&[4_000, 20_000, 8 << 20])
            .expect("the list of choices is empty"),
        history: HistoryLimits {
            max_headers: *rng.choice(&[8, 64, 10_000, 10_000]).expect("the list of choices is empty"),
            ..HistoryLimits::default()
        },
        chunk_bytes: *rng.choice(&[200, 2_000, 256 << 10]).expect("the list of choices is empty"),
        encodes_messages: rng.u32(..8) == 0,
        has_dueling_proposers: false,
    }
}

/// The limits on the faults of a round.
fn fault_limits<'a>(present: &'a [usize], scenario: &Scenario) -> FaultLimits<'a> {
    let max_slowdown = MAX_SYNC_TIME.as_micros() / scenario.sync_time.as_micros().max(1);
    FaultLimits {
        present,
        max_lost_disks: scenario.fault_tolerance,
        max_disk_slowdown: max_slowdown.max(1) as u32,
    }
}

fn run_ordinary(cluster: &mut Cluster) -> Result<(), String> {
    cluster.bootstrap()?;
    for _ in 0..ROUNDS {
        let present = cluster.present_nodes();
        let mut rng = cluster.rng.fork();
        if rng.u32(..4) == 0 {
            cluster.network.message_lost_one_in = rng.u32(20..400);
        }
        let limits = fault_limits(&present, &cluster.scenario);
        let mut generator = FaultScheduleGenerator::new(&mut rng, &limits);
        generator.add_random_faults();
        cluster.run_round(generator.into_schedule())?;
    }
    Ok(())
}

fn run_graceful_leaves(cluster: &mut Cluster) -> Result<(), String> {
    cluster.bootstrap()?;
    for _ in 0..ROUNDS {
        let present = cluster.present_nodes();
        let mut rng = cluster.rng.fork();
        let limits = fault_limits(&present, &cluster.scenario);
        let has_only_leaves = rng.bool();
        let mut generator = FaultScheduleGenerator::new(&mut rng, &limits);
        if !has_only_leaves {
            generator.add_random_faults();
        }
        generator.add_graceful_leaves();
        cluster.run_round(generator.into_schedule())?;
    }
    Ok(())
}

fn run_dueling_proposers(cluster: &mut Cluster) -> Result<(), String> {
    cluster.has_active_clients = true;
    let request = cluster.generate_valid_submission();
    cluster.start_call(0, request, None);
    cluster.run_for(Duration::from_secs(2))?;
    for _ in 0..DUELING_PERIODS {
        let present = cluster.present_nodes();
        let mut rng = cluster.rng.fork();
        let limits = fault_limits(&present, &cluster.scenario);
        let mut generator = FaultScheduleGenerator::new(&mut rng, &limits);
        generator.add_random_faults();
        generator.add_faults_on_view_changes();
        let FaultSchedule { mut faults, faulty_minority } = generator.into_schedule();
        // A disk may be lost only after the previously lost disks were replaced, which requires progress.
        faults.retain(|scheduled| !scheduled.fault.destroys_disk());
        cluster.network.message_lost_one_in = rng.u32(8..100);
        cluster.run_fault_period(FaultSchedule { faults, faulty_minority })?;
        cluster.end_faults(&BTreeSet::new());
    }
    Ok(())
}
