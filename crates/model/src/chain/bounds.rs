//! The bounds of a search of the chain model.

use super::collections::SmallSet;
use super::view::{CHANGE_COUNT, Chain, MAX_VIEWS};

/// A configuration change that operators submit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Change {
    /// The version that the change is based on; 0 for none.
    pub base: u8,
    /// The version that the change creates.
    pub version: u8,
}

/// Limits the states that a search visits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// The changes that operators submit, any number of times, to any replica that serves as the head. A
    /// change that is based on another is submitted only after the other has been acknowledged.
    pub changes: [Change; CHANGE_COUNT],
    /// How many of `changes` are submitted, counted from the first.
    pub change_count: u8,
    /// The chain of the first view, which serves initially. The members of that view are machines 0, 1 and 2.
    pub initial_chain: Chain,
    /// The maximum number of proposals for the second view and for the third.
    pub max_proposals: [u8; MAX_VIEWS - 1],
    /// The maximum number of reads and rejections, in total, that need a majority to confirm the view.
    pub max_confirmations: u8,
    /// The machines that may propose.
    pub proposers: SmallSet,
    /// The maximum length of a proposed chain, in replicas.
    pub max_chain_length: usize,
    /// The machines that may restart. At most one of them restarts in a run, once, and loses its unsynced
    /// records.
    pub crashing_machines: SmallSet,
    /// Whether one machine may lose its disk.
    pub may_lose_disk: bool,
    /// Whether one member may leave permanently.
    pub may_leave: bool,
    /// Whether the learner may replace a member.
    pub may_add_learner: bool,
}
