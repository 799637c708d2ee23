//! A fleet of real processes, with emulated servers, platform, operator and clients.
//!
//! A [`Fleet`] starts with the first configuration applied and all its routes served. A test fails if a log
//! has a violated invariant when the test ends; see `Cluster`.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod agent;
pub mod command;

use lugwharf_emulator::client::{AttemptOutcome, Client, ClientRequest, RequestKind};
use lugwharf_emulator::cluster::{Cluster, ClusterOptions, ControlPlacement, Subnet, poll};
use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec};
use lugwharf_emulator::host::{EmulatedServer, Environment, ServerOptions};
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::operator::{CallOutcome, Operator};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::platform::{InstanceEntry, PlatformHost, PlatformParameters};
use lugwharf_emulator::request_log::Violation;
use lugwharf_emulator::server_core::Identity;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use tokio::task::JoinSet;

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The model service, behind `/gen/` and `/resume/`.
pub const MODEL_SERVICE: &str = "tutor";
/// The plain service, behind `/work/` and `/read/`.
pub const PLAIN_SERVICE: &str = "board";
/// A plain service without a route.
pub const OTHER_SERVICE: &str = "ledger";
/// The zone of all servers.
const ZONE: &str = "zone-a";

/// The machines of a fleet.
#[derive(Clone, Copy)]
pub struct Topology {
    pub fronts: usize,
    pub controls: usize,
    pub placement: ControlPlacement,
}

/// One front-end node and three control machines.
pub const SMALL: Topology = Topology { fronts: 1, controls: 3, placement: ControlPlacement::Dedicated };

/// A running fleet with its emulated environment: two prefill, two decode and two plain servers.
pub struct Fleet {
    pub environment: Environment,
    pub platform: PlatformHost,
    pub prefill_servers: Vec<EmulatedServer<ModelServer>>,
    pub decode_servers: Vec<EmulatedServer<ModelServer>>,
    pub plain_servers: Vec<EmulatedServer<PlainServer>>,
    pub cluster: Cluster,
    pub operator: Operator,
    /// The number of request ids that were issued.
    issued_ids: u64,
}

impl Fleet {
    /// Starts a fleet and waits until every front-end node serves the first configuration.
    pub async fn start(topology: Topology) -> Fleet {
        Fleet::start_with_decode(topology, ModelParameters::small_and_fast(Stage::Decode)).await
    }

    /// Like [`Fleet::start`], with other parameters for the decode servers.
    pub async fn start_with_decode(topology: Topology, decode: ModelParameters) -> Fleet {
        Fleet::start_with_bounds(topology, decode, &[]).await
    }

    /// Like [`Fleet::start_with_decode`], with other settings in `[Bounds]` than the defaults, as name and
    /// value.
    pub async fn start_with_bounds(
        topology: Topology, decode: ModelParameters, bounds: &[(&str, &str)],
    ) -> Fleet {
        let fleet = Fleet::prepare(topology, decode, bounds).await;
        fleet.start_processes(topology).await
    }

    /// Like [`Fleet::start`], but only the first `voting_machines` control machines vote. The others serve
    /// agents and the operator as learners.
    pub async fn start_with_learners(topology: Topology, voting_machines: usize) -> Fleet {
        let mut fleet = Fleet::prepare(topology, ModelParameters::small_and_fast(Stage::Decode), &[]).await;
        fleet.cluster.set_voting_machines(voting_machines);
        fleet.start_processes(topology).await
    }

    /// Starts the processes, puts the first configuration and waits until all front-end nodes serve it.
    async fn start_processes(self, topology: Topology) -> Fleet {
        let mut fleet = self;
        fleet.cluster.start_all().expect("cannot start all processes");
        let outcome = fleet.operator.put(&first_configuration().to_bytes(), 0).await;
        assert_eq!(
            outcome.status(),
            Some(200),
            "the first configuration was not accepted\n{}",
            fleet.cluster.logs()
        );
        assert!(fleet.cluster.wait_ready().await, "a front-end node is not ready\n{}", fleet.cluster.logs());
        for index in 0..topology.fronts {
            assert!(
                fleet.serves(index, "/work/").await,
                "front-end node {index} does not serve\n{}",
                fleet.cluster.logs()
            );
            assert!(
                fleet.serves(index, "/gen/").await,
                "front-end node {index} does not stream\n{}",
                fleet.cluster.logs()
            );
        }
        fleet
    }

