//! Tests that each view and each seal is reported once.

use super::view_tracker::ViewTracker;

#[test]
fn view_is_entered_once_and_an_older_one_never() {
    let mut views = ViewTracker::default();
    assert_eq!(views.current(), 0);
    assert!(!views.enter(0));
    assert!(views.enter(3));
    assert!(!views.enter(3) && !views.enter(2));
    assert!(views.enter(4));
    assert_eq!(views.current(), 4);
}

#[test]
fn view_is_sealed_once_whether_it_was_entered_or_not() {
    let mut views = ViewTracker::default();
    assert!(views.enter(3));
    assert!(views.seal(3));
    assert!(!views.seal(3) && !views.seal(2));
    assert!(views.seal(4));
    assert_eq!(views.current(), 3);
}
