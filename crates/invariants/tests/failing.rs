//! With panics enabled, a violation panics. Invariant names are unique and valid as metric labels.

use lugwharf_invariants::{Invariant, check, panic_on_violation};
use std::collections::BTreeSet;

#[test]
#[should_panic(expected = "invariant one_final_answer violated: two answers")]
fn a_violation_panics_after_panic_on_violation() {
    panic_on_violation();
    check(Invariant::OneFinalAnswer, false, || "two answers".to_owned());
}

#[test]
fn names_are_unique_and_valid_metric_labels() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    let is_valid = |name: &str| name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
    assert!(names.iter().all(|name| is_valid(name)), "{names:?}");
}
