//! Tests of choosing a server without probes.

use crate::common::*;
use crate::{SAFE, entries, harness};
use lugwharf_sidecar::api::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn the_faster_of_two_servers_gets_all_requests() {
    let mut harness = harness(SAFE, 2);
    harness.serve_many(20, |s| if s == ServerId(1) { 20 } else { 200 });
    let fast = (0..20).filter(|_| harness.serve(|s| if s == ServerId(1) { 20 } else { 200 }) == ServerId(1));
    assert_eq!(fast.count(), 20);
}

#[test]
fn attempts_in_flight_raise_a_servers_score() {
    let mut harness = harness(SAFE, 2);
    harness.serve_many(10, |_| 50);
    // With equal latencies the next two go to different servers, as the first is still in flight.
    let (first, second) = (sent_to(&harness.request().1), sent_to(&harness.request().1));
    assert!(first.is_some() && second.is_some() && first != second);
}

#[test]
fn weight_divides_the_score() {
    let mut servers = entries(2);
    servers[0].weight = 4.0;
    let mut harness = Harness::new(settings(vec![class(SAFE)]), servers);
    harness.serve_many(10, |_| 50);
    let to_first = (0..3).filter(|_| sent_to(&harness.request().1) == Some(ServerId(1))).count();
    assert_eq!(to_first, 3, "three fit beside four times the weight before a tie");
}

#[test]
fn a_slow_answer_raises_the_score_at_once_and_decays() {
    let mut harness = harness(SAFE, 5);
    harness.serve_many(20, |_| 50);
    let slow = harness.serve(|_| 340);
    assert!((0..10).all(|_| harness.serve(|_| 50) != slow));
    harness.advance(20_000);
    let mut jitter = (0..60).map(|i| 40 + i * 7 % 20);
    assert!(jitter.any(|elapsed| harness.serve(|_| elapsed) == slow), "the sample fades");
}

#[test]
fn the_baseline_of_a_slow_server_outlasts_its_peak_ewma() {
    // Incident i7368b0: a third of the sends went to slow machines, as their samples had faded.
    let mut harness = harness(SAFE, 2);
    let elapsed = |server: ServerId| if server.0 == 1 { 90 } else { 30 };
    harness.serve_many(20, |_| 30);
    harness.serve_many(40, elapsed);
    // The baseline fades within some ten seconds: that is how long it has to be remembered.
    for _ in 0..3 {
        harness.advance(5_000);
        assert_eq!(harness.serve(elapsed).0, 2);
    }
}

#[test]
fn a_new_server_is_neither_flooded_nor_starved() {
    let mut harness = harness(SAFE, 4);
    harness.serve_many(40, |_| 50);
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![entry(9)])));
    let new = (0..100).filter(|_| harness.serve(|_| 50) == ServerId(9)).count();
    assert!((5..60).contains(&new), "{new} of 100");
}

