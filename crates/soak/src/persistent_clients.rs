//! Clients that use each connection until it is gone, and keep a ledger of what they sent whole and what came
//! back.
//!
//! They send the next request at the moment at which a response is complete, send requests ahead, and go on
//! when a response announces the close of the connection.

use crate::configuration::HOST;
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{
    AttemptEnd, ClientRequest, FailedCheck, ReadError, RequestKind, StrictReader,
};
use lugwharf_emulator::events::EventParser;
use lugwharf_emulator::header_names;
use lugwharf_emulator::host::Environment;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The number of clients.
const CLIENTS: usize = 4;
/// The maximum number of requests that are sent together.
const MAX_BATCH: usize = 3;
/// The range that the rest before a batch is drawn from, in ms, if there is one. Some rests are longer than
/// the time after which a shutdown closes an idle connection.
const REST_MS: std::ops::Range<u64> = 0..400;
/// The range that the number of output tokens is drawn from. Each token takes about 0.6 ms.
const OUT_TOKENS: std::ops::Range<u64> = 100..1_500;
/// The client timeout, in ms. It is longer than the timeout of any route.
const DEADLINE_MS: u64 = 32_000;
/// The maximum time without a byte of an expected response.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(35);
/// The timeout of a connection attempt, and the pause after a failed one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CONNECT_PAUSE: Duration = Duration::from_millis(50);

/// A connection, as its client saw it. Times are since the start of the run.
#[derive(Clone, Debug)]
pub struct ConnectionLedger {
    /// The index of the front-end node.
    pub front: usize,
    /// When the first head arrived that announced the close of the connection.
    pub announced_close_at: Option<Duration>,
    /// When the front-end node had closed the connection; `None` if the client did at the end of the run.
    pub ended_at: Option<Duration>,
    /// The requests that were sent whole, in their order. The ending of those without a complete response is
    /// [`AttemptEnd::Truncated`].
    pub requests: Vec<Attempt>,
}

/// The state that all clients share.
#[derive(Clone)]
struct ClientContext {
    environment: Environment,
    fronts: Vec<SocketAddr>,
    ledgers: Arc<Mutex<Vec<ConnectionLedger>>>,
    /// The number of the next request, over all clients.
    next_id: Arc<AtomicU64>,
    stop: watch::Receiver<bool>,
}

