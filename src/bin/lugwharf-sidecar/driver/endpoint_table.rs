//! The endpoints of the servers on the list that take requests.

use crate::events::ListUpdate;
use crate::pool::{Endpoint, Pool};
use lugwharf_sidecar::api::{Availability, ServerId};
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

struct KnownServer {
    /// Its start as the list has it. Another start is another process, which inherits no connection.
    started: Option<Duration>,
    endpoint: Arc<Endpoint>,
}

pub(super) struct EndpointTable {
    pool: Pool,
    servers: HashMap<ServerId, KnownServer>,
}

impl EndpointTable {
    pub(super) fn new(pool: Pool) -> Self {
        EndpointTable { pool, servers: HashMap::new() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    pub(super) fn get(&self, server: ServerId) -> Option<Arc<Endpoint>> {
        self.servers.get(&server).map(|known| known.endpoint.clone())
    }

    /// Brings the endpoints up to date with the list. Servers that are missing from a complete one are gone.
    pub(super) fn apply(&mut self, update: &ListUpdate) {
        let mut listed = HashSet::new();
        for member in &update.members {
            let (server, started) = (member.entry.server, member.entry.started_at);
            let is_ready = member.entry.availability == Availability::Ready;
            listed.insert(server);
            let is_same = self.servers.get(&server).is_some_and(|known| {
                is_ready && known.started == started && known.endpoint.address == member.address
            });
            if is_same {
                continue;
            }
            self.close(server);
            if is_ready {
                let endpoint = self.pool.endpoint(member.address);
                self.servers.insert(server, KnownServer { started, endpoint });
            }
        }
        if update.is_complete {
            let gone: Vec<ServerId> =
                self.servers.keys().filter(|id| !listed.contains(id)).copied().collect();
            gone.into_iter().for_each(|id| self.close(id));
        }
    }

    /// Nothing new goes there, nor what waits for a connection to it.
    fn close(&mut self, server: ServerId) {
        if let Some(known) = self.servers.remove(&server) {
            known.endpoint.close();
        }
    }
}
