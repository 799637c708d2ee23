//! The model of the chain with all guards: no property is violated in any state.

use crate::{Extent, assert_holds, extent, has_long_bounds, run};
use lugwharf_model::chain::{Bounds, Chain, ChainModel, Change, FOUNDER_COUNT, Guards, SmallSet};
use lugwharf_model::explorer::SearchReport;
use rstest::rstest;

/// More states than any of the searches visits: they need less than 2 GB.
const MAX_STATES: usize = 12_000_000;

/// Two changes on one base.
const RIVALS: [Change; 2] = [Change { base: 0, version: 1 }, Change { base: 0, version: 2 }];
/// A change, and one that builds on it.
pub const SUCCESSORS: [Change; 2] = [Change { base: 0, version: 1 }, Change { base: 1, version: 2 }];

/// One proposal for a second view, two changes on one base, no faults but lost and late messages.
pub fn bounds() -> Bounds {
    Bounds {
        changes: RIVALS,
        change_count: 2,
        initial_chain: Chain::of(&[0, 1, 2]),
        max_proposals: [1, 0],
        max_confirmations: 0,
        proposers: SmallSet::of(&[0, 1, 2, 3]),
        max_chain_length: FOUNDER_COUNT,
        crashing_machines: SmallSet::default(),
        may_wipe: false,
        may_leave: false,
        may_add_newcomer: false,
    }
}

/// Two proposers that agree on the second view, and nothing else.
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

/// Searches the chain within bounds.
pub fn explore(name: &str, bounds: Bounds, guards: Guards) -> SearchReport {
    run(name, &ChainModel { bounds, guards }, &bounds, MAX_STATES)
}

#[rstest]
#[case::rivals("two changes on one base", bounds(), (10_187, 18))]
#[case::short_chain("a member outside the chain", Bounds { initial_chain: Chain::of(&[0, 1]), ..bounds() }, (15_737, 18))]
#[case::newcomer("a newcomer", Bounds { may_add_newcomer: true, change_count: 1, ..bounds() }, (8_317, 18))]
#[case::restart("a restart", Bounds { crashing_machines: SmallSet::of(&[0, 1, 2]), change_count: 1, ..bounds() }, (52_589, 22))]
#[case::wipe("a wipe", Bounds { may_wipe: true, change_count: 1, ..bounds() }, (17_014, 19))]
#[case::leave("a member leaves, a disk is lost", Bounds { change_count: 1, may_add_newcomer: true, may_wipe: true, may_leave: true, ..bounds() }, (44_377, 20))]
#[case::read("a read", Bounds { change_count: 1, max_confirmations: 1, ..bounds() }, (49_876, 21))]
#[case::rejection("a rejection on an unknown base", Bounds { changes: SUCCESSORS, max_confirmations: 1, ..bounds() }, (163_580, 24))]
#[case::agreement("two proposers", agreement(&[]), (12_198, 16))]
fn all_guards_hold_within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] expected: Extent) {
    let report = explore(name, bounds, Guards::ALL);
    assert_holds(&report);
    assert_eq!(extent(&report), expected);
}

/// The bounds of `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let all = SmallSet::of(&[0, 1, 2]);
    let short = Chain::of(&[0, 1]);
    let two = Bounds { max_proposals: [2, 0], ..bounds() };
    let three_views = Bounds { max_proposals: [1, 1], change_count: 1, ..bounds() };
    let short_views = Bounds { max_chain_length: 2, ..three_views };
    let faults = Bounds {
        may_add_newcomer: true,
        may_wipe: true,
        may_leave: true,
        crashing_machines: all,
        ..bounds()
    };
    let read = Bounds { max_confirmations: 1, max_chain_length: 2, ..bounds() };
    let later = Bounds { changes: SUCCESSORS, ..read };
    vec![
        ("two proposers, a restart", agreement(&[0, 1, 2])),
        ("three proposals, a restart", Bounds { max_proposals: [3, 0], ..agreement(&[0, 1, 2]) }),
        ("two proposals, rivals", two),
        (
            "two proposals, a newcomer, a wipe",
            Bounds { change_count: 1, may_add_newcomer: true, may_wipe: true, ..two },
        ),
        ("two proposals, a restart", Bounds { change_count: 1, crashing_machines: all, ..two }),
        ("three views, rivals", Bounds { change_count: 2, ..three_views }),
        ("three views, a short chain", Bounds { initial_chain: short, ..three_views }),
        ("three views, a newcomer, a wipe", Bounds { may_add_newcomer: true, may_wipe: true, ..short_views }),
        (
            "three views, a newcomer, a leaver",
            Bounds { may_add_newcomer: true, may_leave: true, ..short_views },
        ),
        ("three views, a restart", Bounds { crashing_machines: all, ..short_views }),
        ("three views, a read", Bounds { max_confirmations: 1, ..short_views }),
        ("rivals, a newcomer, a wipe, a leaver, a restart", faults),
        ("rivals, a newcomer, a wipe, a read", Bounds { may_add_newcomer: true, may_wipe: true, ..read }),
        ("rivals, a restart, a read", Bounds { crashing_machines: all, ..read }),
        (
            "successors, a newcomer, a wipe, a rejection",
            Bounds { may_add_newcomer: true, may_wipe: true, ..later },
        ),
        ("successors, a restart, a rejection", Bounds { crashing_machines: all, ..later }),
    ]
}

#[test]
fn all_guards_hold_within_long_bounds() {
    let cases = if has_long_bounds() { long_bounds() } else { Vec::new() };
    for (name, bounds) in cases {
        assert_holds(&explore(name, bounds, Guards::ALL));
    }
}
