//! Consistent-hash ring of monitors.

use std::net::SocketAddr;

/// The number of points (virtual nodes) of each monitor on the ring. With 9 monitors the largest share is
/// about 1.3 times the mean.
pub const POINTS_PER_MONITOR: u32 = 64;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A consistent-hash ring of monitors, each at several points (Karger et al., Consistent Hashing and Random
/// Trees, STOC 1997).
///
/// When a monitor joins or leaves, only the nodes whose next point was or becomes its own are moved. Every
/// process that knows the same monitors computes the same ring.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HashRing {
    /// The points, sorted by hash.
    points: Vec<(u64, SocketAddr)>,
    monitor_count: usize,
}

impl HashRing {
    /// Creates the ring of `monitors`; their order and duplicates do not matter.
    pub fn new(monitors: &[SocketAddr]) -> Self {
        let mut monitors = monitors.to_vec();
        monitors.sort_unstable();
        monitors.dedup();
        let mut points: Vec<_> = monitors.iter().flat_map(|monitor| points_of(*monitor)).collect();
        points.sort_unstable();
        Self { points, monitor_count: monitors.len() }
    }

    /// Returns the first `max_count` distinct monitors from the node's hash onwards; fewer if the ring has
    /// fewer. The first is the node's home monitor; the others take over in this order.
    pub fn monitors_of(&self, node: &str, max_count: usize) -> Vec<SocketAddr> {
        let count = max_count.min(self.monitor_count);
        let node_hash = hash(node.as_bytes());
        let start = self.points.partition_point(|(point, _)| *point < node_hash);
        let (before, from) = self.points.split_at(start);
        let mut monitors = Vec::with_capacity(count);
        for (_, monitor) in from.iter().chain(before) {
            if monitors.len() == count {
                break;
            }
            if !monitors.contains(monitor) {
                monitors.push(*monitor);
            }
        }
        monitors
    }

    /// Returns the number of monitors on the ring.
    pub fn len(&self) -> usize {
        self.monitor_count
    }

    /// Returns whether the ring has no monitors.
    pub fn is_empty(&self) -> bool {
        self.monitor_count == 0
    }
}

fn points_of(monitor: SocketAddr) -> impl Iterator<Item = (u64, SocketAddr)> {
    (0..POINTS_PER_MONITOR).map(move |point| (hash(format!("{monitor}#{point}").as_bytes()), monitor))
}

/// Hashes with FNV-1a followed by the finaliser of SplitMix64, since FNV-1a alone spreads short, similar
/// names badly.
///
/// The function is defined here because every process must compute the same value, also across releases of
/// the standard library.
fn hash(bytes: &[u8]) -> u64 {
    let folded =
        bytes.iter().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    let mixed = (folded ^ (folded >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
