//! Checks of what servers received besides client requests, and of servers that drain.

use super::excuses::CONTROL_MARGIN;
use super::records::RunRecords;
use crate::finding::Finding;
use std::collections::BTreeMap;
use std::time::Duration;

/// `DrainMs` of the fleet's settings (3,000 ms), with the list's own lag and a harness that is a little late.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Orders to one server in a run without faults: one to change its stage, and one to change it back.
const MAX_ORDERS_PER_SERVER: usize = 2;

/// Runs all checks of this module.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    check_draining_servers(records, found);
    check_orders(records, found);
}

/// No request reaches a server long after the list has shown that it drains, unless a fault may have delayed the list.
fn check_draining_servers(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let arrivals = records.request_log.arrivals();
    for drained in records.drained_servers {
        let deadline = drained.since + DRAIN_TIMEOUT;
        let mut late = arrivals.iter().filter(|arrival| arrival.at > deadline);
        let Some(late) = late.find(|arrival| arrival.instance == drained.instance) else { continue };
        let mut faults = records.schedule.faults.iter().filter(|fault| fault.kind.delays_server_lists());
        if faults.any(|fault| fault.start < late.at && fault.end() + CONTROL_MARGIN > drained.since) {
            continue;
        }
        let (id, since, at) = (&drained.instance, drained.since.as_millis(), late.at.as_millis());
        let facts = format!("{id} drains since {since} ms, reached at {at} ms");
        found.push(Finding { rule: "drain", facts });
    }
}

/// A fencing token has one holder, and without faults no server is ordered back and forth.
fn check_orders(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut holder_by_token: BTreeMap<u64, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for order in records.request_log.orders() {
        let body: serde_json::Value = serde_json::from_str(&order.body).unwrap_or_default();
        let (Some(token), Some(holder)) = (body["Fence"].as_u64(), body["Holder"].as_str()) else {
            found.push(Finding { rule: "order", facts: format!("no order: {}", order.body) });
            continue;
        };
        let known = holder_by_token.entry(token).or_insert_with(|| holder.to_owned());
        if known != holder {
            found.push(Finding { rule: "order", facts: format!("token {token} of {known} and {holder}") });
        }
        *counts.entry(order.instance).or_default() += 1;
    }
    if records.schedule.faults.is_empty() {
        for (id, count) in counts.into_iter().filter(|(_, count)| *count > MAX_ORDERS_PER_SERVER) {
            found.push(Finding { rule: "to_and_fro", facts: format!("{count} orders to {id}") });
        }
    }
}
