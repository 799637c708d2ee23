//! Searches of the chain model with all guards: no reachable state violates a property.

use crate::{Extent, assert_holds, extent, has_long_bounds, search_and_print};
use lugwharf_model::chain::{Bounds, Chain, ChainModel, Change, Guards, INITIAL_MEMBER_COUNT, SmallSet};
use lugwharf_model::explorer::SearchReport;
use rstest::rstest;

/// The limit of states per search, above what any of them visits. A search at the limit needs less than 2 GB
/// of memory.
const MAX_STATES: usize = 12_000_000;

/// Two concurrent changes, both based on version 0.
const CONCURRENT_CHANGES: [Change; 2] = [Change { base: 0, version: 1 }, Change { base: 0, version: 2 }];
/// Two changes, the second of which is based on the first.
pub const DEPENDENT_CHANGES: [Change; 2] = [Change { base: 0, version: 1 }, Change { base: 1, version: 2 }];

/// One proposal for a second view and two concurrent changes, without faults except for lost and delayed
/// messages.
pub fn base_bounds() -> Bounds {
    Bounds {
        changes: CONCURRENT_CHANGES,
        change_count: 2,
        initial_chain: Chain::of(&[0, 1, 2]),
        max_proposals: [1, 0],
        max_confirmations: 0,
        proposers: SmallSet::of(&[0, 1, 2, 3]),
        max_chain_length: INITIAL_MEMBER_COUNT,
        crashing_machines: SmallSet::default(),
        may_lose_disk: false,
        may_leave: false,
        may_add_learner: false,
    }
}

/// Two proposers for the second view, without changes.
pub fn agreement_bounds(crashing_machines: &[u8]) -> Bounds {
    Bounds {
        change_count: 0,
        max_proposals: [2, 0],
        proposers: SmallSet::of(&[0, 2]),
        max_chain_length: 2,
        crashing_machines: SmallSet::of(crashing_machines),
        ..base_bounds()
    }
}

/// Searches the chain model within `bounds`, and prints the result under `name`.
pub fn explore(name: &str, bounds: Bounds, guards: Guards) -> SearchReport {
    search_and_print(name, &ChainModel { bounds, guards }, &bounds, MAX_STATES)
}

#[rstest]
#[case::concurrent_changes("two concurrent changes", base_bounds(), (10_187, 18))]
#[case::short_chain("a member outside the chain", Bounds { initial_chain: Chain::of(&[0, 1]), ..base_bounds() }, (15_737, 18))]
#[case::learner("a learner joins", Bounds { may_add_learner: true, change_count: 1, ..base_bounds() }, (8_317, 18))]
#[case::restart("a restart", Bounds { crashing_machines: SmallSet::of(&[0, 1, 2]), change_count: 1, ..base_bounds() }, (52_589, 22))]
#[case::lost_disk("a lost disk", Bounds { may_lose_disk: true, change_count: 1, ..base_bounds() }, (17_014, 19))]
#[case::leave("a member leaves, a lost disk", Bounds { change_count: 1, may_add_learner: true, may_lose_disk: true, may_leave: true, ..base_bounds() }, (44_377, 20))]
#[case::read("a read", Bounds { change_count: 1, max_confirmations: 1, ..base_bounds() }, (49_876, 21))]
#[case::rejection("a rejection on an unknown base", Bounds { changes: DEPENDENT_CHANGES, max_confirmations: 1, ..base_bounds() }, (163_580, 24))]
#[case::agreement("two proposers", agreement_bounds(&[]), (12_198, 16))]
fn all_guards_hold_within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] expected: Extent) {
    let report = explore(name, bounds, Guards::ALL);
    assert_holds(&report);
    assert_eq!(extent(&report), expected);
}

/// The bounds that are searched in addition with `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let all_members = SmallSet::of(&[0, 1, 2]);
    let short_chain = Chain::of(&[0, 1]);
    let two_proposals = Bounds { max_proposals: [2, 0], ..base_bounds() };
    let three_views = Bounds { max_proposals: [1, 1], change_count: 1, ..base_bounds() };
    let short_views = Bounds { max_chain_length: 2, ..three_views };
    let all_faults = Bounds {
        may_add_learner: true,
        may_lose_disk: true,
        may_leave: true,
        crashing_machines: all_members,
        ..base_bounds()
    };
    let one_read = Bounds { max_confirmations: 1, max_chain_length: 2, ..base_bounds() };
    let dependent_changes = Bounds { changes: DEPENDENT_CHANGES, ..one_read };
    vec![
        ("two proposers, a restart", agreement_bounds(&[0, 1, 2])),
        ("three proposals, a restart", Bounds { max_proposals: [3, 0], ..agreement_bounds(&[0, 1, 2]) }),
        ("two proposals, concurrent changes", two_proposals),
        (
            "two proposals, a learner joins, a lost disk",
            Bounds { change_count: 1, may_add_learner: true, may_lose_disk: true, ..two_proposals },
        ),
        (
            "two proposals, a restart",
            Bounds { change_count: 1, crashing_machines: all_members, ..two_proposals },
        ),
        ("three views, concurrent changes", Bounds { change_count: 2, ..three_views }),
        ("three views, a short chain", Bounds { initial_chain: short_chain, ..three_views }),
        (
            "three views, a learner joins, a lost disk",
            Bounds { may_add_learner: true, may_lose_disk: true, ..short_views },
        ),
        (
            "three views, a learner joins, a member leaves",
            Bounds { may_add_learner: true, may_leave: true, ..short_views },
        ),
        ("three views, a restart", Bounds { crashing_machines: all_members, ..short_views }),
        ("three views, a read", Bounds { max_confirmations: 1, ..short_views }),
        ("concurrent changes, a learner joins, a lost disk, a member leaves, a restart", all_faults),
        (
            "concurrent changes, a learner joins, a lost disk, a read",
            Bounds { may_add_learner: true, may_lose_disk: true, ..one_read },
        ),
        ("concurrent changes, a restart, a read", Bounds { crashing_machines: all_members, ..one_read }),
        (
            "dependent changes, a learner joins, a lost disk, a rejection",
            Bounds { may_add_learner: true, may_lose_disk: true, ..dependent_changes },
        ),
        (
            "dependent changes, a restart, a rejection",
            Bounds { crashing_machines: all_members, ..dependent_changes },
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
