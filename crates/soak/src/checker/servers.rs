//! Checks of what servers received besides client requests, and of servers that drain.

use super::excuses::CONTROL_MARGIN;
use super::records::RunRecords;
use crate::fault::FaultKind;
use crate::finding::Finding;
use lugwharf_emulator::request_log::ReceivedOrder;
use std::collections::BTreeMap;
use std::time::Duration;

/// `DrainMs` of the fleet's settings (3,000 ms), with the list's own lag and a harness that is a little late.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_300);
/// An order that was on its way when its sender learned that a server refused its token arrives within this.
const REFUSAL_MARGIN: Duration = Duration::from_millis(1_000);
/// Orders to one server in a run without faults: one to change its stage, and one to change it back.
const MAX_ORDERS_PER_SERVER: usize = 2;

/// Runs all checks of this module.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    check_draining_servers(records, found);
    check_orders(records, found);
    check_refused_tokens(records, found);
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

/// The sender of an order, by the order's body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderSender {
    token: u64,
    holder: String,
}

impl OrderSender {
    /// The sender that an order names; `None` if the body is no order.
    fn of(order: &ReceivedOrder) -> Option<OrderSender> {
        let body: serde_json::Value = serde_json::from_str(&order.body).ok()?;
        let (token, holder) = (body["Fence"].as_u64()?, body["Holder"].as_str()?);
        Some(OrderSender { token, holder: holder.to_owned() })
    }
}

/// A fencing token has one holder, and without faults no server is ordered back and forth.
fn check_orders(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut holder_by_token: BTreeMap<u64, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for order in records.request_log.orders() {
        let Some(OrderSender { token, holder }) = OrderSender::of(&order) else {
            found.push(Finding { rule: "order", facts: format!("no order: {}", order.body) });
            continue;
        };
        let known = holder_by_token.entry(token).or_insert_with(|| holder.clone());
        if *known != holder {
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

/// Whoever was refused by a server that had seen a higher token orders nothing more under its own, at whatever server.
fn check_refused_tokens(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut seen_tokens: BTreeMap<String, u64> = BTreeMap::new();
    let mut refused_at: BTreeMap<OrderSender, Duration> = BTreeMap::new();
    for order in records.request_log.orders() {
        let Some(sender) = OrderSender::of(&order) else { continue };
        let knows = refused_at.get(&sender).is_some_and(|at| order.at > *at + REFUSAL_MARGIN);
        if knows {
            let OrderSender { token, holder } = &sender;
            let facts = format!("{holder} orders {} under {token}, which was refused", order.instance);
            found.push(Finding { rule: "refused_token", facts });
        }
        let seen = seen_tokens.entry(order.instance).or_default();
        if sender.token < *seen && !may_lose_refusals(records, order.at) {
            refused_at.entry(sender).or_insert(order.at);
        } else {
            *seen = (*seen).max(sender.token);
        }
    }
}

/// Whether the response to an order may not reach its sender.
fn may_lose_refusals(records: &RunRecords<'_>, at: Duration) -> bool {
    let mut faults = records.schedule.faults.iter().filter(|fault| {
        matches!(fault.kind, FaultKind::AnswersLost | FaultKind::AnswersGarbled | FaultKind::ServerDark)
    });
    faults.any(|fault| fault.start <= at + REFUSAL_MARGIN && at <= fault.end())
}
