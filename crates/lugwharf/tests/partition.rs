//! Tests of a control machine that is partitioned from the others, or was paused, while the operator and
//! agents still reach it.

mod support;

use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::operator::{CallOutcome, Operator};
use rstest::rstest;
use support::agent::{self, Pull};
use support::{Fleet, SMALL, next_configuration};

/// The attempt limit of an operator that is expected to get no answer.
const FEW_ATTEMPTS: usize = 4;
/// The partitioned control machine.
const PARTITIONED: usize = 0;
/// The other control machines.
const OTHERS: [usize; 2] = [1, 2];

/// How the links to the other control machines fail.
#[derive(Clone, Copy, Debug)]
enum Partition {
    /// Nothing arrives, and connections stay open.
    Silent,
    /// Open connections and attempts to connect are reset.
    Reset,
}

impl Partition {
    fn begin(self, fleet: &mut Fleet) {
        for other in OTHERS {
            match self {
                Partition::Silent => fleet.cluster.signal_control(other, Signal::Stop),
                Partition::Reset => fleet.cluster.kill_control(other),
            }
            .expect("cannot begin the partition");
        }
    }

    fn end(self, fleet: &mut Fleet) {
        for other in OTHERS {
            match self {
                Partition::Silent => fleet.cluster.signal_control(other, Signal::Continue),
                Partition::Reset => fleet.cluster.start_control(other),
            }
            .expect("cannot end the partition");
        }
    }
}

#[rstest]
#[case::silent(Partition::Silent)]
#[case::reset(Partition::Reset)]
#[tokio::test]
async fn partitioned_control_machine_commits_nothing_and_redirects_agents(#[case] partition: Partition) {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(PARTITIONED);
    partition.begin(&mut fleet);
    assert!(
        poll(|| async { agent::has_quorum(agents).await == Some(false) }).await,
        "{}",
        fleet.cluster.logs()
    );

    let mut single_operator = Operator::new(vec![fleet.cluster.control_address(PARTITIONED)]);
    single_operator.max_attempts = FEW_ATTEMPTS;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(single_operator.put(&bytes, 1).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(
        single_operator.put(&bytes, 77).await,
        CallOutcome::Unknown,
        "a machine without a quorum refused a change\n{}",
        fleet.cluster.logs()
    );
    assert_eq!(single_operator.get().await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(agent::has_quorum(agents).await, Some(false), "{}", fleet.cluster.logs());
    let request = fleet.work();
    assert!(
        fleet.send(0, &request).await.is_success(),
        "the data plane keeps serving\n{}",
        fleet.cluster.logs()
    );

    partition.end(&mut fleet);
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
    assert!(
        poll(|| async { agent::has_quorum(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
}

#[tokio::test]
async fn paused_control_machine_serves_no_stale_configuration_as_the_newest() {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(PARTITIONED);
    fleet.cluster.signal_control(PARTITIONED, Signal::Stop).expect("cannot signal the process");
    let others = OTHERS.map(|index| fleet.cluster.control_address(index)).to_vec();
    let bytes = next_configuration(3, "/added/").to_bytes();
    // The view first changes to one without the paused machine, which takes longer than a pause that is
    // tolerated.
    assert_eq!(Operator::new(others).put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());

    // The pull waits in the kernel's buffer, so it is the first message that the resumed process reads.
    let pull = Pull::send_initial(agents).await.expect("cannot send the pull");
    fleet.cluster.signal_control(PARTITIONED, Signal::Continue).expect("cannot signal the process");
    let reply = pull.reply().await.expect("the process sent no reply");
    let version = reply.config_version();
    assert!(!reply.has_quorum || version == 3, "version {version} as the newest\n{}", fleet.cluster.logs());
    assert!(
        poll(|| async { agent::has_quorum(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
}

/// The machine cannot learn from any message how long its pause was, and it was connected to the others until
/// the pause began.
#[tokio::test]
async fn control_machine_partitioned_while_paused_resumes_without_a_quorum() {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(PARTITIONED);
    assert!(
        poll(|| async { agent::has_quorum(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
    Partition::Silent.begin(&mut fleet);
    fleet.cluster.signal_control(PARTITIONED, Signal::Stop).expect("cannot signal the process");
    // The operator waits for 1 s, longer than a pause that is tolerated.
    fleet.operator.max_attempts = 1;
    assert_eq!(fleet.operator.get().await, CallOutcome::Unknown);

    let pull = Pull::send_initial(agents).await.expect("cannot send the pull");
    fleet.cluster.signal_control(PARTITIONED, Signal::Continue).expect("cannot signal the process");
    let reply = pull.reply().await.expect("the process sent no reply");
    assert!(!reply.has_quorum, "{}", fleet.cluster.logs());
}
