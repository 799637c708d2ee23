//! The identity of a member of the control plane.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member: its address and its disk. A machine with a new disk is a different member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The peer address of the process.
    pub address: SocketAddr,
    /// A random number, generated when the disk was empty.
    pub disk: u64,
}
