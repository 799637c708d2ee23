//! Tests of a holder whose token was refused because of a higher one.

use crate::harness::{Harness, SEED, sent_bodies};
use lugwharf_election::{Action, Event, FencingToken, MessageBody, Role};

fn holder() -> (Harness, u64, FencingToken) {
    let mut harness = Harness::start(Role::ListWatcher, SEED, &[]);
    let (now, token) = harness.acquire_lease();
    (harness, now, token)
}

#[test]
fn refused_token_ends_the_lease_and_releases_it() {
    let (mut harness, now, token) = holder();
    let actions = harness.handle(now, Event::TokenRefused { token });
    assert!(!harness.is_holder(now));
    assert!(actions.contains(&Action::LeaseLost), "{actions:?}");
    let released = MessageBody::ReleaseLease { token, was_holder: true };
    assert_eq!(sent_bodies(&actions), [released, released]);
}

#[test]
fn refusal_of_another_token_has_no_effect() {
    let (mut harness, now, token) = holder();
    for other in [FencingToken(token.0 - 1), FencingToken(token.0 + 1)] {
        let actions = harness.handle(now, Event::TokenRefused { token: other });
        assert!(harness.is_holder(now) && !actions.contains(&Action::LeaseLost), "{other:?}: {actions:?}");
    }
}

#[test]
fn duplicate_refusal_does_not_affect_the_next_campaign() {
    let (mut harness, now, token) = holder();
    harness.handle(now, Event::TokenRefused { token });
    let (now, request_id) = harness.wait_for_pre_vote(now);
    let duplicate = harness.handle(now, Event::TokenRefused { token });
    assert_eq!(duplicate, []);
    let granted = harness.receive_pre_vote_grant(now, 1, request_id);
    assert!(matches!(granted.as_slice(), [Action::Persist { .. }]), "the campaign continues: {granted:?}");
}
