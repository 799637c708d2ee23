//! The endpoints of those servers on the server list that take requests.

use crate::events::ListUpdate;
use crate::pool::{Endpoint, Pool};
use lugwharf_sidecar::api::{Availability, ServerId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

/// A server that takes requests.
struct ReadyServer {
    /// The start of the server as the list reports it. Another start means another process, which inherits no
    /// connection.
    started_at: Option<Duration>,
    endpoint: Arc<Endpoint>,
}

/// The endpoints by server.
pub(super) struct EndpointTable {
    pool: Pool,
    servers: HashMap<ServerId, ReadyServer>,
}

impl EndpointTable {
    pub(super) fn new(pool: Pool) -> Self {
        EndpointTable { pool, servers: HashMap::new() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub(super) fn get(&self, server: ServerId) -> Option<Arc<Endpoint>> {
        self.servers.get(&server).map(|ready| ready.endpoint.clone())
    }

    /// Applies an update of the server list. Servers that are missing from a complete list are removed.
    pub(super) fn apply(&mut self, update: &ListUpdate) {
        let mut listed = HashSet::new();
        for member in &update.members {
            let (server, started_at) = (member.entry.server, member.entry.started_at);
            let is_ready = member.entry.availability == Availability::Ready;
            listed.insert(server);
            let is_same = self.servers.get(&server).is_some_and(|ready| {
                is_ready && ready.started_at == started_at && ready.endpoint.address == member.address
            });
            if is_same {
                continue;
            }
            self.close(server);
            if is_ready {
                let endpoint = self.pool.endpoint(member.address);
                self.servers.insert(server, ReadyServer { started_at, endpoint });
            }
        }
        if update.is_complete {
            let removed: Vec<ServerId> =
                self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
            removed.into_iter().for_each(|id| self.close(id));
        }
    }

    /// Removes a server and closes its endpoint: no new attempt uses it, nor one that still waits for a
    /// connection.
    fn close(&mut self, server: ServerId) {
        if let Some(ready) = self.servers.remove(&server) {
            ready.endpoint.close();
        }
    }
}
