//! Tests that the balancer's state stays bounded by the listed servers and the open requests, and tests that
//! inspect its private state.

use super::balancer::Balancer;
use crate::api::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn settings() -> Settings {
    let idempotency = Idempotency::Idempotent;
    let (latency_target, deadline) = (Duration::from_millis(400), Duration::from_millis(1_200));
    let class = RequestClass {
        latency_target,
        deadline,
        latency_target_per_work: 0.0,
        value: 1.0,
        late_value_share: 0.3,
        idempotency,
    };
    let discovery = Discovery::OnRequest { max_poll_interval: Duration::from_secs(10) };
    Settings { classes: vec![class], cancel: Permission::Granted, discovery, ..Settings::default() }
}

#[test]
fn state_is_bounded_by_listed_servers_and_open_requests() {
    let (mut rng, mut balancer) = (fastrand::Rng::with_seed(5), Balancer::new(settings(), 5));
    let (mut out, mut in_flight) = (Vec::new(), BTreeSet::new());
    let mut listed: Vec<u64> = Vec::new();
    for step in 0..60_000u32 {
        let now = Duration::from_millis(u64::from(step) * 3);
        let event = match rng.u32(0..100) {
            // Servers join and leave permanently: each new server has a new id.
            0 => {
                listed.push(u64::from(step));
                if listed.len() > 8 {
                    listed.remove(rng.usize(0..8));
                }
                let availability = Availability::Ready;
                let entry = |&id| ServerEntry {
                    server: ServerId(id),
                    availability,
                    cell: 0,
                    zone: 0,
                    machine_type: 0,
                    weight: 1.0,
                    started_at: None,
                };
                Event::ServerList(ServerListEvent::Full(listed.iter().map(entry).collect()))
            }
            1 if step % 2 == 0 => Event::ServerList(ServerListEvent::Interrupted),
            1 => Event::ServerList(ServerListEvent::Failed),
            2..=5 => Event::ClientDisconnected(RequestId(step - rng.u32(0..20).min(step))),
            6..=50 => {
                let (id, client_timeout) = (RequestId(step), Duration::from_millis(1_200));
                let (cost, origin) = (None, Origin::Fresh);
                Event::Request(Arrival { id, class: 0, cost, client_timeout, origin })
            }
            51..=60 => Event::Timer(TimerId(u64::from(step - rng.u32(0..99).min(step)))),
            _ => match in_flight.pop_first() {
                Some((id, attempt)) => {
                    let all = [Outcome::Ok, Outcome::Error, Outcome::Timeout, Outcome::ConnectFailed];
                    let outcome = all[rng.usize(0..4)];
                    let (elapsed, request_status) =
                        (Duration::from_millis(50), RequestStatus::AwaitingAnswer);
                    Event::Outcome { id, attempt, outcome, elapsed, request_status }
                }
                None => continue,
            },
        };
        balancer.handle(now, event, &mut out);
        for action in out.drain(..) {
            if let Action::Send { id, .. } = action {
                in_flight.insert((id, balancer.requests[&id].attempts.len() - 1));
            }
        }
        assert!(balancer.servers.all().len() <= listed.len() + in_flight.len());
        assert!(balancer.requests.len() <= balancer.queue.len() + in_flight.len());
    }
    // Queued requests end with their timers, attempts in flight with their outcomes.
    let ids: Vec<RequestId> = balancer.requests.keys().copied().collect();
    let end = Duration::from_secs(1_000);
    for id in ids {
        balancer.handle(end, Event::Timer(TimerId(u64::from(id.0))), &mut out);
    }
    for (id, attempt) in in_flight {
        let (elapsed, request_status) = (Duration::from_millis(50), RequestStatus::Finished);
        balancer.handle(
            end,
            Event::Outcome { id, attempt, outcome: Outcome::Ok, elapsed, request_status },
            &mut out,
        );
    }
    assert!(balancer.requests.is_empty() && balancer.queue.is_empty());
    assert_eq!(balancer.servers.all().len(), listed.len());
    assert!(balancer.servers.all().all(|s| s.in_flight.is_empty()));
}

#[test]
fn a_clock_reading_that_goes_back_is_ignored() {
    let (mut balancer, mut out) = (Balancer::new(settings(), 1), Vec::new());
    for reading in [100, 50, 120] {
        balancer.handle(Duration::from_millis(reading), Event::Timer(TimerId(1)), &mut out);
        assert!(balancer.now_ms >= 100.0);
    }
    assert_eq!(balancer.now_ms, 120.0);
}

#[test]
fn an_attempt_cancelled_early_does_not_lower_the_latency() {
    let (mut balancer, mut out) = (Balancer::new(settings(), 1), Vec::new());
    let (availability, started_at, server) = (Availability::Ready, None, ServerId(1));
    let entry =
        ServerEntry { server, availability, cell: 0, zone: 0, machine_type: 0, weight: 1.0, started_at };
    balancer.handle(Duration::ZERO, Event::ServerList(ServerListEvent::Full(vec![entry])), &mut out);
    let (cost, origin) = (None, Origin::Fresh);
    let client_timeout = Duration::from_millis(1_200);
    for (round, outcome, elapsed) in [(0u32, Outcome::Ok, 100), (1, Outcome::Cancelled, 1)] {
        let start = Duration::from_secs(u64::from(round) * 2);
        let (id, elapsed) = (RequestId(round), Duration::from_millis(elapsed));
        balancer.handle(
            start,
            Event::Request(Arrival { id, class: 0, cost, client_timeout, origin }),
            &mut out,
        );
        let request_status = RequestStatus::Finished;
        balancer.handle(
            start + elapsed,
            Event::Outcome { id, attempt: 0, outcome, elapsed, request_status },
            &mut out,
        );
    }
    assert_eq!(balancer.servers[server].ewma_ms, Some(100.0));
}
