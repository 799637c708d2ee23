//! Applies updates of the endpoint list.

use crate::balancer::Balancer;
use crate::server::{Server, ServerKey};
use lugwharf_protocol::{ServerDelta, ServerEntry, TablePosition};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

impl Balancer {
    /// Applies an update of the endpoint list unless it is older than the list in use, or does not follow it;
    /// returns whether it was applied. An update without a base comes from an agent of an earlier version, which
    /// computes it for the position that the proxy reported. A server keeps its measurements while it is listed with the same service and address; a change
    /// of stage clears its latencies.
    pub fn apply(&mut self, now: Duration, delta: &ServerDelta) -> bool {
        let has_gap = delta.base.is_some() && !delta.completes(self.position);
        if delta.position < self.position || has_gap {
            return false;
        }
        if delta.is_full {
            self.remove_unlisted(&delta.entries);
        }
        for id in &delta.removed {
            self.remove(id);
        }
        for entry in &delta.entries {
            self.upsert(now, entry);
        }
        self.position = delta.position;
        true
    }

    /// Returns the position of the list in its history; it never decreases.
    pub fn position(&self) -> TablePosition {
        self.position
    }

    /// Returns whether any server is listed.
    pub fn has_servers(&self) -> bool {
        !self.servers.is_empty()
    }

    /// Returns the keys of all listed servers, in no particular order.
    pub fn server_keys(&self) -> impl Iterator<Item = ServerKey> + '_ {
        self.servers.keys().copied()
    }

    fn remove_unlisted(&mut self, entries: &[ServerEntry]) {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        let unlisted: Vec<Rc<str>> =
            self.by_id.keys().filter(|id| !listed.contains(&***id)).cloned().collect();
        for id in unlisted {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else { return };
        let Some(server) = self.servers.remove(&key) else { return };
        if let Some(pool) = self.services.get_mut(server.entry.service.as_str()) {
            pool.servers.retain(|other| *other != key);
        }
    }

    fn upsert(&mut self, now: Duration, entry: &ServerEntry) {
        let zone = self.intern_zone(&entry.zone);
        if let Some(key) = self.by_id.get(entry.id.as_str()).copied() {
            let server = self.servers.get_mut(&key);
            let is_same_endpoint = |server: &&mut Server| {
                server.entry.service == entry.service && server.entry.address == entry.address
            };
            if let Some(server) = server.filter(is_same_endpoint) {
                return server.update(entry.clone(), zone);
            }
            // Latency, load and connections belong to an address and a service, so an id that is listed with
            // another address or service starts without state.
            self.remove(&entry.id);
        }
        self.insert(now, entry, zone);
    }

    fn insert(&mut self, now: Duration, entry: &ServerEntry, zone: Rc<str>) {
        let key = ServerKey(self.next_key);
        self.next_key = self.next_key.wrapping_add(1);
        let server = Server::new(entry.clone(), zone, now);
        self.by_id.insert(server.id.clone(), key);
        self.servers.insert(key, server);
        self.pool_mut(&entry.service).servers.push(key);
    }

    /// Returns the shared string for a zone name. Zones are few and repeat, so each name is stored once.
    fn intern_zone(&mut self, name: &str) -> Rc<str> {
        if let Some(zone) = self.zones.get(name) {
            return zone.clone();
        }
        let zone: Rc<str> = Rc::from(name);
        self.zones.insert(zone.clone());
        zone
    }
}
