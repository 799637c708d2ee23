//! Tests from a server list and a load to an order, and of the state of a server that changes its stage.

use super::fleet_load::FleetLoad;
use super::stage_planning::StagePlanning;
use crate::orders::AuthorizedOrder;
use crate::server_reports::ReportRequest;
use crate::status_tests::server;
use lugwharf_election::FencingToken;
use lugwharf_protocol::{ServerEntry, ServerState, Stage};
use lugwharf_stages::{OrderOutcome, StageReport, StageTuning};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::mpsc::{self, Receiver};

const CONFIGURATION: &[u8] =
    br#"{"Version":1,"Routes":[],"Services":[{"Name":"model","Engine":{"Slots":16,"SwitchS":2}}]}"#;
/// Later than the delay between the acquisition of the lease and the first order (3.2 s).
const PLANNED_AT: Duration = Duration::from_secs(4);
/// Later than the time in which the draining state reaches all proxies (300 ms).
const DUE_AT: Duration = Duration::from_secs(5);
/// The fencing token of the lease.
const TOKEN: FencingToken = FencingToken(7);

fn planning(tuning: StageTuning) -> (StagePlanning, Receiver<AuthorizedOrder>) {
    let (planning, orders, _) = planning_with_reports(tuning);
    (planning, orders)
}

fn planning_with_reports(
    tuning: StageTuning,
) -> (StagePlanning, Receiver<AuthorizedOrder>, Receiver<ReportRequest>) {
    let (order_queue, orders) = mpsc::channel(1);
    let (report_queue, reports) = mpsc::channel(4);
    let mut planning = StagePlanning::new(tuning, order_queue, report_queue);
    planning.set_configuration(CONFIGURATION);
    planning.lease_acquired(Duration::ZERO);
    (planning, orders, reports)
}

/// Four servers in one zone, all of them in the prefill stage.
fn prefill_servers() -> Vec<ServerEntry> {
    let ids = ["a", "b", "c", "d"];
    ids.map(|id| server(id, "model", ServerState::Ready, Some(Stage::Prefill))).to_vec()
}

fn draining(entries: &[ServerEntry]) -> BTreeSet<String> {
    let draining = entries.iter().filter(|entry| entry.state == ServerState::Draining);
    draining.map(|entry| entry.id.clone()).collect()
}

#[test]
fn server_that_changes_its_stage_is_draining_in_the_list_and_gets_one_order() {
    let (mut planning, mut orders) = planning(StageTuning::default());
    let mut entries = prefill_servers();
    planning.plan(PLANNED_AT, &mut entries, &FleetLoad::default());
    let changing = draining(&entries);
    assert_eq!(changing.len(), 1, "{entries:?}");
    assert_eq!(planning.changing_server_ids(entries.iter()), changing);
    planning.send_due(PLANNED_AT, "core-1", TOKEN);
    assert!(orders.try_recv().is_err(), "the draining state has not reached all proxies yet");
    planning.send_due(DUE_AT, "core-1", TOKEN);
    let AuthorizedOrder { order, holder, token } = orders.try_recv().expect("no order was queued");
    assert_eq!((holder.as_str(), token, order.stage), ("core-1", TOKEN, Stage::Decode));
    assert!(changing.contains(&order.id), "{order:?}");
    planning.send_due(DUE_AT, "core-1", token);
    assert!(orders.try_recv().is_err(), "the order is sent only once");
}

#[test]
fn rejected_order_ends_the_change_and_an_accepted_one_continues_it() {
    for (outcome, still_changes) in [(OrderOutcome::Rejected, false), (OrderOutcome::Accepted, true)] {
        let (mut planning, mut orders) = planning(StageTuning::default());
        let mut entries = prefill_servers();
        planning.plan(PLANNED_AT, &mut entries, &FleetLoad::default());
        planning.send_due(DUE_AT, "core-1", TOKEN);
        let id = orders.try_recv().expect("no order was queued").order.id;
        planning.record_order_outcome(DUE_AT, &id, Some("model"), outcome);
        assert_eq!(!planning.changing_server_ids(entries.iter()).is_empty(), still_changes, "{outcome:?}");
    }
}

#[test]
fn order_that_can_not_be_queued_counts_as_rejected() {
    let (mut planning, orders) = planning(StageTuning::default());
    let mut entries = prefill_servers();
    planning.plan(PLANNED_AT, &mut entries, &FleetLoad::default());
    drop(orders);
    planning.send_due(DUE_AT, "core-1", TOKEN);
    assert!(planning.changing_server_ids(entries.iter()).is_empty());
}

#[test]
fn nothing_is_planned_without_orders_an_engine_or_the_lease() {
    let (without_orders, _orders) = planning(StageTuning { orders: false, ..StageTuning::default() });
    let (mut without_engine, _orders) = planning(StageTuning::default());
    without_engine.set_configuration(b"{}");
    let (mut without_lease, _orders) = planning(StageTuning::default());
    without_lease.lease_lost();
    for mut planning in [without_orders, without_engine, without_lease] {
        let mut entries = prefill_servers();
        planning.plan(PLANNED_AT, &mut entries, &FleetLoad::default());
        assert!(draining(&entries).is_empty(), "{entries:?}");
    }
}

/// The holder of a new lease learns from the reports which servers the previous holder has ordered to change
/// their stage.
#[test]
fn change_of_an_earlier_lease_is_learned_from_the_reports_and_continues() {
    let (mut planning, mut orders, mut reports) = planning_with_reports(StageTuning::default());
    let mut entries = prefill_servers();
    planning.request_reports(Duration::from_millis(999), &entries, TOKEN);
    assert!(reports.try_recv().is_err(), "an order of the previous holder may still be in flight");
    planning.request_reports(Duration::from_secs(1), &entries, TOKEN);
    planning.request_reports(Duration::from_secs(2), &entries, TOKEN);
    let requested: Vec<String> =
        std::iter::from_fn(|| reports.try_recv().ok()).map(|request| request.id).collect();
    assert_eq!(requested, ["a", "b", "c", "d"], "each report is requested once");
    let report = StageReport { stage: Stage::Prefill, is_changing_stage: true, revision: 1 };
    planning.record_report(Duration::from_secs(2), &entries[1], report);
    planning.plan(PLANNED_AT, &mut entries, &FleetLoad::default());
    assert_eq!(draining(&entries), BTreeSet::from(["b".to_owned()]));
    planning.send_due(DUE_AT, "core-1", TOKEN);
    assert!(orders.try_recv().is_err(), "the needed change is already in progress");
}
