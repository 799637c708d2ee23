//! Tests of the server list, cold servers and discovery.

use crate::common::*;
use crate::{SAFE, listed, rig};
use lugwharf_sidecar::api::*;

#[test]
fn drained_gone_and_unlisted_servers_get_nothing() {
    for how in [Availability::Draining, Availability::Gone] {
        let mut rig = rig(SAFE, 3);
        let mut line = line(2);
        line.availability = how;
        rig.tell(Event::ServerList(ServerListEvent::Delta(vec![line])));
        assert!((0..50).all(|_| rig.serve(|_| 20) != ServerId(2)), "{how:?}");
    }
    let mut rig = rig(SAFE, 3);
    rig.tell(Event::ServerList(ServerListEvent::Full(listed(1))));
    assert!((0..20).all(|_| rig.serve(|_| 20) == ServerId(1)));
}

#[test]
fn a_new_start_forgets_the_old_process() {
    let mut rig = rig(SAFE, 2);
    rig.serve_many(10, |_| 50);
    let bad = rig.serve(|_| 340);
    rig.wait(100_000);
    let mut again = line(bad.0);
    again.started = Some(ms(60_000));
    rig.tell(Event::ServerList(ServerListEvent::Delta(vec![again])));
    assert!((0..20).any(|_| rig.serve(|_| 50) == bad));
}

#[test]
fn discovery_is_asked_again_in_time() {
    let mut settings = settings(vec![class(SAFE)]);
    settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
    let mut rig = Rig::new(settings, listed(2));
    assert!(rig.wait(5_000).contains(&Action::Subscribe), "at start");
    for _ in 0..12 {
        rig.tell(Event::ServerList(ServerListEvent::Failed));
        let said = rig.wait(5_000);
        assert_eq!(said.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn a_request_whose_client_has_left_is_sent_on_by_nothing_that_comes_later() {
    for waits in ["for a first server", "for another try"] {
        let mut rig = rig(SAFE, if waits == "for another try" { 1 } else { 0 });
        let (id, said) = rig.ask();
        if waits == "for another try" {
            assert!(sent(&said).is_some());
            assert!(sent(&rig.end(id, 0, Outcome::ConnectFailed, 1)).is_none());
        }
        rig.tell(Event::ClientDisconnected(id));
        let mut said = rig.tell(Event::ServerList(ServerListEvent::Full(listed(4))));
        said.extend(rig.wait(2_000));
        assert!(sent(&said).is_none() && !refused(&said) && !failed(&said), "{waits}: {said:?}");
        // Others are served.
        rig.serve(|_| 20);
    }
}

#[test]
fn a_broken_subscription_is_opened_anew_before_what_it_misses_counts_as_told() {
    let mut settings = settings(vec![class(SAFE)]);
    settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
    let mut rig = Rig::new(settings, listed(2));
    rig.wait(5_000);
    for _ in 0..12 {
        rig.tell(Event::ServerList(ServerListEvent::Interrupted));
        let said = rig.wait(300);
        assert_eq!(said.iter().filter(|a| **a == Action::Subscribe).count(), 1);
    }
}

#[test]
fn a_cold_server_gets_little() {
    let mut settings = settings(vec![class(SAFE)]);
    settings.slow_start.ramp_time = ms(200_000);
    let mut rig = Rig::new(settings, listed(4));
    rig.serve_many(200, |_| 50);
    let mut cold = line(9);
    // By its weight it wins every draw: only the lot holds it back while it is cold.
    (cold.started, cold.weight) = (Some(ms(rig.now)), 100.0);
    rig.tell(Event::ServerList(ServerListEvent::Delta(vec![cold])));
    let to_cold = (0..100).filter(|_| rig.serve(|_| 50) == ServerId(9)).count();
    assert!((3..=25).contains(&to_cold), "{to_cold} of 100, of which 40 drew it");
}

#[test]
fn many_sidecars_keep_a_lone_cold_server_inside_its_budget() {
    // Guards against all that comes where a cold server is the only one left at home.
    let (sidecars, mean, seconds) = (20u64, 50, 3);
    let mut to_cold = 0;
    for number in 0..sidecars {
        let mut settings = settings(vec![class(Idempotency::NonIdempotent)]);
        (settings.sidecar_index, settings.sidecar_count) = (number as u32, sidecars as u32);
        settings.cross_zone_price = 0.1;
        let mut lines = listed(10);
        lines.iter_mut().for_each(|l| l.zone = u16::from(l.server.0 != 1));
        let mut rig = Rig::seeded(settings, lines.clone(), number);
        rig.serve_many(100, |_| mean);
        lines[0].started = Some(ms(rig.now));
        rig.tell(Event::ServerList(ServerListEvent::Full(lines)));
        let end = rig.now + seconds * 1_000;
        while rig.now < end {
            to_cold += u64::from(rig.serve(|_| mean).0 == 1);
        }
    }
    // Each server's even share of all sends. A cold one may get three times its warmth, a fifth at first, and a little
    // by chance at each sidecar; without a budget it gets about four shares here.
    let even = sidecars * seconds * 1_000 / mean / 10;
    assert!(to_cold > 0 && 2 * to_cold < 3 * even, "{to_cold}, where {even} is a warm one's share");
}

#[test]
fn waits_for_discovery_differ_between_sidecars() {
    // Guards against calls in step, at the start too, that discovery cannot answer.
    let waits = |seed| {
        let mut settings = settings(vec![class(SAFE)]);
        settings.discovery = Discovery::OnRequest { max_poll_interval: ms(10_000) };
        let mut rig = Rig::seeded(settings, vec![], seed);
        assert!(!rig.log.iter().any(|(_, a)| *a == Action::Subscribe), "not at once");
        (0..6).for_each(|_| drop(rig.tell(Event::ServerList(ServerListEvent::Failed))));
        let of_asking = |&&(_, timer): &&(u64, TimerId)| timer == TimerId(1 << 32);
        rig.timers.iter().filter(of_asking).map(|(at, _)| *at).collect::<Vec<u64>>()
    };
    let (one, other) = (waits(1), waits(2));
    assert!(one.len() == 7 && one.iter().all(|&wait| wait <= 5_000), "{one:?}");
    assert_ne!(one, other, "sidecars must not call in step");
}
