//! The bounds of a search.

use super::collections::SmallSet;
use super::view::{CHANGE_COUNT, Chain, MAX_VIEWS};

/// A change that the operators send.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Change {
    /// The version that it builds on, 0 for none.
    pub base: u8,
    /// Its own version.
    pub version: u8,
}

/// How far a search goes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// What the operators send, any number of times, to any head. A change on another one is sent once that is acknowledged.
    pub changes: [Change; CHANGE_COUNT],
    /// How many of `changes` are sent, from the first on.
    pub change_count: u8,
    /// The chain of the first view, which serves; its members are the three founders.
    pub initial_chain: Chain,
    /// Proposals for the second view and for the third.
    pub max_proposals: [u8; MAX_VIEWS - 1],
    /// Reads and rejections that need a majority to confirm the view, in all.
    pub max_confirmations: u8,
    /// The machines that may propose.
    pub proposers: SmallSet,
    /// The length of the longest chain that is proposed, in replicas.
    pub max_chain_length: usize,
    /// At most one of these machines restarts, once, and loses what was not synced.
    pub crashing_machines: SmallSet,
    /// Whether one machine may lose its disk.
    pub may_wipe: bool,
    /// Whether one member may leave for good.
    pub may_leave: bool,
    /// Whether a newcomer may take the place of a member.
    pub may_add_newcomer: bool,
}
