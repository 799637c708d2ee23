//! Tests of admission control.

use crate::common::*;
use crate::{SAFE, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn late_attempts_decrease_the_window_before_they_end() {
    let mut harness = harness(Idempotency::NonIdempotent, 4);
    // The initial window is two dozen; none answers within its latency target.
    let sent_at_once = (0..40).filter(|_| sent_to(&harness.request().1).is_some()).count();
    assert_eq!(sent_at_once, 24);
    let actions = harness.advance(450);
    assert!(is_rejected(&actions), "queued requests are rejected before they lose their value");
    assert!(sent_to(&harness.request().1).is_none(), "and nothing new piles up");
}

#[test]
fn requests_cross_zones_after_a_wait_where_the_local_window_is_full() {
    // Rejecting at overloaded local servers while the other zone is idle would be a waste.
    let mut settings = settings(vec![class(Idempotency::NonIdempotent)]);
    (settings.cross_zone_price, settings.sidecar_count) = (0.1, 10);
    let mut lines = entries(8);
    lines.iter_mut().for_each(|l| l.zone = (l.server.0 % 2) as u16);
    let mut harness = Harness::new(settings, lines);
    let at_home: Vec<ServerId> = (0..4).filter_map(|_| sent_to(&harness.request().1)).collect();
    assert!(at_home.len() == 4 && at_home.iter().all(|s| s.0 % 2 == 0), "{at_home:?}");
    // Local servers answer nothing: new requests wait for them, and then go to the other zone.
    assert!(sent_to(&harness.request().1).is_none());
    assert!(sent_to(&harness.advance(20)).is_none(), "home may have room soon");
    let actions = harness.advance(70);
    assert!(sent_to(&actions).is_some_and(|s| s.0 % 2 == 1) && !is_rejected(&actions), "{actions:?}");
}

#[test]
fn the_queue_is_ordered_by_value() {
    let mut dear = class(SAFE);
    dear.value = 8.0;
    let mut harness = Harness::new(settings(vec![class(SAFE), dear]), entries(1));
    let first: Vec<RequestId> = (0..6).map(|_| harness.request().0).collect();
    let (cheap, actions) = harness.request_of_class(0, 1_200);
    assert!(sent_to(&actions).is_none());
    let (dear, _) = harness.request_of_class(1, 1_200);
    let actions = harness.end_attempt(first[0], 0, Outcome::Ok, 0);
    let ids = actions.iter().filter_map(|a| match a {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    });
    let ids: Vec<RequestId> = ids.collect();
    assert_eq!(ids.first(), Some(&dear), "{cheap:?} waits");
}

/// Sends requests until the window is full: those that were sent, and the first that was queued.
fn fill(harness: &mut Harness) -> (Vec<RequestId>, RequestId) {
    let mut busy = vec![];
    loop {
        match harness.request() {
            (id, actions) if sent_to(&actions).is_some() => busy.push(id),
            (id, _) => return (busy, id),
        }
    }
}

/// Which of two queued requests goes first after 200 of the first class were served, and as many of the second were not.
fn first_after_neglect(worst_class: f64) -> (bool, bool) {
    let mut settings = settings(vec![class(SAFE); 2]);
    settings.objective = ObjectiveWeights { total_value: 0.8, worst_class };
    let mut harness = Harness::new(settings, entries(1));
    let second = 1;
    let mut next = 1_000;
    for _ in 0..200 {
        harness.arrive(next, 0, 1_200, Origin::Fresh);
        harness.end_attempt(RequestId(next), 0, Outcome::Ok, 20);
        harness.arrive(next + 1, second, 1_200, Origin::Fresh);
        harness.handle(Event::ClientDisconnected(RequestId(next + 1)));
        harness.end_attempt(RequestId(next + 1), 0, Outcome::Cancelled, 0);
        next += 2;
    }
    let (busy, queued) = fill(&mut harness);
    harness.handle(Event::ClientDisconnected(queued));
    harness.arrive(next, 0, 1_200, Origin::Fresh);
    harness.arrive(next + 1, second, 1_200, Origin::Fresh);
    let mut order = vec![];
    for id in busy {
        for action in harness.end_attempt(id, 0, Outcome::Ok, 20) {
            order.extend(match action {
                Action::Send { id, .. } if id.0 >= next => Some(id.0 - next),
                _ => None,
            });
        }
    }
    (order.first() == Some(&1), order.first() == Some(&0))
}

#[test]
fn the_worst_served_class_goes_first_where_the_goal_weighs_it() {
    assert_eq!(first_after_neglect(0.2), (true, false), "the class");
    assert_eq!(first_after_neglect(0.0), (false, true), "else the older");
}

#[test]
fn a_client_retry_past_its_latency_target_queues_behind_fresh_requests() {
    // Incident i84d305: client retries of little value were served while fresh requests were rejected.
    let mut harness = harness(SAFE, 1);
    harness.serve_many(20, |_| 30);
    let (busy, queued) = fill(&mut harness);
    // Of 1200 ms the client has 600 left: its latency target of 400 is over. The other has 900 left, and so 100 to its target.
    harness.arrive(9_000, 0, 600, Origin::ClientRetry);
    harness.arrive(9_001, 0, 900, Origin::ClientRetry);
    harness.handle(Event::ClientDisconnected(queued));
    let actions = harness.advance(5);
    assert!(actions.contains(&Action::Reject { id: RequestId(9_000), retry_after: Some(ms(200)) }));
    assert_eq!(
        actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(),
        1,
        "the other may wait"
    );
    harness.arrive(9_002, 0, 600, Origin::ClientRetry);
    let (fresh, _) = harness.request();
    let first =
        busy.into_iter().flat_map(|id| harness.end_attempt(id, 0, Outcome::Ok, 5)).find_map(|a| match a {
            Action::Send { id, .. } if id == fresh || id.0 == 9_002 => Some(id),
            _ => None,
        });
    assert_eq!(first, Some(fresh));
}

#[test]
fn retry_after_leaves_time_for_the_latency_target() {
    let mut harness = harness(SAFE, 1);
    harness.serve_many(20, |_| 30);
    while sent_to(&harness.request().1).is_some() {}
    let asked = harness.now;
    let actions = harness.advance(200);
    let Some(Action::Reject { retry_after: Some(advice), .. }) = actions.get(1) else {
        panic!("{actions:?}")
    };
    let refused =
        harness.log.iter().find(|(_, a)| matches!(a, Action::Reject { .. })).map_or(0, |(at, _)| *at);
    let spare = 400 - 30 - (refused - asked);
    assert!(*advice <= ms(spare / 3), "{advice:?} of {spare} ms to spare");
}

#[test]
fn the_limit_shrinks_with_the_servers_that_are_lost() {
    // Incident iea0a8a: the load of a lost half of the servers fell on the other half at once.
    let mut harness = harness(SAFE, 8);
    harness.serve_many(60, |_| 50);
    let all = (0..60).map(|_| harness.request()).filter(|(_, actions)| sent_to(actions).is_some()).count();
    let ids: Vec<RequestId> = (60..120).map(RequestId).collect();
    ids.iter().for_each(|&id| drop(harness.handle(Event::ClientDisconnected(id))));
    ids.iter().for_each(|&id| drop(harness.end_attempt(id, 0, Outcome::Cancelled, 0)));
    harness.handle(Event::ServerList(ServerListEvent::Full((1..=4).map(entry).collect())));
    let half = (0..60).map(|_| harness.request()).filter(|(_, actions)| sent_to(actions).is_some()).count();
    assert!(half * 2 <= all + 1 && half > 0, "{half} at four servers, {all} at eight");
}

#[test]
fn rejected_attempts_decrease_the_window() {
    let mut harness = harness(Idempotency::NonIdempotent, 1);
    harness.serve_many(60, |_| 20);
    let count = |harness: &mut Harness| {
        (0..60).map(|_| harness.request()).filter(|(_, actions)| sent_to(actions).is_some()).count()
    };
    let before = count(&mut harness);
    let ids: Vec<RequestId> = (60..120).map(RequestId).collect();
    ids.iter().for_each(|&id| drop(harness.end_attempt(id, 0, Outcome::Rejected, 1)));
    harness.advance(1_000);
    let after = count(&mut harness);
    assert!(after < before, "{after} after {before}");
}

#[test]
fn in_an_overload_a_quiet_sidecar_sends_only_a_share_of_its_requests() {
    // Incident ie2dd1e: one attempt in flight at each of many sidecars kept servers overloaded.
    let mut settings = settings(vec![class(SAFE)]);
    settings.sidecar_count = 100;
    let mut harness = Harness::new(settings, entries(10));
    let share = |harness: &mut Harness, elapsed: u64| {
        let mut went = 0;
        for _ in 0..80 {
            let (id, actions) = harness.request();
            if sent_to(&actions).is_some() {
                went += 1;
                harness.advance(elapsed);
                harness.end_attempt(id, 0, Outcome::Ok, elapsed);
            }
            harness.advance(600);
        }
        went
    };
    assert_eq!(share(&mut harness, 50), 80, "in calm all go out");
    share(&mut harness, 900);
    let overloaded = share(&mut harness, 900);
    assert!((2..40).contains(&overloaded), "{overloaded} of 80");
    share(&mut harness, 50);
    assert_eq!(share(&mut harness, 50), 80, "and again after the overload");
}
