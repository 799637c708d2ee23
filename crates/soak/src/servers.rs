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
/// The number of model servers that start in the prefill stage.
const PREFILL_SERVERS: usize = 2;
/// The number of model servers that start in the decode stage.
const DECODE_SERVERS: usize = 3;
/// The number of servers of the plain service.
const PLAIN_SERVERS: usize = 3;
/// The number of servers of the alternate service. With only two, a run may replace both while the list of
/// servers cannot be read, and the proxies would then know no server of the service.
const ALTERNATE_SERVERS: usize = 3;
/// The number of concurrent requests that the list states for a server without stages.
const LISTED_SLOTS: u32 = 6;
/// The fencing token of a sender outside the fleet, above all tokens that the views and elections of a run
/// lead to.
pub const FOREIGN_TOKEN: u64 = 1 << 50;
/// The execution time of a request of the slow service.
const SLOW_EXECUTION: Duration = Duration::from_millis(1_500);
/// The number of requests that the server of the slow service executes concurrently.
const SLOW_SLOTS: usize = 64;

/// The kind of requests that a server executes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerRole {
    /// Generations; the server starts in this stage.
    Model(Stage),
    /// Short requests.
    Plain,
    /// Short requests, for the alternate service.
    Alternate,
    /// Long requests.
    Slow,
}

/// A running server.
enum RunningServer {
    Model(EmulatedServer<ModelServer>),
    Plain(EmulatedServer<PlainServer>),
}

/// Evaluates an expression for a running server of either kind.
macro_rules! with_host {
    ($running:expr, $host:ident => $call:expr) => {
        match $running {
            RunningServer::Model($host) => $call,
            RunningServer::Plain($host) => $call,
        }
    };
}

/// A server that has just started, and its entry in the list of the platform.
struct StartedServer {
    running: RunningServer,
    address: SocketAddr,
    entry: InstanceEntry,
}

/// A server address, and the incarnation that runs there. The next incarnation has the same address and a new
/// instance id.
struct Server {
    role: ServerRole,
    address: SocketAddr,
    /// The instance id of the current or last incarnation.
    instance_id: String,
    running: Option<RunningServer>,
    /// The number of incarnations so far.
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
    /// Starts and lists all servers. `address_of` returns the address of the server with a given index.
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

    /// The instance id of the current or last incarnation of a server.
    pub fn instance_id(&self, index: usize) -> &str {
        &self.servers[index].instance_id
    }

    /// Starts and lists a new incarnation of a server, unless one is running.
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

    /// Stops a server as a crash does. The platform removes it from the list immediately.
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

    /// Sets whether a server fails the requests that it executes.
    pub fn set_server_failing(&self, index: usize, is_failing: bool) {
        if let Some(running) = &self.servers[index].running {
            with_host!(running, host => host.send_event(ServerEvent::SetFailing(is_failing)));
        }
    }

    /// Orders a model server to change its stage, under a fencing token above all tokens of the fleet. Does
    /// nothing at servers without stages. The server rejects lower tokens for the rest of its lifetime.
    pub async fn send_foreign_order(&self, index: usize) {
        let server = &self.servers[index];
        let ServerRole::Model(stage) = server.role else { return };
        let other_stage = match stage {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
        };
        let body = json!({"Op": "Stage", "Stage": other_stage.as_str(), "Holder": "stranger", "Fence": FOREIGN_TOKEN});
        let mut request = Request::new("POST", "/order");
        request.headers.set("Expect-Instance", &server.instance_id);
        request.body = body.to_string().into_bytes();
        // An error means that another fault has stopped or blackholed the server.
        let _ = call_once(server.address, &request).await;
    }

    /// Sets whether all servers drop idle connections without closing them.
    pub fn set_drops_idle_connections(&self, drops: bool) {
        for running in self.running() {
            with_host!(running, host => host.drop_idle_connections(drops));
        }
    }

    /// Makes the next `count` requests at each server fail with the given fault.
    pub fn inject_request_fault(&self, fault: &Fault, count: usize) {
        for running in self.running() {
            with_host!(running, host => host.inject(RequestMatcher::any(), fault.clone(), count));
        }
    }

    /// Cancels the request faults that no request has triggered yet.
    pub fn clear_request_faults(&self) {
        for running in self.running() {
            with_host!(running, host => host.clear_faults());
        }
    }

    fn running(&self) -> impl Iterator<Item = &RunningServer> {
        self.servers.iter().filter_map(|server| server.running.as_ref())
    }
}

/// Starts a model server. The platform lists the stage that the server currently has.
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
