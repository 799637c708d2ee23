//! With all guards, no property is broken in any state.

use crate::{SUCCESSORS, agreement, bounds, explore, is_long};
use lugwharf_model::chain::{Bounds, Chain, Guards, Set};
use lugwharf_model::explorer::Report;
use rstest::rstest;

fn holds(name: &str, bounds: Bounds) -> Report {
    let report = explore(name, bounds, Guards::ALL);
    assert_eq!(report.counterexample, None);
    assert!(report.complete, "the bounds are too wide");
    report
}

#[rstest]
#[case::rivals("two changes on one base", bounds(), (10_187, 18))]
#[case::short_chain("a member outside the chain", Bounds { first_chain: Chain::of(&[0, 1]), ..bounds() }, (15_737, 18))]
#[case::newcomer("a newcomer", Bounds { newcomer: true, sent: 1, ..bounds() }, (8_317, 18))]
#[case::restart("a restart", Bounds { crashers: Set::of(&[0, 1, 2]), sent: 1, ..bounds() }, (52_589, 22))]
#[case::wipe("a wipe", Bounds { wipe: true, sent: 1, ..bounds() }, (17_014, 19))]
#[case::leave("a member leaves, a disk is lost", Bounds { sent: 1, newcomer: true, wipe: true, leave: true, ..bounds() }, (44_377, 20))]
#[case::read("a read", Bounds { sent: 1, questions: 1, ..bounds() }, (49_876, 21))]
#[case::refusal("a refusal on an unseen base", Bounds { changes: SUCCESSORS, questions: 1, ..bounds() }, (163_580, 24))]
#[case::agreement("two proposers", agreement(&[]), (12_198, 16))]
fn within_short_bounds(#[case] name: &str, #[case] bounds: Bounds, #[case] states_and_depth: (usize, usize)) {
    let report = holds(name, bounds);
    assert_eq!((report.states, report.depth), states_and_depth);
}

/// The bounds of `MODEL_BOUNDS=long`.
fn long_bounds() -> Vec<(&'static str, Bounds)> {
    let all = Set::of(&[0, 1, 2]);
    let short = Chain::of(&[0, 1]);
    let two = Bounds { attempts: [2, 0], ..bounds() };
    let three_views = Bounds { attempts: [1, 1], sent: 1, ..bounds() };
    let short_views = Bounds { longest_chain: 2, ..three_views };
    let faults = Bounds { newcomer: true, wipe: true, leave: true, crashers: all, ..bounds() };
    let read = Bounds { questions: 1, longest_chain: 2, ..bounds() };
    let later = Bounds { changes: SUCCESSORS, ..read };
    vec![
        ("two proposers, a restart", agreement(&[0, 1, 2])),
        ("three proposals, a restart", Bounds { attempts: [3, 0], ..agreement(&[0, 1, 2]) }),
        ("two proposals, rivals", two),
        ("two proposals, a newcomer, a wipe", Bounds { sent: 1, newcomer: true, wipe: true, ..two }),
        ("two proposals, a restart", Bounds { sent: 1, crashers: all, ..two }),
        ("three views, rivals", Bounds { sent: 2, ..three_views }),
        ("three views, a short chain", Bounds { first_chain: short, ..three_views }),
        ("three views, a newcomer, a wipe", Bounds { newcomer: true, wipe: true, ..short_views }),
        ("three views, a newcomer, a leaver", Bounds { newcomer: true, leave: true, ..short_views }),
        ("three views, a restart", Bounds { crashers: all, ..short_views }),
        ("three views, a read", Bounds { questions: 1, ..short_views }),
        ("rivals, a newcomer, a wipe, a leaver, a restart", faults),
        ("rivals, a newcomer, a wipe, a read", Bounds { newcomer: true, wipe: true, ..read }),
        ("rivals, a restart, a read", Bounds { crashers: all, ..read }),
        ("successors, a newcomer, a wipe, a question", Bounds { newcomer: true, wipe: true, ..later }),
        ("successors, a restart, a question", Bounds { crashers: all, ..later }),
    ]
}

#[test]
fn within_long_bounds() {
    let cases = if is_long() { long_bounds() } else { Vec::new() };
    for (name, bounds) in cases {
        holds(name, bounds);
    }
}
