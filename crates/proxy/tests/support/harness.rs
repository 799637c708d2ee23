//! A running proxy, with an agent, servers and clients that the test controls.

use super::connection::{Connection, Message};
use super::messages::{ok_response, rejection, request, unrouted_request};
use super::scenario::{PLAIN_SERVERS, Route, Scenario};
use lugwharf_config::Limits;
use lugwharf_protocol::{
    ConfigRecord, FeedMessage, FleetSummary, ProxyReport, ServerDelta, ServerEntry, ServerState,
    TablePosition, Update, VersionVector, read_frame, write_frame,
};
use lugwharf_settings::Settings;
use std::collections::BTreeMap;
use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::task::Poll;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;

/// Everything that is prepared before a proxy and its peers start.
pub(super) struct ProcessSetup {
    pub settings: Settings,
    pub peers: PeerSetup,
    pub stop_signal: oneshot::Receiver<()>,
}

/// The parts from which [`TestProxy`] is created.
pub(super) struct PeerSetup {
    agent_listener: TcpListener,
    addresses: ListenAddresses,
    stop: oneshot::Sender<()>,
}

impl ProcessSetup {
    pub async fn prepare(scenario: &Scenario) -> ProcessSetup {
        let agent_listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
        let agent_port = agent_listener.local_addr().expect("the listener has a local address").port();
        let addresses = ListenAddresses::unique();
        let settings = settings(agent_port, &addresses, scenario.retry_budget);
        let (stop, stop_signal) = oneshot::channel();
        ProcessSetup { settings, peers: PeerSetup { agent_listener, addresses, stop }, stop_signal }
    }
}

/// The addresses on which a proxy listens.
struct ListenAddresses {
    front: SocketAddr,
    ready: SocketAddr,
}

impl ListenAddresses {
    /// Returns addresses on a loopback IP that no other proxy uses. Looking for a free port instead would be
    /// a race: another test's connection may take it in the meantime.
    fn unique() -> ListenAddresses {
        static STARTED: AtomicU8 = AtomicU8::new(0);
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let number = STARTED.fetch_add(1, Ordering::Relaxed).wrapping_add(2);
        let host = Ipv4Addr::new(127, high, low, number);
        ListenAddresses { front: (host, FRONT_PORT).into(), ready: (host, READY_PORT).into() }
    }
}

