//! Searches of the election model, with all guards and with some disabled.

use crate::{Extent, assert_holds, extent, has_long_bounds, search_and_print, violated_property};
use lugwharf_model::election::Guard::{self, *};
use lugwharf_model::election::{Bounds, ElectionModel, Guards, ONE_HOLDER, TOKENS_INCREASE};
use lugwharf_model::explorer::SearchReport;
use rstest::rstest;

/// The limit of states per search, above what any of them visits. A search at the limit needs less than 2 GB
/// of memory.
const MAX_STATES: usize = 16_000_000;

/// Two campaigns within three ticks, without faults except for lost and delayed messages.
fn base_bounds() -> Bounds {
    Bounds {
        max_ticks: 3,
        candidates: &[0, 1, 2, 3],
        max_campaigns: 2,
        max_renewals: 0,
        max_releases: 0,
        max_crashes: 0,
        may_change_view: false,
    }
}

/// A view change within two ticks; the machines in `candidates` may campaign.
fn across_views(candidates: &'static [usize]) -> Bounds {
    Bounds { max_ticks: 2, candidates, may_change_view: true, ..base_bounds() }
}

fn explore(name: &str, bounds: Bounds, guards: Guards) -> SearchReport {
    search_and_print(name, &ElectionModel { bounds, guards }, &bounds, MAX_STATES)
}

/// The property that is violated without the guards in `removed`, and the extent of the search.
fn search_without(removed: &[Guard], bounds: Bounds) -> (Option<&'static str>, Extent) {
    let report = explore(&format!("without {removed:?}"), bounds, Guards::without(removed));
    (violated_property(&report), extent(&report))
}

#[rstest]
#[case::candidates("two candidates", base_bounds(), (5_218, 14))]
#[case::restart("a restart", Bounds { max_crashes: 1, ..base_bounds() }, (40_355, 15))]
#[case::renewal("a renewal", Bounds { max_renewals: 1, ..base_bounds() }, (34_267, 19))]
#[case::second_view("a second view", across_views(&[1, 3]), (41_886, 20))]
#[case::renewal_across_views("a renewal across views", Bounds { max_renewals: 1, ..across_views(&[1, 3]) }, (204_717, 24))]
fn all_guards_hold_within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] expected: Extent) {
    let report = explore(name, bounds, Guards::ALL);
    assert_holds(&report);
    assert_eq!(extent(&report), expected);
}

/// The bounds that are searched in addition with `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let all_candidates = across_views(&[0, 1, 2, 3]);
    vec![
        ("a renewal and a release", Bounds { max_renewals: 1, max_releases: 1, ..base_bounds() }),
        ("three candidacies", Bounds { max_ticks: 5, max_campaigns: 3, ..base_bounds() }),
        (
            "three candidacies, a restart",
            Bounds { max_ticks: 4, max_campaigns: 3, max_crashes: 1, ..base_bounds() },
        ),
        (
            "two restarts, a renewal",
            Bounds { max_ticks: 4, max_crashes: 2, max_renewals: 1, ..base_bounds() },
        ),
        ("a second view, a renewal", Bounds { max_renewals: 1, ..all_candidates }),
        ("a second view, a renewal, longer", Bounds { max_ticks: 3, max_renewals: 1, ..all_candidates }),
        ("a second view, a restart", Bounds { max_crashes: 1, ..across_views(&[1, 3]) }),
        ("a second view, a release", Bounds { max_releases: 1, ..across_views(&[1, 3]) }),
        (
            "a second view, a renewal, a release",
            Bounds { max_renewals: 1, max_releases: 1, ..across_views(&[1, 3]) },
        ),
    ]
}

#[test]
fn all_guards_hold_within_long_bounds() {
    let cases = if has_long_bounds() { long_bounds() } else { Vec::new() };
    for (name, bounds) in cases {
        assert_holds(&explore(name, bounds, Guards::ALL));
    }
}

