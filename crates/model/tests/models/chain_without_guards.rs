//! Searches of the chain model with a guard disabled: each finds the violation that the guard prevents.

use crate::chain::{DEPENDENT_CHANGES, agreement_bounds, base_bounds, explore};
use crate::{Extent, extent, has_long_bounds, violated_property};
use lugwharf_model::chain::Guard::{self, *};
use lugwharf_model::chain::{Bounds, Chain, Guards, SmallSet, property};
use rstest::rstest;

/// The property that is violated without the guards in `removed`, and the extent of the search.
fn search_without(removed: &[Guard], bounds: Bounds) -> (Option<&'static str>, Extent) {
    let report = explore(&format!("without {removed:?}"), bounds, Guards::without(removed));
    (violated_property(&report), extent(&report))
}

#[rstest]
#[case::replicate_after_sync(ReplicateAfterSync, property::ACKNOWLEDGED_NEVER_LOST, (174, 3))]
#[case::new_disk_new_identity(NewDiskNewIdentity, property::ACKNOWLEDGED_NEVER_LOST, (1_113, 5))]
#[case::min_chain_length(MinChainLength, property::ACKNOWLEDGED_NEVER_LOST, (9_472, 9))]
#[case::source_holds_newest_history(SourceHoldsNewestHistory, property::ACKNOWLEDGED_NEVER_LOST, (2_688, 8))]
#[case::serve_after_install(ServeAfterInstall, property::ACKNOWLEDGED_NEVER_LOST, (130_979, 17))]
#[case::replace_only_with_spare_replicas(ReplaceOnlyWithSpareReplicas, property::ACKNOWLEDGED_NEVER_LOST, (28_961, 9))]
#[case::seal_stops_install(SealStopsInstall, property::ACKNOWLEDGED_NEVER_LOST, (181_670, 18))]
#[case::leave_after_next_view(LeaveAfterNextView, property::ACKNOWLEDGED_NEVER_LOST, (759, 4))]
#[case::retries_deduplicated(RetriesDeduplicated, property::COMMITTED_NEVER_REJECTED, (199, 4))]
#[case::one_change_in_flight(OneChangeInFlight, property::REJECTED_NEVER_COMMITTED, (12_805, 14))]
#[case::reads_confirmed(ReadsConfirmed, property::NO_STALE_REPLY, (29_794, 12))]
#[case::rejections_confirmed(RejectionsConfirmed, property::NO_STALE_REPLY, (6_640, 13))]
#[case::seal_stops_confirmation(SealStopsConfirmation, property::NO_STALE_REPLY, (65_829, 14))]
#[case::prepare_after_sync(PrepareAfterSync, property::ONE_VIEW_PER_NUMBER, (100_150, 11))]
#[case::round_recovered_on_restart(RoundRecoveredOnRestart, property::ONE_VIEW_PER_NUMBER, (91_686, 11))]
#[case::promise_after_sync(PromiseAfterSync, property::ONE_VIEW_PER_NUMBER, (70_935, 13))]
#[case::accepted_after_sync(AcceptedAfterSync, property::ONE_VIEW_PER_NUMBER, (49_126, 13))]
#[case::lower_proposals_rejected(LowerProposalsRejected, property::ONE_VIEW_PER_NUMBER, (239_567, 12))]
#[case::accepted_view_adopted(AcceptedViewAdopted, property::ONE_VIEW_PER_NUMBER, (19_285, 12))]
fn a_property_is_violated_without_a_guard(
    #[case] guard: Guard, #[case] property: &str, #[case] expected: Extent,
) {
    assert_eq!(search_without(&[guard], smallest_bounds(guard)), (Some(property), expected));
}

/// The smallest bounds within which a property is violated without the guard.
fn smallest_bounds(guard: Guard) -> Bounds {
    let one_change = Bounds { change_count: 1, ..base_bounds() };
    let short_chain = Bounds { initial_chain: Chain::of(&[0, 1]), ..one_change };
    match guard {
        ReplicateAfterSync => Bounds { crashing_machines: SmallSet::of(&[0, 1, 2]), ..one_change },
        NewDiskNewIdentity | MinChainLength => Bounds { may_lose_disk: true, ..one_change },
        SourceHoldsNewestHistory => short_chain,
        ServeAfterInstall => Bounds { max_proposals: [1, 1], max_chain_length: 2, ..one_change },
        LeaveAfterNextView => {
            Bounds { may_leave: true, may_lose_disk: true, may_add_learner: true, ..short_chain }
        }
        ReplaceOnlyWithSpareReplicas => Bounds { may_lose_disk: true, may_add_learner: true, ..short_chain },
        ReadsConfirmed => Bounds { max_confirmations: 1, ..one_change },
        RejectionsConfirmed => Bounds { changes: DEPENDENT_CHANGES, ..base_bounds() },
        SealStopsConfirmation => {
            Bounds { may_add_learner: true, max_confirmations: 1, max_chain_length: 2, ..one_change }
        }
        PrepareAfterSync | RoundRecoveredOnRestart => agreement_bounds(&[0]),
        PromiseAfterSync | AcceptedAfterSync => agreement_bounds(&[1]),
        LowerProposalsRejected | AcceptedViewAdopted => agreement_bounds(&[]),
        SealStopsReplication | SealStopsInstall => {
            Bounds { max_proposals: [1, 1], max_chain_length: 2, ..one_change }
        }
        OneViewPerProposal => Bounds { max_proposals: [3, 0], ..agreement_bounds(&[0]) },
        RetriesDeduplicated | OneChangeInFlight => base_bounds(),
    }
}

/// A sealed replica that continues to replicate causes no violation by itself: an entry that is committed in
/// its view is in the history of each replica of the chain, and the source of the next view sends its history
/// as of the moment when it enters that view.
#[test]
fn sealing_stops_installation_or_replication() {
    let bounds = smallest_bounds(SealStopsReplication);
    let removed = [SealStopsInstall, SealStopsReplication];
    let expected = (Some(property::ACKNOWLEDGED_NEVER_LOST), (197_857, 17));
    assert_eq!(search_without(&removed, bounds), expected);
    if has_long_bounds() {
        assert_eq!(search_without(&[SealStopsReplication], bounds).0, None);
    }
}

/// An acceptor never receives two views under one proposal number, since no number is used twice.
#[test]
fn a_unique_proposal_number_names_one_view() {
    if has_long_bounds() {
        assert_eq!(search_without(&[OneViewPerProposal], smallest_bounds(OneViewPerProposal)).0, None);
    }
}
