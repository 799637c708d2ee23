//! A small fleet of real processes with its servers, platform and operator.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod pull;

use lugwharf_emulator::client::{Client, ClientRequest, Kind, Outcome};
use lugwharf_emulator::cluster::{Cluster, ClusterOptions, Placement, Subnet, poll};
use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec};
use lugwharf_emulator::host::{EmulatedServer, ServerOptions, World};
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

pub const HOST: &str = "shop.example";
pub const MODEL_SERVICE: &str = "tutor";
pub const PLAIN_SERVICE: &str = "board";
pub const OTHER_SERVICE: &str = "ledger";
const ZONE: &str = "zone-a";

/// How many machines there are.
#[derive(Clone, Copy)]
pub struct Size {
    pub fronts: usize,
    pub controls: usize,
    pub placement: Placement,
}

pub const SMALL: Size = Size { fronts: 1, controls: 3, placement: Placement::Core };

pub struct Fleet {
    pub world: World,
    pub platform: PlatformHost,
    pub readers: Vec<EmulatedServer<ModelServer>>,
    pub makers: Vec<EmulatedServer<ModelServer>>,
    pub plain: Vec<EmulatedServer<PlainServer>>,
    pub cluster: Cluster,
    pub operator: Operator,
    sent: u64,
}

impl Fleet {
    /// Starts everything, with the first configuration in force at every front.
    pub async fn start(size: Size) -> Fleet {
        Fleet::start_with(size, ModelParameters::quick(Stage::Decode)).await
    }

    /// The same with other figures for the decode servers.
    pub async fn start_with(size: Size, decode: ModelParameters) -> Fleet {
        Fleet::start_bounded(size, decode, &[]).await
    }

    /// The same with some bounds of its own, by name and value.
    pub async fn start_bounded(size: Size, decode: ModelParameters, bounds: &[(&str, &str)]) -> Fleet {
        let fleet = Fleet::prepare(size, decode, bounds).await;
        fleet.go(size).await
    }

    /// The same with only some control machines that count; the others serve agents and the operator as followers.
    pub async fn start_with_followers(size: Size, counting: usize) -> Fleet {
        let mut fleet = Fleet::prepare(size, ModelParameters::quick(Stage::Decode), &[]).await;
        fleet.cluster.set_voting_machines(counting);
        fleet.go(size).await
    }

    async fn go(self, size: Size) -> Fleet {
        let mut fleet = self;
        fleet.cluster.start_all().expect("processes");
        let verdict = fleet.operator.put(&first_configuration().to_bytes(), 0).await;
        assert_eq!(verdict.status(), Some(200), "the first configuration\n{}", fleet.cluster.logs());
        assert!(fleet.cluster.wait_ready().await, "a front is not ready\n{}", fleet.cluster.logs());
        for index in 0..size.fronts {
            assert!(
                fleet.serves(index, "/work/").await,
                "front {index} does not serve\n{}",
                fleet.cluster.logs()
            );
            assert!(
                fleet.serves(index, "/gen/").await,
                "front {index} does not stream\n{}",
                fleet.cluster.logs()
            );
        }
        fleet
    }

    async fn prepare(size: Size, decode: ModelParameters, bounds: &[(&str, &str)]) -> Fleet {
        let world = World::new();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let platform =
            PlatformHost::start(&world, any, PlatformParameters::default()).await.expect("a platform");
        let subnet = Subnet::claim().expect("a block of addresses");
        let options = ClusterOptions {
            fronts: size.fronts,
            controls: size.controls,
            placement: size.placement,
            fault_tolerance: 1,
            cloud: platform.address(),
            bounds: bounds.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect(),
            arguments: ["--log", "info"].map(str::to_owned).to_vec(),
            max_fds: 4_096,
            relayed: false,
        };
        let binary = Path::new(env!("CARGO_BIN_EXE_lugwharf"));
        let cluster = Cluster::new(binary, subnet, options).expect("a cluster");
        let operator = cluster.operator();
        let mut fleet = Fleet {
            world,
            platform,
            readers: Vec::new(),
            makers: Vec::new(),
            plain: Vec::new(),
            cluster,
            operator,
            sent: 0,
        };
        for index in 0..2 {
            let reader =
                fleet.model(&format!("i-read-{index}"), ModelParameters::quick(Stage::Prefill)).await;
            fleet.readers.push(reader);
            let maker = fleet.model(&format!("i-make-{index}"), decode.clone()).await;
            fleet.makers.push(maker);
            let plain = fleet.plain(&format!("i-plain-{index}"), PLAIN_SERVICE, any).await;
            fleet.plain.push(plain);
        }
        fleet
    }

    async fn model(&self, instance: &str, parameters: ModelParameters) -> EmulatedServer<ModelServer> {
        let stage = parameters.stage;
        let slots = u32::try_from(parameters.slots).expect("a number of slots");
        let mut identity = Identity::new(instance, MODEL_SERVICE);
        identity.location.zone = ZONE.to_owned();
        let core = ModelServer::new(identity, parameters);
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let host =
            EmulatedServer::start(&self.world, any, core, ServerOptions::default()).await.expect("a server");
        let listed = InstanceEntry::plain(instance, MODEL_SERVICE, host.address(), ZONE, slots);
        self.platform.put(listed.staged(stage, "m", 1));
        self.platform.track_stage(instance, host.stage_source());
        host
    }

