//! The servers of one run: each has an address that its successors take over.

use crate::configuration::{MODEL_SERVICE, PLAIN_SERVICE, SLOW_SERVICE};
use crate::fleet::Fleet;
use eyre::Result;
use lugwharf_emulator::fault::{Fault, Matcher, Reachability};
use lugwharf_emulator::host::{EmulatedServer, ServerOptions};
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::platform::InstanceEntry;
use lugwharf_emulator::server_core::{Identity, ServerEvent};
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of all servers.
const ZONE: &str = "zone-a";
/// Servers by what they are at the start.
const PREFILL_SERVERS: usize = 2;
const DECODE_SERVERS: usize = 3;
const PLAIN_SERVERS: usize = 3;
/// How long slow requests take.
const SLOW_WORK: Duration = Duration::from_millis(1_500);
/// Slow requests at once.
const SLOW_SLOTS: usize = 64;

/// What a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerRole {
    Model(Stage),
    Plain,
    Slow,
}

enum Running {
    Model(EmulatedServer<ModelServer>),
    Plain(EmulatedServer<PlainServer>),
}

/// One server with the address that its successors take over.
pub struct Server {
    role: ServerRole,
    address: SocketAddr,
    /// The id of the incarnation that runs, or ran last.
    pub id: String,
    running: Option<Running>,
    incarnations: u32,
}

impl Fleet {
    /// Starts all servers, and lists them.
    pub(crate) async fn start_servers(&mut self) -> Result<()> {
        let roles = std::iter::repeat_n(ServerRole::Model(Stage::Prefill), PREFILL_SERVERS)
            .chain(std::iter::repeat_n(ServerRole::Model(Stage::Decode), DECODE_SERVERS))
            .chain(std::iter::repeat_n(ServerRole::Plain, PLAIN_SERVERS))
            .chain([ServerRole::Slow]);
        for role in roles {
            let address = self.cluster.server_address(self.servers.len());
            self.servers.push(Server { role, address, id: String::new(), running: None, incarnations: 0 });
            self.start_server(self.servers.len() - 1).await?;
        }
        Ok(())
    }

    /// Starts another incarnation at the address of a server, and lists it.
    pub async fn start_server(&mut self, index: usize) -> Result<()> {
        let server = &mut self.servers[index];
        if server.running.is_some() {
            return Ok(());
        }
        server.incarnations += 1;
        server.id = format!("i-{index}-{}", server.incarnations);
        let (world, options) = (&self.world, ServerOptions::default());
        let (running, listed) = match server.role {
            ServerRole::Model(stage) => {
                let parameters = ModelParameters::quick(stage);
                let slots = u32::try_from(parameters.slots)?;
                let mut identity = Identity::new(&server.id, MODEL_SERVICE);
                identity.location.zone = ZONE.to_owned();
                let core = ModelServer::new(identity, parameters);
                let host = EmulatedServer::start(world, server.address, core, options).await?;
                server.address = host.address();
                self.platform.track_stage(&server.id, host.stage_source());
                let listed = InstanceEntry::plain(&server.id, MODEL_SERVICE, server.address, ZONE, slots);
                (Running::Model(host), listed.staged(stage, "m", 1))
            }
            ServerRole::Plain | ServerRole::Slow => {
                let is_slow = server.role == ServerRole::Slow;
                let service = if is_slow { SLOW_SERVICE } else { PLAIN_SERVICE };
                let mut parameters = PlainParameters::default();
                if is_slow {
                    parameters = PlainParameters { work: SLOW_WORK, slots: SLOW_SLOTS, ..parameters };
                }
                let core = PlainServer::new(Identity::new(&server.id, service), parameters);
                let host = EmulatedServer::start(world, server.address, core, options).await?;
                server.address = host.address();
                let listed = InstanceEntry::plain(&server.id, service, server.address, ZONE, 6);
                (Running::Plain(host), listed)
            }
        };
        server.running = Some(running);
        self.platform.put(listed);
        Ok(())
    }

    /// Ends a server as a crash does. The platform notices.
    pub async fn crash_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        match server.running.take() {
            Some(Running::Model(host)) => drop(host.crash().await),
            Some(Running::Plain(host)) => drop(host.crash().await),
            None => return,
        }
        self.platform.remove(&server.id);
    }

    /// Tells the platform that a server is to end.
    pub fn drain_server(&mut self, index: usize) {
        if self.servers[index].running.is_some() {
            self.platform.drain(&self.servers[index].id);
        }
    }

    /// Changes whether a server can be reached.
    pub fn reach_server(&mut self, index: usize, reach: Reachability) {
        match &self.servers[index].running {
            Some(Running::Model(host)) => host.set_reachability(reach),
            Some(Running::Plain(host)) => host.set_reachability(reach),
            None => {}
        }
    }

    /// Lets runs at a server fail, or no longer.
    pub fn fail_server(&mut self, index: usize, failing: bool) {
        let event = ServerEvent::SetFailing(failing);
        match &self.servers[index].running {
            Some(Running::Model(host)) => host.send_event(event),
            Some(Running::Plain(host)) => host.send_event(event),
            None => {}
        }
    }

    /// Lets all servers forget connections between two requests, or no longer.
    pub fn forget_connections(&self, forgets: bool) {
        for server in &self.servers {
            match &server.running {
                Some(Running::Model(host)) => host.drop_idle_connections(forgets),
                Some(Running::Plain(host)) => host.drop_idle_connections(forgets),
                None => {}
            }
        }
    }

    /// Adds a fault at all servers, for so many requests each.
    pub fn inject(&self, fault: &Fault, times: usize) {
        for server in &self.servers {
            match &server.running {
                Some(Running::Model(host)) => host.inject(Matcher::any(), fault.clone(), times),
                Some(Running::Plain(host)) => host.inject(Matcher::any(), fault.clone(), times),
                None => {}
            }
        }
    }

    /// Forgets all faults of servers that were not used.
    pub fn clear_faults(&self) {
        for server in &self.servers {
            match &server.running {
                Some(Running::Model(host)) => host.clear_faults(),
                Some(Running::Plain(host)) => host.clear_faults(),
                None => {}
            }
        }
    }
}
