//! Tests of the server list, slow start and subscriptions.

use crate::common::*;
use crate::{SAFE, entries, harness};
use lugwharf_sidecar::api::*;

#[test]
fn draining_gone_and_unlisted_servers_get_no_requests() {
    for how in [Availability::Draining, Availability::Gone] {
        let mut harness = harness(SAFE, 3);
        let mut entry = entry(2);
        entry.availability = how;
        harness.handle(Event::ServerList(ServerListEvent::Delta(vec![entry])));
        assert!((0..50).all(|_| harness.serve(|_| 20) != ServerId(2)), "{how:?}");
    }
    let mut harness = harness(SAFE, 3);
    harness.handle(Event::ServerList(ServerListEvent::Full(entries(1))));
    assert!((0..20).all(|_| harness.serve(|_| 20) == ServerId(1)));
}

#[test]
fn a_restarted_server_has_no_statistics() {
    let mut harness = harness(SAFE, 2);
    harness.serve_many(10, |_| 50);
    let bad = harness.serve(|_| 340);
    harness.advance(100_000);
    let mut again = entry(bad.0);
    again.started_at = Some(ms(60_000));
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![again])));
    assert!((0..20).any(|_| harness.serve(|_| 50) == bad));
}

#[test]
fn the_subscription_is_renewed_within_the_poll_interval() {
    let mut settings = settings(vec![class(SAFE)]);
    settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
    let mut harness = Harness::new(settings, entries(2));
    assert!(harness.advance(5_000).contains(&Action::Subscribe), "at start");
    for _ in 0..12 {
        harness.handle(Event::ServerList(ServerListEvent::Failed));
        let actions = harness.advance(5_000);
        assert_eq!(actions.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn no_later_event_sends_a_request_whose_client_disconnected() {
    for waits in ["for a first server", "for another try"] {
        let mut harness = harness(SAFE, if waits == "for another try" { 1 } else { 0 });
        let (id, actions) = harness.request();
        if waits == "for another try" {
            assert!(sent_to(&actions).is_some());
            assert!(sent_to(&harness.end_attempt(id, 0, Outcome::ConnectFailed, 1)).is_none());
        }
        harness.handle(Event::ClientDisconnected(id));
        let mut actions = harness.handle(Event::ServerList(ServerListEvent::Full(entries(4))));
        actions.extend(harness.advance(2_000));
        assert!(
            sent_to(&actions).is_none() && !is_rejected(&actions) && !is_failed(&actions),
            "{waits}: {actions:?}"
        );
        // Others are served.
        harness.serve(|_| 20);
    }
}

#[test]
fn an_interrupted_subscription_is_renewed_within_300_ms() {
    let mut settings = settings(vec![class(SAFE)]);
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
    let mut settings = settings(vec![class(SAFE)]);
    settings.slow_start.ramp_time = ms(200_000);
    let mut harness = Harness::new(settings, entries(4));
    harness.serve_many(200, |_| 50);
    let mut warming = entry(9);
    // By its weight it wins every comparison: only the request's draw keeps requests away while it warms up.
    (warming.started_at, warming.weight) = (Some(ms(harness.now)), 100.0);
    harness.handle(Event::ServerList(ServerListEvent::Delta(vec![warming])));
    let to_cold = (0..100).filter(|_| harness.serve(|_| 50) == ServerId(9)).count();
    assert!((3..=25).contains(&to_cold), "{to_cold} of 100, of which 40 drew it");
}

#[test]
fn many_sidecars_together_do_not_overload_a_lone_warming_server() {
    // A warming server may be the only local one that is left.
    let (sidecars, mean, seconds) = (20u64, 50, 3);
    let mut to_cold = 0;
    for number in 0..sidecars {
        let mut settings = settings(vec![class(Idempotency::NonIdempotent)]);
        (settings.sidecar_index, settings.sidecar_count) = (number as u32, sidecars as u32);
        settings.cross_zone_price = 0.1;
        let mut lines = entries(10);
        lines.iter_mut().for_each(|l| l.zone = u16::from(l.server.0 != 1));
        let mut harness = Harness::seeded(settings, lines.clone(), number);
        harness.serve_many(100, |_| mean);
        lines[0].started_at = Some(ms(harness.now));
        harness.handle(Event::ServerList(ServerListEvent::Full(lines)));
        let end = harness.now + seconds * 1_000;
        while harness.now < end {
            to_cold += u64::from(harness.serve(|_| mean).0 == 1);
        }
    }
    // Each server's even share of all sends. A warming one may get three times its capacity share, a fifth at first, and a
    // little by chance at each sidecar; without the bound it gets about four even shares here.
    let even = sidecars * seconds * 1_000 / mean / 10;
    assert!(to_cold > 0 && 2 * to_cold < 3 * even, "{to_cold}, where {even} is a warm one's share");
}

#[test]
fn subscription_delays_differ_between_sidecars() {
    // Calls in step, at the start too, would be more than discovery can answer.
    let waits = |seed| {
        let mut settings = settings(vec![class(SAFE)]);
        settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
        let mut harness = Harness::seeded(settings, vec![], seed);
        assert!(!harness.log.iter().any(|(_, a)| *a == Action::Subscribe), "not at once");
        (0..6).for_each(|_| drop(harness.handle(Event::ServerList(ServerListEvent::Failed))));
        let of_asking = |&&(_, timer): &&(u64, TimerId)| timer == TimerId(1 << 32);
        harness.timers.iter().filter(of_asking).map(|(at, _)| *at).collect::<Vec<u64>>()
    };
    let (one, other) = (waits(1), waits(2));
    assert!(one.len() == 7 && one.iter().all(|&wait| wait <= 5_000), "{one:?}");
    assert_ne!(one, other, "sidecars must not call in step");
}
