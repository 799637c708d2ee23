//! Tests of admission control.

use crate::common::*;
use crate::{IDEMPOTENT, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn late_attempts_decrease_the_window_before_they_end() {
    let mut harness = harness(Idempotency::NonIdempotent, 4);
    // The initial window is 24 attempts. No server answers within the latency target.
    let sent_at_once = (0..40).filter(|_| sent_to(&harness.request().1).is_some()).count();
    assert_eq!(sent_at_once, 24);
    let actions = harness.advance(450);
    assert!(is_rejected(&actions), "queued requests are rejected before their latency target");
    assert!(sent_to(&harness.request().1).is_none(), "and no new request is sent");
}

#[test]
fn requests_cross_zones_after_a_wait_where_the_local_window_is_full() {
    // Requests must not be rejected because of overloaded local servers while the other zone is idle.
    let mut settings = settings(vec![class(Idempotency::NonIdempotent)]);
    (settings.cross_zone_price, settings.sidecar_count) = (0.1, 10);
    let mut servers = entries(8);
    servers.iter_mut().for_each(|s| s.zone = (s.server.0 % 2) as u16);
    let mut harness = Harness::new(settings, servers);
    let local_servers: Vec<ServerId> = (0..4).filter_map(|_| sent_to(&harness.request().1)).collect();
    assert!(local_servers.len() == 4 && local_servers.iter().all(|s| s.0 % 2 == 0), "{local_servers:?}");
    // Local servers don't answer: a new request waits for local capacity, and is then sent to the other zone.
    assert!(sent_to(&harness.request().1).is_none());
    assert!(sent_to(&harness.advance(20)).is_none(), "still waiting for local capacity");
    let actions = harness.advance(70);
    assert!(sent_to(&actions).is_some_and(|s| s.0 % 2 == 1) && !is_rejected(&actions), "{actions:?}");
}

#[test]
fn the_queue_is_ordered_by_value() {
    let mut valuable = class(IDEMPOTENT);
    valuable.value = 8.0;
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT), valuable]), entries(1));
    let first: Vec<RequestId> = (0..6).map(|_| harness.request().0).collect();
    let (cheap, actions) = harness.request_of_class(0, 1_200);
    assert!(sent_to(&actions).is_none());
    let (valuable, _) = harness.request_of_class(1, 1_200);
    let actions = harness.end_attempt(first[0], 0, Outcome::Ok, 0);
    let ids = actions.iter().filter_map(|a| match a {
        Action::Send { id, .. } => Some(*id),
        _ => None,
    });
    let ids: Vec<RequestId> = ids.collect();
    assert_eq!(ids.first(), Some(&valuable), "{cheap:?} must wait");
}

/// Sends requests until the window is full. Returns the requests that were sent, and the first one that was
/// queued.
fn fill_window(harness: &mut Harness) -> (Vec<RequestId>, RequestId) {
    let mut in_flight = vec![];
    loop {
        match harness.request() {
            (id, actions) if sent_to(&actions).is_some() => in_flight.push(id),
            (id, _) => return (in_flight, id),
        }
    }
}