    /// Starts the servers and the platform, and prepares the cluster.
    async fn prepare(topology: Topology, decode: ModelParameters, bounds: &[(&str, &str)]) -> Fleet {
        let environment = Environment::new();
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform = PlatformHost::start(&environment, any_port, PlatformParameters::default())
            .await
            .expect("cannot start the platform");
        let subnet = Subnet::claim().expect("no block of addresses is free");
        let options = ClusterOptions {
            front_ends: topology.fronts,
            control_machines: topology.controls,
            placement: topology.placement,
            fault_tolerance: 1,
            cloud: platform.address(),
            bounds: bounds.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            arguments: ["--log", "info"].map(str::to_owned).to_vec(),
            max_fds: 4_096,
            uses_relays: false,
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_lugwharf"));
        let cluster = Cluster::new(binary, subnet, options).expect("cannot create the cluster");
        let operator = cluster.operator();
        let mut fleet = Fleet {
            environment,
            platform,
            prefill_servers: Vec::new(),
            decode_servers: Vec::new(),
            plain_servers: Vec::new(),
            cluster,
            operator,
            issued_ids: 0,
        };
        for index in 0..2 {
            let prefill_server = fleet
                .start_model_server(
                    &format!("i-read-{index}"),
                    ModelParameters::small_and_fast(Stage::Prefill),
                )
                .await;
            fleet.prefill_servers.push(prefill_server);
            let decode_server = fleet.start_model_server(&format!("i-make-{index}"), decode.clone()).await;
            fleet.decode_servers.push(decode_server);
            let plain_server =
                fleet.start_plain_server(&format!("i-plain-{index}"), PLAIN_SERVICE, any_port).await;
            fleet.plain_servers.push(plain_server);
        }
        fleet
    }

    /// Starts a model server and lists it on the platform, which follows the server's stage when orders
    /// change it.
    async fn start_model_server(
        &self, instance: &str, parameters: ModelParameters,
    ) -> EmulatedServer<ModelServer> {
        let stage = parameters.stage;
        let slots = u32::try_from(parameters.slots).expect("the number of slots does not fit into a u32");
        let mut identity = Identity::new(instance, MODEL_SERVICE);
        identity.location.zone = ZONE.to_owned();
        let core = ModelServer::new(identity, parameters);
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let server = EmulatedServer::start(&self.environment, any_port, core, ServerOptions::default())
            .await
            .expect("cannot start the server");
        let entry = InstanceEntry::plain(instance, MODEL_SERVICE, server.address(), ZONE, slots);
        self.platform.put(entry.with_stage(stage, "m", 1));
        self.platform.track_stage(instance, server.stage_source());
        server
    }

    /// Starts a plain server and lists it on the platform.
    pub async fn start_plain_server(
        &self, instance: &str, service: &str, address: SocketAddr,
    ) -> EmulatedServer<PlainServer> {
        let server = self.start_unlisted_server(instance, service, address).await;
        self.platform.put(InstanceEntry::plain(instance, service, server.address(), ZONE, 6));
        server
    }

    /// Starts a plain server that the platform does not list.
    pub async fn start_unlisted_server(
        &self, instance: &str, service: &str, address: SocketAddr,
    ) -> EmulatedServer<PlainServer> {
        let core = PlainServer::new(Identity::new(instance, service), PlainParameters::default());
        EmulatedServer::start(&self.environment, address, core, ServerOptions::default())
            .await
            .expect("cannot start the server")
    }

    /// Returns an unused request id. The ids of a fleet begin with `5eed`.
    pub fn next_id(&mut self) -> String {
        self.issued_ids += 1;
        format!("{:016x}", 0x5eed_0000_0000_0000_u64 + self.issued_ids)
    }

    /// Returns an unsafe request to the plain service.
    pub fn work(&mut self) -> ClientRequest {
        ClientRequest::post(&self.next_id(), HOST, "/work/1", RequestKind::Unsafe)
    }

    /// Returns a streaming request with a prompt that is long enough for a prefill server. No two requests
    /// share a segment of their prompts.
    pub fn generation(&mut self, out_tokens: u64) -> ClientRequest {
        let id = self.next_id();
        let segments = [(self.issued_ids, 2_000), (0x1_0000 + self.issued_ids, 2_000)];
        ClientRequest::generation(&id, HOST, "/gen/1", (5_000, out_tokens), &segments)
    }

    /// Sends a request to a front-end node on a new connection.
    pub async fn send(&self, front: usize, request: &ClientRequest) -> AttemptOutcome {
        Client::new(self.cluster.front_address(front)).send(request).await
    }

    /// Sends all requests concurrently, each on a new connection.
    pub async fn send_concurrently(&self, front: usize, requests: Vec<ClientRequest>) -> Vec<AttemptOutcome> {
        let address = self.cluster.front_address(front);
        let mut sends = JoinSet::new();
        for request in requests {
            sends.spawn(async move { Client::new(address).send(&request).await });
        }
        sends.join_all().await
    }

    /// Waits until a request under a prefix succeeds at a front-end node. Returns false if none does within
    /// 15 s.
    pub async fn serves(&mut self, front: usize, prefix: &str) -> bool {
        let address = self.cluster.front_address(front);
        let mut requests = Vec::new();
        for _ in 0..600 {
            let mut request = if prefix == "/gen/" { self.generation(5) } else { self.work() };
            request.target = format!("{prefix}1");
            requests.push(request);
        }
        let mut requests = requests.into_iter();
        poll(|| {
            let request = requests.next();
            async move {
                match request {
                    Some(request) => Client::new(address).send(&request).await.is_success(),
                    None => false,
                }
            }
        })
        .await
    }

    /// Returns the violations that the request log shows, given the outcomes at the clients.
    pub fn violations(&self, outcomes: &[AttemptOutcome]) -> Vec<Violation> {
        let known: BTreeSet<String> = outcomes.iter().map(|outcome| outcome.request_id.clone()).collect();
        let all = self.environment.request_log().violations(outcomes, |outcome| {
            let service = if outcome.target.starts_with("/gen/") || outcome.target.starts_with("/resume/") {
                MODEL_SERVICE
            } else {
                PLAIN_SERVICE
            };
            BTreeSet::from([service.to_owned()])
        });
        // Requests from the start of the fleet are not among the outcomes.
        let is_known = |id: &str| known.contains(id);
        all.into_iter()
            .filter(|violation| match violation {
                Violation::UnknownRequest { request_id } => {
                    is_known(request_id) || !request_id.starts_with("5eed")
                }
                _ => true,
            })
            .collect()
    }

    /// Returns whether these control machines agree on a view whose chain has the machine `index`.
    pub async fn is_in_chain(&self, index: usize, controls: &[usize]) -> bool {
        let [peer, _] = self.cluster.internal_addresses(index);
        let peer = serde_json::Value::from(peer.to_string());
        let mut views = Vec::new();
        for control in controls {
            let status = self.cluster.control_status(*control).await.unwrap_or_default();
            let chain = status["Chain"].as_array().cloned().unwrap_or_default();
            if !chain.contains(&peer) {
                return false;
            }
            views.push(status["View"].clone());
        }
        views.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Reads the newest configuration; `None` unless the operator gets a definite response.
    pub async fn read_back(&self) -> Option<Vec<u8>> {
        match self.operator.get().await {
            CallOutcome::Acknowledged(response) => Some(response.body),
            _ => None,
        }
    }
}

/// Returns version 1 of the configuration, with a streaming, a resumable, an unsafe and a safe route.
pub fn first_configuration() -> ConfigurationSpec {
    let engine = EngineSpec::from(&ModelParameters::small_and_fast(Stage::Decode));
    ConfigurationSpec::new(1)
        .with_service(ServiceSpec::new(MODEL_SERVICE, Some(engine)))
        .with_service(ServiceSpec::new(PLAIN_SERVICE, None))
        .with_service(ServiceSpec::new(OTHER_SERVICE, None))
        .with_route(RouteSpec::new(HOST, "/gen/", "streaming", MODEL_SERVICE))
        .with_route(RouteSpec::new(HOST, "/work/", "unsafe", PLAIN_SERVICE))
        .with_route(RouteSpec::new(HOST, "/read/", "safe", PLAIN_SERVICE))
        .with_route(RouteSpec {
            resumable: true,
            ..RouteSpec::new(HOST, "/resume/", "streaming", MODEL_SERVICE)
        })
}

/// Returns the first configuration with another version number and one more route, which distinguishes it
/// from others.
pub fn next_configuration(version: u64, prefix: &str) -> ConfigurationSpec {
    first_configuration().with_version(version).with_route(RouteSpec::new(
        HOST,
        prefix,
        "unsafe",
        PLAIN_SERVICE,
    ))
}

/// Parses a body; `Null` if the body is not JSON.
pub fn json(bytes: &[u8]) -> serde_json::Value {
    serde_json::from_slice(bytes).unwrap_or_default()
}
