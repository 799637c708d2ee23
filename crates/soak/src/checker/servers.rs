//! Checks of draining servers, and of the stage orders that servers received.

use super::records::{DrainedServer, RunRecords};
use crate::fault::{FaultKind, ScheduledFault};
use crate::finding::Finding;
use lugwharf_emulator::request_log::ReceivedOrder;
use std::collections::BTreeMap;
use std::time::Duration;

/// The time after which a draining server must receive no request: `DrainMs` of the fleet's settings (3,000
/// ms) plus a margin for the lag of the list and for delays of the harness.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(3_300);
/// `ContactMs` of the fleet's settings, plus a margin for delays of the harness: how long after a fault a
/// machine is in touch again, and bound by the list.
const CONTACT_TIME: Duration = Duration::from_millis(3_300);
/// The maximum time in which an order may still arrive that was in transit when its sender learned that a
/// server had refused its token.
const REFUSAL_MARGIN: Duration = Duration::from_millis(1_000);
/// The maximum number of orders to one server in a run without faults: one that changes its stage, and one
/// that changes it back.
const MAX_ORDERS_PER_SERVER: usize = 2;

/// Runs all checks of this module.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    check_draining_servers(records, found);
    check_orders(records, found);
    check_refused_tokens(records, found);
}

/// Checks that no request reaches a server long after it was listed as draining, unless the machines may not
/// have been in touch when it arrived.
fn check_draining_servers(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let arrivals = records.request_log.arrivals();
    for drained in records.drained_servers {
        let deadline = listed_since(records, drained) + DRAIN_TIMEOUT;
        let mut late = arrivals.iter().filter(|arrival| {
            arrival.at > deadline && arrival.instance == drained.instance && is_in_touch(records, arrival.at)
        });
        let Some(late) = late.next() else { continue };
        let (id, since, at) = (&drained.instance, drained.since.as_millis(), late.at.as_millis());
        let facts = format!("{id} has been draining since {since} ms, but received a request at {at} ms");
        found.push(Finding { rule: "drain", facts });
    }
}

/// When the platform's list shows that a server drains: not while the platform can't be reached.
fn listed_since(records: &RunRecords<'_>, drained: &DrainedServer) -> Duration {
    let is_platform = |fault: &&ScheduledFault| {
        matches!(fault.kind, FaultKind::PlatformBlackhole | FaultKind::PlatformReset)
    };
    let faults = records.schedule.faults.iter().filter(is_platform);
    // The faults are ordered by their start, so that one that follows another is taken into account.
    faults.fold(drained.since, |since, fault| {
        if fault.start <= since + DRAIN_TIMEOUT { since.max(fault.end()) } else { since }
    })
}

/// Whether no fault that may delay the list was active at a time or for [`CONTACT_TIME`] before it.
fn is_in_touch(records: &RunRecords<'_>, at: Duration) -> bool {
    let mut faults = records.schedule.faults.iter().filter(|fault| fault.kind.delays_server_lists());
    !faults.any(|fault| fault.start < at && fault.end() + CONTACT_TIME > at)
}

/// The sender of an order, as named in the body of the order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderSender {
    token: u64,
    holder: String,
}

impl OrderSender {
    /// The sender that an order names; `None` if the body is malformed.
    fn of(order: &ReceivedOrder) -> Option<OrderSender> {
        let body: serde_json::Value = serde_json::from_str(&order.body).ok()?;
        let (token, holder) = (body["Fence"].as_u64()?, body["Holder"].as_str()?);
        Some(OrderSender { token, holder: holder.to_owned() })
    }
}

/// Checks that each fencing token has one holder, and that without faults no server is repeatedly ordered to
/// change its stage.
fn check_orders(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut holder_by_token: BTreeMap<u64, String> = BTreeMap::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for order in records.request_log.orders() {
        let Some(OrderSender { token, holder }) = OrderSender::of(&order) else {
            found.push(Finding { rule: "order", facts: format!("malformed order: {}", order.body) });
            continue;
        };
        let first_holder = holder_by_token.entry(token).or_insert_with(|| holder.clone());
        if *first_holder != holder {
            found.push(Finding {
                rule: "order",
                facts: format!("token {token} was used by two holders, {first_holder} and {holder}"),
            });
        }
        *counts.entry(order.instance).or_default() += 1;
    }
    if records.schedule.faults.is_empty() {
        for (id, count) in counts.into_iter().filter(|(_, count)| *count > MAX_ORDERS_PER_SERVER) {
            found.push(Finding { rule: "to_and_fro", facts: format!("{count} orders to {id}") });
        }
    }
}

/// Checks that a sender whose token a server has refused, because the server had received a higher token,
/// sends no more orders under the refused token to any server.
fn check_refused_tokens(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let mut seen_tokens: BTreeMap<String, u64> = BTreeMap::new();
    let mut refused_at: BTreeMap<OrderSender, Duration> = BTreeMap::new();
    for order in records.request_log.orders() {
        let Some(sender) = OrderSender::of(&order) else { continue };
        let is_refusal_known = refused_at.get(&sender).is_some_and(|at| order.at > *at + REFUSAL_MARGIN);
        if is_refusal_known {
            let OrderSender { token, holder } = &sender;
            let facts = format!(
                "{holder} sent an order to {} under token {token}, which was refused",
                order.instance
            );
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

/// Whether a fault may have prevented the response to an order at a given time from reaching the sender.
fn may_lose_refusals(records: &RunRecords<'_>, at: Duration) -> bool {
    let mut faults = records.schedule.faults.iter().filter(|fault| {
        matches!(
            fault.kind,
            FaultKind::ResponsesLost | FaultKind::ResponsesMalformed | FaultKind::ServerBlackhole
        )
    });
    faults.any(|fault| fault.start <= at + REFUSAL_MARGIN && at <= fault.end())
}
