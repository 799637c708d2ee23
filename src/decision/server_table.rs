//! The table of servers, with indexes for selection.

use super::server::{Health, InFlightAttempt, Locality, Server};
use super::time::to_ms;
use crate::api::{Availability, RequestId, ServerEntry, ServerId};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// A server that may still be warming up, with its start time.
pub(crate) struct WarmingUp {
    pub(crate) id: ServerId,
    pub(crate) started_at_ms: f64,
}

/// All servers that are on the list or still have attempts in flight. A server that has left the list is
/// removed once its attempts have ended, so the size of the table stays bounded.
pub(crate) struct ServerTable {
    /// The zone of this sidecar.
    zone: u16,
    /// The time for which a server warms up.
    ramp_time_ms: f64,
    by_id: BTreeMap<ServerId, Server>,
    /// Servers that accept requests, sorted by id.
    ready: Vec<ServerId>,
    /// The servers of `ready` in the zone of this sidecar, sorted by id.
    ready_in_zone: Vec<ServerId>,
    warming_up: Vec<WarmingUp>,
    ejected: BTreeSet<ServerId>,
}

/// Inserts an id into a sorted list, or removes the id from it.
fn set_membership(list: &mut Vec<ServerId>, id: ServerId, is_member: bool) {
    match (list.binary_search(&id), is_member) {
        (Err(index), true) => list.insert(index, id),
        (Ok(index), false) => {
            list.remove(index);
        }
        _ => {}
    }
}

impl ServerTable {
    pub(crate) fn new(zone: u16, ramp_time_ms: f64) -> Self {
        ServerTable {
            zone,
            ramp_time_ms,
            by_id: BTreeMap::new(),
            ready: Vec::new(),
            ready_in_zone: Vec::new(),
            warming_up: Vec::new(),
            ejected: BTreeSet::new(),
        }
    }

    pub(crate) fn get(&self, id: ServerId) -> Option<&Server> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.by_id.get_mut(&id)
    }

    /// Returns the servers that accept requests, sorted by id.
    pub(crate) fn ready(&self) -> &[ServerId] {
        &self.ready
    }

    /// Returns the servers in the zone of this sidecar that accept requests, sorted by id.
    pub(crate) fn ready_in_zone(&self) -> &[ServerId] {
        &self.ready_in_zone
    }

    /// Returns the ready servers that may still be warming up.
    pub(crate) fn warming_up(&self) -> &[WarmingUp] {
        &self.warming_up
    }

    /// Returns the ejected servers, until they are readmitted or a list update makes them not ready.
    ///
    /// A server that was already not ready when it was ejected is included until it is readmitted or the next
    /// list update changes it. Removed servers are skipped.
    pub(crate) fn ejected(&self) -> impl Iterator<Item = &Server> {
        self.ejected.iter().filter_map(|id| self.by_id.get(id))
    }

    pub(crate) fn mark_ejected(&mut self, id: ServerId) {
        self.ejected.insert(id);
    }

    pub(crate) fn mark_readmitted(&mut self, id: ServerId) {
        self.ejected.remove(&id);
    }

    /// Applies entries of the server list. Servers that are missing from a complete list become
    /// [`Availability::Gone`].
    pub(crate) fn apply(&mut self, is_complete: bool, entries: Vec<ServerEntry>, now_ms: f64) {
        let mut changed: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        if is_complete {
            self.by_id.values_mut().for_each(|s| s.entry.availability = Availability::Gone);
            changed = self.by_id.keys().copied().chain(changed).collect();
        }
        for entry in entries {
            match self.by_id.get_mut(&entry.server) {
                Some(known) if known.entry.started_at == entry.started_at => known.entry = entry,
                Some(known) => known.restart(entry, now_ms),
                None => {
                    self.by_id.insert(entry.server, Server::new(entry, now_ms));
                }
            }
        }
        changed.into_iter().for_each(|id| self.update_indexes(id, now_ms));
    }

    fn update_indexes(&mut self, id: ServerId, now_ms: f64) {
        let Some(server) = self.by_id.get(&id) else { return };
        let is_ready = server.has_availability(Availability::Ready);
        let is_in_zone = server.entry.zone == self.zone;
        let is_healthy = server.health == Health::Healthy;
        let started_at_ms = server.entry.started_at.map(to_ms).filter(|_| is_ready);
        set_membership(&mut self.ready, id, is_ready);
        set_membership(&mut self.ready_in_zone, id, is_ready && is_in_zone);
        let warm_if_started_by_ms = now_ms - self.ramp_time_ms;
        self.warming_up.retain(|other| other.id != id && other.started_at_ms > warm_if_started_by_ms);
        let started_at_ms = started_at_ms.filter(|&started_at| started_at > warm_if_started_by_ms);
        self.warming_up.extend(started_at_ms.map(|started_at_ms| WarmingUp { id, started_at_ms }));
        if !is_ready || is_healthy {
            self.ejected.remove(&id);
        }
        self.remove_if_gone(id);
    }

    /// Removes an attempt that has ended from the attempts in flight at its server.
    ///
    /// Returns the locality whose concurrency window counts the attempt, so that the caller can release it
    /// there; `None` if the attempt was not in flight at this server. A server that has left the list is
    /// removed with its last attempt.
    pub(crate) fn remove_in_flight(
        &mut self, server_id: ServerId, request_id: RequestId, attempt_number: usize,
    ) -> Option<Locality> {
        let server = self.by_id.get_mut(&server_id)?;
        let is_same_attempt =
            |other: &InFlightAttempt| other.id == request_id && other.attempt_number == attempt_number;
        let index = server.in_flight.iter().position(is_same_attempt);
        let locality = index.map(|index| server.in_flight.remove(index).locality);
        self.remove_if_gone(server_id);
        locality
    }

    /// Removes a server if it has left the list and has no attempt in flight.
    fn remove_if_gone(&mut self, id: ServerId) {
        let is_gone =
            |server: &Server| server.has_availability(Availability::Gone) && server.in_flight.is_empty();
        if self.by_id.get(&id).is_some_and(is_gone) {
            self.by_id.remove(&id);
        }
    }

    #[cfg(test)]
    pub(crate) fn all(&self) -> impl ExactSizeIterator<Item = &Server> {
        self.by_id.values()
    }
}

/// Panics if the server is not in the table. Selection only uses ids of [`ServerTable::ready`], and no server
/// is removed between its selection and the recording of its attempt.
impl Index<ServerId> for ServerTable {
    type Output = Server;

    fn index(&self, id: ServerId) -> &Server {
        &self.by_id[&id]
    }
}
