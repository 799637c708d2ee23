//! The emulated servers of a run, and the platform that lists them.

use crate::configuration::{ALTERNATE_SERVICE, MODEL_SERVICE, PLAIN_SERVICE, SLOW_SERVICE};
use eyre::Result;
use lugwharf_emulator::fault::{Fault, Reachability, RequestMatcher};
use lugwharf_emulator::host::{EmulatedServer, Environment, ServerOptions};
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::operator::call_once;
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::platform::{InstanceEntry, PlatformHost};
use lugwharf_emulator::server_core::{Identity, ServerEvent};
use lugwharf_emulator::wire::Request;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;

/// The zone of all servers.
const ZONE: &str = "zone-a";
/// Model servers that start in the prefill stage.
const PREFILL_SERVERS: usize = 2;
/// Model servers that start in the decode stage.
const DECODE_SERVERS: usize = 3;
/// Servers of the plain service.
const PLAIN_SERVERS: usize = 3;
/// Servers of the service that takes turns with the plain one. With two of them a run may replace both while the list can't be
/// read, and then none is known to the proxies.
const ALTERNATE_SERVERS: usize = 3;
/// Requests that the list says a server without stages executes at a time.
const LISTED_SLOTS: u32 = 6;
/// The fencing token of a stranger, above all that views and elections of a run lead to.
pub const STRANGER_TOKEN: u64 = 1 << 50;
/// How long a request of the slow service takes.
const SLOW_EXECUTION: Duration = Duration::from_millis(1_500);
/// Requests that the server of the slow service executes at a time.
const SLOW_SLOTS: usize = 64;

/// What a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerRole {
    /// Generations; starts in this stage.
    Model(Stage),
    /// Short requests.
    Plain,
    /// Short requests, in some versions of the configuration.
    Alternate,
    /// Long requests.
    Slow,
}

/// A server that runs.
enum RunningServer {
    Model(EmulatedServer<ModelServer>),
    Plain(EmulatedServer<PlainServer>),
}

/// Evaluates an expression for the emulated server of either kind.
macro_rules! with_host {
    ($running:expr, $host:ident => $call:expr) => {
        match $running {
            RunningServer::Model($host) => $call,
            RunningServer::Plain($host) => $call,
        }
    };
}

/// A server that has just started, and how the platform is to list it.
struct StartedServer {
    running: RunningServer,
    address: SocketAddr,
    entry: InstanceEntry,
}

/// A server address with the incarnation that runs there. A successor takes the address over under a new id.
struct Server {
    role: ServerRole,
    address: SocketAddr,
    /// The id of the current incarnation, or of the last one.
    instance_id: String,
    running: Option<RunningServer>,
    /// Incarnations so far.
    incarnations: u32,
}

/// The servers of a run and the platform that lists them.
pub struct ServerPool {
    environment: Environment,
    /// The platform.
    pub platform: PlatformHost,
    servers: Vec<Server>,
}

impl ServerPool {
    /// Starts and lists all servers. `address_of` gives the address of the server with an index.
    pub async fn start(
        environment: &Environment, platform: PlatformHost, address_of: impl Fn(usize) -> SocketAddr,
    ) -> Result<ServerPool> {
        let roles = std::iter::repeat_n(ServerRole::Model(Stage::Prefill), PREFILL_SERVERS)
            .chain(std::iter::repeat_n(ServerRole::Model(Stage::Decode), DECODE_SERVERS))
            .chain(std::iter::repeat_n(ServerRole::Plain, PLAIN_SERVERS))
            .chain([ServerRole::Slow])
            .chain(std::iter::repeat_n(ServerRole::Alternate, ALTERNATE_SERVERS));
        let mut pool = ServerPool { environment: environment.clone(), platform, servers: Vec::new() };
        for (index, role) in roles.enumerate() {
            let address = address_of(index);
            let instance_id = String::new();
            pool.servers.push(Server { role, address, instance_id, running: None, incarnations: 0 });
            pool.start_server(index).await?;
        }
        Ok(pool)
    }

    /// The number of server addresses.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// The instance id of the current incarnation at an address, or of the last one.
    pub fn instance_id(&self, index: usize) -> &str {
        &self.servers[index].instance_id
    }

