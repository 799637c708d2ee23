//! Messages exchanged over loopback between an agent and the proxy on the same machine.

use crate::agent::{ServiceLoad, Update, VersionVector};
use serde::{Deserialize, Serialize};

/// A message from the agent to its proxy. The enum has a single variant so that the variant's name is encoded
/// and further variants can be added.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub enum FeedMessage {
    /// Everything newer than the proxy's version vector. The first update on a connection answers the proxy's
    /// [`ProxyReport`].
    Update(Update),
}

/// A message from the proxy to its agent. The proxy sends one on each new connection, after applying each
/// update, and once per second.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct ProxyReport {
    /// The versions that the proxy has applied.
    pub have: VersionVector,
    /// The proxy's requests in flight at each model service.
    pub loads: Vec<ServiceLoad>,
}
