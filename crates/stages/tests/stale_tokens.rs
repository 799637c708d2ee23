//! Tests of servers that reject the fencing tokens of this process (412).

use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use lugwharf_stages::target::Demand;
use lugwharf_stages::{OrderOutcome, Planner, PlannerSettings};
use std::time::Duration;

/// The time that a server takes to change its stage.
const SWITCH: Duration = Duration::from_secs(2);
/// The fencing token of the first lease.
const FIRST_TOKEN: u64 = 7;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Four prefill servers; an idle service needs at least one decode server.
fn servers() -> Vec<ServerEntry> {
    let server = |number: u8| ServerEntry {
        id: format!("i-{number}"),
        service: "model".to_owned(),
        address: ([127, 0, 0, number], 80).into(),
        zone: "a".to_owned(),
        slots: 16,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage: Some(Stage::Prefill),
        models: Vec::new(),
    };
    (1..=4).map(server).collect()
}

/// Acquires a lease at `at`, and returns the ids of the servers that get an order under it, 10 s later.
fn ordered_under_lease(planner: &mut Planner, at: Duration) -> Vec<String> {
    let servers = servers();
    let demand = Demand { decode_in_flight: 0.0, slots: 16, min_decode_share: 0.5, max_utilization: 0.7 };
    planner.lease_acquired(at);
    let planned_at = at + seconds(5);
    planner.plan(planned_at, "model", &servers.iter().collect::<Vec<_>>(), &demand);
    planner.take_due_orders(planned_at + seconds(5)).into_iter().map(|order| order.id).collect()
}

/// The first server remembers a wrong token and rejects the orders of each lease.
#[test]
fn server_that_rejects_the_tokens_of_two_leases_gets_no_more_orders_for_a_while() {
    let mut planner = Planner::new(PlannerSettings::default());
    let mut now = seconds(0);
    for token in FIRST_TOKEN..FIRST_TOKEN + 2 {
        let ordered = ordered_under_lease(&mut planner, now);
        assert!(ordered.contains(&"i-1".to_owned()), "token {token}: {ordered:?}");
        now += seconds(10);
        planner.record_outcome(now, "i-1", OrderOutcome::StaleToken, SWITCH);
        let is_suspended = planner.record_stale_token(now, "i-1", token);
        assert_eq!(is_suspended, token > FIRST_TOKEN, "token {token}");
        planner.lease_lost();
        now += seconds(10);
    }
    let ordered = ordered_under_lease(&mut planner, now);
    assert!(!ordered.contains(&"i-1".to_owned()) && !ordered.is_empty(), "{ordered:?}");
    planner.lease_lost();
    now += PlannerSettings::default().stale_token_suspension;
    let ordered = ordered_under_lease(&mut planner, now);
    assert!(ordered.contains(&"i-1".to_owned()), "{ordered:?}");
}

#[test]
fn rejection_counts_once_for_each_token_and_for_its_server_alone() {
    let mut planner = Planner::new(PlannerSettings::default());
    for _ in 0..3 {
        assert!(!planner.record_stale_token(seconds(1), "i-1", FIRST_TOKEN), "one token");
    }
    assert!(!planner.record_stale_token(seconds(1), "i-2", FIRST_TOKEN + 1), "another server");
    assert!(!planner.record_stale_token(seconds(1), "i-1", FIRST_TOKEN - 1), "a late answer");
    assert!(planner.record_stale_token(seconds(1), "i-1", FIRST_TOKEN + 1));
    assert!(!planner.record_stale_token(seconds(1), "i-1", FIRST_TOKEN + 2), "it is suspended already");
}

#[test]
fn rejections_longer_ago_than_the_suspension_do_not_add_up() {
    let mut planner = Planner::new(PlannerSettings::default());
    let suspension = PlannerSettings::default().stale_token_suspension;
    assert!(!planner.record_stale_token(seconds(1), "i-1", FIRST_TOKEN));
    assert!(!planner.record_stale_token(seconds(1) + suspension, "i-1", FIRST_TOKEN + 1));
}

#[test]
fn server_that_rejected_a_token_is_in_service() {
    let mut planner = Planner::new(PlannerSettings::default());
    let ordered = ordered_under_lease(&mut planner, seconds(0));
    for id in &ordered {
        planner.record_outcome(seconds(10), id, OrderOutcome::StaleToken, SWITCH);
    }
    let mut shown = servers();
    planner.mark_changing_as_draining(&mut shown);
    assert!(shown.iter().all(|entry| entry.state == ServerState::Ready), "{shown:?}");
}
