//! With panics disabled, violations are counted, the first ones are reported, and the process keeps running.

use lugwharf_invariants::{Invariant, Violation, check, count, count_violations_only, set_reporter, total};
use std::sync::Mutex;

static REPORTED: Mutex<Vec<Violation>> = Mutex::new(Vec::new());

fn record(violation: &Violation) {
    REPORTED.lock().expect("reporter mutex is not poisoned").push(violation.clone());
}

#[test]
fn violations_are_counted_by_name_and_only_the_first_are_reported() {
    count_violations_only();
    set_reporter(record);
    check(Invariant::RetriesPaid, true, || unreachable!("facts evaluated without a violation"));
    assert_eq!((count(Invariant::RetriesPaid), total()), (0, 0));
    for attempt in 1..=15 {
        check(Invariant::RetriesPaid, false, || format!("attempt {attempt}"));
    }
    assert_eq!((count(Invariant::RetriesPaid), count(Invariant::OneFinalAnswer), total()), (15, 0, 15));
    let reported = REPORTED.lock().expect("reporter mutex is not poisoned");
    assert_eq!(reported.len(), 10);
    assert_eq!((reported[9].count, reported[9].facts.as_str()), (10, "attempt 10"));
}
