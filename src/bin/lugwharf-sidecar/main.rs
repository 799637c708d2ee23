//! The sidecar: takes the requests of the application beside it and forwards each to an upstream.
#![forbid(unsafe_code)]

mod client_connection;
mod config;
mod connection;
mod discovery;
mod driver;
mod events;
mod gated_stream;
mod pool;
mod request;
mod server;
mod socket;
mod upstream;

use config::{Config, ConfigError};
use driver::Driver;
use events::ListUpdate;
use pool::Pool;
use server::Server;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Descriptors for what is no connection of the application or to upstreams: the listener, discovery, logs.
const RESERVED_DESCRIPTORS: usize = 16;
/// The part of all descriptors, one of so many, that clients may use for requests. Each of these needs one more, for its
/// upstream.
const REQUEST_PART: usize = 3;
/// How often binding is retried while a predecessor still has the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why the sidecar ends with an error.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    #[error("starting: {0}")]
    System(#[from] io::Error),
}

/// Binds the address. A predecessor may still have it for so long while it shuts down.
async fn listen(address: SocketAddr, predecessor_time: Duration) -> Result<TcpListener, StartError> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && since.elapsed() < predecessor_time => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result.map_err(|error| StartError::Listen(address, error)),
        }
    }
}

/// Takes over what may change while the sidecar runs, which is where discovery is; the rest of the file counts at the next
/// start. A file that cannot be read changes nothing.
fn reload(discovery: &watch::Sender<SocketAddr>) {
    match Config::reload_discovery() {
        Ok(address) => {
            eprintln!("reloaded: discovery at {address}");
            discovery.send_replace(address);
        }
        Err(error) => eprintln!("not reloaded: {error}"),
    }
}

/// The server list as it was last known; `None` if there is none that can be read.
fn known_list(config: &Config) -> Option<ListUpdate> {
    match discovery::read(&config.known, &config.deployment) {
        Ok(known) => Some(known),
        Err(error) => {
            eprintln!("{}: starting without a known list: {error}", config.name);
            None
        }
    }
}

async fn run() -> Result<(), StartError> {
    // First of all: without a handler SIGHUP would end the process.
    let mut hangup = signal(SignalKind::hangup())?;
    let config = Arc::new(Config::from_env()?);
    let mut term = signal(SignalKind::terminate())?;
    let listener = listen(config.listen, server::shutdown_time(&config)).await?;
    eprintln!("{}: listening on {}", config.name, listener.local_addr()?);
    // What is left of the descriptors is for connections that have sent no request yet.
    let request_share = config.max_descriptors / REQUEST_PART;
    let max_clients = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + request_share);
    let pool = Pool::new(
        request_share.max(1),
        config.settings.keep_alive,
        config.deployment.connect_timeout,
        config.settings.handshake_price > 0.0,
    );
    tokio::spawn(pool.clone().sweep());
    let subscribe = Arc::new(Notify::new());
    let (driver, handle) = Driver::new(config.clone(), pool, subscribe.clone());
    let known = known_list(&config);
    let known_revision = known.as_ref().map(|known| known.revision);
    let server = Server::new(config.clone(), handle.clone(), max_clients.max(1), request_share);
    let mut driving = tokio::spawn(driver.run(known));
    let (discovery, address) = watch::channel(config.discovery);
    tokio::spawn(discovery::follow(config, address, known_revision, subscribe, handle));
    tokio::spawn(server.clone().listen(listener));
    tokio::spawn(server.clone().sweep());
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hangup.recv() => reload(&discovery),
            ended = &mut driving => {
                return Err(io::Error::other(format!("the driver ended: {ended:?}")).into());
            }
        }
    }
    server.shut_down().await;
    Ok(())
}

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run()).map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("lugwharf-sidecar: {message}");
            ExitCode::FAILURE
        }
    }
}
