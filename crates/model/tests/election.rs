//! The model of the election, searched within bounds; see `chain/main.rs` for what the environment may ask.

use lugwharf_model::election::Guard::{self, *};
use lugwharf_model::election::{Bounds, ElectionModel, Guards, ONE_HOLDER, TOKENS_CLIMB};
use lugwharf_model::explorer::{Report, search};
use rstest::rstest;

/// More states than any of the searches may have: they stay below 2 GB.
const MAX_STATES: usize = 16_000_000;

fn explore(name: &str, bounds: Bounds, guards: Guards) -> Report {
    let report = search(&ElectionModel { bounds, guards }, MAX_STATES);
    println!("{name}: {report}; {bounds:?}");
    if let Some(found) = report.counterexample.as_ref().filter(|_| std::env::var_os("MODEL_TRACE").is_some())
    {
        println!("{}", found.steps.join("\n"));
    }
    report
}

/// Two candidacies within three steps of the clock.
fn bounds() -> Bounds {
    Bounds {
        ticks: 3,
        candidates: &[0, 1, 2, 3],
        campaigns: 2,
        renewals: 0,
        releases: 0,
        crashes: 0,
        second_view: false,
    }
}

/// A second view, within two steps of the clock, and the machines that stand.
fn across_views(candidates: &'static [usize]) -> Bounds {
    Bounds { ticks: 2, candidates, second_view: true, ..bounds() }
}

fn is_long() -> bool {
    std::env::var("MODEL_BOUNDS").is_ok_and(|bounds| bounds == "long")
}

fn holds(name: &str, bounds: Bounds) -> Report {
    let report = explore(name, bounds, Guards::ALL);
    assert_eq!(report.counterexample, None);
    assert!(report.complete, "the bounds are too wide");
    report
}

#[rstest]
#[case::candidates("two candidates", bounds(), (5_218, 14))]
#[case::restart("a restart", Bounds { crashes: 1, ..bounds() }, (40_355, 15))]
#[case::renewal("a renewal", Bounds { renewals: 1, ..bounds() }, (34_267, 19))]
#[case::second_view("a second view", across_views(&[1, 3]), (41_886, 20))]
#[case::carried_over("a renewal across views", Bounds { renewals: 1, ..across_views(&[1, 3]) }, (204_717, 24))]
fn within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] states_and_depth: (usize, usize)) {
    let report = holds(name, bounds);
    assert_eq!((report.states, report.depth), states_and_depth);
}

/// The bounds of `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let across = across_views(&[0, 1, 2, 3]);
    vec![
        ("a renewal and a release", Bounds { renewals: 1, releases: 1, ..bounds() }),
        ("three candidacies", Bounds { ticks: 5, campaigns: 3, ..bounds() }),
        ("three candidacies, a restart", Bounds { ticks: 4, campaigns: 3, crashes: 1, ..bounds() }),
        ("two restarts, a renewal", Bounds { ticks: 4, crashes: 2, renewals: 1, ..bounds() }),
        ("a second view, a renewal", Bounds { renewals: 1, ..across }),
        ("a second view, a renewal, longer", Bounds { ticks: 3, renewals: 1, ..across }),
        ("a second view, a restart", Bounds { crashes: 1, ..across_views(&[1, 3]) }),
        ("a second view, a release", Bounds { releases: 1, ..across_views(&[1, 3]) }),
        ("a second view, a renewal, a release", Bounds { renewals: 1, releases: 1, ..across_views(&[1, 3]) }),
    ]
}

#[test]
fn within_long_bounds() {
    let cases = if is_long() { long_bounds() } else { Vec::new() };
    for (name, bounds) in cases {
        holds(name, bounds);
    }
}

