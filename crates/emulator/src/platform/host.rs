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

/// A request that the platform received.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformRequest {
    /// The time since the start of the environment.
    pub at: Duration,
    /// The path and query.
    pub target: String,
    /// The status of the response.
    pub status: u16,
    /// The body of the response.
    pub body: String,
}

/// The maximum number of recorded requests. Older ones are dropped, so that a long run uses bounded memory.
const MAX_RECORDED_REQUESTS: usize = 10_000;

struct Shared {
    platform: Mutex<Platform>,
    /// For each tracked server, by id: the function that reads its stage.
    stage_sources: Mutex<BTreeMap<String, StageSource>>,
    requests: Mutex<Vec<PlatformRequest>>,
    reachability: watch::Sender<Reachability>,
    environment: Environment,
}

impl Shared {
    /// Updates the listed stages of the tracked servers, and stops tracking servers that have ended.
    fn refresh_stages(&self) {
        let now = self.environment.now();
        let mut platform = lock(&self.platform);
        lock(&self.stage_sources).retain(|id, source| {
            let stage = source();
            if let Some(stage) = stage {
                platform.update_stage(id, stage.as_str(), now);
            }
            stage.is_some()
        });
    }
}

/// The platform on a socket. Dropping the host stops the platform abruptly, as a crash would.
pub struct PlatformHost {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl PlatformHost {
    /// Starts serving at `address`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn start(
        environment: &Environment, address: SocketAddr, parameters: PlatformParameters,
    ) -> io::Result<PlatformHost> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            platform: Mutex::new(Platform::new(parameters)),
            stage_sources: Mutex::default(),
            requests: Mutex::default(),
            reachability: watch::Sender::new(Reachability::Serving),
            environment: environment.clone(),
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        Ok(PlatformHost { shared, address })
    }

    /// The address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds an entry, or replaces the entry with the same id.
    pub fn put(&self, entry: InstanceEntry) {
        lock(&self.shared.platform).put(entry, self.shared.environment.now());
    }

    /// Tracks the stage of a server: before each request is answered, its listed stage is updated to the
    /// stage that `source` returns.
    pub fn track_stage(&self, id: &str, source: StageSource) {
        lock(&self.shared.stage_sources).insert(id.to_owned(), source);
    }

    /// Changes the entry with this id, if there is one.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut InstanceEntry)) {
        lock(&self.shared.platform).change(id, self.shared.environment.now(), change);
    }

    /// Lists the server with this id as draining.
    pub fn drain(&self, id: &str) {
        self.change(id, |entry| entry.state = InstanceState::Draining);
    }

    /// Removes the entry with this id.
    pub fn remove(&self, id: &str) {
        lock(&self.shared.platform).remove(id, self.shared.environment.now());
    }

    /// Changes whether the platform can be reached.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.shared.reachability.send_replace(reachability);
    }

    /// The most recent requests, at most 10,000.
    pub fn requests(&self) -> Vec<PlatformRequest> {
        lock(&self.shared.requests).clone()
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
        () = serve_requests(&shared, &mut connection) => false,
        _ = reachability.wait_for(|reachability| matches!(reachability, Reachability::Down | Reachability::Refusing)) => true,
    };
    if is_reset {
        connection.reset();
    } else {
        connection.close().await;
    }
}

async fn serve_requests(shared: &Shared, connection: &mut Connection) {
    let mut reachability = shared.reachability.subscribe();
    while let Ok(Some(request)) = connection.read_request().await {
        // The sender lives as long as `shared`, so the wait cannot fail.
        let _ = reachability.wait_for(|reachability| *reachability != Reachability::Blackholed).await;
        shared.refresh_stages();
        let response = lock(&shared.platform).handle_request(&request, shared.environment.now());
        record_request(shared, &request, &response);
        if connection.write(&response.encode()).await.is_err() {
            return;
        }
    }
}

fn record_request(shared: &Shared, request: &Request, response: &Response) {
    let mut requests = lock(&shared.requests);
    if requests.len() >= MAX_RECORDED_REQUESTS {
        requests.remove(0);
    }
    requests.push(PlatformRequest {
        at: shared.environment.now(),
        target: request.target.clone(),
        status: response.status,
        body: String::from_utf8_lossy(&response.body).into_owned(),
    });
}