    /// Starts a plain server and lists it.
    pub async fn plain(
        &self, instance: &str, service: &str, address: SocketAddr,
    ) -> EmulatedServer<PlainServer> {
        let host = self.unlisted(instance, service, address).await;
        self.platform.put(InstanceEntry::plain(instance, service, host.address(), ZONE, 6));
        host
    }

    /// Starts a plain server that the platform does not list.
    pub async fn unlisted(
        &self, instance: &str, service: &str, address: SocketAddr,
    ) -> EmulatedServer<PlainServer> {
        let core = PlainServer::new(Identity::new(instance, service), PlainParameters::default());
        EmulatedServer::start(&self.world, address, core, ServerOptions::default()).await.expect("a server")
    }

    /// A request id that was not used before.
    pub fn next_id(&mut self) -> String {
        self.sent += 1;
        format!("{:016x}", 0x5eed_0000_0000_0000_u64 + self.sent)
    }

    /// An unsafe request to the plain service.
    pub fn work(&mut self) -> ClientRequest {
        ClientRequest::post(&self.next_id(), HOST, "/work/1", Kind::Unsafe)
    }

    /// A streaming request with a prompt that is worth reading elsewhere; no two share a part.
    pub fn generation(&mut self, out_tokens: u64) -> ClientRequest {
        let id = self.next_id();
        let parts = [(self.sent, 2_000), (0x1_0000 + self.sent, 2_000)];
        ClientRequest::generation(&id, HOST, "/gen/1", (5_000, out_tokens), &parts)
    }

    /// Sends one request to a front on a new connection.
    pub async fn send(&self, front: usize, request: &ClientRequest) -> Outcome {
        Client::new(self.cluster.front_address(front)).send(request).await
    }

    /// Sends all of them at once.
    pub async fn send_together(&self, front: usize, requests: Vec<ClientRequest>) -> Vec<Outcome> {
        let address = self.cluster.front_address(front);
        let mut sends = JoinSet::new();
        for request in requests {
            sends.spawn(async move { Client::new(address).send(&request).await });
        }
        sends.join_all().await
    }

    /// Whether requests under that prefix come to succeed at that front.
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

    /// What is wrong with the runs, given what clients got.
    pub fn violations(&self, outcomes: &[Outcome]) -> Vec<Violation> {
        let known: BTreeSet<String> = outcomes.iter().map(|outcome| outcome.request_id.clone()).collect();
        let all = self.world.request_log().violations(outcomes, |outcome| {
            let service = if outcome.target.starts_with("/gen/") || outcome.target.starts_with("/resume/") {
                MODEL_SERVICE
            } else {
                PLAIN_SERVICE
            };
            BTreeSet::from([service.to_owned()])
        });
        // Requests of the start of the fleet are not among the outcomes.
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

    /// Whether those control machines have one view whose chain the machine `index` is in.
    pub async fn holds_the_state(&self, index: usize, among: &[usize]) -> bool {
        let [peer, _] = self.cluster.internal_addresses(index);
        let peer = serde_json::Value::from(peer.to_string());
        let mut views = Vec::new();
        for control in among {
            let status = self.cluster.control_status(*control).await.unwrap_or_default();
            let chain = status["Chain"].as_array().cloned().unwrap_or_default();
            if !chain.contains(&peer) {
                return false;
            }
            views.push(status["View"].clone());
        }
        views.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Reads the configuration back.
    pub async fn read_back(&self) -> Option<Vec<u8>> {
        match self.operator.get().await {
            CallOutcome::Acknowledged(answer) => Some(answer.body),
            _ => None,
        }
    }
}

/// One streaming and one unsafe route.
pub fn first_configuration() -> ConfigurationSpec {
    let engine = EngineSpec::from(&ModelParameters::quick(Stage::Decode));
    ConfigurationSpec::new(1)
        .service(ServiceSpec::new(MODEL_SERVICE, Some(engine)))
        .service(ServiceSpec::new(PLAIN_SERVICE, None))
        .service(ServiceSpec::new(OTHER_SERVICE, None))
        .route(RouteSpec::new(HOST, "/gen/", "streaming", MODEL_SERVICE))
        .route(RouteSpec::new(HOST, "/work/", "unsafe", PLAIN_SERVICE))
        .route(RouteSpec::new(HOST, "/read/", "safe", PLAIN_SERVICE))
        .route(RouteSpec { resumable: true, ..RouteSpec::new(HOST, "/resume/", "streaming", MODEL_SERVICE) })
}

/// The first configuration under another number, with one route more that tells it from others.
pub fn next_configuration(version: u64, prefix: &str) -> ConfigurationSpec {
    first_configuration().numbered(version).route(RouteSpec::new(HOST, prefix, "unsafe", PLAIN_SERVICE))
}

/// Parses a body; `Null` if it is no JSON.
pub fn json(bytes: &[u8]) -> serde_json::Value {
    serde_json::from_slice(bytes).unwrap_or_default()
}
