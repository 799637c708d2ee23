//! Tests of outlier ejection.

use crate::common::*;
use crate::{SAFE, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn a_failing_server_is_ejected_and_readmitted_after_one_trial() {
    let mut harness = harness(SAFE, 4);
    harness.serve_many(40, |_| 30);
    let bad = ServerId(2);
    for i in 0..3_000 {
        let elapsed = 20 + i * 7 % 20;
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(bad) {
            harness.end_attempt(id, 0, Outcome::Error, 1);
            harness.end_attempt(id, 1, Outcome::Ok, 30);
        } else {
            harness.advance(elapsed);
            harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        }
    }
    assert!(harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Ejected(bad))));
    harness.advance(20_000);
    let mut trials = vec![];
    for i in 0..500 {
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(bad) {
            trials.push(id);
            break;
        }
        let elapsed = 20 + i * 7 % 20;
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
    }
    assert_eq!(trials.len(), 1, "tried again");
    // While the trial is in flight, nothing else goes there.
    for _ in 0..40 {
        let (id, actions) = harness.request();
        assert_ne!(sent_to(&actions), Some(bad));
        harness.end_attempt(id, 0, Outcome::Ok, 30);
    }
    harness.end_attempt(trials[0], 0, Outcome::Ok, 30);
    assert!(harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Readmitted(bad))));
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
    let mut harness = harness(SAFE, 4);
    harness.serve_many(60, |_| 50);
    let (_, actions) = harness.request();
    let silent = sent_to(&actions);
    harness.advance(300);
    assert!((0..20).all(|_| Some(harness.serve(|_| 50)) != silent), "long before any time-out");
}

#[test]
fn a_timeout_shorter_than_usual_latency_ejects_no_server() {
    let mut harness = harness(SAFE, 2);
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
    let mut harness = harness(SAFE, 2);
    harness.serve_many(60, |_| 50);
    let mut bad = None;
    while bad.is_none() {
        let (id, actions) = harness.request();
        if sent_to(&actions) == Some(ServerId(1)) {
            harness.end_attempt(id, 0, Outcome::ConnectFailed, 1);
            harness.end_attempt(id, 1, Outcome::Ok, 50);
        } else {
            harness.advance(50);
            harness.end_attempt(id, 0, Outcome::Ok, 50);
        }
        bad = harness.log.iter().find(|(_, a)| *a == Action::Log(LogEvent::Ejected(ServerId(1))));
    }
    let (id, actions) = harness.request();
    assert_eq!(sent_to(&actions), Some(ServerId(2)));
    assert_eq!(sent_to(&harness.end_attempt(id, 0, Outcome::Error, 1)), Some(ServerId(1)));
}

/// Four servers of which the first fails everything; sends requests all the time and returns when the first got one after
/// its ejection.
fn sends_to_the_ejected(harness: &mut Harness, time: u64, class: usize) -> Vec<u64> {
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
        Harness::new(settings(vec![class(SAFE), class(Idempotency::NonIdempotent)]), entries(4));
    harness.serve_many(40, |_| 20);
    let ejected = |harness: &Harness| {
        harness.log.iter().any(|(_, a)| *a == Action::Log(LogEvent::Ejected(ServerId(1))))
    };
    while !ejected(&harness) {
        sends_to_the_ejected(&mut harness, 20, 0);
    }
    let trials = sends_to_the_ejected(&mut harness, 200_000, 0);
    assert!(trials.len() > 5, "{trials:?}");
    assert!(trials.windows(2).skip(1).all(|two| two[1] - two[0] >= 8_000), "{trials:?}");
    let unsafe_ones = sends_to_the_ejected(&mut harness, 60_000, 1);
    assert!(unsafe_ones.is_empty(), "{unsafe_ones:?}");
}

#[test]
fn a_server_that_fails_one_class_is_ejected_for_it_and_readmitted() {
    let settings = settings(vec![class(Idempotency::NonIdempotent), class(SAFE)]);
    let mut harness = Harness::new(settings, entries(6));
    // Half of the list, the most that may be ejected, fails two thirds of one class and serves the other.
    let is_bad = |server: ServerId| server.0 % 2 == 0;
    let sends_to_bad = |harness: &mut Harness, failing: bool| {
        let mut sent_to_bad = [0; 2];
        for i in 0..1_200 {
            let class = i % 2;
            let (id, actions) = harness.request_of_class(class, 1_200);
            let bad = is_bad(sent_to(&actions).expect("sent at once"));
            sent_to_bad[class] += u32::from(bad);
            if bad && failing && class == 0 && i % 3 > 0 {
                harness.advance(600);
                harness.end_attempt(id, 0, Outcome::Timeout, 600);
            } else {
                harness.advance(30);
                harness.end_attempt(id, 0, Outcome::Ok, 30);
            }
        }
        sent_to_bad
    };
    let [well, _] = sends_to_bad(&mut harness, false);
    assert!(well > 200, "of 600, while all are well: {well}");
    sends_to_bad(&mut harness, true);
    let [ejected, other] = sends_to_bad(&mut harness, true);
    assert!(ejected * 3 < other, "by the class that fails there and by the other: {ejected}, {other}");
    sends_to_bad(&mut harness, false);
    let [back, _] = sends_to_bad(&mut harness, false);
    assert!(back > 200, "of 600, when all are well again: {back}");
}

#[test]
fn requests_that_no_server_can_serve_eject_hardly_any_server() {
    let mut harness =
        Harness::new(settings(vec![class(Idempotency::NonIdempotent), class(SAFE)]), entries(6));
    let mut random = fastrand::Rng::with_seed(1);
    for i in 0..2_500 {
        // A quarter of them, once the servers are known.
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
    // By chance about one run of failures ejects; with three in a row as the threshold, 34 would.
    assert!(ejected < 10, "{ejected}");
}
