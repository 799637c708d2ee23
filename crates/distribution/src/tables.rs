//! All tables of one process and the vector over them.

use crate::server_table::{ApplyError, ServerTable};
use lugwharf_protocol::{ConfigRecord, FleetSummary, ServerDelta, Update, VersionVector};
use std::sync::Arc;

/// All tables of one process. The configuration and the list of servers only go forward.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    config: Option<Arc<ConfigRecord>>,
    servers: ServerTable,
    live_proxies: u32,
}

impl Tables {
    /// Tables that hold nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// What this process has.
    pub fn vector(&self) -> VersionVector {
        VersionVector {
            config: self.config.as_ref().map_or(0, |config| config.version),
            servers: self.servers.position(),
            live_proxies: self.live_proxies,
        }
    }

    /// Takes over a committed configuration if it is newer; returns whether it was.
    pub fn advance_config(&mut self, config: Arc<ConfigRecord>) -> bool {
        let newer = config.version > self.vector().config;
        if newer {
            self.config = Some(config);
        }
        newer
    }

    /// The newest configuration.
    pub fn config(&self) -> Option<&Arc<ConfigRecord>> {
        self.config.as_ref()
    }

    /// The list of servers.
    pub fn servers(&self) -> &ServerTable {
        &self.servers
    }

    /// The list of servers, to write to it.
    pub fn servers_mut(&mut self) -> &mut ServerTable {
        &mut self.servers
    }

    /// Live proxies, as last told; 0 where nothing is known.
    pub fn live_proxies(&self) -> u32 {
        self.live_proxies
    }

    /// Sets the number of live proxies; 0 (nothing known) leaves the last number in place.
    pub fn set_live_proxies(&mut self, live_proxies: u32) {
        if live_proxies > 0 {
            self.live_proxies = live_proxies;
        }
    }

    /// What a holder of `have` is missing; `None` if nothing. The vector in the update is what it holds afterwards.
    pub fn update_since(&self, have: &VersionVector) -> Option<Update> {
        let config = self.config.as_ref().filter(|config| config.version > have.config);
        let servers = self.servers.delta_since(have.servers);
        let fleet_changed = self.live_proxies > 0 && self.live_proxies != have.live_proxies;
        if config.is_none() && servers.is_none() && !fleet_changed {
            return None;
        }
        let fleet = fleet_changed.then_some(FleetSummary { live_proxies: self.live_proxies });
        let vector = VersionVector {
            config: config.map_or(have.config, |config| config.version),
            servers: servers.as_ref().map_or(have.servers, |delta| delta.position),
            live_proxies: fleet.map_or(have.live_proxies, |fleet| fleet.live_proxies),
        };
        Some(Update { vector, config: config.map(|config| ConfigRecord::clone(config)), servers, fleet })
    }

    /// Takes over what is newer in an update; returns whether anything was. A gap in the list of servers does not keep
    /// the other parts from being taken over; ask again with the vector as it then is.
    pub fn apply(&mut self, update: &Update) -> Result<bool, ApplyError> {
        let mut changed = self.apply_config(update.config.as_ref());
        changed |= self.apply_fleet(update.fleet);
        changed |= self.apply_servers(update.servers.as_ref())?;
        Ok(changed)
    }

    fn apply_config(&mut self, config: Option<&ConfigRecord>) -> bool {
        let newer = config.filter(|config| config.version > self.vector().config);
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