    /// Starts and lists another incarnation at the address of a server, unless one runs.
    pub async fn start_server(&mut self, index: usize) -> Result<()> {
        let server = &mut self.servers[index];
        if server.running.is_some() {
            return Ok(());
        }
        server.incarnations += 1;
        server.instance_id = format!("i-{index}-{}", server.incarnations);
        let started = match server.role {
            ServerRole::Model(stage) => {
                start_model_server(&self.environment, &self.platform, server, stage).await?
            }
            ServerRole::Plain => {
                start_plain_server(&self.environment, server, PLAIN_SERVICE, PlainParameters::default())
                    .await?
            }
            ServerRole::Alternate => {
                start_plain_server(&self.environment, server, ALTERNATE_SERVICE, PlainParameters::default())
                    .await?
            }
            ServerRole::Slow => {
                let slow = PlainParameters {
                    service_time: SLOW_EXECUTION,
                    slots: SLOW_SLOTS,
                    ..PlainParameters::default()
                };
                start_plain_server(&self.environment, server, SLOW_SERVICE, slow).await?
            }
        };
        server.address = started.address;
        server.running = Some(started.running);
        self.platform.put(started.entry);
        Ok(())
    }

    /// Ends a server as a crash does. The platform notices at once.
    pub async fn crash_server(&mut self, index: usize) {
        let server = &mut self.servers[index];
        let Some(running) = server.running.take() else { return };
        with_host!(running, host => host.crash().await);
        self.platform.remove(&server.instance_id);
    }

    /// Lists a server as draining.
    pub fn drain_server(&self, index: usize) {
        let server = &self.servers[index];
        if server.running.is_some() {
            self.platform.drain(&server.instance_id);
        }
    }

    /// Sets how a server responds to connections and requests.
    pub fn set_server_reachability(&self, index: usize, reachability: Reachability) {
        if let Some(running) = &self.servers[index].running {
            with_host!(running, host => host.set_reachability(reachability));
        }
    }

    /// Sets whether executions at a server fail.
    pub fn set_server_failing(&self, index: usize, is_failing: bool) {
        if let Some(running) = &self.servers[index].running {
            with_host!(running, host => host.send_event(ServerEvent::SetFailing(is_failing)));
        }
    }

    /// Orders a model server to take the other stage, under a token above all that the fleet uses; does nothing at servers
    /// without stages. The server remembers the token until it ends.
    pub async fn order_as_stranger(&self, index: usize) {
        let server = &self.servers[index];
        let ServerRole::Model(stage) = server.role else { return };
        let other_stage = match stage {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let body = json!({"Op": "Stage", "Stage": other_stage.as_str(), "Holder": "stranger", "Fence": STRANGER_TOKEN});
        let mut request = Request::new("POST", "/order");
        request.headers.set("Expect-Instance", &server.instance_id);
        request.body = body.to_string().into_bytes();
        // A server that is down or does not respond has other faults.
        let _ = call_once(server.address, &request).await;
    }

    /// Sets whether all servers drop idle connections without closing them.
    pub fn set_drops_idle_connections(&self, drops: bool) {
        for running in self.running() {
            with_host!(running, host => host.drop_idle_connections(drops));
        }
    }

    /// Plans a fault for the next requests at each server, `count` of them each.
    pub fn inject_request_fault(&self, fault: &Fault, count: usize) {
        for running in self.running() {
            with_host!(running, host => host.inject(RequestMatcher::any(), fault.clone(), count));
        }
    }

    /// Cancels all planned faults of requests.
    pub fn clear_request_faults(&self) {
        for running in self.running() {
            with_host!(running, host => host.clear_faults());
        }
    }

    fn running(&self) -> impl Iterator<Item = &RunningServer> {
        self.servers.iter().filter_map(|server| server.running.as_ref())
    }
}

/// Starts a server of generations whose listed stage follows its own.
async fn start_model_server(
    environment: &Environment, platform: &PlatformHost, server: &Server, stage: Stage,
) -> Result<StartedServer> {
    let parameters = ModelParameters::small_and_fast(stage);
    let slots = u32::try_from(parameters.slots)?;
    let mut identity = Identity::new(&server.instance_id, MODEL_SERVICE);
    identity.location.zone = ZONE.to_owned();
    let core = ModelServer::new(identity, parameters);
    let host = EmulatedServer::start(environment, server.address, core, ServerOptions::default()).await?;
    let address = host.address();
    platform.track_stage(&server.instance_id, host.stage_source());
    let entry = InstanceEntry::plain(&server.instance_id, MODEL_SERVICE, address, ZONE, slots);
    Ok(StartedServer { running: RunningServer::Model(host), address, entry: entry.with_stage(stage, "m", 1) })
}

/// Starts a server without stages.
async fn start_plain_server(
    environment: &Environment, server: &Server, service: &str, parameters: PlainParameters,
) -> Result<StartedServer> {
    let core = PlainServer::new(Identity::new(&server.instance_id, service), parameters);
    let host = EmulatedServer::start(environment, server.address, core, ServerOptions::default()).await?;
    let address = host.address();
    let entry = InstanceEntry::plain(&server.instance_id, service, address, ZONE, LISTED_SLOTS);
    Ok(StartedServer { running: RunningServer::Plain(host), address, entry })
}
