//! A proxy on loopback, with an agent, servers and clients that a test controls byte by byte.
#![allow(dead_code)]

mod messages;
pub mod pairs;
mod peer;

pub use messages::*;
pub use peer::*;

use lugwharf_protocol::{
    ConfigRecord, FeedMessage, FleetSummary, ProxyReport, ServerDelta, ServerEntry, ServerState, Stage,
    TablePosition, Update, VersionVector, read_frame, write_frame,
};
use lugwharf_proxy::{ProxyOptions, run_until};
use lugwharf_settings::Settings;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;

pub const HOST: &str = "h.example";

const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;

/// What a world begins with.
pub struct Setup {
    pub routes: Vec<String>,
    pub servers: Vec<(&'static str, Option<Stage>)>,
    pub is_model: bool,
    pub retry_budget: f64,
    pub configured: bool,
    /// The largest body that clients may send.
    pub max_body: usize,
}

/// One route of `kind` under `/r/`, to servers a and b.
pub fn setup(kind: &str, more: &str) -> Setup {
    let route = format!(
        r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"{kind}","TimeoutMs":5000,"SloMs":300,"Service":"s"{more}}}"#
    );
    let servers = vec![("a", None), ("b", None)];
    Setup {
        routes: vec![route],
        servers,
        is_model: false,
        retry_budget: 0.2,
        configured: true,
        max_body: 1_000,
    }
}

