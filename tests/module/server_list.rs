//! Tests of server list updates, slow start and subscriptions.

use crate::common::*;
use crate::{IDEMPOTENT, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn draining_gone_and_unlisted_servers_get_no_requests() {
    for availability in [Availability::Draining, Availability::Gone] {
        let mut harness = harness(IDEMPOTENT, 3);
        let mut entry = entry(2);
        entry.availability = availability;
        harness.handle(Event::ServerList(ServerListEvent::Delta(vec![entry])));
        assert!((0..50).all(|_| harness.serve(|_| 20) != ServerId(2)), "{availability:?}");
    }
    let mut harness = harness(IDEMPOTENT, 3);
    harness.handle(Event::ServerList(ServerListEvent::Full(entries(1))));
    assert!((0..20).all(|_| harness.serve(|_| 20) == ServerId(1)));
}

#[test]
fn a_restarted_server_has_no_statistics() {
    let mut harness = harness(IDEMPOTENT, 2);
    harness.serve_many(10, |_| 50);
    let slow_server = harness.serve(|_| 340);
    harness.advance(100_000);
    let mut restarted = entry(slow_server.0);
    restarted.started_at = Some(ms(60_000));
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![restarted])));
    assert!((0..20).any(|_| harness.serve(|_| 50) == slow_server));
}

#[test]
fn the_subscription_is_renewed_within_the_poll_interval() {
    let mut settings = settings(vec![class(IDEMPOTENT)]);
    settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
    let mut harness = Harness::new(settings, entries(2));
    assert!(harness.advance(5_000).contains(&Action::Subscribe), "at startup");
    for _ in 0..12 {
        harness.handle(Event::ServerList(ServerListEvent::Failed));
        let actions = harness.advance(5_000);
        assert_eq!(actions.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn no_later_event_sends_a_request_whose_client_disconnected() {
    for waiting_for in ["the first server", "a retry"] {
        let mut harness = harness(IDEMPOTENT, if waiting_for == "a retry" { 1 } else { 0 });
        let (id, actions) = harness.request();
        if waiting_for == "a retry" {
            assert!(sent_to(&actions).is_some());
            assert!(sent_to(&harness.end_attempt(id, 0, Outcome::ConnectFailed, 1)).is_none());
        }
        harness.handle(Event::ClientDisconnected(id));
        let mut actions = harness.handle(Event::ServerList(ServerListEvent::Full(entries(4))));
        actions.extend(harness.advance(2_000));
        assert!(
            sent_to(&actions).is_none() && !is_rejected(&actions) && !is_failed(&actions),
            "waiting for {waiting_for}: {actions:?}"
        );
        // Other requests are served.
        harness.serve(|_| 20);
    }
}

#[test]
fn an_interrupted_subscription_is_renewed_within_300_ms() {
    let mut settings = settings(vec![class(IDEMPOTENT)]);
    settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
    let mut harness = Harness::new(settings, entries(2));
    harness.advance(5_000);
    for _ in 0..12 {
        harness.handle(Event::ServerList(ServerListEvent::Interrupted));
        let actions = harness.advance(300);
        assert_eq!(actions.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn a_warming_server_gets_few_requests() {
    let mut settings = settings(vec![class(IDEMPOTENT)]);
    settings.slow_start.ramp_time = ms(200_000);
    let mut harness = Harness::new(settings, entries(4));
    harness.serve_many(200, |_| 50);
    let mut warming = entry(9);
    // The weight gives the server the lowest score in every comparison, so only the random number of each
    // request keeps requests away while the server warms up.
    (warming.started_at, warming.weight) = (Some(ms(harness.now)), 100.0);
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![warming])));
    let sent_to_warming = (0..100).filter(|_| harness.serve(|_| 50) == ServerId(9)).count();
    assert!(
        (3..=25).contains(&sent_to_warming),
        "{sent_to_warming} of 100 requests; 40 had the server as a candidate"
    );
}

#[test]
fn many_sidecars_together_do_not_overload_a_lone_warming_server() {
    // A warming server may be the only local server, so every sidecar would send all its requests there.
    let (sidecars, latency_ms, seconds) = (20u64, 50, 3);
    let mut sent_to_warming = 0;
    for sidecar_index in 0..sidecars {
        let mut settings = settings(vec![class(Idempotency::NonIdempotent)]);
        (settings.sidecar_index, settings.sidecar_count) = (sidecar_index as u32, sidecars as u32);
        settings.cross_zone_price = 0.1;
        let mut servers = entries(10);
        servers.iter_mut().for_each(|s| s.zone = u16::from(s.server.0 != 1));
        let mut harness = Harness::seeded(settings, servers.clone(), sidecar_index);
        harness.serve_many(100, |_| latency_ms);
        servers[0].started_at = Some(ms(harness.now));
        harness.handle(Event::ServerList(ServerListEvent::Full(servers)));
        let end = harness.now + seconds * 1_000;
        while harness.now < end {
            sent_to_warming += u64::from(harness.serve(|_| latency_ms).0 == 1);
        }
    }
    // The even share of one server in all sends. A warming server may get three times its capacity share,
    // which starts at one fifth, and a little more by chance at each sidecar. Without the rate limit it gets
    // about four even shares here.
    let even_share = sidecars * seconds * 1_000 / latency_ms / 10;
    assert!(
        sent_to_warming > 0 && 2 * sent_to_warming < 3 * even_share,
        "{sent_to_warming} sends to the warming server; the even share of a warm server is {even_share}"
    );
}

#[test]
fn subscription_delays_differ_between_sidecars() {
    // Simultaneous calls of many sidecars, also at startup, would overload discovery.
    let delays = |seed| {
        let mut settings = settings(vec![class(IDEMPOTENT)]);
        settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
        let mut harness = Harness::seeded(settings, vec![], seed);
        assert!(!harness.log.iter().any(|(_, a)| *a == Action::Subscribe), "no subscription without a delay");
        (0..6).for_each(|_| drop(harness.handle(Event::ServerList(ServerListEvent::Failed))));
        let is_subscribe_timer = |&&(_, timer): &&(u64, TimerId)| timer == TimerId(1 << 32);
        harness.timers.iter().filter(is_subscribe_timer).map(|(at, _)| *at).collect::<Vec<u64>>()
    };
    let (first, second) = (delays(1), delays(2));
    assert!(first.len() == 7 && first.iter().all(|&delay| delay <= 5_000), "{first:?}");
    assert_ne!(first, second, "sidecars must not call discovery simultaneously");
}
