//! With a guard taken out, the search finds what goes wrong.

use crate::{SUCCESSORS, agreement, bounds, explore, is_long};
use lugwharf_model::chain::Guard::{self, *};
use lugwharf_model::chain::{Bounds, Chain, Guards, property};
use rstest::rstest;

/// The property that breaks without these guards, and how many states and steps the search has seen.
fn search_without(removed: &[Guard], bounds: Bounds) -> (Option<&'static str>, (usize, usize)) {
    let report = explore(&format!("without {removed:?}"), bounds, Guards::without(removed));
    assert!(report.complete || report.counterexample.is_some(), "the bounds are too wide");
    (report.counterexample.map(|found| found.property), (report.states, report.depth))
}

fn explore_without(removed: &[Guard], bounds: Bounds) -> Option<&'static str> {
    search_without(removed, bounds).0
}

#[rstest]
#[case::replicate_after_sync(ReplicateAfterSync, property::ACKNOWLEDGED_KEPT, (174, 3))]
#[case::identity_of_disk(IdentityOfDisk, property::ACKNOWLEDGED_KEPT, (1_113, 5))]
#[case::chain_of_tolerance(ChainOfTolerance, property::ACKNOWLEDGED_KEPT, (9_472, 9))]
#[case::source_above_floor(SourceAboveFloor, property::ACKNOWLEDGED_KEPT, (2_688, 8))]
#[case::serve_once_installed(ServeOnceInstalled, property::ACKNOWLEDGED_KEPT, (130_979, 17))]
#[case::places_spared(PlacesSpared, property::ACKNOWLEDGED_KEPT, (28_961, 9))]
#[case::seal_stops_takeover(SealStopsTakeover, property::ACKNOWLEDGED_KEPT, (181_670, 18))]
#[case::leave_after_view(LeaveAfterView, property::ACKNOWLEDGED_KEPT, (759, 4))]
#[case::resends_recognised(ResendsRecognised, property::TAKEN_NOT_REFUSED, (199, 4))]
#[case::judged_on_committed(JudgedOnCommitted, property::REFUSED_STAYS_OUT, (12_805, 14))]
#[case::reads_confirmed(ReadsConfirmed, property::NO_DEPOSED_REPLY, (29_794, 12))]
#[case::refusals_confirmed(RefusalsConfirmed, property::NO_DEPOSED_REPLY, (6_640, 13))]
#[case::seal_stops_confirmation(SealStopsConfirmation, property::NO_DEPOSED_REPLY, (65_829, 14))]
#[case::ballot_after_sync(BallotAfterSync, property::ONE_VIEW_PER_NUMBER, (100_150, 11))]
#[case::round_recovered(RoundRecovered, property::ONE_VIEW_PER_NUMBER, (91_686, 11))]
#[case::promise_after_sync(PromiseAfterSync, property::ONE_VIEW_PER_NUMBER, (70_935, 13))]
#[case::accepted_after_sync(AcceptedAfterSync, property::ONE_VIEW_PER_NUMBER, (49_126, 13))]
#[case::promise_kept(PromiseKept, property::ONE_VIEW_PER_NUMBER, (239_567, 12))]
#[case::accepted_taken_up(AcceptedTakenUp, property::ONE_VIEW_PER_NUMBER, (19_285, 12))]
fn a_guard_is_needed(#[case] guard: Guard, #[case] property: &str, #[case] states_and_depth: (usize, usize)) {
    assert_eq!(search_without(&[guard], smallest_bounds(guard)), (Some(property), states_and_depth));
}

/// Bounds within which the loss of a guard shows.
fn smallest_bounds(guard: Guard) -> Bounds {
    let one = Bounds { sent: 1, ..bounds() };
    let short = Bounds { first_chain: Chain::of(&[0, 1]), ..one };
    match guard {
        ReplicateAfterSync => Bounds { crashers: lugwharf_model::chain::Set::of(&[0, 1, 2]), ..one },
        IdentityOfDisk | ChainOfTolerance => Bounds { wipe: true, ..one },
        SourceAboveFloor => short,
        ServeOnceInstalled => Bounds { attempts: [1, 1], longest_chain: 2, ..one },
        LeaveAfterView => Bounds { leave: true, wipe: true, newcomer: true, ..short },
        PlacesSpared => Bounds { wipe: true, newcomer: true, ..short },
        ReadsConfirmed => Bounds { questions: 1, ..one },
        RefusalsConfirmed => Bounds { changes: SUCCESSORS, ..bounds() },
        SealStopsConfirmation => Bounds { newcomer: true, questions: 1, longest_chain: 2, ..one },
        BallotAfterSync | RoundRecovered => agreement(&[0]),
        PromiseAfterSync | AcceptedAfterSync => agreement(&[1]),
        PromiseKept | AcceptedTakenUp => agreement(&[]),
        SealStopsReplication | SealStopsTakeover => Bounds { attempts: [1, 1], longest_chain: 2, ..one },
        OneViewPerBallot => Bounds { attempts: [3, 0], ..agreement(&[0]) },
        ResendsRecognised | JudgedOnCommitted => bounds(),
    }
}

/// A sealed replica that goes on replicating does no harm alone: whatever is committed in its view is in the history of
/// each replica of the chain, and the source of the next view takes its history along as it is when it goes over.
#[test]
fn the_seal_stops_takeover_or_replication() {
    let bounds = smallest_bounds(SealStopsReplication);
    let both = [SealStopsTakeover, SealStopsReplication];
    let expected = (Some(property::ACKNOWLEDGED_KEPT), (197_857, 17));
    assert_eq!(search_without(&both, bounds), expected);
    if is_long() {
        assert_eq!(explore_without(&[SealStopsReplication], bounds), None);
    }
}

/// An acceptor never sees a second view under one ballot, since ballots are fresh.
#[test]
fn fresh_ballots_bear_one_view() {
    if is_long() {
        assert_eq!(explore_without(&[OneViewPerBallot], smallest_bounds(OneViewPerBallot)), None);
    }
}
