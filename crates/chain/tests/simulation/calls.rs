//! The operators of the world: their wishes, tries and patience.

use crate::operator::{Call, Wish, pause_before};
use crate::oracle::Order;
use crate::world::{Happening, World};
use lugwharf_chain::{Event, OperatorRequestId, OperatorResponse};
use std::collections::BTreeSet;
use std::time::Duration;

/// An operator moves on after a second of silence.
const PATIENCE: Duration = Duration::from_secs(1);
/// One answer in this many is lost on its way while there is trouble.
const LOSES_ANSWER_ONE_IN: u32 = 8;

impl World {
    /// Lets an operator begin a call now, in place of what it does.
    pub fn begin(&mut self, operator: usize, wish: Wish, must_end_by: Option<Duration>) {
        let (tried, begun) = (BTreeSet::new(), self.now);
        let call =
            Call { wish, ticket: None, node: 0, only: Vec::new(), tried, tries: 0, begun, must_end_by };
        self.operators[operator].call = Some(call);
        self.retry_after(operator, Duration::ZERO);
    }

    /// Lets an operator begin a call now that must end in time, at some machines only.
    pub fn begin_at(&mut self, operator: usize, wish: Wish, end: Duration, nodes: &[usize]) {
        self.begin(operator, wish, Some(end));
        if let Some(call) = self.operators[operator].call.as_mut() {
            call.only = nodes.to_vec();
        }
    }

    /// A change on the newest version that an operator can know of.
    pub fn fresh_order(&mut self, base: u64) -> Order {
        self.orders += 1;
        let version = base + self.rng.u64(1..4);
        let length = self.rng.usize(8..400);
        let mut bytes = vec![b'x'; length];
        bytes.extend(self.orders.to_le_bytes());
        Order { version, base, bytes: bytes.into() }
    }

    /// A valid change on the newest acknowledged version.
    pub fn proper_change(&mut self) -> Wish {
        let base = self.oracle.current();
        let order = self.fresh_order(base);
        Wish::Submit { acked_base: self.oracle.was_acked(base), order }
    }

    fn retry_after(&mut self, operator: usize, pause: Duration) {
        self.operators[operator].generation += 1;
        let generation = self.operators[operator].generation;
        self.schedule(pause, Happening::Wake { operator, generation });
    }

    pub fn wake(&mut self, operator: usize, generation: u64) {
        if self.operators[operator].generation != generation {
            return;
        }
        if self.operators[operator].call.is_none() {
            if !self.busy {
                return;
            }
            let wish = self.draw_wish(operator);
            return self.begin(operator, wish, None);
        }
        self.try_call(operator);
    }

    fn draw_wish(&mut self, operator: usize) -> Wish {
        let last = self.operators[operator].last_acked.clone();
        match self.rng.u32(..10) {
            0 => Wish::Read { at_least: self.oracle.newest_acked() },
            1 | 2 if last.is_some() => {
                let order = last.unwrap_or_else(|| self.fresh_order(0));
                Wish::Submit { acked_base: false, order }
            }
            3 => {
                // Outdated, or on a version that is not current.
                let mut order = self.fresh_order(self.oracle.current());
                order.version = self.oracle.current().saturating_sub(self.rng.u64(..3)).max(1);
                order.base = order.base.saturating_sub(self.rng.u64(..2));
                Wish::Submit { acked_base: self.oracle.was_acked(order.base), order }
            }
            _ => self.proper_change(),
        }
    }

