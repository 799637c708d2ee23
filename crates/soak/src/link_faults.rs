//! Derives the state of the links between machines from the faults that are active.

use crate::fault::FaultKind;
use crate::fault_injection::ActiveFault;
use crate::fleet::Fleet;
use crate::link_proxy::{Link, LinkState};
use std::net::Ipv4Addr;
use std::time::Duration;

/// A partition takes the group of a node from one of so many bits of the fault's draws, by the node's index.
const PARTITION_BITS: usize = 6;
/// The latency of a slow pair, in ms, and what each unit of the fault's peer draw adds to it.
const MIN_DELAY_MS: u64 = 20;
const DELAY_STEP_MS: u64 = 4;

/// A state that a fault gives to a link.
struct LinkFault {
    link: Link,
    state: LinkState,
}

/// Sets all links to the states that the active faults give them. Of several faults on one link, the most severe wins.
pub fn apply_link_faults<'a>(fleet: &Fleet, active: impl Iterator<Item = &'a ActiveFault>) {
    fleet.links.open_all();
    let mut link_faults: Vec<LinkFault> = active.flat_map(|active| link_faults_of(fleet, active)).collect();
    link_faults.sort_by_key(|fault| severity(fault.state));
    for LinkFault { link, state } in link_faults {
        fleet.links.set(link, state);
    }
}

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

/// The links that a fault disturbs.
fn link_faults_of(fleet: &Fleet, active: &ActiveFault) -> Vec<LinkFault> {
    let address = |index: usize| fleet.cluster.control_bind_ip(index);
    let (node, peer) = (address(active.control_node), address(active.peer_control_node));
    let agent = fleet.cluster.front_bind_ip(active.front);
    let control_nodes = || active.control_nodes.iter().map(|index| address(*index));
    match active.fault.kind {
        FaultKind::PairSilent => both_ways(node, peer, LinkState::Blackholed).into(),
        FaultKind::PairReset => both_ways(node, peer, LinkState::Reset).into(),
        FaultKind::PairOneWay => vec![one_way(node, peer, LinkState::Blackholed)],
        FaultKind::PairSlow => {
            let delay = Duration::from_millis(MIN_DELAY_MS + DELAY_STEP_MS * active.fault.peer as u64);
            both_ways(node, peer, LinkState::Delayed(delay)).into()
        }
        FaultKind::Halves => partition(fleet, active),
        FaultKind::Mute => {
            let peers = control_nodes().filter(|peer| *peer != node);
            peers.map(|peer| one_way(node, peer, LinkState::Blackholed)).collect()
        }
        FaultKind::AgentSilent => both_ways(agent, node, LinkState::Blackholed).into(),
        FaultKind::AgentDeaf => {
            control_nodes().map(|from| one_way(from, agent, LinkState::Blackholed)).collect()
        }
        FaultKind::AgentReset => {
            control_nodes().flat_map(|to| both_ways(agent, to, LinkState::Reset)).collect()
        }
        _ => Vec::new(),
    }
}

/// Cuts the control nodes into two groups. Where the draws put all nodes into one, the node that is hit is alone in the other.
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