/// Serves 200 requests of the first class and none of 200 of the second, then queues one of each. Returns
/// whether the second class, and whether the first class, is sent first.
fn first_sent_after_unequal_service(worst_class: f64) -> (bool, bool) {
    let mut settings = settings(vec![class(IDEMPOTENT); 2]);
    settings.objective = ObjectiveWeights { total_value: 0.8, worst_class };
    let mut harness = Harness::new(settings, entries(1));
    let second_class = 1;
    let mut next = 1_000;
    for _ in 0..200 {
        harness.arrive(next, 0, 1_200, Origin::Fresh);
        harness.end_attempt(RequestId(next), 0, Outcome::Ok, 20);
        harness.arrive(next + 1, second_class, 1_200, Origin::Fresh);
        harness.handle(Event::ClientDisconnected(RequestId(next + 1)));
        harness.end_attempt(RequestId(next + 1), 0, Outcome::Cancelled, 0);
        next += 2;
    }
    let (in_flight, queued) = fill_window(&mut harness);
    harness.handle(Event::ClientDisconnected(queued));
    harness.arrive(next, 0, 1_200, Origin::Fresh);
    harness.arrive(next + 1, second_class, 1_200, Origin::Fresh);
    let mut order = vec![];
    for id in in_flight {
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
    assert_eq!(first_sent_after_unequal_service(0.2), (true, false), "the worst served class");
    assert_eq!(first_sent_after_unequal_service(0.0), (false, true), "otherwise the older request");
}

#[test]
fn a_client_retry_past_its_latency_target_queues_behind_fresh_requests() {
    // Regression test for incident i84d305: client retries of little value were served while fresh requests
    // were rejected.
    let mut harness = harness(IDEMPOTENT, 1);
    harness.serve_many(20, |_| 30);
    let (in_flight, queued) = fill_window(&mut harness);
    // The first client has 600 ms of its 1200 ms left, so its latency target of 400 ms has passed. The second
    // one has 900 ms left, and thus 100 ms until its latency target.
    harness.arrive(9_000, 0, 600, Origin::ClientRetry);
    harness.arrive(9_001, 0, 900, Origin::ClientRetry);
    harness.handle(Event::ClientDisconnected(queued));
    let actions = harness.advance(5);
    assert!(actions.contains(&Action::Reject { id: RequestId(9_000), retry_after: Some(ms(200)) }));
    assert_eq!(
        actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(),
        1,
        "the other request stays queued"
    );
    harness.arrive(9_002, 0, 600, Origin::ClientRetry);
    let (fresh, _) = harness.request();
    let first = in_flight.into_iter().flat_map(|id| harness.end_attempt(id, 0, Outcome::Ok, 5)).find_map(
        |a| match a {
            Action::Send { id, .. } if id == fresh || id.0 == 9_002 => Some(id),
            _ => None,
        },
    );
    assert_eq!(first, Some(fresh));
}

#[test]
fn retry_after_leaves_time_for_the_latency_target() {
    let mut harness = harness(IDEMPOTENT, 1);
    harness.serve_many(20, |_| 30);
    while sent_to(&harness.request().1).is_some() {}
    let arrived_at = harness.now;
    let actions = harness.advance(200);
    let Some(Action::Reject { retry_after: Some(advice), .. }) = actions.get(1) else {
        panic!("the second action must be a rejection with advice: {actions:?}")
    };
    let rejected_at =
        harness.log.iter().find(|(_, a)| matches!(a, Action::Reject { .. })).map_or(0, |(at, _)| *at);
    let slack = 400 - 30 - (rejected_at - arrived_at);
    assert!(*advice <= ms(slack / 3), "advised {advice:?}, with {slack} ms of slack");
}

#[test]
fn the_limit_shrinks_with_the_servers_that_are_lost() {
    // Regression test for incident iea0a8a: when half of the servers was lost, its load moved to the other
    // half at once.
    let mut harness = harness(IDEMPOTENT, 8);
    harness.serve_many(60, |_| 50);
    let all = (0..60).map(|_| harness.request()).filter(|(_, actions)| sent_to(actions).is_some()).count();
    let ids: Vec<RequestId> = (60..120).map(RequestId).collect();
    ids.iter().for_each(|&id| drop(harness.handle(Event::ClientDisconnected(id))));
    ids.iter().for_each(|&id| drop(harness.end_attempt(id, 0, Outcome::Cancelled, 0)));
    harness.handle(Event::ServerList(ServerListEvent::Full((1..=4).map(entry).collect())));
    let half = (0..60).map(|_| harness.request()).filter(|(_, actions)| sent_to(actions).is_some()).count();
    assert!(half * 2 <= all + 1 && half > 0, "{half} sent with four servers, {all} with eight");
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
    assert!(after < before, "{after} sent, {before} before the rejections");
}

#[test]
fn in_an_overload_a_quiet_sidecar_sends_only_a_share_of_its_requests() {
    // Regression test for incident ie2dd1e: one attempt in flight at each of many sidecars kept the servers
    // overloaded.
    let mut settings = settings(vec![class(IDEMPOTENT)]);
    settings.sidecar_count = 100;
    let mut harness = Harness::new(settings, entries(10));
    let count_sent = |harness: &mut Harness, elapsed: u64| {
        let mut sent = 0;
        for _ in 0..80 {
            let (id, actions) = harness.request();
            if sent_to(&actions).is_some() {
                sent += 1;
                harness.advance(elapsed);
                harness.end_attempt(id, 0, Outcome::Ok, elapsed);
            }
            harness.advance(600);
        }
        sent
    };
    assert_eq!(count_sent(&mut harness, 50), 80, "all requests are sent without an overload");
    count_sent(&mut harness, 900);
    let overloaded = count_sent(&mut harness, 900);
    assert!((2..40).contains(&overloaded), "{overloaded} of 80");
    count_sent(&mut harness, 50);
    assert_eq!(count_sent(&mut harness, 50), 80, "and again after the overload");
}
