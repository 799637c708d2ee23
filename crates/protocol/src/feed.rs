//! The messages between an agent and the proxy of the same machine, over loopback.

use crate::agent::{ServiceLoad, Update, VersionVector};
use serde::{Deserialize, Serialize};

/// A message from the agent to its proxy. It is an enum of one variant so that the variant's name is encoded and others may
/// be added.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum FeedMessage {
    /// What is newer than the proxy's version vector. The first one on a connection answers its [`ProxyReport`].
    Update(Update),
}

/// A message from the proxy to its agent. It is sent on each new connection, after each update was applied, and once a
/// second.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ProxyReport {
    /// What the proxy has applied.
    pub have: VersionVector,
    /// Its requests in flight at model services.
    pub loads: Vec<ServiceLoad>,
}