/// Returns the settings of a front-end node with a grace period of 8 s and a retry budget without a reserve
/// (`BudgetSlack`).
fn settings(agent_port: u16, addresses: &ListenAddresses, retry_budget: f64) -> Settings {
    let ListenAddresses { front, ready } = addresses;
    let (first, last) = (agent_port - 2, agent_port.saturating_add(1));
    let text = format!(
        r#"
        Node = "front-1"
        Ip = "127.0.0.1"
        Zone = "home"
        PortRange = [{first},{last}]
        [Listen]
        Front = "{front}"
        Ready = "{ready}"
        [Bounds]
        GraceS = 8
        RetryBudget = {retry_budget}
        BudgetSlack = 0
        "#
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// A running proxy, its agent and its servers. Tests refer to a server by its name; its instance id is
/// `i-NAME`.
pub struct TestProxy {
    /// The address to which clients connect.
    pub front_address: SocketAddr,
    ready_address: SocketAddr,
    listeners: BTreeMap<&'static str, TcpListener>,
    entries: Vec<ServerEntry>,
    agent: TcpStream,
    agent_listener: TcpListener,
    list_sequence: u64,
    is_model: bool,
    /// The limits in the next configuration that the agent sends.
    pub limits: Limits,
    stop: Option<oneshot::Sender<()>>,
}

impl TestProxy {
    /// Accepts the proxy's connection to its agent, and sends the configuration and the servers of the
    /// scenario.
    pub(super) async fn start(peers: PeerSetup, scenario: &Scenario) -> TestProxy {
        let PeerSetup { agent_listener, addresses, stop } = peers;
        let mut agent = agent_listener.accept().await.expect("the proxy connects to the agent").0;
        assert_eq!(read_report(&mut agent).await, VersionVector::default());
        let mut proxy = TestProxy {
            front_address: addresses.front,
            ready_address: addresses.ready,
            listeners: BTreeMap::new(),
            entries: Vec::new(),
            agent,
            agent_listener,
            list_sequence: 0,
            is_model: scenario.is_model,
            limits: scenario.limits.clone(),
            stop: Some(stop),
        };
        proxy.start_servers(scenario).await;
        if scenario.is_configured {
            proxy.configure(1, std::slice::from_ref(&scenario.route)).await;
            proxy.list_all().await;
        }
        proxy
    }

    async fn start_servers(&mut self, scenario: &Scenario) {
        for (name, stage) in &scenario.servers {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port can be bound");
            let address = listener.local_addr().expect("the listener has a local address");
            self.listeners.insert(*name, listener);
            self.entries.push(ServerEntry {
                id: format!("i-{name}"),
                service: "s".to_owned(),
                address,
                zone: "home".to_owned(),
                slots: 8,
                state: ServerState::Ready,
                warmup_remaining_ms: 0,
                stage: *stage,
                models: Vec::new(),
            });
        }
    }
}

/// The agent's side.
impl TestProxy {
    /// Closes the agent's connection and accepts the next one. Returns the versions that the proxy reports on
    /// it.
    pub async fn reconnect_agent(&mut self) -> VersionVector {
        self.agent.shutdown().await.expect("the agent's connection is shut down");
        self.agent = self.agent_listener.accept().await.expect("the proxy connects to the agent").0;
        read_report(&mut self.agent).await
    }

    /// Sends a configuration with these routes. Returns the versions that the proxy reports afterwards.
    pub async fn configure(&mut self, version: u64, routes: &[Route]) -> VersionVector {
        let engine = if self.is_model { r#","Engine":{"Slots":8}"# } else { "" };
        let routes: Vec<String> = routes.iter().map(Route::to_json).collect();
        let routes = routes.join(",");
        let Limits { max_header_bytes, max_body_bytes, header_timeout_ms, idle_timeout_ms } = self.limits;
        let text = format!(
            r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"s"{engine}}}],
            "Limits":{{"MaxHeaderBytes":{max_header_bytes},"MaxBodyBytes":{max_body_bytes},
            "HeaderTimeoutMs":{header_timeout_ms},"IdleTimeoutMs":{idle_timeout_ms}}}}}"#
        );
        let config = Some(ConfigRecord { version, bytes: text.into_bytes() });
        self.update(Update { config, ..Update::default() }).await
    }

    /// Sends an endpoint list with all servers.
    pub async fn list_all(&mut self) {
        self.list_entries(self.entries.clone()).await;
    }

    /// Sends an endpoint list with all servers except `omitted`.
    pub async fn list_all_except(&mut self, omitted: &[&str]) {
        let is_listed = |entry: &&ServerEntry| !is_named(entry, omitted);
        let entries: Vec<ServerEntry> = self.entries.iter().filter(is_listed).cloned().collect();
        self.list_entries(entries).await;
    }

    /// Sends an endpoint list with all servers, in which `draining` are draining.
    pub async fn list_draining(&mut self, draining: &[&str]) {
        let mut entries = self.entries.clone();
        for entry in entries.iter_mut().filter(|entry| is_named(entry, draining)) {
            entry.state = ServerState::Draining;
        }
        self.list_entries(entries).await;
    }

    async fn list_entries(&mut self, entries: Vec<ServerEntry>) {
        self.list_sequence += 1;
        let position = TablePosition { epoch: 1, sequence: self.list_sequence };
        let servers = Some(ServerDelta { position, is_full: true, base: None, entries, removed: Vec::new() });
        let fleet = Some(FleetSummary { live_proxies: 1 });
        let have = self.update(Update { servers, fleet, ..Update::default() }).await;
        assert_eq!(have.servers, position);
    }

    async fn update(&mut self, update: Update) -> VersionVector {
        write_frame(&mut self.agent, &FeedMessage::Update(update)).await.expect("the bytes are written");
        read_report(&mut self.agent).await
    }
}

/// The servers' side.
impl TestProxy {
    /// Returns the address on which a server listens.
    pub fn address(&self, name: &str) -> SocketAddr {
        let entry = self.entries.iter().find(|entry| is_named(entry, &[name]));
        entry.expect("the scenario has a server of this name").address
    }

    /// Accepts the next connection to a server.
    pub async fn accept(&self, name: &str) -> Connection {
        Connection::new(self.listeners[name].accept().await.expect("a connection is accepted").0)
    }

