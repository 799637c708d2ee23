//! Tests of server selection without probes.

use crate::common::*;
use crate::{IDEMPOTENT, entries, harness};
use lugwharf_sidecar::api::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn the_faster_of_two_servers_gets_all_requests() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(20, |s| if s == ServerId(1) { 20 } else { 200 });
    let to_fast_server =
        (0..20).filter(|_| harness.serve(|s| if s == ServerId(1) { 20 } else { 200 }) == ServerId(1));
    assert_eq!(to_fast_server.count(), 20);
}

#[test]
fn attempts_in_flight_raise_a_servers_score() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(10, |_| 50);
    // With equal latencies, the next two requests go to different servers, because the first is still in
    // flight.
    let (first, second) = (sent_to(&harness.request().1), sent_to(&harness.request().1));
    assert!(first.is_some() && second.is_some() && first != second);
}

#[test]
fn weight_divides_the_score() {
    let mut servers = entries(2);
    servers[0].weight = 4.0;
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT)]), servers);
    harness.serve_many(10, |_| 50);
    let to_first = (0..3).filter(|_| sent_to(&harness.request().1) == Some(ServerId(1))).count();
    assert_eq!(to_first, 3, "with four times the weight, three requests fit before the scores are equal");
}

#[test]
fn a_slow_answer_raises_the_score_at_once_and_decays() {
    let mut harness = harness(IDEMPOTENT, 5);
    harness.serve_many(20, |_| 50);
    let slow_server = harness.serve(|_| 340);
    assert!((0..10).all(|_| harness.serve(|_| 50) != slow_server));
    harness.advance(20_000);
    let mut jitter = (0..60).map(|i| 40 + i * 7 % 20);
    assert!(jitter.any(|elapsed| harness.serve(|_| elapsed) == slow_server), "the sample decays");
}

#[test]
fn the_baseline_of_a_slow_server_outlasts_its_peak_ewma() {
    // Regression test for incident i7368b0: a third of the requests went to slow machines, because their
    // latency samples had decayed.
    let mut harness = harness(IDEMPOTENT, 2);
    let elapsed = |server: ServerId| if server.0 == 1 { 90 } else { 30 };
    harness.serve_many(20, |_| 30);
    harness.serve_many(40, elapsed);
    // The baseline decays within about ten seconds, and must be effective for that long.
    for _ in 0..3 {
        harness.advance(5_000);
        assert_eq!(harness.serve(elapsed).0, 2);
    }
}

#[test]
fn a_new_server_is_neither_flooded_nor_starved() {
    let mut harness = harness(IDEMPOTENT, 4);
    harness.serve_many(40, |_| 50);
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![entry(9)])));
    let to_new_server = (0..100).filter(|_| harness.serve(|_| 50) == ServerId(9)).count();
    assert!((5..60).contains(&to_new_server), "{to_new_server} of 100");
}

#[test]
fn a_request_is_queued_while_no_server_is_ready() {
    let mut one = harness(IDEMPOTENT, 1);
    assert_eq!(sent_to(&one.request().1), Some(ServerId(1)));
    let mut none = harness(IDEMPOTENT, 0);
    let (_, actions) = none.request();
    assert!(sent_to(&actions).is_none() && !is_rejected(&actions));
    let actions = none.handle(Event::ServerList(ServerListEvent::Delta(entries(1))));
    assert_eq!(sent_to(&actions), Some(ServerId(1)), "queued, and sent when a server becomes ready");
}

#[test]
fn the_same_seed_and_events_give_the_same_actions() {
    let run = |seed| {
        let mut harness = Harness::seeded(settings(vec![class(IDEMPOTENT)]), entries(7), seed);
        harness.serve_many(200, |s| 20 + s.0 * 7);
        harness.log
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn local_servers_are_preferred_only_where_crossing_zones_has_a_price() {
    for (price, expect_local) in [(0.1, true), (0.0, false)] {
        let mut settings = settings(vec![class(IDEMPOTENT)]);
        settings.cross_zone_price = price;
        let mut servers = entries(6);
        servers[2..].iter_mut().for_each(|s| s.zone = 1);
        let mut harness = Harness::new(settings, servers);
        harness.serve_many(20, |_| 40);
        let local = (0..50).filter(|_| harness.serve(|_| 40).0 <= 2).count();
        assert_eq!(local == 50, expect_local, "{local} of 50 sent to local servers for a price of {price}");
    }
}

#[test]
fn a_fast_error_does_not_lower_the_latency() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(30, |_| 50);
    let (id, actions) = harness.request();
    let failed_server = sent_to(&actions);
    harness.end_attempt(id, 0, Outcome::Error, 1);
    harness.end_attempt(id, 1, Outcome::Ok, 50);
    assert!((0..10).all(|_| Some(harness.serve(|_| 50)) != failed_server));
}

#[test]
fn an_expensive_request_does_not_make_its_server_look_slow() {
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT); 2]), entries(6));
    let serve = |harness: &mut Harness, class, elapsed| {
        let (id, actions) = harness.request_of_class(class, 1_200);
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        sent_to(&actions)
    };
    let mut repeats = 0;
    for round in 0..200 {
        let expensive_server = serve(&mut harness, 1, 200);
        repeats += u32::from(serve(&mut harness, 0, 20) == expensive_server && round >= 100);
    }
    assert!(
        repeats >= 5,
        "{repeats} of 100 cheap requests sent to the server of the preceding expensive one"
    );
}