/// The clients of a run.
pub struct PersistentClients {
    ledgers: Arc<Mutex<Vec<ConnectionLedger>>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl PersistentClients {
    /// Starts all clients.
    pub fn start(environment: &Environment, fronts: Vec<SocketAddr>, seed: u64) -> PersistentClients {
        let stop = watch::Sender::new(false);
        let context = ClientContext {
            environment: environment.clone(),
            fronts,
            ledgers: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
            stop: stop.subscribe(),
        };
        let client = |number: usize| {
            let rng = fastrand::Rng::with_seed(seed ^ (0xe0 + number as u64));
            tokio::spawn(run_client(context.clone(), number % context.fronts.len(), rng))
        };
        let tasks = (0..CLIENTS).map(client).collect();
        PersistentClients { ledgers: context.ledgers, stop, tasks }
    }

    /// Waits until the requests in flight have their responses, and returns the ledgers.
    pub async fn finish(self) -> Vec<ConnectionLedger> {
        self.stop.send_replace(true);
        for task in self.tasks {
            // A client that panicked records nothing more.
            let _ = task.await;
        }
        self.ledgers.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Uses one connection after another to the same front-end node until the load stops.
async fn run_client(context: ClientContext, front: usize, mut rng: fastrand::Rng) {
    while !*context.stop.borrow() {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(context.fronts[front])).await {
            Ok(Ok(stream)) => {
                let ledger = PersistentConnection::new(&context, front, stream).run(&mut rng).await;
                context.ledgers.lock().unwrap_or_else(PoisonError::into_inner).push(ledger);
            }
            Ok(Err(_)) | Err(_) => sleep(CONNECT_PAUSE).await,
        }
    }
}

/// One connection of a client.
struct PersistentConnection<'a> {
    context: &'a ClientContext,
    reader: StrictReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    /// The requests that wait for their responses.
    waiting: VecDeque<Attempt>,
    ledger: ConnectionLedger,
}

impl<'a> PersistentConnection<'a> {
    fn new(context: &'a ClientContext, front: usize, stream: TcpStream) -> PersistentConnection<'a> {
        // Without the option, requests are only sent later.
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let requests = Vec::new();
        let ledger = ConnectionLedger { front, announced_close_at: None, ended_at: None, requests };
        let (reader, waiting) = (StrictReader::new(read), VecDeque::new());
        PersistentConnection { context, reader, write, waiting, ledger }
    }

    /// Sends requests and reads their responses until the connection or the load ends.
    async fn run(mut self, rng: &mut fastrand::Rng) -> ConnectionLedger {
        loop {
            if self.waiting.is_empty() {
                if *self.context.stop.borrow() {
                    return self.ledger;
                }
                if rng.u32(..4) == 0 {
                    sleep(Duration::from_millis(rng.u64(REST_MS))).await;
                }
                let count = if rng.bool() { 1 } else { rng.usize(1..=MAX_BATCH) };
                self.send_batch(count, rng).await;
            }
            let Some(mut attempt) = self.waiting.pop_front() else { break };
            let read = self.read_response(&mut attempt, rng).await;
            attempt.ended_at = self.context.environment.now();
            self.ledger.requests.push(attempt);
            if read.is_err() {
                break;
            }
        }
        self.end()
    }

    /// Records that the connection is gone, with the requests that still wait.
    fn end(mut self) -> ConnectionLedger {
        let now = self.context.environment.now();
        self.ledger.ended_at = Some(now);
        for attempt in self.waiting {
            self.ledger.requests.push(Attempt { ended_at: now, ..attempt });
        }
        self.ledger
    }

    /// Sends requests in one piece. If the connection is gone, none of them counts as sent.
    async fn send_batch(&mut self, count: usize, rng: &mut fastrand::Rng) {
        let requests: Vec<ClientRequest> = (0..count).map(|_| draw_request(self.context, rng)).collect();
        let bytes: Vec<u8> = requests.iter().flat_map(|request| request.to_wire().encode()).collect();
        let started_at = self.context.environment.now();
        if self.write.write_all(&bytes).await.is_err() {
            return;
        }
        let sent_at = self.context.environment.now();
        let is_connection_reused = !self.ledger.requests.is_empty();
        for request in requests {
            let mut outcome = request.outcome();
            outcome.ending = AttemptEnd::Truncated;
            self.waiting.push_back(Attempt {
                front: self.ledger.front,
                behaviour: Behaviour::Persistent,
                is_connection_reused,
                started_at,
                sent_at,
                ended_at: sent_at,
                body_bytes: request.body.len(),
                outcome,
            });
        }
    }

    /// Reads the response to a request. Half of the responses are followed by a request that is sent while
    /// their body arrives.
    async fn read_response(
        &mut self, attempt: &mut Attempt, rng: &mut fastrand::Rng,
    ) -> Result<(), ReadError> {
        let read = self.receive(attempt, rng).await;
        if let Err(ReadError::Malformed(_)) = read {
            attempt.outcome.ending = AttemptEnd::Malformed;
            attempt.outcome.failed_checks.push(FailedCheck::MalformedResponse);
        }
        attempt.outcome.check();
        read
    }

    async fn receive(&mut self, attempt: &mut Attempt, rng: &mut fastrand::Rng) -> Result<(), ReadError> {
        let outcome = &mut attempt.outcome;
        let head = timeout(SILENCE_TIMEOUT, self.reader.read_head()).await;
        let mut head = head.unwrap_or(Err(ReadError::Ended))?;
        if head.headers.has_token(header_names::CONNECTION, "close") {
            self.ledger.announced_close_at.get_or_insert(self.context.environment.now());
        }
        outcome.status = Some(head.status);
        outcome.stamp = head.headers.get(header_names::SERVER_STAMP).and_then(|stamp| stamp.parse().ok());
        let is_stream = head.headers.get(header_names::CONTENT_TYPE) == Some(header_names::EVENT_STREAM);
        outcome.headers = head.headers;
        let mut sends_ahead = rng.bool() && !*self.context.stop.borrow();
        let mut parser = EventParser::default();
        loop {
            let piece = timeout(SILENCE_TIMEOUT, self.reader.read_piece(&mut head.body)).await;
            let Some(piece) = piece.unwrap_or(Err(ReadError::Ended))? else { break };
            outcome.body.extend_from_slice(&piece);
            if is_stream {
                outcome.events.extend(parser.push(&piece));
            }
            if std::mem::take(&mut sends_ahead) {
                self.send_batch(1, rng).await;
            }
        }
        if parser.has_partial_event() {
            outcome.failed_checks.push(FailedCheck::PartialEvent);
        }
        outcome.ending = AttemptEnd::Complete;
        Ok(())
    }
}

fn draw_request(context: &ClientContext, rng: &mut fastrand::Rng) -> ClientRequest {
    let number = context.next_id.fetch_add(1, Ordering::Relaxed);
    let id = format!("{:016x}", 0x50a5_0000_0000_0000_u64 + number);
    let tokens = (5_000, rng.u64(OUT_TOKENS));
    let segments = [(rng.u64(..20), 2_000), (0x2_0000 + number, 2_000)];
    let request = match rng.u32(..8) {
        0..=2 => ClientRequest::generation(&id, HOST, "/gen/1", tokens, &segments),
        3 => {
            let request = ClientRequest::generation(&id, HOST, "/resume/1", tokens, &segments);
            ClientRequest { kind: RequestKind::ResumableStream, ..request }
        }
        4 => ClientRequest::post(&id, HOST, "/slow/1", RequestKind::Safe),
        5 => ClientRequest::post(&id, HOST, "/read/1", RequestKind::Safe),
        _ => ClientRequest::post(&id, HOST, "/work/1", RequestKind::Unsafe),
    };
    ClientRequest { deadline_ms: DEADLINE_MS, ..request }
}
