//! Serves the platform's list on a socket.

use super::{Listed, ListedState, Platform, PlatformParameters};
use crate::fault::Reach;
use crate::host::{World, lock};
use crate::model_server::Stage;
use crate::wire::{Answer, Connection, Request};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// One call that the platform got.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformCall {
    /// Since the start of the world.
    pub at: Duration,
    /// Path and query.
    pub target: String,
    /// The status of the answer.
    pub status: u16,
    /// The body of the answer.
    pub body: String,
}

/// Calls that are kept; older ones are forgotten, so that a long run stays bounded.
const MOST_CALLS: usize = 10_000;

/// Tells the stage that a server has; nothing once it is gone.
pub type StageSource = Box<dyn Fn() -> Option<Stage> + Send>;

struct Shared {
    platform: Mutex<Platform>,
    /// Where the stages of servers are asked, by their ids.
    stages: Mutex<BTreeMap<String, StageSource>>,
    calls: Mutex<Vec<PlatformCall>>,
    reach: watch::Sender<Reach>,
    world: World,
}

impl Shared {
    /// Notes the stages that have changed since the last call.
    fn show_stages(&self) {
        let now = self.world.now();
        let mut platform = lock(&self.platform);
        lock(&self.stages).retain(|id, source| {
            let stage = source();
            if let Some(stage) = stage {
                platform.show_stage(id, stage.word(), now);
            }
            stage.is_some()
        });
    }
}

/// The platform on its socket.
pub struct PlatformHost {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl PlatformHost {
    /// Starts to serve at the address.
    pub async fn start(
        world: &World, address: SocketAddr, parameters: PlatformParameters,
    ) -> io::Result<PlatformHost> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            platform: Mutex::new(Platform::new(parameters)),
            stages: Mutex::default(),
            calls: Mutex::default(),
            reach: watch::Sender::new(Reach::Open),
            world: world.clone(),
        });
        tokio::spawn(accept(Arc::clone(&shared), listener));
        Ok(PlatformHost { shared, address })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds an entry, or replaces that of the same id.
    pub fn put(&self, entry: Listed) {
        lock(&self.shared.platform).put(entry, self.shared.world.now());
    }

    /// Lets the list show the stage that a server has, whatever orders it follows.
    pub fn follow_stage(&self, id: &str, source: StageSource) {
        lock(&self.shared.stages).insert(id.to_owned(), source);
    }

    /// Changes an entry.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Listed)) {
        lock(&self.shared.platform).change(id, self.shared.world.now(), change);
    }

    /// Marks a server as one that is to end.
    pub fn drain(&self, id: &str) {
        self.change(id, |entry| entry.state = ListedState::Draining);
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        lock(&self.shared.platform).remove(id, self.shared.world.now());
    }

    /// Changes whether it can be reached.
    pub fn set_reach(&self, reach: Reach) {
        self.shared.reach.send_replace(reach);
    }

    /// The last calls.
    pub fn calls(&self) -> Vec<PlatformCall> {
        lock(&self.shared.calls).clone()
    }
}

impl Drop for PlatformHost {
    fn drop(&mut self) {
        self.set_reach(Reach::Down);
    }
}

async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let mut reach = shared.reach.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reach.wait_for(|reach| *reach == Reach::Down) => return,
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(serve(Arc::clone(&shared), stream));
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut reach = shared.reach.subscribe();
    let mut connection = Connection::new(stream);
    let is_reset = tokio::select! {
        () = serve_calls(&shared, &mut connection) => false,
        _ = reach.wait_for(|reach| matches!(reach, Reach::Down | Reach::Refusing)) => true,
    };
    if is_reset {
        connection.reset();
    } else {
        connection.close().await;
    }
}

async fn serve_calls(shared: &Shared, connection: &mut Connection) {
    let mut reach = shared.reach.subscribe();
    while let Ok(Some(request)) = connection.read_request().await {
        let _ = reach.wait_for(|reach| *reach != Reach::Dark).await;
        shared.show_stages();
        let answer = lock(&shared.platform).call(&request, shared.world.now());
        note(shared, &request, &answer);
        if connection.write(&answer.encode()).await.is_err() {
            return;
        }
    }
}

fn note(shared: &Shared, request: &Request, answer: &Answer) {
    let mut calls = lock(&shared.calls);
    if calls.len() >= MOST_CALLS {
        calls.remove(0);
    }
    calls.push(PlatformCall {
        at: shared.world.now(),
        target: request.target.clone(),
        status: answer.status,
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    });
}
