//! Tests of outlier ejection.

use crate::common::*;
use crate::{IDEMPOTENT, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn a_failing_server_is_ejected_and_readmitted_after_one_trial() {
    let mut harness = harness(IDEMPOTENT, 4);
    harness.serve_many(40, |_| 30);
    let failing_server = ServerId(2);
    for i in 0..3_000 {
        let elapsed = 20 + i * 7 % 20;
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(failing_server) {
            harness.end_attempt(id, 0, Outcome::Error, 1);
            harness.end_attempt(id, 1, Outcome::Ok, 30);
        } else {
            harness.advance(elapsed);
            harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        }
    }
    assert!(harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Ejected(failing_server))));
    harness.advance(20_000);
    let mut trials = vec![];
    for i in 0..500 {
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(failing_server) {
            trials.push(id);
            break;
        }
        let elapsed = 20 + i * 7 % 20;
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
    }
    assert_eq!(trials.len(), 1, "the ejected server is sent a trial");
    // While the trial is in flight, no other request is sent to the server.
    for _ in 0..40 {
        let (id, actions) = harness.request();
        assert_ne!(sent_to(&actions), Some(failing_server));
        harness.end_attempt(id, 0, Outcome::Ok, 30);
    }
    harness.end_attempt(trials[0], 0, Outcome::Ok, 30);
    assert!(harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Readmitted(failing_server))));
}

#[test]
fn no_more_than_half_of_the_servers_are_ejected() {
    let mut harness = harness(Idempotency::NonIdempotent, 4);
    for _ in 0..60 {
        let (id, actions) = harness.request();
        assert!(sent_to(&actions).is_some());
        harness.end_attempt(id, 0, Outcome::Error, 1);
    }
    let ejected = harness.log.iter().filter(|(_, a)| matches!(a, Action::Log(LogEvent::Ejected(_)))).count();
    assert!((1..=2).contains(&ejected), "{ejected}");
}

#[test]
fn the_age_of_an_attempt_in_flight_raises_the_latency() {
    let mut harness = harness(IDEMPOTENT, 4);
    harness.serve_many(60, |_| 50);
    let (_, actions) = harness.request();
    let unresponsive_server = sent_to(&actions);
    harness.advance(300);
    assert!(
        (0..20).all(|_| Some(harness.serve(|_| 50)) != unresponsive_server),
        "the server is avoided long before any timeout"
    );
}

#[test]
fn a_timeout_shorter_than_usual_latency_ejects_no_server() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(40, |_| 100);
    for _ in 0..20 {
        let (id, _) = harness.request_of_class(0, 20);
        harness.advance(20);
        harness.end_attempt(id, 0, Outcome::Timeout, 20);
    }
    assert!(!harness.log.iter().any(|(_, a)| matches!(a, Action::Log(LogEvent::Ejected(_)))));
}

#[test]
fn an_ejected_server_is_used_if_no_other_is_left() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(60, |_| 50);
    let mut failing_server = None;
    while failing_server.is_none() {
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(ServerId(1)) {
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 1);
            harness.end_attempt(id, 1, Outcome::Ok, 50);
        } else {
            harness.advance(50);
            harness.end_attempt(id, 0, Outcome::Ok, 50);
        }
        failing_server = harness.log.iter().find(|(_, a)| *a == Action::Log(LogEvent::Ejected(ServerId(1))));
    }
    let (id, actions) = harness.request();
    assert_eq!(sent_to(&actions), Some(ServerId(2)));
    assert_eq!(sent_to(&harness.end_attempt(id, 0, Outcome::Error, 1)), Some(ServerId(1)));
}

/// Sends requests for `time` ms while server 1 fails every attempt, and returns the times of the sends to
/// server 1.
fn sends_to_failing_server(harness: &mut Harness, time: u64, class: usize) -> Vec<u64> {
    let (mut times, end) = (vec![], harness.now + time);
    while harness.now < end {
        let (id, actions) = harness.request_of_class(class, 1_200);
        let elapsed = 10 + u64::from(id.0) * 7 % 20;
        harness.advance(elapsed);
        if sent_to(&actions) == Some(ServerId(1)) {
            times.push(harness.now);
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 1);
            harness.end_attempt(id, 1, Outcome::Ok, elapsed);
        } else {
            harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        }
    }
    times
}

