//! Tests of learners: control machines that are not members of the view, but serve agents and the operator.

mod support;

use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::operator::{CallOutcome, Operator};
use lugwharf_protocol::VersionVector;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use support::agent::{self, Pull};
use support::{Fleet, SMALL, Topology, next_configuration};

/// Two front-end nodes and five control machines, of which [`MEMBERS`] vote.
const FIVE_CONTROLS: Topology = Topology { fronts: 2, controls: 5, ..SMALL };
/// The number of control machines that are members of the view.
const MEMBERS: usize = 3;
/// The indices of the control machines that are learners.
const LEARNERS: [usize; 2] = [3, 4];
/// The attempt limit of an operator that is expected to get no answer.
const FEW_ATTEMPTS: usize = 4;
/// The time that a pull may wait, in ms. Every change takes less.
const PULL_WAIT_MS: u32 = 5_000;

fn agent_address(fleet: &Fleet, control: usize) -> SocketAddr {
    let [_, agents] = fleet.cluster.internal_addresses(control);
    agents
}

/// Waits until each control machine announces all five to agents and reports a quorum.
async fn wait_until_all_are_announced(fleet: &Fleet) {
    let all: BTreeSet<SocketAddr> =
        (0..FIVE_CONTROLS.controls).map(|control| agent_address(fleet, control)).collect();
    for address in &all {
        let announces_all = || async {
            let Some(reply) = agent::pull(*address).await else { return false };
            reply.has_quorum && reply.control.into_iter().collect::<BTreeSet<_>>() == all
        };
        assert!(poll(announces_all).await, "{address}\n{}", fleet.cluster.logs());
    }
}

/// Pulls until there is another configuration and returns its version. Other tables may change earlier. The
/// learner must report a quorum in every reply.
async fn wait_for_a_change(address: SocketAddr, mut have: VersionVector) -> u64 {
    loop {
        let waiting = Pull::send(address, have, PULL_WAIT_MS).await.expect("cannot send the pull");
        let reply = waiting.reply().await.expect("the process sent no reply");
        assert!(reply.has_quorum, "no quorum without a fault");
        if reply.config_version() > 0 {
            return reply.config_version();
        }
        // A front-end node gets at most one configuration per interval. The vector of the reply already
        // counts a configuration that is delayed for this reason, so the version that the agent has is kept.
        have = VersionVector { config: have.config, ..reply.update.vector };
    }
}

#[tokio::test]
async fn learner_delivers_changes_to_its_agents_and_accepts_changes() {
    let mut fleet = Fleet::start_with_learners(FIVE_CONTROLS, MEMBERS).await;
    wait_until_all_are_announced(&fleet).await;
    let mut base = 1;
    for (learner, version) in LEARNERS.into_iter().zip([3, 4]) {
        let status = fleet.cluster.control_status(learner).await.expect("the process reports no status");
        assert_eq!((&status["Member"], &status["InTouch"]), (&false.into(), &true.into()), "{status}");
        let address = agent_address(&fleet, learner);
        let have = agent::pull(address).await.expect("the process sent no reply").update.vector;
        assert_eq!(have.config, base);
        // The agent waits at the learner at which the change is made as well.
        let waiting = tokio::spawn(wait_for_a_change(address, have));
        let bytes = next_configuration(version, &format!("/added-{version}/")).to_bytes();
        let single_operator = Operator::new(vec![fleet.cluster.control_address(learner)]);
        assert_eq!(single_operator.put(&bytes, base).await.status(), Some(200), "{}", fleet.cluster.logs());
        assert_eq!(single_operator.get().await.body(), bytes);
        assert_eq!(waiting.await.expect("the agent task panicked"), version, "{}", fleet.cluster.logs());
        for front in 0..FIVE_CONTROLS.fronts {
            assert!(fleet.serves(front, &format!("/added-{version}/")).await, "{}", fleet.cluster.logs());
        }
        base = version;
    }
}

/// A proxy divides the fleet's retry budget by the number of proxies, so the count must not be too low on any
/// machine. A front-end node whose agent has changed its control process counts twice for a while.
#[tokio::test]
async fn learner_knows_the_fleet_and_its_servers_like_a_member() {
    let fleet = Fleet::start_with_learners(FIVE_CONTROLS, MEMBERS).await;
    let servers = fleet.prefill_servers.len() + fleet.decode_servers.len() + fleet.plain_servers.len();
    let know_all = || async {
        let mut proxies = BTreeSet::new();
        for control in 0..FIVE_CONTROLS.controls {
            let status = fleet.cluster.control_status(control).await.unwrap_or_default();
            if status["Servers"] != servers {
                return false;
            }
            proxies.insert(status["LiveProxies"].as_u64().unwrap_or(0));
        }
        let fronts = u64::try_from(FIVE_CONTROLS.fronts)
            .expect("the number of front-end nodes does not fit into a u64");
        proxies.len() == 1 && proxies.first().is_some_and(|count| *count >= fronts)
    };
    assert!(poll(know_all).await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn learner_without_a_quorum_says_so_and_commits_nothing() {
    let mut fleet = Fleet::start_with_learners(FIVE_CONTROLS, MEMBERS).await;
    wait_until_all_are_announced(&fleet).await;
    for member in [0, 1] {
        fleet.cluster.signal_control(member, Signal::Stop).expect("cannot signal the process");
    }
    let [learner, other] = LEARNERS;
    let address = agent_address(&fleet, learner);
    assert!(poll(|| async { agent::has_quorum(address).await == Some(false) }).await);
    let mut single_operator = Operator::new(vec![fleet.cluster.control_address(learner)]);
    single_operator.max_attempts = FEW_ATTEMPTS;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(single_operator.put(&bytes, 1).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(single_operator.put(&bytes, 77).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(single_operator.get().await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    // The reply to an agent that waits at the other learner also reports that there is no quorum.
    let waiting = Pull::send(agent_address(&fleet, other), VersionVector::default(), PULL_WAIT_MS).await;
    let reply = waiting.expect("cannot send the pull").reply().await.expect("the process sent no reply");
    assert!(!reply.has_quorum);
    for member in [0, 1] {
        fleet.cluster.signal_control(member, Signal::Continue).expect("cannot signal the process");
    }
    assert!(poll(|| async { agent::has_quorum(address).await == Some(true) }).await);
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
}
