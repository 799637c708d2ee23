//! Links between simulated machines. Messages arrive in order, delayed, or not at all. A link can be cut in
//! one or both directions.

use lugwharf_chain::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The minimum delay of a message, in microseconds.
const MIN_DELAY_US: u64 = 100;
/// The lower bound on the maximum delay of a message, in microseconds.
const MIN_MAX_DELAY_US: u64 = 200;

/// A unidirectional link between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

impl Link {
    /// The links between two machines, in both directions.
    pub fn both(one: usize, other: usize) -> [Link; 2] {
        [Link { from: one, to: other }, Link { from: other, to: one }]
    }

    /// Whether the link begins or ends at a machine.
    pub fn touches(&self, node: usize) -> bool {
        self.from == node || self.to == node
    }
}

/// The treatment of messages on a cut link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutMode {
    /// Messages are dropped.
    Drop,
    /// Messages arrive once the link is healed, as on a connection that was not closed.
    Delay,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    /// The incarnation of the receiving process. A process that is started later has other connections.
    pub to_incarnation: u64,
    pub message: Message,
}

/// The links between all machines.
#[derive(Default)]
pub struct Network {
    cuts: BTreeMap<Link, CutMode>,
    /// The messages on links that are cut with [`CutMode::Delay`].
    delayed: BTreeMap<Link, Vec<Envelope>>,
    /// The arrival time of the last message of each link. Later messages do not overtake it.
    last_arrival: BTreeMap<Link, Duration>,
    /// One message in this many is lost. 0 for no losses.
    pub message_lost_one_in: u32,
    /// The maximum delay of a message, in microseconds.
    max_delay_us: u64,
}

impl Network {
    /// Creates a network in which all links are up.
    pub fn new(max_delay: Duration) -> Network {
        Network { max_delay_us: max_delay.as_micros() as u64, ..Network::default() }
    }

    /// Returns the arrival time of a message and the message, or `None` if the message is lost or delayed by
    /// a cut.
    pub fn route(
        &mut self, now: Duration, envelope: Envelope, rng: &mut fastrand::Rng,
    ) -> Option<(Duration, Envelope)> {
        let link = Link { from: envelope.from, to: envelope.to };
        match self.cuts.get(&link) {
            Some(CutMode::Drop) => return None,
            Some(CutMode::Delay) => {
                self.delayed.entry(link).or_default().push(envelope);
                return None;
            }
            None => {}
        }
        if self.message_lost_one_in > 0 && rng.u32(..self.message_lost_one_in) == 0 {
            return None;
        }
        let delay = Duration::from_micros(rng.u64(MIN_DELAY_US..self.max_delay_us.max(MIN_MAX_DELAY_US)));
        let last = self.last_arrival.entry(link).or_default();
        let at = (now + delay).max(*last);
        *last = at;
        Some((at, envelope))
    }

    pub fn cut(&mut self, link: Link, mode: CutMode) {
        self.cuts.insert(link, mode);
    }

    pub fn is_cut(&self, link: Link) -> bool {
        self.cuts.contains_key(&link)
    }

    /// Heals all links except those of some machines. Returns the delayed messages.
    pub fn heal(&mut self, except: &BTreeSet<usize>) -> Vec<Envelope> {
        let stays_cut = |link: &Link| except.contains(&link.from) || except.contains(&link.to);
        self.cuts.retain(|link, _| stays_cut(link));
        let links: Vec<Link> = self.delayed.keys().copied().filter(|link| !stays_cut(link)).collect();
        links.into_iter().filter_map(|link| self.delayed.remove(&link)).flatten().collect()
    }

    /// Closes the connections of a machine. The delayed messages that it has sent are lost.
    pub fn reset_connections(&mut self, node: usize) {
        self.delayed.retain(|link, _| link.from != node);
    }
}
