//! Tests of a server's latency: instant rise, timed decay, fading without samples, and the age of attempts in flight.

use super::balancer::Balancer;
use super::server::{InFlightAttempt, LoadReport, Locality, Server};
use crate::api::*;
use std::time::Duration;

/// A time constant, in ms.
const TAU: f64 = 1_000.0;

fn server() -> Server {
    let (availability, started_at) = (Availability::Ready, None);
    let line = ServerEntry {
        server: ServerId(1),
        availability,
        cell: 0,
        zone: 0,
        machine_type: 0,
        weight: 1.0,
        started_at,
    };
    Server::new(line, 0.0)
}

fn near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} is not {b}");
}

#[test]
fn a_slower_sample_replaces_the_ewma_and_a_faster_one_decays_it_by_time() {
    let mut s = server();
    s.record_latency(0.0, TAU, 50.0);
    s.record_latency(10.0, TAU, 400.0);
    near(s.latency_ms_at(10.0, TAU, 0.0), 400.0);
    s.record_latency(510.0, TAU, 100.0);
    let keep = (-500.0 / TAU).exp();
    near(s.latency_ms_at(510.0, TAU, 0.0), 400.0 * keep + 100.0 * (1.0 - keep));
    let before = s.latency_ms_at(510.0, TAU, 0.0);
    s.record_latency(510.0, TAU, 1.0);
    near(s.latency_ms_at(510.0, TAU, 0.0), before);
}

#[test]
fn the_latency_fades_to_the_baseline_and_starts_at_the_median() {
    let mut s = server();
    near(s.latency_ms_at(5_000.0, TAU, 70.0), 70.0);
    s.record_latency(0.0, TAU, 270.0);
    near(s.latency_ms_at(TAU, TAU, 70.0), 70.0 + 200.0 * (-1f64).exp());
    s.baseline_ms = 110.0;
    let usual = 70.0 + 40.0 * (-1f64 / 8.0).exp();
    near(s.latency_ms_at(TAU, TAU, 70.0), usual + (270.0 - usual) * (-1f64).exp());
}

#[test]
fn the_age_of_the_oldest_attempt_counts_once_it_exceeds_the_ewma() {
    let mut s = server();
    s.record_latency(0.0, TAU, 100.0);
    s.in_flight.push(InFlightAttempt {
        id: RequestId(1),
        attempt: 0,
        sent_at_ms: 0.0,
        normalization: 0.5,
        locality: Locality::Local,
    });
    near(s.latency_ms_at(0.0, TAU, 100.0), 100.0);
    near(s.latency_ms_at(200.0, TAU, 100.0), 100.0);
    near(s.latency_ms_at(600.0, TAU, 100.0), 300.0);
}

#[test]
fn a_load_report_fades_by_its_age() {
    let mut s = server();
    assert_eq!(s.load_at(5.0, TAU), None);
    s.load_report = Some(LoadReport { in_flight: 8.0, received_at_ms: 10.0 });
    near(s.load_at(10.0, TAU).expect("a report"), 8.0);
    near(s.load_at(10.0 + TAU, TAU).expect("a report"), 8.0 / std::f64::consts::E);
}

#[test]
fn the_time_constant_is_proportional_to_the_latency_target() {
    let tau = |latency_target: u64| {
        let (latency_target, deadline) = (Duration::from_millis(latency_target), Duration::ZERO);
        let (value, late_value_share, latency_target_per_work, idempotency) =
            (1.0, 0.0, 0.0, Idempotency::Idempotent);
        let class = RequestClass {
            latency_target,
            deadline,
            latency_target_per_work,
            value,
            late_value_share,
            idempotency,
        };
        Balancer::new(Settings { classes: vec![class], ..Settings::default() }, 1).time_constant_ms
    };
    near(tau(80) * 4.0, tau(320));
    assert!(tau(0) > 0.0, "nothing is divided by zero");
}