    fn try_call(&mut self, operator: usize) {
        let Some(mut call) = self.operators[operator].call.take() else { return };
        let present = if call.only.is_empty() { self.present() } else { call.only.clone() };
        if call.must_end_by.is_some_and(|end| self.now > end) {
            return self.oracle.fail(format!("ACKS no answer to {:?} begun at {:?}", call.wish, call.begun));
        }
        let others: Vec<usize> = present.iter().copied().filter(|node| !call.tried.contains(node)).collect();
        if others.is_empty() {
            call.tried.clear();
        }
        let node = *self.rng.choice(if others.is_empty() { &present } else { &others }).unwrap_or(&0);
        call.tried.insert(node);
        self.next_ticket += 1;
        let ticket = OperatorRequestId(self.next_ticket);
        call.ticket = Some(ticket);
        call.node = node;
        call.tries += 1;
        let event = match &call.wish {
            Wish::Submit { order, .. } => {
                let Order { version, base, bytes } = order.clone();
                Event::Submit { id: ticket, base, version, request_hash: None, bytes }
            }
            Wish::Read { .. } => Event::Read { id: ticket },
        };
        self.trace(|| format!("operator {operator} {ticket:?} at {node}: {:?}", summary(&call.wish)));
        let refused = !self.nodes[node].is_up();
        let tries = call.tries;
        self.operators[operator].call = Some(call);
        if refused {
            return self.retry_after(operator, pause_before(tries));
        }
        self.tickets.insert(ticket, operator);
        self.schedule(PATIENCE, Happening::Silence { operator, ticket });
        let epoch = self.nodes[node].epoch;
        self.feed(node, epoch, event);
    }

    pub fn silence(&mut self, operator: usize, ticket: OperatorRequestId) {
        let Some(call) = self.operators[operator].call.as_mut().filter(|call| call.ticket == Some(ticket))
        else {
            return;
        };
        call.ticket = None;
        let node = call.node;
        if self.rng.bool() {
            let epoch = self.nodes[node].epoch;
            self.feed(node, epoch, Event::Cancel { id: ticket });
        }
        self.retry_after(operator, Duration::ZERO);
    }

    pub fn carry_answer(&mut self, ticket: OperatorRequestId, answer: OperatorResponse) {
        let Some(operator) = self.tickets.remove(&ticket) else { return };
        self.trace(|| format!("{ticket:?} -> {answer:?}"));
        // What the process said counts even if it is lost on its way.
        if self.busy && self.rng.u32(..LOSES_ANSWER_ONE_IN) == 0 {
            return;
        }
        let delay = Duration::from_micros(self.rng.u64(100..3_000));
        self.schedule(delay, Happening::Answer { operator, ticket, answer });
    }

    pub fn answered(&mut self, operator: usize, ticket: OperatorRequestId, answer: OperatorResponse) {
        let current = self.operators[operator].call.as_ref().and_then(|call| call.ticket);
        if current != Some(ticket) {
            return;
        }
        let Some(call) = self.operators[operator].call.take() else { return };
        if answer == OperatorResponse::Unavailable {
            let tries = call.tries;
            self.operators[operator].call = Some(Call { ticket: None, ..call });
            return self.retry_after(operator, pause_before(tries));
        }
        self.judge(operator, &call, answer);
        let pause = Duration::from_millis(self.rng.u64(10..600));
        self.retry_after(operator, pause);
    }

    fn judge(&mut self, operator: usize, call: &Call, answer: OperatorResponse) {
        match (&call.wish, answer) {
            (Wish::Submit { order, .. }, OperatorResponse::Accepted { version })
                if version == order.version =>
            {
                self.oracle.saw_ack(order);
                self.operators[operator].last_acked = Some(order.clone());
                self.acknowledged();
            }
            (Wish::Submit { order, acked_base }, OperatorResponse::Conflict { .. }) => {
                self.oracle.saw_conflict(order, *acked_base);
            }
            (Wish::Submit { order, .. }, OperatorResponse::StaleVersion { .. }) => {
                self.oracle.saw_outdated(order)
            }
            (Wish::Read { at_least }, OperatorResponse::Config(config)) => {
                self.oracle.saw_read(config.as_ref(), *at_least);
            }
            (wish, answer) => self.oracle.fail(format!("{answer:?} to {wish:?}")),
        }
    }

    fn acknowledged(&mut self) {
        let faults = std::mem::take(&mut self.after_ack);
        self.schedule_faults(faults);
    }
}

fn summary(wish: &Wish) -> String {
    match wish {
        Wish::Submit { order, .. } => format!("submit {} on {}", order.version, order.base),
        Wish::Read { at_least } => format!("read {at_least}"),
    }
}
