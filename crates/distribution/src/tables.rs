//! Tables of one process, and the version vector over them.

use crate::error::ApplyError;
use crate::server_table::ServerTable;
use lugwharf_protocol::{ConfigRecord, FleetSummary, ServerDelta, Update, VersionVector};
use std::sync::Arc;

/// All tables of one process: the configuration, the server table and the number of live proxies. The
/// versions of the first two never decrease.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    config: Option<Arc<ConfigRecord>>,
    servers: ServerTable,
    /// The number of live proxies; 0 while unknown.
    live_proxies: u32,
}

impl Tables {
    /// Creates empty tables.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the versions of this process's tables.
    pub fn version_vector(&self) -> VersionVector {
        VersionVector {
            config: self.config.as_ref().map_or(0, |config| config.version),
            servers: self.servers.position(),
            live_proxies: self.live_proxies,
        }
    }

    /// Replaces the configuration by a committed one if that is newer; returns whether it was.
    pub fn advance_config(&mut self, config: Arc<ConfigRecord>) -> bool {
        let is_newer = config.version > self.version_vector().config;
        if is_newer {
            self.config = Some(config);
        }
        is_newer
    }

    /// Returns the newest configuration.
    pub fn config(&self) -> Option<&Arc<ConfigRecord>> {
        self.config.as_ref()
    }

    /// Returns the server table.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// Returns the server table for its writer.
    pub fn servers_mut(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Returns the number of live proxies as last reported; 0 while unknown.
    pub fn live_proxies(&self) -> u32 {
        self.live_proxies
    }

    /// Sets the number of live proxies. 0 means unknown and leaves the last number in place.
    pub fn set_live_proxies(&mut self, live_proxies: u32) {
        if live_proxies > 0 {
            self.live_proxies = live_proxies;
        }
    }

    /// Returns the tables that a reader with the versions `have` is missing; `None` if there are none. The
    /// vector in the update holds the versions of the reader after it has applied the update.
    pub fn update_since(&self, have: &VersionVector) -> Option<Update> {
        let config = self.config.as_ref().filter(|config| config.version > have.config);
        let servers = self.servers.delta_since(have.servers);
        // The count has no version, since it may decrease as well as increase: a reader with any other count
        // gets this one.
        let has_different_count = self.live_proxies > 0 && self.live_proxies != have.live_proxies;
        if config.is_none() && servers.is_none() && !has_different_count {
            return None;
        }
        let fleet = has_different_count.then_some(FleetSummary { live_proxies: self.live_proxies });
        let vector = VersionVector {
            config: config.map_or(have.config, |config| config.version),
            servers: servers.as_ref().map_or(have.servers, |delta| delta.position),
            live_proxies: fleet.map_or(have.live_proxies, |fleet| fleet.live_proxies),
        };
        Some(Update { vector, config: config.map(|config| ConfigRecord::clone(config)), servers, fleet })
    }

    /// Applies the tables of an update that are newer; returns whether any table changed.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] if the server delta can't be applied. The other tables are still applied; pull
    /// again with the resulting version vector.
    pub fn apply(&mut self, update: &Update) -> Result<bool, ApplyError> {
        let mut has_changed = self.apply_config(update.config.as_ref());
        has_changed |= self.apply_fleet(update.fleet);
        has_changed |= self.apply_servers(update.servers.as_ref())?;
        Ok(has_changed)
    }

    /// Applies a configuration if it is newer. The check here avoids copying one that is not.
    fn apply_config(&mut self, config: Option<&ConfigRecord>) -> bool {
        let newer = config.filter(|config| config.version > self.version_vector().config);
        newer.is_some_and(|config| self.advance_config(Arc::new(config.clone())))
    }

    fn apply_fleet(&mut self, fleet: Option<FleetSummary>) -> bool {
        let before = self.live_proxies;
        if let Some(fleet) = fleet {
            self.set_live_proxies(fleet.live_proxies);
        }
        self.live_proxies != before
    }

    fn apply_servers(&mut self, delta: Option<&ServerDelta>) -> Result<bool, ApplyError> {
        delta.map_or(Ok(false), |delta| self.servers.apply(delta))
    }
}