#[test]
fn a_request_is_queued_while_no_server_is_ready() {
    let mut one = harness(SAFE, 1);
    assert_eq!(sent_to(&one.request().1), Some(ServerId(1)));
    let mut none = harness(SAFE, 0);
    let (_, actions) = none.request();
    assert!(sent_to(&actions).is_none() && !is_rejected(&actions));
    let actions = none.handle(Event::ServerList(ServerListEvent::Delta(entries(1))));
    assert_eq!(sent_to(&actions), Some(ServerId(1)), "queued, and sent when a server appears");
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = |seed| {
        let mut harness = Harness::seeded(settings(vec![class(SAFE)]), entries(7), seed);
        harness.serve_many(200, |s| 20 + s.0 * 7);
        harness.log
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn local_servers_are_preferred_only_where_crossing_zones_has_a_price() {
    for (price, expect_home) in [(0.1, true), (0.0, false)] {
        let mut settings = settings(vec![class(SAFE)]);
        settings.cross_zone_price = price;
        let mut servers = entries(6);
        servers[2..].iter_mut().for_each(|s| s.zone = 1);
        let mut harness = Harness::new(settings, servers);
        harness.serve_many(20, |_| 40);
        let home = (0..50).filter(|_| harness.serve(|_| 40).0 <= 2).count();
        assert_eq!(home == 50, expect_home, "{home} of 50 at home for a price of {price}");
    }
}

#[test]
fn a_fast_error_does_not_lower_the_latency() {
    let mut harness = harness(SAFE, 2);
    harness.serve_many(30, |_| 50);
    let (id, actions) = harness.request();
    let bad = sent_to(&actions);
    harness.end_attempt(id, 0, Outcome::Error, 1);
    harness.end_attempt(id, 1, Outcome::Ok, 50);
    assert!((0..10).all(|_| Some(harness.serve(|_| 50)) != bad));
}

#[test]
fn an_expensive_request_does_not_make_its_server_look_slow() {
    let mut harness = Harness::new(settings(vec![class(SAFE); 2]), entries(6));
    let serve = |harness: &mut Harness, class, elapsed| {
        let (id, actions) = harness.request_of_class(class, 1_200);
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        sent_to(&actions)
    };
    let mut again = 0;
    for round in 0..200 {
        let costly = serve(&mut harness, 1, 200);
        again += u32::from(serve(&mut harness, 0, 20) == costly && round >= 100);
    }
    assert!(again >= 5, "{again} of 100 cheap ones to the server of the costly one before");
}

#[test]
fn subsets_of_quiet_sidecars_are_small_and_cover_the_list_evenly() {
    // Otherwise almost every attempt would open a connection, each of which costs its server work.
    let mut reached = BTreeSet::new();
    for number in 0..5 {
        let mut settings = settings(vec![class(SAFE)]);
        (settings.sidecar_index, settings.sidecar_count) = (number, 5);
        let mut harness = Harness::new(settings, entries(40));
        let own: BTreeSet<u64> = (0..60)
            .map(|_| {
                harness.advance(2_000);
                harness.serve(|_| 20).0
            })
            .collect();
        assert!((2..=8).contains(&own.len()), "{own:?}");
        reached.extend(own);
    }
    assert!(reached.len() >= 35, "{}", reached.len());
}

#[test]
fn subsets_of_the_sidecars_in_one_zone_cover_the_zone_evenly() {
    // Where crossing zones has a price all draws are local, which must not make clients times servers connections.
    let mut users: BTreeMap<u64, usize> = BTreeMap::new();
    // The sidecars of one zone are numbered in a block, among a hundred.
    for number in 30..75 {
        let mut settings = settings(vec![class(SAFE)]);
        (settings.sidecar_index, settings.sidecar_count) = (number, 100);
        (settings.cross_zone_price, settings.handshake_price) = (0.1, 0.08);
        let mut lines = entries(60);
        lines.iter_mut().for_each(|l| l.zone = (l.server.0 % 2) as u16);
        let mut harness = Harness::new(settings, lines);
        let own: BTreeSet<u64> = (0..60)
            .map(|_| {
                harness.advance(200);
                harness.serve(|_| 20).0
            })
            .collect();
        assert!((2..=8).contains(&own.len()) && own.iter().all(|id| id % 2 == 0), "{own:?}");
        own.into_iter().for_each(|id| *users.entry(id).or_default() += 1);
    }
    let (least, most) = (users.values().min().copied(), users.values().max().copied());
    assert!(users.len() == 30 && least >= Some(6) && most <= Some(18), "{users:?}");
}

#[test]
fn the_subset_of_a_busy_sidecar_is_the_complete_list() {
    let mut harness = harness(SAFE, 40);
    let reached: BTreeSet<u64> = (0..2_000).map(|_| harness.serve(|_| 20).0).collect();
    assert_eq!(reached.len(), 40);
}

#[test]
fn each_class_prefers_the_kind_of_machine_with_the_lower_relative_latency() {
    // A mean over classes is wrong where kinds of machine suit them differently.
    let mut lines = entries(20);
    lines.iter_mut().for_each(|l| l.machine_type = (l.server.0 % 2) as u8);
    let mut harness = Harness::new(settings(vec![class(SAFE), class(SAFE)]), lines);
    let mut suited = 0;
    for round in 0..400 {
        let class = round % 2;
        let (id, actions) = harness.request_of_class(class, 1_200);
        let server = sent_to(&actions).expect("sent at once");
        let suits = server.0 % 2 == class as u64;
        suited += usize::from(suits && round >= 200);
        let elapsed = if suits { 30 } else { 90 };
        // Each server has few samples: its own average alone could not tell.
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        harness.advance(2_000);
    }
    assert!(suited > 130, "{suited} of 200, where chance alone gives 100 and two draws can give 150");
}