#[test]
fn subsets_of_quiet_sidecars_are_small_and_cover_the_list_evenly() {
    // With a larger subset, almost every attempt would open a connection, which costs the server work.
    let mut reached = BTreeSet::new();
    for sidecar_index in 0..5 {
        let mut settings = settings(vec![class(IDEMPOTENT)]);
        (settings.sidecar_index, settings.sidecar_count) = (sidecar_index, 5);
        let mut harness = Harness::new(settings, entries(40));
        let subset: BTreeSet<u64> = (0..60)
            .map(|_| {
                harness.advance(2_000);
                harness.serve(|_| 20).0
            })
            .collect();
        assert!((2..=8).contains(&subset.len()), "{subset:?}");
        reached.extend(subset);
    }
    assert!(reached.len() >= 35, "{}", reached.len());
}

#[test]
fn subsets_of_the_sidecars_in_one_zone_cover_the_zone_evenly() {
    // If crossing zones has a price, all draws are local. Not every sidecar of the zone may connect to every
    // local server.
    let mut sidecars_by_server: BTreeMap<u64, usize> = BTreeMap::new();
    // The sidecars of one zone have consecutive indexes, among a hundred sidecars.
    for sidecar_index in 30..75 {
        let mut settings = settings(vec![class(IDEMPOTENT)]);
        (settings.sidecar_index, settings.sidecar_count) = (sidecar_index, 100);
        (settings.cross_zone_price, settings.handshake_price) = (0.1, 0.08);
        let mut servers = entries(60);
        servers.iter_mut().for_each(|s| s.zone = (s.server.0 % 2) as u16);
        let mut harness = Harness::new(settings, servers);
        let subset: BTreeSet<u64> = (0..60)
            .map(|_| {
                harness.advance(200);
                harness.serve(|_| 20).0
            })
            .collect();
        assert!((2..=8).contains(&subset.len()) && subset.iter().all(|id| id % 2 == 0), "{subset:?}");
        subset.into_iter().for_each(|id| *sidecars_by_server.entry(id).or_default() += 1);
    }
    let (least, most) =
        (sidecars_by_server.values().min().copied(), sidecars_by_server.values().max().copied());
    assert!(sidecars_by_server.len() == 30 && least >= Some(6) && most <= Some(18), "{sidecars_by_server:?}");
}

#[test]
fn the_subset_of_a_busy_sidecar_is_the_complete_list() {
    let mut harness = harness(IDEMPOTENT, 40);
    let reached: BTreeSet<u64> = (0..2_000).map(|_| harness.serve(|_| 20).0).collect();
    assert_eq!(reached.len(), 40);
}

#[test]
fn each_class_prefers_the_kind_of_machine_with_the_lower_relative_latency() {
    // A mean over all classes is wrong if the relative latencies of the machine types differ between classes.
    let mut servers = entries(20);
    servers.iter_mut().for_each(|s| s.machine_type = (s.server.0 % 2) as u8);
    let mut harness = Harness::new(settings(vec![class(IDEMPOTENT), class(IDEMPOTENT)]), servers);
    let mut suited_sends = 0;
    for round in 0..400 {
        let class = round % 2;
        let (id, actions) = harness.request_of_class(class, 1_200);
        let server = sent_to(&actions).expect("the request is sent at once");
        let is_suited = server.0 % 2 == class as u64;
        suited_sends += usize::from(is_suited && round >= 200);
        let elapsed = if is_suited { 30 } else { 90 };
        // Each server has few samples, so its own average alone would not show the difference.
        harness.advance(elapsed);
        harness.end_attempt(id, 0, Outcome::Ok, elapsed);
        harness.advance(2_000);
    }
    assert!(
        suited_sends > 130,
        "{suited_sends} of 200 suited; random choice gives 100, the better of two at most 150"
    );
}
