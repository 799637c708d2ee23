//! Searches of the chain model with all guards: no reachable state violates a property.

use crate::{Extent, assert_holds, extent, has_long_bounds, run};
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
pub fn bounds() -> Bounds {
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
pub fn agreement(crashing_machines: &[u8]) -> Bounds {
    Bounds {
        change_count: 0,
        max_proposals: [2, 0],
        proposers: SmallSet::of(&[0, 2]),
        max_chain_length: 2,
        crashing_machines: SmallSet::of(crashing_machines),
        ..bounds()
    }
}

/// Searches the chain model within `bounds`, and prints the result under `name`.
pub fn explore(name: &str, bounds: Bounds, guards: Guards) -> SearchReport {
    run(name, &ChainModel { bounds, guards }, &bounds, MAX_STATES)
}

#[rstest]
#[case::concurrent_changes("two concurrent changes", bounds(), (10_187, 18))]
#[case::short_chain("a member outside the chain", Bounds { initial_chain: Chain::of(&[0, 1]), ..bounds() }, (15_737, 18))]
#[case::learner("a learner joins", Bounds { may_add_learner: true, change_count: 1, ..bounds() }, (8_317, 18))]
#[case::restart("a restart", Bounds { crashing_machines: SmallSet::of(&[0, 1, 2]), change_count: 1, ..bounds() }, (52_589, 22))]
#[case::lost_disk("a lost disk", Bounds { may_lose_disk: true, change_count: 1, ..bounds() }, (17_014, 19))]
#[case::leave("a member leaves, a lost disk", Bounds { change_count: 1, may_add_learner: true, may_lose_disk: true, may_leave: true, ..bounds() }, (44_377, 20))]
#[case::read("a read", Bounds { change_count: 1, max_confirmations: 1, ..bounds() }, (49_876, 21))]
#[case::rejection("a rejection on an unknown base", Bounds { changes: DEPENDENT_CHANGES, max_confirmations: 1, ..bounds() }, (163_580, 24))]
#[case::agreement("two proposers", agreement(&[]), (12_198, 16))]
fn all_guards_hold_within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] expected: Extent) {
    let report = explore(name, bounds, Guards::ALL);
    assert_holds(&report);
    assert_eq!(extent(&report), expected);
}

/// The bounds that are searched in addition with `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let all = SmallSet::of(&[0, 1, 2]);
    let short = Chain::of(&[0, 1]);
    let two = Bounds { max_proposals: [2, 0], ..bounds() };
    let three_views = Bounds { max_proposals: [1, 1], change_count: 1, ..bounds() };
    let short_views = Bounds { max_chain_length: 2, ..three_views };
    let faults = Bounds {
        may_add_learner: true,
        may_lose_disk: true,
        may_leave: true,
        crashing_machines: all,
        ..bounds()
    };
    let read = Bounds { max_confirmations: 1, max_chain_length: 2, ..bounds() };
    let dependent = Bounds { changes: DEPENDENT_CHANGES, ..read };
    vec![
        ("two proposers, a restart", agreement(&[0, 1, 2])),
        ("three proposals, a restart", Bounds { max_proposals: [3, 0], ..agreement(&[0, 1, 2]) }),
        ("two proposals, concurrent changes", two),
        (
            "two proposals, a learner joins, a lost disk",
            Bounds { change_count: 1, may_add_learner: true, may_lose_disk: true, ..two },
        ),
        ("two proposals, a restart", Bounds { change_count: 1, crashing_machines: all, ..two }),
        ("three views, concurrent changes", Bounds { change_count: 2, ..three_views }),
        ("three views, a short chain", Bounds { initial_chain: short, ..three_views }),
        (
            "three views, a learner joins, a lost disk",
            Bounds { may_add_learner: true, may_lose_disk: true, ..short_views },
        ),
        (
            "three views, a learner joins, a member leaves",
            Bounds { may_add_learner: true, may_leave: true, ..short_views },
        ),
        ("three views, a restart", Bounds { crashing_machines: all, ..short_views }),
        ("three views, a read", Bounds { max_confirmations: 1, ..short_views }),
        ("concurrent changes, a learner joins, a lost disk, a member leaves, a restart", faults),
        (
            "concurrent changes, a learner joins, a lost disk, a read",
            Bounds { may_add_learner: true, may_lose_disk: true, ..read },
        ),
        ("concurrent changes, a restart, a read", Bounds { crashing_machines: all, ..read }),
        (
            "dependent changes, a learner joins, a lost disk, a rejection",
            Bounds { may_add_learner: true, may_lose_disk: true, ..dependent },
        ),
        ("dependent changes, a restart, a rejection", Bounds { crashing_machines: all, ..dependent }),
    ]
}

#[test]
fn all_guards_hold_within_long_bounds() {
    let cases = if has_long_bounds() { long_bounds() } else { Vec::new() };
    for (name, bounds) in cases {
        assert_holds(&explore(name, bounds, Guards::ALL));
    }
}
