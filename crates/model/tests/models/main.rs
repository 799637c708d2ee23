//! Exhaustive searches of the models, each within fixed bounds.
//!
//! `cargo test -p lugwharf-model -- --nocapture` prints the bounds, the number of states and the seconds of
//! each search. `MODEL_BOUNDS=long` in the environment searches the long bounds as well (use `--release`);
//! `MODEL_TRACE=1` prints the steps of each counterexample. The results are listed in `docs/design/model.md`.

mod chain;
mod chain_without_guards;
mod election;

use lugwharf_model::explorer::{Model, SearchReport, search};
use std::fmt::Debug;

/// The number of states that a search visits, and its depth. The tests contain these as literals: a commit
/// that changes them must explain why.
type Extent = (usize, usize);

/// Whether the long bounds are searched as well.
fn has_long_bounds() -> bool {
    std::env::var("MODEL_BOUNDS").is_ok_and(|bounds| bounds == "long")
}

/// Searches a model, and prints the coverage and the result of the search.
fn search_and_print(name: &str, model: &impl Model, bounds: &impl Debug, max_states: usize) -> SearchReport {
    let report = search(model, max_states);
    println!("{name}: {report}; {bounds:?}");
    let counterexample = report.counterexample.as_ref();
    if let Some(found) = counterexample.filter(|_| std::env::var_os("MODEL_TRACE").is_some()) {
        println!("{}", found.steps.join("\n"));
    }
    report
}

/// The extent of a search, as the tests compare it.
fn extent(report: &SearchReport) -> Extent {
    (report.states, report.depth)
}

/// Asserts that the search visited all states and that none of them violates a property.
fn assert_holds(report: &SearchReport) {
    assert_eq!(report.counterexample, None);
    assert!(report.is_complete, "the search reached its limit of states before it had visited all of them");
}

/// The violated property, if any. The search must have visited all states or found a violation.
fn violated_property(report: &SearchReport) -> Option<&'static str> {
    assert!(
        report.is_complete || report.counterexample.is_some(),
        "the search reached its limit of states before it had visited all of them or found a violation"
    );
    report.counterexample.as_ref().map(|found| found.property)
}
