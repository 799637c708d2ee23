//! Links between simulated machines: messages arrive in order, delayed, or not at all; a link is cut in one direction or both.

use lugwharf_chain::Message;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The shortest delay of a message, in microseconds.
const MIN_DELAY_US: u64 = 100;
/// The longest delay of a message is at least this, in microseconds.
const MIN_MAX_DELAY_US: u64 = 200;

/// A link between two machines, in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

impl Link {
    /// The links of two machines, in both directions.
    pub fn both(one: usize, other: usize) -> [Link; 2] {
        [Link { from: one, to: other }, Link { from: other, to: one }]
    }

    /// Whether it begins or ends at a machine.
    pub fn touches(&self, node: usize) -> bool {
        self.from == node || self.to == node
    }
}

/// What happens to messages on a cut link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutMode {
    /// They are dropped.
    Drop,
    /// They arrive once the link is healed, as from a connection that has not broken.
    Delay,
}

/// A message in flight.
#[derive(Clone, Debug)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    /// The process that it was sent to: one that is started later has other connections.
    pub to_incarnation: u64,
    pub message: Message,
}

/// The links of all machines.
#[derive(Default)]
pub struct Network {
    cuts: BTreeMap<Link, CutMode>,
    /// Messages on links that were cut with [`CutMode::Delay`].
    delayed: BTreeMap<Link, Vec<Envelope>>,
    /// When the last message of a link arrives; later ones do not overtake it.
    last_arrival: BTreeMap<Link, Duration>,
    /// One message in this many is lost; 0 for none.
    pub message_lost_one_in: u32,
    /// The longest delay of a message, in microseconds.
    max_delay_us: u64,
}

impl Network {
    /// Links that are all up.
    pub fn new(max_delay: Duration) -> Network {
        Network { max_delay_us: max_delay.as_micros() as u64, ..Network::default() }
    }

    /// When a message arrives, with the message, unless it is lost or delayed by a cut.
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

    /// Cuts a link.
    pub fn cut(&mut self, link: Link, mode: CutMode) {
        self.cuts.insert(link, mode);
    }

    /// Whether a link is cut.
    pub fn is_cut(&self, link: Link) -> bool {
        self.cuts.contains_key(&link)
    }

    /// Heals all links but those of some machines. Returns the messages that were delayed.
    pub fn heal(&mut self, except: &BTreeSet<usize>) -> Vec<Envelope> {
        let stays_cut = |link: &Link| except.contains(&link.from) || except.contains(&link.to);
        self.cuts.retain(|link, _| stays_cut(link));
        let links: Vec<Link> = self.delayed.keys().copied().filter(|link| !stays_cut(link)).collect();
        links.into_iter().filter_map(|link| self.delayed.remove(&link)).flatten().collect()
    }

    /// Resets the connections of a machine: its delayed messages are lost.
    pub fn reset_connections(&mut self, node: usize) {
        self.delayed.retain(|link, _| link.from != node);
    }
}
