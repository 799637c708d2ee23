//! The identity of a member of the control plane.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a member: an address together with a disk. A machine with a new disk is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId {
    /// The peer address of the process.
    pub address: SocketAddr,
    /// Drawn at random when the disk was empty.
    pub disk: u64,
}
