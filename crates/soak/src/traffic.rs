//! The client load of a run: requests on all routes. Some clients disconnect early, send slowly, disconnect
//! in the middle of a request, or rest on connections that they open ahead of use.

use crate::configuration::{HOST, MIN_IDLE_TIMEOUT_MS, MIN_MAX_BODY_BYTES};
use lugwharf_emulator::client::{AttemptEnd, AttemptOutcome, Client, ClientRequest, RequestKind};
use lugwharf_emulator::host::Environment;
use lugwharf_emulator::wire::Connection;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// The number of clients that wait for each response before they send the next request.
const STEADY_CLIENTS: usize = 6;
/// The number of clients that rest on their connections.
const RESTING_CLIENTS: usize = 4;
/// The range that a rest is drawn from, in ms: up to four fifths of the shortest idle timeout.
const REST_MS: std::ops::Range<u64> = 0..MIN_IDLE_TIMEOUT_MS * 4 / 5;
/// The range that the pause between two requests of a client is drawn from, in ms.
const PAUSE_MS: std::ops::Range<u64> = 5..60;
/// One of this many generations is long.
const LONG_ONE_IN: u32 = 12;
/// The range that the number of output tokens of a long generation is drawn from. Each token takes about 0.6
/// ms.
const LONG_TOKENS: std::ops::Range<u64> = 1_500..5_000;
/// The client timeout, in ms. It is longer than the timeout of any route.
const DEADLINE_MS: u64 = 32_000;
/// The maximum number of requests that are sent on one connection.
const MAX_REQUESTS_PER_CONNECTION: u32 = 20;

/// The behaviour of a client. The names of the variants are fixed, since findings and `ledger.txt` contain
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// The client sends a request and waits for the response.
    Steady,
    /// The client disconnects before it receives the response.
    Leaving,
    /// The client pauses in the middle of a request, and waits for the response.
    Slow,
    /// The client disconnects in the middle of a request.
    Stopping,
    /// The client opens its connection ahead of use, and rests on it before each request.
    Resting,
    /// The client uses its connection until that is gone. `checker/unanswered.rs` checks its responses.
    Persistent,
}

impl Behaviour {
    /// Whether the client waits for each response, and so must receive one.
    pub fn awaits_response(self) -> bool {
        matches!(self, Behaviour::Steady | Behaviour::Slow | Behaviour::Resting)
    }
}

/// One request of a client. Times are since the start of the run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The index of the front-end node that the request was sent to.
    pub front: usize,
    /// The behaviour of the client.
    pub behaviour: Behaviour,
    /// Whether the connection had been used for an earlier request.
    pub is_connection_reused: bool,
    /// When the client began to wait on the connection for its request, or sent it without a rest.
    pub started_at: Duration,
    /// When the request was sent.
    pub sent_at: Duration,
    /// When the client had received the response, or disconnected.
    pub ended_at: Duration,
    /// The size of the body of the request, in bytes.
    pub body_bytes: usize,
    /// The outcome at the client.
    pub outcome: AttemptOutcome,
}

/// The text that identifies an attempt in findings.
impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Attempt { front, behaviour, started_at, ended_at, outcome, .. } = self;
        let (id, target) = (&outcome.request_id, &outcome.target);
        let (from, until) = (started_at.as_millis(), ended_at.as_millis());
        write!(f, "{id} {target} {behaviour:?} front {front} {from}..{until} ms")
    }
}

/// The state that all clients share.
#[derive(Clone)]
struct ClientContext {
    environment: Environment,
    fronts: Vec<SocketAddr>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    /// The number of the next request, over all clients.
    next_id: Arc<AtomicU64>,
    stop: watch::Receiver<bool>,
}