#[test]
fn trials_back_off_and_never_use_a_non_idempotent_class() {
    let mut harness =
        Harness::new(settings(vec![class(IDEMPOTENT), class(Idempotency::NonIdempotent)]), entries(4));
    harness.serve_many(40, |_| 20);
    let ejected = |harness: &Harness| {
        harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Ejected(ServerId(1))))
    };
    while !ejected(&harness) {
        sends_to_failing_server(&mut harness, 20, 0);
    }
    let trials = sends_to_failing_server(&mut harness, 200_000, 0);
    assert!(trials.len() > 5, "{trials:?}");
    assert!(trials.windows(2).skip(1).all(|pair| pair[1] - pair[0] >= 8_000), "{trials:?}");
    let non_idempotent_trials = sends_to_failing_server(&mut harness, 60_000, 1);
    assert!(non_idempotent_trials.is_empty(), "{non_idempotent_trials:?}");
}

#[test]
fn a_server_that_fails_one_class_is_ejected_for_it_and_readmitted() {
    let settings = settings(vec![class(Idempotency::NonIdempotent), class(IDEMPOTENT)]);
    let mut harness = Harness::new(settings, entries(6));
    // Half of the servers, the most that may be ejected, fail two thirds of one class and serve the other
    // class.
    let is_failing_server = |server: ServerId| server.0 % 2 == 0;
    let count_sends_to_failing = |harness: &mut Harness, is_failing: bool| {
        let mut counts = [0; 2];
        for i in 0..1_200 {
            let class = i % 2;
            let (id, actions) = harness.request_of_class(class, 1_200);
            let failing_server = is_failing_server(sent_to(&actions).expect("the request is sent at once"));
            counts[class] += u32::from(failing_server);
            if failing_server && is_failing && class == 0 && i % 3 > 0 {
                harness.advance(600);
                harness.end_attempt(id, 0, Outcome::Timeout, 600);
            } else {
                harness.advance(30);
                harness.end_attempt(id, 0, Outcome::Ok, 30);
            }
        }
        counts
    };
    let [while_healthy, _] = count_sends_to_failing(&mut harness, false);
    assert!(while_healthy > 200, "{while_healthy} of 600 while all servers are healthy");
    count_sends_to_failing(&mut harness, true);
    let [ejected, other_class] = count_sends_to_failing(&mut harness, true);
    assert!(
        ejected * 3 < other_class,
        "{ejected} sends of the failing class, {other_class} of the other class"
    );
    count_sends_to_failing(&mut harness, false);
    let [after_recovery, _] = count_sends_to_failing(&mut harness, false);
    assert!(after_recovery > 200, "{after_recovery} of 600 after the recovery");
}

#[test]
fn requests_that_no_server_can_serve_eject_hardly_any_server() {
    let mut harness =
        Harness::new(settings(vec![class(Idempotency::NonIdempotent), class(IDEMPOTENT)]), entries(6));
    let mut random = fastrand::Rng::with_seed(1);
    for i in 0..2_500 {
        // A quarter of the requests time out, once the servers have statistics.
        if i > 300 && random.u32(..4) == 0 {
            let (id, _) = harness.request_of_class(0, 400);
            harness.advance(400);
            harness.end_attempt(id, 0, Outcome::Timeout, 400);
        } else {
            let (id, _) = harness.request_of_class(1, 400);
            harness.advance(30);
            harness.end_attempt(id, 0, Outcome::Ok, 30);
        }
    }
    let ejected = harness.log.iter().filter(|(_, a)| matches!(a, Action::Log(LogEvent::Ejected(_)))).count();
    // About one ejection is due to chance. With a fixed threshold of three failures, there would be 34.
    assert!(ejected < 10, "{ejected}");
}