    /// Accepts the next connection to one of the servers. Returns it with the server's name.
    pub async fn accept_any(&self, names: &[&'static str]) -> (Connection, &'static str) {
        let (stream, name) = poll_fn(|context| {
            let ready = names.iter().find_map(|name| match self.listeners[name].poll_accept(context) {
                Poll::Ready(accepted) => Some((accepted.expect("a connection is accepted").0, *name)),
                Poll::Pending => None,
            });
            ready.map_or(Poll::Pending, Poll::Ready)
        })
        .await;
        (Connection::new(stream), name)
    }

    /// Accepts the next connection to a server and reads a request from it.
    pub async fn receive(&self, name: &str) -> (Connection, Message) {
        let mut server = self.accept(name).await;
        let request = server.read_request().await;
        (server, request)
    }

    /// Accepts the next connection to one of the servers and reads a request from it. Returns them with the
    /// server's name.
    pub async fn receive_any(&self, names: &[&'static str]) -> (Connection, Message, &'static str) {
        let (mut server, name) = self.accept_any(names).await;
        let request = server.read_request().await;
        (server, request, name)
    }

    /// Rejects each attempt at these servers until the client has its response. Returns the response and the
    /// number of attempts.
    pub async fn reject_all_attempts(
        &self, client: &mut Connection, id: &str, names: &[&'static str],
    ) -> (Message, usize) {
        let mut attempts = 0;
        loop {
            let mut server = tokio::select! {
                response = client.read_message() => {
                    return (response.expect("a complete response is received"), attempts);
                }
                (accepted, _) = self.accept_any(names) => accepted,
            };
            server.read_request().await;
            server.send(&rejection(id, 503)).await;
            attempts += 1;
        }
    }

    /// Stops a server, so that connections to it are refused.
    pub fn stop_server(&mut self, name: &str) {
        self.listeners.remove(name);
    }
}

/// The clients' side, and the process.
impl TestProxy {
    /// Opens a client connection.
    pub async fn connect(&self) -> Connection {
        Connection::new(
            TcpStream::connect(self.front_address).await.expect("the proxy accepts the connection"),
        )
    }

    /// Opens a client connection and sends a request to `/r/x`. `headers` are complete lines.
    pub async fn send_request(&self, id: &str, headers: &str) -> Connection {
        let mut client = self.connect().await;
        client.send(&request(id, headers, "body")).await;
        client
    }

    /// Sends a request on a new client connection and receives it at server a or b. Returns both connections
    /// and the server's name.
    pub async fn dispatch(&self, id: &str, headers: &str) -> (Connection, Connection, &'static str) {
        let client = self.send_request(id, headers).await;
        let (server, _, name) = self.receive_any(&PLAIN_SERVERS).await;
        (client, server, name)
    }

    /// Returns a client connection and a connection to server a that are idle and reusable after a first
    /// exchange (request `r1`). Afterwards, a is the only one of the two plain servers that is listed.
    pub async fn idle_connections(&mut self) -> (Connection, Connection) {
        self.list_all_except(&["b"]).await;
        let mut client = self.send_request("r1", "").await;
        let (mut server, _) = self.receive("a").await;
        server.send(&ok_response("r1", "first")).await;
        assert_eq!(client.read_response().await.body, "first");
        (client, server)
    }

    /// Returns once the proxy has received all bytes that were sent to it before this call.
    pub async fn wait_until_received(&self) {
        let mut client = self.connect().await;
        client.send(&unrouted_request("GET", "", "")).await;
        assert_eq!(client.read_response().await.status(), 404);
    }

    /// Returns the status of the response to a readiness check.
    pub async fn readiness_status(&self) -> u16 {
        let mut check = Connection::new(
            TcpStream::connect(self.ready_address).await.expect("the proxy accepts the connection"),
        );
        check.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        check.read_response().await.status()
    }

    /// Begins a graceful shutdown, as SIGTERM does.
    pub fn begin_shutdown(&mut self) {
        drop(self.stop.take());
    }
}

fn is_named(entry: &ServerEntry, names: &[&str]) -> bool {
    names.iter().any(|name| entry.id == format!("i-{name}"))
}

async fn read_report(agent: &mut TcpStream) -> VersionVector {
    let report: ProxyReport =
        read_frame(agent).await.expect("the frame is valid").expect("the proxy sends a report");
    report.have
}