#[rstest]
#[case::tokens_of_view(TokensOfView, TOKENS_CLIMB, across_views(&[1, 3]), (40_091, 16))]
#[case::one_grant(OneGrantAtATime, ONE_HOLDER, bounds(), (5_203, 11))]
#[case::majority(MajorityElects, TOKENS_CLIMB, bounds(), (1_843, 8))]
#[case::vote_after_sync(VoteAfterSync, TOKENS_CLIMB, Bounds { crashes: 1, ..bounds() }, (53_774, 13))]
#[case::seal(SealStopsGrants, ONE_HOLDER, Bounds { renewals: 1, ..across_views(&[1, 3]) }, (160_175, 16))]
#[case::new_view_waits(NewViewWaits, ONE_HOLDER, across_views(&[1, 3]), (37_583, 14))]
#[case::lease_from_request(LeaseFromRequest, ONE_HOLDER, Bounds { renewals: 1, ..bounds() }, (35_023, 14))]
fn a_guard_is_needed(
    #[case] guard: Guard, #[case] property: &str, #[case] bounds: Bounds,
    #[case] states_and_depth: (usize, usize),
) {
    assert_eq!(search_without(&[guard], bounds), (Some(property), states_and_depth));
}

/// The property that breaks without these guards, and how many states and steps the search has seen.
fn search_without(removed: &[Guard], bounds: Bounds) -> (Option<&'static str>, (usize, usize)) {
    let report = explore(&format!("without {removed:?}"), bounds, Guards::without(removed));
    assert!(report.complete || report.counterexample.is_some(), "the bounds are too wide");
    (report.counterexample.map(|found| found.property), (report.states, report.depth))
}

fn explore_without(removed: &[Guard], bounds: Bounds) -> Option<&'static str> {
    search_without(removed, bounds).0
}

/// The first guard does nothing that the second does not do as well: only without both a property breaks.
#[rstest]
#[case::tokens_climb(&[TokensClimb, CampaignsEnd], bounds(), [(5_632, 14), (8_021, 12)])]
#[case::grant_anew(&[GrantAnewAfterRestart, SettledAfterRestart], Bounds { crashes: 1, ..bounds() }, [(38_909, 15), (25_397, 11)])]
#[case::settled(&[SettledAfterRestart, GrantAnewAfterRestart], Bounds { crashes: 1, ..bounds() }, [(36_215, 16), (25_397, 11)])]
#[case::quarantine(&[QuarantineWithoutRecord, VoteAfterSync], Bounds { crashes: 1, ..bounds() }, [(40_355, 15), (53_774, 13)])]
fn a_guard_is_implied(
    #[case] removed: &[Guard], #[case] bounds: Bounds, #[case] states_and_depth: [(usize, usize); 2],
) {
    assert_eq!(search_without(&removed[..1], bounds), (None, states_and_depth[0]));
    let (broken, seen) = search_without(removed, bounds);
    assert!(broken.is_some());
    assert_eq!(seen, states_and_depth[1]);
}

/// A process that stood before it accepted a later view must not win long after: meanwhile the holder renews in the later
/// view. Either of these sees to that: the question before standing, or the end of campaigns before the lease is over.
#[test]
fn a_candidate_of_an_earlier_view_does_not_win_late() {
    let bounds = Bounds { renewals: 1, ..across_views(&[1, 2]) };
    let expected = (Some(ONE_HOLDER), (375_810, 16));
    assert_eq!(search_without(&[AskedFirst, CampaignsEnd], bounds), expected);
    if is_long() {
        assert_eq!(explore_without(&[CampaignsEnd], bounds), None);
        assert_eq!(explore_without(&[AskedFirst], bounds), None);
    }
}

/// These let the next election come soon or keep a token from coming back late; no property rests on them.
#[rstest]
#[case::released(ReleasedStaysReleased, Bounds { ticks: 2, renewals: 1, releases: 1, candidates: &[0, 1], ..bounds() }, (249_739, 23))]
#[case::renewals(RenewalsCurrent, Bounds { renewals: 1, ..across_views(&[1, 3]) }, (205_893, 24))]
fn a_guard_is_for_progress(
    #[case] guard: Guard, #[case] bounds: Bounds, #[case] states_and_depth: (usize, usize),
) {
    assert_eq!(search_without(&[guard], bounds), (None, states_and_depth));
}
