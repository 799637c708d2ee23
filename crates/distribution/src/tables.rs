//! All tables of one process, and the version vector over them.

use crate::error::ApplyError;
use crate::server_table::ServerTable;
use lugwharf_protocol::{ConfigRecord, FleetSummary, ServerDelta, Update, VersionVector};
use std::sync::Arc;

/// All tables of one process: the configuration, the server table and the number of live proxies. The first two only
/// advance.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    config: Option<Arc<ConfigRecord>>,
    servers: ServerTable,
    /// 0 while it is unknown.
    live_proxies: u32,
}

impl Tables {
    /// Tables that hold nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// The versions that this process has.
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

    /// The newest configuration.
    pub fn config(&self) -> Option<&Arc<ConfigRecord>> {
        self.config.as_ref()
    }

    /// The server table.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// The server table, for its writer.
    pub fn servers_mut(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// The number of live proxies as last reported; 0 while it is unknown.
    pub fn live_proxies(&self) -> u32 {
        self.live_proxies
    }

    /// Sets the number of live proxies; 0, which means unknown, leaves the last number in place.
    pub fn set_live_proxies(&mut self, live_proxies: u32) {
        if live_proxies > 0 {
            self.live_proxies = live_proxies;
        }
    }

    /// What a reader with the versions `have` is missing; `None` if nothing. The vector in the update is what the reader has
    /// after it has applied the update.
    pub fn update_since(&self, have: &VersionVector) -> Option<Update> {
        let config = self.config.as_ref().filter(|config| config.version > have.config);
        let servers = self.servers.delta_since(have.servers);
        // The count has no version: it may go down as well as up, and a reader with any other one gets it.
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

    /// Applies the newer tables of an update; returns whether there was any.
    ///
    /// # Errors
    ///
    /// [`ApplyError::Gap`] if the delta of the servers does not follow. The other tables are applied nevertheless; pull again
    /// with the vector as it then is.
    pub fn apply(&mut self, update: &Update) -> Result<bool, ApplyError> {
        let mut has_changed = self.apply_config(update.config.as_ref());
        has_changed |= self.apply_fleet(update.fleet);
        has_changed |= self.apply_servers(update.servers.as_ref())?;
        Ok(has_changed)
    }

    /// Applies a configuration if it is newer; the check here spares a copy of one that is not.
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
