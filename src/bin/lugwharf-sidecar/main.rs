//! The sidecar: a client-side load balancer that accepts the requests of the application on its host and
//! forwards each to an upstream server.
#![forbid(unsafe_code)]

mod client_connection;
mod config;
mod connection;
mod discovery;
mod driver;
mod events;
mod gated_stream;
mod head_check;
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

/// File descriptors for everything but the connections of the application and to upstreams: the listener,
/// discovery, logs.
const RESERVED_DESCRIPTORS: usize = 16;
/// Client connections that carry requests may use the process's descriptor limit divided by this. Each
/// request needs one more descriptor, for its upstream connection.
const REQUEST_DESCRIPTOR_DIVISOR: usize = 3;
/// The interval between attempts to bind while the previous process still has the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The errors that end the sidecar.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("listening on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    #[error("starting: {0}")]
    System(#[from] io::Error),
}

/// Binds the address. The previous sidecar process may still hold the address while it shuts down, so an
/// address in use is retried for `max_wait`.
async fn listen(address: SocketAddr, max_wait: Duration) -> Result<TcpListener, StartError> {
    let since = Instant::now();
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && since.elapsed() < max_wait => {
                sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result.map_err(|error| StartError::Listen(address, error)),
        }
    }
}

/// Applies the one setting that may change while the sidecar runs: the address of discovery. The rest of the
/// file takes effect at the next start. A file that cannot be read changes nothing.
fn reload(discovery: &watch::Sender<SocketAddr>) {
    match Config::reload_discovery() {
        Ok(address) => {
            eprintln!("reloaded: discovery at {address}");
            discovery.send_replace(address);
        }
        Err(error) => eprintln!("not reloaded: {error}"),
    }
}

/// Reads the cached server list of the configuration; `None` if there is none that can be read.
fn read_cached_list(config: &Config) -> Option<ListUpdate> {
    match discovery::read(&config.cached_list, &config.network) {
        Ok(list) => Some(list),
        Err(error) => {
            eprintln!("{}: starting without a cached server list: {error}", config.name);
            None
        }
    }
}

async fn run() -> Result<(), StartError> {
    // The handler is installed before anything else: without one, SIGHUP would end the process.
    let mut hangup = signal(SignalKind::hangup())?;
    let config = Arc::new(Config::from_env()?);
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = listen(config.listen, server::shutdown_time(&config)).await?;
    eprintln!("{}: listening on {}", config.name, listener.local_addr()?);
    // The remaining descriptors are for client connections that have sent no request yet.
    let request_descriptors = config.max_descriptors / REQUEST_DESCRIPTOR_DIVISOR;
    let max_clients = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS + request_descriptors);
    let pool = Pool::new(
        request_descriptors.max(1),
        config.settings.keep_alive,
        config.network.connect_timeout,
        config.settings.handshake_price > 0.0,
    );
    tokio::spawn(pool.clone().sweep());
    let subscribe = Arc::new(Notify::new());
    let (driver, handle) = Driver::new(config.clone(), pool, subscribe.clone());
    let cached_list = read_cached_list(&config);
    let known_revision = cached_list.as_ref().map(|list| list.revision);
    let server = Server::new(config.clone(), handle.clone(), max_clients.max(1), request_descriptors);
    let mut driver_task = tokio::spawn(driver.run(cached_list));
    let (discovery, address) = watch::channel(config.discovery);
    tokio::spawn(discovery::follow(config, address, known_revision, subscribe, handle));
    tokio::spawn(server.clone().listen(listener));
    tokio::spawn(server.clone().sweep());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(&discovery),
            ended = &mut driver_task => {
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
