//! What happens in a simulation, and the queue of it.

use super::fault::Fault;
use super::network::Envelope;
use lugwharf_chain::{BatchId, OperatorRequestId, OperatorResponse};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

/// Something that happens at a moment of virtual time.
///
/// An event for a process names its incarnation: it is dropped if the process has ended meanwhile.
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
    /// A process learns that its connection to a peer broke.
    LinkDown {
        node: usize,
        incarnation: u64,
        peer: usize,
    },
    /// A disk has finished a write.
    WriteDone {
        node: usize,
        incarnation: u64,
        batch: BatchId,
    },
    Fault(Fault),
    /// A process that leaves gracefully is looked at: it ends if it is left out of the view, or at the deadline.
    CheckDeparture {
        node: usize,
        incarnation: u64,
        deadline: Duration,
        restart_after: Option<Duration>,
    },
    /// A client starts a call, or attempts its call again.
    WakeClient {
        client: usize,
        generation: u64,
    },
    /// An attempt of a client was not answered in time.
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

/// An event with its place in the order of events: by time, then by when it was scheduled.
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

/// The events to come.
#[derive(Default)]
pub struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Adds an event at a moment of virtual time.
    pub fn push(&mut self, at: Duration, event: SimulationEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Takes the next event and its time, if it happens at `end` or before.
    pub fn pop_until(&mut self, end: Duration) -> Option<(Duration, SimulationEvent)> {
        let Reverse(next) = self.events.peek()?;
        if next.at > end {
            return None;
        }
        self.events.pop().map(|Reverse(next)| (next.at, next.event))
    }
}
