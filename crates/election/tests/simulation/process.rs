//! A simulated process with its clock and disk.

use crate::world::DRIFT_PERCENT;
use fastrand::Rng;
use lugwharf_election::{Elector, Event, Lease};
use std::net::SocketAddr;
use std::time::Duration;

pub fn address(process: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + process as u16))
}

pub fn process_at(address: SocketAddr) -> usize {
    usize::from(address.port()) - 7_000
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct View {
    pub number: u64,
    pub members: Vec<usize>,
}

pub struct Process {
    pub elector: Option<Elector>,
    pub incarnation: u64,
    pub is_paused: bool,
    pub pending_events: Vec<Event>,
    /// The steady clock: its rate relative to true time, and its time at the start of the world.
    pub rate: f64,
    pub offset: Duration,
    pub log: Vec<Vec<u8>>,
    /// The records whose writes are in flight.
    pub unsynced: Vec<Vec<u8>>,
    /// The last view for whose successor the process has accepted and synced a proposal.
    pub sealed: u64,
    pub known_view: Option<View>,
    /// The view in which the disk was lost. The process votes only in later views.
    pub disk_lost_in: u64,
    pub disk_fails: bool,
    pub disk_stalls: bool,
    /// The maximum time for which an event waits for the processor, and the time until which the last event
    /// waits.
    pub max_event_delay: Duration,
    pub busy_until: Duration,
    /// The lease last reported by the elector's driver to its workers.
    pub reported_lease: Option<Lease>,
}

impl Process {
    pub fn new(random: &mut Rng) -> Self {
        let drift = f64::from(DRIFT_PERCENT) / 100.0;
        Self {
            elector: None,
            incarnation: 0,
            is_paused: false,
            pending_events: Vec::new(),
            rate: 1.0 + drift * (2.0 * random.f64() - 1.0),
            offset: Duration::from_secs(random.u64(..100_000)),
            log: Vec::new(),
            unsynced: Vec::new(),
            sealed: 0,
            known_view: None,
            disk_lost_in: 0,
            disk_fails: false,
            disk_stalls: false,
            max_event_delay: Duration::ZERO,
            busy_until: Duration::ZERO,
            reported_lease: None,
        }
    }

    pub fn clock(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(self.rate)
    }
}