/// The clients of a run.
pub struct Traffic {
    attempts: Arc<Mutex<Vec<Attempt>>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Traffic {
    /// Starts all clients. Each has its own random number generator, so that the timing of one client does
    /// not affect the draws of another.
    pub fn start(environment: &Environment, fronts: Vec<SocketAddr>, seed: u64) -> Traffic {
        let stop = watch::Sender::new(false);
        let context = ClientContext {
            environment: environment.clone(),
            fronts,
            attempts: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
            stop: stop.subscribe(),
        };
        let behaviours = std::iter::repeat_n(Behaviour::Steady, STEADY_CLIENTS).chain([
            Behaviour::Leaving,
            Behaviour::Slow,
            Behaviour::Stopping,
        ]);
        let behaviours = behaviours.chain(std::iter::repeat_n(Behaviour::Resting, RESTING_CLIENTS));
        let tasks = behaviours.enumerate().map(|(number, behaviour)| {
            let rng = fastrand::Rng::with_seed(seed ^ (0xc0 + number as u64));
            tokio::spawn(run_client(context.clone(), behaviour, rng))
        });
        let tasks = tasks.collect();
        Traffic { attempts: context.attempts, stop, tasks }
    }

    /// Waits until the requests in flight have ended, and returns all attempts.
    pub async fn finish(self) -> Vec<Attempt> {
        self.stop.send_replace(true);
        for task in self.tasks {
            // A client that panicked records nothing more.
            let _ = task.await;
        }
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Sends requests until the load stops. Each connection is to a random front-end node.
async fn run_client(context: ClientContext, behaviour: Behaviour, mut rng: fastrand::Rng) {
    while !*context.stop.borrow() {
        let front = rng.usize(..context.fronts.len());
        let mut client = Client::new(context.fronts[front]);
        if behaviour == Behaviour::Slow {
            client = client.with_mid_request_pause(Duration::from_millis(rng.u64(5..250)));
        }
        for _ in 0..rng.u32(1..=MAX_REQUESTS_PER_CONNECTION) {
            if *context.stop.borrow() {
                return;
            }
            let is_open = send_one(&context, behaviour, front, &mut client, &mut rng).await;
            tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
            if !is_open {
                break;
            }
        }
    }
}

/// Sends and records one request. Returns whether the connection can be used for another request.
async fn send_one(
    context: &ClientContext, behaviour: Behaviour, front: usize, client: &mut Client, rng: &mut fastrand::Rng,
) -> bool {
    let request = draw_request(context, behaviour, rng);
    let (is_connection_reused, started_at) = (client.is_connected(), context.environment.now());
    if behaviour == Behaviour::Resting {
        rest(context, client, rng).await;
    }
    let sent_at = context.environment.now();
    let outcome = match behaviour {
        Behaviour::Steady | Behaviour::Slow | Behaviour::Resting | Behaviour::Persistent => {
            client.send(&request).await
        }
        Behaviour::Leaving => {
            let disconnect_delay = Duration::from_millis(rng.u64(1..60));
            let sent = timeout(disconnect_delay, client.send(&request)).await.ok();
            // Dropping the client closes its connection.
            let address = context.fronts[front];
            if sent.is_none() {
                *client = Client::new(address);
            }
            sent.unwrap_or_else(|| AttemptOutcome { ending: AttemptEnd::TimedOut, ..request.outcome() })
        }
        Behaviour::Stopping => disconnect_midway(context.fronts[front], &request, rng).await,
    };
    let ended_at = context.environment.now();
    let body_bytes = request.body.len();
    let attempt = Attempt {
        front,
        behaviour,
        is_connection_reused,
        started_at,
        sent_at,
        ended_at,
        body_bytes,
        outcome,
    };
    context.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
    client.is_connected()
}

/// Opens the client's connection and rests on it. The rest ends early when the load stops.
async fn rest(context: &ClientContext, client: &mut Client, rng: &mut fastrand::Rng) {
    client.connect().await;
    let rest = Duration::from_millis(rng.u64(REST_MS));
    let mut stop = context.stop.clone();
    // The result is ignored: the request is sent after the rest and after its early end.
    let _ = timeout(rest, stop.wait_for(|has_stopped| *has_stopped)).await;
}

/// Sends part of a request and closes the connection.
async fn disconnect_midway(
    front: SocketAddr, request: &ClientRequest, rng: &mut fastrand::Rng,
) -> AttemptOutcome {
    let mut outcome = request.outcome();
    let Ok(mut connection) = Connection::open(front).await else { return outcome };
    outcome.ending = AttemptEnd::Truncated;
    let bytes = request.to_wire().encode();
    // At least the last byte is left out, so the request is incomplete.
    let length = rng.usize(1..bytes.len());
    if connection.write(&bytes[..length]).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(rng.u64(0..40))).await;
    }
    connection.close().await;
    outcome
}

/// Draws a request that is suitable for the behaviour of the client. Half of those that follow a rest have a
/// body that only some versions of the configuration allow.
fn draw_request(context: &ClientContext, behaviour: Behaviour, rng: &mut fastrand::Rng) -> ClientRequest {
    let number = context.next_id.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:016x}", 0x50a4_0000_0000_0000_u64 + number);
    // A request whose client disconnects early should take seconds, and some streams should last longer than
    // a fault.
    let is_long = behaviour == Behaviour::Leaving || rng.u32(..LONG_ONE_IN) == 0;
    let out_tokens = if is_long { rng.u64(LONG_TOKENS) } else { rng.u64(1..80) };
    // The first segment of a prompt is one of twenty, so that servers have some of them in their prefix
    // cache.
    let segments = [(rng.u64(..20), 2_000), (0x1_0000 + number, 2_000)];
    let route = if behaviour == Behaviour::Leaving { rng.u32(3..10) } else { rng.u32(..8) };
    let request = match route {
        0 | 1 => ClientRequest::post(&id, HOST, "/work/1", RequestKind::Unsafe),
        2 => ClientRequest::post(&id, HOST, "/move/1", RequestKind::Unsafe),
        3 => ClientRequest::post(&id, HOST, "/read/1", RequestKind::Safe),
        4 | 5 => ClientRequest::generation(&id, HOST, "/gen/1", (5_000, out_tokens), &segments),
        6 | 7 => {
            let request = ClientRequest::generation(&id, HOST, "/resume/1", (5_000, out_tokens), &segments);
            ClientRequest { kind: RequestKind::ResumableStream, ..request }
        }
        _ => ClientRequest::post(&id, HOST, "/slow/1", RequestKind::Safe),
    };
    let mut body = request.body.clone();
    if behaviour == Behaviour::Resting && rng.bool() {
        body.resize(MIN_MAX_BODY_BYTES as usize + 1, b'x');
    }
    ClientRequest { deadline_ms: DEADLINE_MS, body, ..request }
}
