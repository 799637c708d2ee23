//! A control machine that is cut off from the others or stood still, with the operator and agents still at its side.

mod support;

use lugwharf_emulator::cluster::{Signal, poll};
use lugwharf_emulator::operator::{CallOutcome, Operator};
use rstest::rstest;
use support::pull::{self, Pull};
use support::{Fleet, SMALL, next_configuration};

/// Tries of an operator who is to get no answer.
const FEW_TRIES: usize = 4;
/// The control machine that is cut off, and the others.
const CUT_OFF: usize = 0;
const OTHERS: [usize; 2] = [1, 2];

/// How the way to the others ends.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// Nothing comes back, and the links stay open.
    Silent,
    /// Links and attempts at new ones are reset.
    Reset,
}

impl Cut {
    fn begin(self, fleet: &mut Fleet) {
        for other in OTHERS {
            match self {
                Cut::Silent => fleet.cluster.signal_control(other, Signal::Freeze),
                Cut::Reset => fleet.cluster.kill_control(other),
            }
            .expect("a signal");
        }
    }

    fn end(self, fleet: &mut Fleet) {
        for other in OTHERS {
            match self {
                Cut::Silent => fleet.cluster.signal_control(other, Signal::Thaw),
                Cut::Reset => fleet.cluster.start_control(other),
            }
            .expect("a process");
        }
    }
}

#[rstest]
#[case::silent(Cut::Silent)]
#[case::reset(Cut::Reset)]
#[tokio::test]
async fn one_that_is_cut_off_decides_nothing_and_sends_agents_elsewhere(#[case] cut: Cut) {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(CUT_OFF);
    cut.begin(&mut fleet);
    assert!(
        poll(|| async { pull::is_in_touch(agents).await == Some(false) }).await,
        "{}",
        fleet.cluster.logs()
    );

    let mut single = Operator::new(vec![fleet.cluster.control_address(CUT_OFF)]);
    single.max_attempts = FEW_TRIES;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(single.put(&bytes, 1).await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(single.put(&bytes, 77).await, CallOutcome::Unknown, "a refusal\n{}", fleet.cluster.logs());
    assert_eq!(single.get().await, CallOutcome::Unknown, "{}", fleet.cluster.logs());
    assert_eq!(pull::is_in_touch(agents).await, Some(false), "{}", fleet.cluster.logs());
    let request = fleet.work();
    assert!(fleet.send(0, &request).await.is_success(), "the data plane goes on\n{}", fleet.cluster.logs());

    cut.end(&mut fleet);
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
    assert!(
        poll(|| async { pull::is_in_touch(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
}

#[tokio::test]
async fn one_that_stood_still_hands_out_no_old_configuration_as_the_newest() {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(CUT_OFF);
    fleet.cluster.signal_control(CUT_OFF, Signal::Freeze).expect("a signal");
    let others = OTHERS.map(|index| fleet.cluster.control_address(index)).to_vec();
    let bytes = next_configuration(3, "/added/").to_bytes();
    // Its place in the view is filled first, which takes longer than a pause that may be passed over.
    assert_eq!(Operator::new(others).put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());

    // The question waits in the kernel, so that it is the first that the process sees.
    let link = Pull::from_nothing(agents).await.expect("a link");
    fleet.cluster.signal_control(CUT_OFF, Signal::Thaw).expect("a signal");
    let reply = link.reply().await.expect("a reply");
    let version = reply.config_version();
    assert!(!reply.has_quorum || version == 3, "version {version} as the newest\n{}", fleet.cluster.logs());
    assert!(
        poll(|| async { pull::is_in_touch(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
}

/// Nothing that came meanwhile shows how long it was, and the others were in contact until it stood still.
#[tokio::test]
async fn one_that_was_cut_off_while_it_stood_still_does_not_go_on_as_one_in_touch() {
    let mut fleet = Fleet::start(SMALL).await;
    let [_, agents] = fleet.cluster.internal_addresses(CUT_OFF);
    assert!(
        poll(|| async { pull::is_in_touch(agents).await == Some(true) }).await,
        "{}",
        fleet.cluster.logs()
    );
    Cut::Silent.begin(&mut fleet);
    fleet.cluster.signal_control(CUT_OFF, Signal::Freeze).expect("a signal");
    // The operator waits for a second, longer than a pause that may be passed over.
    fleet.operator.max_attempts = 1;
    assert_eq!(fleet.operator.get().await, CallOutcome::Unknown);

    let link = Pull::from_nothing(agents).await.expect("a link");
    fleet.cluster.signal_control(CUT_OFF, Signal::Thaw).expect("a signal");
    let reply = link.reply().await.expect("a reply");
    assert!(!reply.has_quorum, "{}", fleet.cluster.logs());
}
