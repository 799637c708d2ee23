//! The events of a simulation, and their queue.

use super::fault::Fault;
use super::network::Envelope;
use lugwharf_chain::{BatchId, OperatorRequestId, OperatorResponse};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// An event at a point in virtual time.
///
/// An event for a process names the incarnation of the process, and is dropped if that process has ended
/// meanwhile.
#[derive(Debug)]
pub enum SimulationEvent {
    /// A process starts on a machine.
    Boot {
        node: usize,
    },
    Tick {
        node: usize,
        incarnation: u64,
    },
    /// A message arrives.
    Deliver(Envelope),
    /// A process is notified that its connection to a peer was closed.
    LinkDown {
        node: usize,
        incarnation: u64,
        peer: usize,
    },
    /// A disk completes a write.
    WriteDone {
        node: usize,
        incarnation: u64,
        batch: BatchId,
    },
    Fault(Fault),
    /// Checks a process that leaves gracefully. The process ends if it is no longer in the chain, or at the
    /// deadline.
    CheckLeave {
        node: usize,
        incarnation: u64,
        deadline: Duration,
        restart_after: Option<Duration>,
    },
    /// A client starts a call, or attempts its current call again.
    WakeClient {
        client: usize,
        generation: u64,
    },
    /// An attempt of a client has timed out.
    AttemptTimeout {
        client: usize,
        id: OperatorRequestId,
    },
    /// A response arrives at a client.
    Response {
        client: usize,
        id: OperatorRequestId,
        response: OperatorResponse,
    },
}

/// An event with its position in the order of events: by time, then by the order of scheduling.
struct ScheduledEvent {
    at: Duration,
    sequence: u64,
    event: SimulationEvent,
}

impl ScheduledEvent {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.key() == other.key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// The queue of future events.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at a point in virtual time.
    pub fn push(&mut self, at: Duration, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Removes and returns the next event and its time, if the event happens no later than `end`.
    pub fn pop_until(&mut self, end: Duration) -> Option<(Duration, SimulationEvent)> {
        let Reverse(next) = self.events.peek()?;
        if next.at > end {
            return None;
        }
        self.events.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
