//! Derives the state of the links between machines from the faults that are active.

use crate::fault::FaultKind;
use crate::fault_injection::ActiveFault;
use crate::fleet::Fleet;
use crate::link_proxy::{Link, LinkState};
use std::net::Ipv4Addr;
use std::time::Duration;

/// The number of low bits of the drawn target and peer of a fault that determine a partition. The index of a
/// node selects the bit that is the group of the node.
const PARTITION_BITS: usize = 6;
/// The minimum latency of [`FaultKind::PairLatency`], in ms.
const MIN_DELAY_MS: u64 = 20;
/// The latency that each unit of [`ScheduledFault::peer`](crate::fault::ScheduledFault::peer) adds to
/// [`MIN_DELAY_MS`], in ms.
const DELAY_STEP_MS: u64 = 4;

/// A link, and the state that a fault sets it to.
struct LinkFault {
    link: Link,
    state: LinkState,
}

/// Sets all links to the states that the active faults require. If several faults affect one link, the most
/// severe state applies.
pub fn apply_link_faults<'a>(fleet: &Fleet, active: impl Iterator<Item = &'a ActiveFault>) {
    fleet.links.open_all();
    let mut link_faults: Vec<LinkFault> = active.flat_map(|active| link_faults_of(fleet, active)).collect();
    link_faults.sort_by_key(|fault| severity(fault.state));
    for LinkFault { link, state } in link_faults {
        fleet.links.set(link, state);
    }
}

/// The rank of a state among the states that several faults require of one link; the highest applies.
fn severity(state: LinkState) -> u8 {
    match state {
        LinkState::Open => 0,
        LinkState::Delayed(_) => 1,
        LinkState::Blackholed => 2,
        LinkState::Reset => 3,
    }
}

fn one_way(from: Ipv4Addr, to: Ipv4Addr, state: LinkState) -> LinkFault {
    LinkFault { link: Link { from, to }, state }
}

fn both_ways(one: Ipv4Addr, other: Ipv4Addr, state: LinkState) -> [LinkFault; 2] {
    [one_way(one, other, state), one_way(other, one, state)]
}

/// The links that a fault affects, with their states.
fn link_faults_of(fleet: &Fleet, active: &ActiveFault) -> Vec<LinkFault> {
    let address = |index: usize| fleet.cluster.control_bind_ip(index);
    let (node, peer) = (address(active.control_node), address(active.peer_control_node));
    let agent = fleet.cluster.front_bind_ip(active.front);
    let control_nodes = || active.control_nodes.iter().map(|index| address(*index));
    match active.fault.kind {
        FaultKind::PairBlackhole => both_ways(node, peer, LinkState::Blackholed).into(),
        FaultKind::PairReset => both_ways(node, peer, LinkState::Reset).into(),
        FaultKind::PairOneWayBlackhole => vec![one_way(node, peer, LinkState::Blackholed)],
        FaultKind::PairLatency => {
            let delay = Duration::from_millis(MIN_DELAY_MS + DELAY_STEP_MS * active.fault.peer as u64);
            both_ways(node, peer, LinkState::Delayed(delay)).into()
        }
        FaultKind::ControlPartition => partition(fleet, active),
        FaultKind::ControlOutboundBlackhole => {
            let peers = control_nodes().filter(|peer| *peer != node);
            peers.map(|peer| one_way(node, peer, LinkState::Blackholed)).collect()
        }
        FaultKind::AgentLinkBlackhole => both_ways(agent, node, LinkState::Blackholed).into(),
        FaultKind::AgentInboundBlackhole => {
            control_nodes().map(|from| one_way(from, agent, LinkState::Blackholed)).collect()
        }
        FaultKind::AgentReset => {
            control_nodes().flat_map(|to| both_ways(agent, to, LinkState::Reset)).collect()
        }
        _ => Vec::new(),
    }
}

/// Partitions the control nodes into two groups. If the draws put all nodes into one group, the affected node
/// is isolated from all others.
fn partition(fleet: &Fleet, active: &ActiveFault) -> Vec<LinkFault> {
    let bits = active.fault.target ^ active.fault.peer;
    let group = |index: usize| (bits >> (index % PARTITION_BITS)) & 1;
    let own_group = group(active.control_node);
    let is_undivided = active.control_nodes.iter().all(|index| group(*index) == own_group);
    let is_near =
        |index: usize| if is_undivided { index == active.control_node } else { group(index) == own_group };
    let (near, far): (Vec<usize>, Vec<usize>) =
        active.control_nodes.iter().copied().partition(|index| is_near(*index));
    let address = |index: usize| fleet.cluster.control_bind_ip(index);
    let mut link_faults = Vec::new();
    for near in near {
        for far in &far {
            link_faults.extend(both_ways(address(near), address(*far), LinkState::Blackholed));
        }
    }
    link_faults
}