/// A streaming route to one prefill server and decode servers.
pub fn split(more: &str, decoders: &[&'static str]) -> Setup {
    let mut setup = setup("streaming", more);
    setup.is_model = true;
    setup.servers = vec![("p", Some(Stage::Prefill))];
    setup.servers.extend(decoders.iter().map(|name| (*name, Some(Stage::Decode))));
    setup
}

pub struct World {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    servers: BTreeMap<&'static str, TcpListener>,
    entries: Vec<ServerEntry>,
    agent: TcpStream,
    feed: TcpListener,
    sequence: u64,
    max_body: usize,
    stop: Option<oneshot::Sender<()>>,
}

/// Runs a proxy, and `body` beside it; then shuts the proxy down unless the body has.
pub async fn with_world(setup: Setup, body: impl AsyncFnOnce(&mut World)) {
    let wiring = Wiring::prepare(&setup).await;
    let proxy = run_until(wiring.settings, ProxyOptions::default(), ended(wiring.stop));
    let script = async {
        let mut world = World::new(wiring.feed, wiring.addresses, wiring.sender, &setup).await;
        if setup.configured {
            world.begin(&setup).await;
        }
        body(&mut world).await;
    };
    tokio::pin!(proxy);
    tokio::select! {
        ended = &mut proxy => panic!("the proxy ended: {ended:?}"),
        () = script => {}
    }
}

/// Like [`with_world`], for a body that stops the proxy: waits for its end too.
pub async fn until_end(setup: Setup, body: impl AsyncFnOnce(&mut World)) {
    let wiring = Wiring::prepare(&setup).await;
    let proxy = run_until(wiring.settings, ProxyOptions::default(), ended(wiring.stop));
    let script = async {
        let mut world = World::new(wiring.feed, wiring.addresses, wiring.sender, &setup).await;
        world.begin(&setup).await;
        body(&mut world).await;
        world
    };
    let (ended, _world) = tokio::join!(proxy, script);
    ended.expect("an orderly end");
}

/// What a proxy and its world need of each other before they run.
struct Wiring {
    settings: Settings,
    feed: TcpListener,
    addresses: Addresses,
    sender: oneshot::Sender<()>,
    stop: oneshot::Receiver<()>,
}

impl Wiring {
    async fn prepare(setup: &Setup) -> Wiring {
        let feed = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let port = feed.local_addr().expect("an address").port();
        let addresses = Addresses::own();
        let settings = settings(port, &addresses, setup.retry_budget);
        let (sender, stop) = oneshot::channel();
        Wiring { settings, feed, addresses, sender, stop }
    }
}

async fn ended(stop: oneshot::Receiver<()>) {
    drop(stop.await);
}

/// Where a proxy listens.
struct Addresses {
    front: SocketAddr,
    ready: SocketAddr,
}

impl Addresses {
    /// On a loopback address of this proxy's own: a port that was free a moment ago may have gone to another test's connection.
    fn own() -> Addresses {
        static STARTED: AtomicU8 = AtomicU8::new(0);
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let number = STARTED.fetch_add(1, Ordering::Relaxed).wrapping_add(2);
        let host = Ipv4Addr::new(127, high, low, number);
        Addresses { front: (host, FRONT_PORT).into(), ready: (host, READY_PORT).into() }
    }
}

fn settings(feed: u16, addresses: &Addresses, retry_budget: f64) -> Settings {
    let Addresses { front, ready } = addresses;
    let (first, last) = (feed - 2, feed.saturating_add(1));
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
    Settings::parse(&text).expect("settings")
}

impl World {
    async fn new(feed: TcpListener, addresses: Addresses, stop: oneshot::Sender<()>, setup: &Setup) -> World {
        let Addresses { front, ready } = addresses;
        let mut agent = feed.accept().await.expect("the proxy").0;
        let report: ProxyReport = read_frame(&mut agent).await.expect("a report").expect("a report");
        assert_eq!(report.have, VersionVector::default());
        let (mut servers, mut entries) = (BTreeMap::new(), Vec::new());
        for (name, stage) in &setup.servers {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            servers.insert(*name, listener);
            entries.push(ServerEntry {
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
        let (max_body, stop) = (setup.max_body, Some(stop));
        World { front, ready, servers, entries, agent, feed, sequence: 0, max_body, stop }
    }

    /// Brings what a world begins with into force.
    async fn begin(&mut self, setup: &Setup) {
        self.configure(1, &setup.routes, setup.is_model).await;
        self.list(&[]).await;
    }

    /// Breaks the feed off and takes the proxy's next connection: what it reports.
    pub async fn reconnect(&mut self) -> VersionVector {
        self.agent.shutdown().await.expect("closed");
        self.agent = self.feed.accept().await.expect("the proxy").0;
        let report: ProxyReport = read_frame(&mut self.agent).await.expect("a report").expect("a report");
        report.have
    }

    async fn update(&mut self, update: Update) -> VersionVector {
        write_frame(&mut self.agent, &FeedMessage::Update(update)).await.expect("sent");
        let report: ProxyReport = read_frame(&mut self.agent).await.expect("a report").expect("a report");
        report.have
    }

    /// Brings a configuration into force.
    pub async fn configure(&mut self, version: u64, routes: &[String], is_model: bool) -> VersionVector {
        let engine = if is_model { r#","Engine":{"Slots":8}"# } else { "" };
        let routes = routes.join(",");
        let max_body = self.max_body;
        let text = format!(
            r#"{{"Version":{version},"Routes":[{routes}],"Services":[{{"Name":"s"{engine}}}],
            "Limits":{{"MaxHeaderBytes":4096,"MaxBodyBytes":{max_body},"HeaderTimeoutMs":500,"IdleTimeoutMs":4000}}}}"#
        );
        let config = Some(ConfigRecord { version, bytes: text.into_bytes() });
        self.update(Update { config, ..Update::default() }).await
    }

    /// Lists all servers but those.
    pub async fn list(&mut self, gone: &[&str]) {
        let is_listed = |entry: &&ServerEntry| !gone.iter().any(|name| entry.id == format!("i-{name}"));
        let entries: Vec<ServerEntry> = self.entries.iter().filter(is_listed).cloned().collect();
        self.list_entries(entries).await;
    }

    /// Lists all servers, those as draining.
    pub async fn list_draining(&mut self, draining: &[&str]) {
        let mut entries = self.entries.clone();
        for entry in &mut entries {
            if draining.iter().any(|name| entry.id == format!("i-{name}")) {
                entry.state = ServerState::Draining;
            }
        }
        self.list_entries(entries).await;
    }

    async fn list_entries(&mut self, entries: Vec<ServerEntry>) {
        self.sequence += 1;
        let position = TablePosition { epoch: 1, sequence: self.sequence };
        let servers = Some(ServerDelta { position, is_full: true, entries, removed: Vec::new() });
        let fleet = Some(FleetSummary { live_proxies: 1 });
        let have = self.update(Update { servers, fleet, ..Update::default() }).await;
        assert_eq!(have.servers, position);
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        let entry = self.entries.iter().find(|entry| entry.id == format!("i-{name}"));
        entry.expect("a server of that name").address
    }

    /// The next connection to a server.
    pub async fn accept(&self, name: &str) -> Peer {
        Peer::new(self.servers[name].accept().await.expect("a connection").0)
    }

    /// The next connection to one of two servers, and its name.
    pub async fn accept_either(&self, one: &'static str, other: &'static str) -> (Peer, &'static str) {
        tokio::select! {
            peer = self.accept(one) => (peer, one),
            peer = self.accept(other) => (peer, other),
        }
    }

    /// The next request at a server, whole, with its connection.
    pub async fn offer(&self, name: &str) -> (Peer, Message) {
        let mut server = self.accept(name).await;
        let seen = server.message().await.expect("a request");
        (server, seen)
    }

    /// The next request at one of two servers, whole, with its connection and the server's name.
    pub async fn offer_either(
        &self, one: &'static str, other: &'static str,
    ) -> (Peer, Message, &'static str) {
        let (mut server, name) = self.accept_either(one, other).await;
        let seen = server.message().await.expect("a request");
        (server, seen, name)
    }

    /// Ends a server: connections to it are refused from now on.
    pub fn end(&mut self, name: &str) {
        self.servers.remove(name);
    }

    pub async fn client(&self) -> Peer {
        Peer::new(TcpStream::connect(self.front).await.expect("accepted"))
    }

    /// A new client that sends a request to `/r/x`.
    pub async fn ask(&self, id: &str, more: &str) -> Peer {
        let mut client = self.client().await;
        client.send(&request(id, more, "body")).await;
        client
    }

    /// The status that readiness checks get.
    pub async fn readiness(&self) -> u16 {
        let mut check = Peer::new(TcpStream::connect(self.ready).await.expect("accepted"));
        check.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        check.message().await.expect("an answer").status()
    }

    /// What SIGTERM does.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }
}
