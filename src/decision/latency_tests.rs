//! Tests of a server's latency: immediate rise, decay over time, decay without samples, and the age of
//! attempts in flight.

use super::balancer::Balancer;
use super::server::{InFlightAttempt, LoadReport, Locality, Server};
use crate::api::*;
use std::time::Duration;

/// The time constant of latency samples, in ms.
const TIME_CONSTANT_MS: f64 = 1_000.0;

fn new_server() -> Server {
    let (availability, started_at) = (Availability::Ready, None);
    let entry = ServerEntry {
        server: ServerId(1),
        availability,
        cell: 0,
        zone: 0,
        machine_type: 0,
        weight: 1.0,
        started_at,
    };
    Server::new(entry, 0.0)
}

fn assert_near(a: f64, b: f64) {
    assert!((a - b).abs() < 1e-9, "{a} differs from {b}");
}

#[test]
fn a_slower_sample_replaces_the_ewma_and_a_faster_one_decays_it_by_time() {
    let mut server = new_server();
    server.record_latency(0.0, TIME_CONSTANT_MS, 50.0);
    server.record_latency(10.0, TIME_CONSTANT_MS, 400.0);
    assert_near(server.latency_ms_at(10.0, TIME_CONSTANT_MS, 0.0), 400.0);
    server.record_latency(510.0, TIME_CONSTANT_MS, 100.0);
    let decay_factor = (-500.0 / TIME_CONSTANT_MS).exp();
    assert_near(
        server.latency_ms_at(510.0, TIME_CONSTANT_MS, 0.0),
        400.0 * decay_factor + 100.0 * (1.0 - decay_factor),
    );
    let before = server.latency_ms_at(510.0, TIME_CONSTANT_MS, 0.0);
    server.record_latency(510.0, TIME_CONSTANT_MS, 1.0);
    assert_near(server.latency_ms_at(510.0, TIME_CONSTANT_MS, 0.0), before);
}

#[test]
fn the_latency_fades_to_the_baseline_and_starts_at_the_median() {
    let mut server = new_server();
    assert_near(server.latency_ms_at(5_000.0, TIME_CONSTANT_MS, 70.0), 70.0);
    server.record_latency(0.0, TIME_CONSTANT_MS, 270.0);
    assert_near(server.latency_ms_at(TIME_CONSTANT_MS, TIME_CONSTANT_MS, 70.0), 70.0 + 200.0 * (-1f64).exp());
    server.baseline_ms = 110.0;
    let baseline = 70.0 + 40.0 * (-1f64 / 8.0).exp();
    assert_near(
        server.latency_ms_at(TIME_CONSTANT_MS, TIME_CONSTANT_MS, 70.0),
        baseline + (270.0 - baseline) * (-1f64).exp(),
    );
}

#[test]
fn the_age_of_the_oldest_attempt_counts_once_it_exceeds_the_ewma() {
    let mut server = new_server();
    server.record_latency(0.0, TIME_CONSTANT_MS, 100.0);
    server.in_flight.push(InFlightAttempt {
        id: RequestId(1),
        attempt_number: 0,
        sent_at_ms: 0.0,
        normalization: 0.5,
        locality: Locality::Local,
    });
    assert_near(server.latency_ms_at(0.0, TIME_CONSTANT_MS, 100.0), 100.0);
    assert_near(server.latency_ms_at(200.0, TIME_CONSTANT_MS, 100.0), 100.0);
    assert_near(server.latency_ms_at(600.0, TIME_CONSTANT_MS, 100.0), 300.0);
}

#[test]
fn a_load_report_fades_by_its_age() {
    let mut server = new_server();
    assert_eq!(server.load_at(5.0, TIME_CONSTANT_MS), None);
    server.load_report = Some(LoadReport { in_flight: 8.0, received_at_ms: 10.0 });
    assert_near(server.load_at(10.0, TIME_CONSTANT_MS).expect("the load report was set above"), 8.0);
    assert_near(
        server.load_at(10.0 + TIME_CONSTANT_MS, TIME_CONSTANT_MS).expect("the load report was set above"),
        8.0 / std::f64::consts::E,
    );
}

#[test]
fn the_time_constant_is_proportional_to_the_latency_target() {
    let time_constant_ms = |latency_target: u64| {
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
    assert_near(time_constant_ms(80) * 4.0, time_constant_ms(320));
    assert!(time_constant_ms(0) > 0.0, "a time constant of zero would cause a division by zero");
}