#[rstest]
#[case::token_includes_view(TokenIncludesView, TOKENS_INCREASE, across_views(&[1, 3]), (40_091, 16))]
#[case::one_lease_at_a_time(OneLeaseAtATime, ONE_HOLDER, base_bounds(), (5_203, 11))]
#[case::majority_elects(MajorityElects, TOKENS_INCREASE, base_bounds(), (1_843, 8))]
#[case::vote_after_sync(VoteAfterSync, TOKENS_INCREASE, Bounds { max_crashes: 1, ..base_bounds() }, (53_774, 13))]
#[case::seal_stops_votes(SealStopsVotes, ONE_HOLDER, Bounds { max_renewals: 1, ..across_views(&[1, 3]) }, (160_175, 16))]
#[case::no_votes_after_view_change(NoVotesAfterViewChange, ONE_HOLDER, across_views(&[1, 3]), (37_583, 14))]
#[case::lease_starts_at_request(LeaseStartsAtRequest, ONE_HOLDER, Bounds { max_renewals: 1, ..base_bounds() }, (35_023, 14))]
fn a_property_is_violated_without_a_guard(
    #[case] guard: Guard, #[case] property: &str, #[case] bounds: Bounds, #[case] expected: Extent,
) {
    assert_eq!(search_without(&[guard], bounds), (Some(property), expected));
}

/// Another guard prevents the violations that the first one prevents: a property is violated only without
/// both.
#[rstest]
#[case::tokens_increase(&[TokensIncrease, CampaignsTimeOut], base_bounds(), [(5_632, 14), (8_021, 12)])]
#[case::regrant_after_restart(&[RegrantAfterRestart, NoVotesAfterRestart], Bounds { max_crashes: 1, ..base_bounds() }, [(38_909, 15), (25_397, 11)])]
#[case::no_votes_after_restart(&[NoVotesAfterRestart, RegrantAfterRestart], Bounds { max_crashes: 1, ..base_bounds() }, [(36_215, 16), (25_397, 11)])]
#[case::quarantine_without_record(&[QuarantineWithoutRecord, VoteAfterSync], Bounds { max_crashes: 1, ..base_bounds() }, [(40_355, 15), (53_774, 13)])]
fn a_guard_is_implied_by_another(
    #[case] removed: &[Guard], #[case] bounds: Bounds, #[case] expected: [Extent; 2],
) {
    assert_eq!(search_without(&removed[..1], bounds), (None, expected[0]));
    let (violated, extent) = search_without(removed, bounds);
    assert!(violated.is_some());
    assert_eq!(extent, expected[1]);
}

/// A candidate that accepts a later view must not acquire the lease long afterwards, since the holder may
/// have renewed its lease in the later view. Either guard prevents this: the pre-vote, or the timeout of a
/// campaign before the lease expires.
#[test]
fn a_candidate_of_an_earlier_view_acquires_no_lease_late() {
    let bounds = Bounds { max_renewals: 1, ..across_views(&[1, 2]) };
    let expected = (Some(ONE_HOLDER), (375_810, 16));
    assert_eq!(search_without(&[PreVoteFirst, CampaignsTimeOut], bounds), expected);
    if has_long_bounds() {
        assert_eq!(search_without(&[CampaignsTimeOut], bounds).0, None);
        assert_eq!(search_without(&[PreVoteFirst], bounds).0, None);
    }
}

/// These guards let the next election start sooner, or prevent that a delayed renewal is granted. No safety
/// property depends on them.
#[rstest]
#[case::released_tokens_not_renewed(ReleasedTokensNotRenewed, Bounds { max_ticks: 2, max_renewals: 1, max_releases: 1, candidates: &[0, 1], ..base_bounds() }, (249_739, 23))]
#[case::outdated_renewals_denied(OutdatedRenewalsDenied, Bounds { max_renewals: 1, ..across_views(&[1, 3]) }, (205_893, 24))]
fn a_guard_for_progress_prevents_no_violation(
    #[case] guard: Guard, #[case] bounds: Bounds, #[case] expected: Extent,
) {
    assert_eq!(search_without(&[guard], bounds), (None, expected));
}
