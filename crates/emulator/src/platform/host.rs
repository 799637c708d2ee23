//! The platform on a socket.

use super::{InstanceEntry, InstanceState, Platform, PlatformParameters};
use crate::fault::Reachability;
use crate::host::{Environment, StageSource};
use crate::sync::lock;
use crate::wire::{Connection, Request, Response};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One request that the platform got.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformRequest {
    /// Since the start of the environment.
    pub at: Duration,
    /// Path and query.
    pub target: String,
    /// The status of the response.
    pub status: u16,
    /// The body of the response.
    pub body: String,
}

/// Requests that are recorded; older ones are dropped, so that a long run stays bounded.
const MAX_RECORDED_REQUESTS: usize = 10_000;

struct Shared {
    platform: Mutex<Platform>,
    /// Reads the stage of each tracked server, by id.
    stages: Mutex<BTreeMap<String, StageSource>>,
    calls: Mutex<Vec<PlatformRequest>>,
    reachability: watch::Sender<Reachability>,
    environment: Environment,
}

impl Shared {
    /// Updates the stages of tracked servers, and drops servers that are gone.
    fn refresh_stages(&self) {
        let now = self.environment.now();
        let mut platform = lock(&self.platform);
        lock(&self.stages).retain(|id, source| {
            let stage = source();
            if let Some(stage) = stage {
                platform.update_stage(id, stage.as_str(), now);
            }
            stage.is_some()
        });
    }
}

/// The platform on its socket. Dropping it ends it as a crash does.
pub struct PlatformHost {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl PlatformHost {
    /// Starts to serve at an address; port 0 takes any free one.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn start(
        environment: &Environment, address: SocketAddr, parameters: PlatformParameters,
    ) -> io::Result<PlatformHost> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            platform: Mutex::new(Platform::new(parameters)),
            stages: Mutex::default(),
            calls: Mutex::default(),
            reachability: watch::Sender::new(Reachability::Serving),
            environment: environment.clone(),
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        Ok(PlatformHost { shared, address })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds an entry, or replaces that of the same id.
    pub fn put(&self, entry: InstanceEntry) {
        lock(&self.shared.platform).put(entry, self.shared.environment.now());
    }

    /// Lets the list show the stage that a server has, as orders change it.
    pub fn track_stage(&self, id: &str, source: StageSource) {
        lock(&self.shared.stages).insert(id.to_owned(), source);
    }

    /// Changes an entry.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut InstanceEntry)) {
        lock(&self.shared.platform).change(id, self.shared.environment.now(), change);
    }

    /// Lists a server as draining.
    pub fn drain(&self, id: &str) {
        self.change(id, |entry| entry.state = InstanceState::Draining);
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        lock(&self.shared.platform).remove(id, self.shared.environment.now());
    }

    /// Changes whether it can be reached.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.shared.reachability.send_replace(reachability);
    }

    /// The last 10,000 requests.
    pub fn requests(&self) -> Vec<PlatformRequest> {
        lock(&self.shared.calls).clone()
    }
}

impl Drop for PlatformHost {
    fn drop(&mut self) {
        self.set_reachability(Reachability::Down);
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut reachability = shared.reachability.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reachability.wait_for(|reachability| *reachability == Reachability::Down) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve(Arc::clone(&shared), stream));
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut reachability = shared.reachability.subscribe();
    let mut connection = Connection::new(stream);
    let is_reset = tokio::select! {
        () = serve_calls(&shared, &mut connection) => false,
        _ = reachability.wait_for(|reachability| matches!(reachability, Reachability::Down | Reachability::Refusing)) => true,
    };
    if is_reset {
        connection.reset();
    } else {
        connection.close().await;
    }
}

async fn serve_calls(shared: &Shared, connection: &mut Connection) {
    let mut reachability = shared.reachability.subscribe();
    while let Ok(Some(request)) = connection.read_request().await {
        let _ = reachability.wait_for(|reachability| *reachability != Reachability::Blackholed).await;
        shared.refresh_stages();
        let response = lock(&shared.platform).call(&request, shared.environment.now());
        record(shared, &request, &response);
        if connection.write(&response.encode()).await.is_err() {
            return;
        }
    }
}

fn record(shared: &Shared, request: &Request, response: &Response) {
    let mut calls = lock(&shared.calls);
    if calls.len() >= MAX_RECORDED_REQUESTS {
        calls.remove(0);
    }
    calls.push(PlatformRequest {
        at: shared.environment.now(),
        target: request.target.clone(),
        status: response.status,
        body: String::from_utf8_lossy(&response.body).into_owned(),
    });
}
