//! Violations in tests and simulations: they stop everything at once. Names are those of metrics.

use lugwharf_invariants::{Invariant, check, fail_at_once};
use std::collections::BTreeSet;

#[test]
#[should_panic(expected = "invariant one_final_answer violated: two answers")]
fn a_violation_panics_where_it_has_to_stop_everything() {
    fail_at_once();
    check(Invariant::OneFinalAnswer, false, || "two answers".to_owned());
}

#[test]
fn each_invariant_has_a_name_of_its_own_that_fits_a_metric() {
    let names: BTreeSet<&str> = Invariant::ALL.iter().map(|invariant| invariant.name()).collect();
    assert_eq!(names.len(), Invariant::ALL.len());
    let fits = |name: &str| name.bytes().all(|byte| byte.is_ascii_lowercase() || byte == b'_');
    assert!(names.iter().all(|name| fits(name)), "{names:?}");
}
