//! The operators of a run: one task writes configurations, one after the other, raced and resent; another reads them back.

use crate::configuration::{configuration, version_of};
use crate::operator_log::{ConfigRead, ConfigWrite, OperatorLog};
use lugwharf_emulator::host::Environment;
use lugwharf_emulator::operator::{CallOutcome, Operator, RedirectedCall, call_with_redirects};
use lugwharf_emulator::wire::Request;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::timeout;

/// The range of the pause between two writes, in ms.
const WRITE_PAUSE_MS: std::ops::Range<u64> = 100..900;
/// The range of the pause between two reads, in ms.
const READ_PAUSE_MS: std::ops::Range<u64> = 10..120;
/// Writes of one burst.
const BURST_WRITES: usize = 6;

/// What a fault asks of the operators, in place of their next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Two different writes on one base version, at the same time.
    RaceWrites,
    /// Several writes without a pause.
    BurstWrites,
}

/// The operators of one run.
pub struct Operators {
    log: OperatorLog,
    /// What faults ask of them.
    pub requests: UnboundedSender<OperatorRequest>,
    /// The addresses that operators call; they change when a control node is replaced.
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Operators {
    /// Starts the operators. Version 1 of the configuration is in force.
    pub fn start(environment: &Environment, addresses: Vec<SocketAddr>, seed: u64) -> Operators {
        let (requests, received_requests) = unbounded_channel();
        let (addresses, stop) = (watch::Sender::new(addresses), watch::Sender::new(false));
        let log = OperatorLog::default();
        let context = OperatorContext {
            environment: environment.clone(),
            log: log.clone(),
            addresses: addresses.subscribe(),
            stop: stop.subscribe(),
        };
        let current = CurrentConfig { version: 1, bytes: configuration(1).to_bytes().into() };
        let writer = ConfigWriter { context: context.clone(), current: Some(current), next_version: 2 };
        let tasks = vec![
            tokio::spawn(writer.run(received_requests, fastrand::Rng::with_seed(seed ^ 0x0b))),
            tokio::spawn(run_reader(context, fastrand::Rng::with_seed(seed ^ 0x0c))),
        ];
        Operators { log, requests, addresses, stop, tasks }
    }

    /// Waits until the writes and reads in flight have ended, and returns the log.
    pub async fn finish(self) -> OperatorLog {
        self.stop.send_replace(true);
        for task in self.tasks {
            // An operator that panicked has nothing more to record.
            let _ = task.await;
        }
        self.log
    }
}

/// What both tasks share.
#[derive(Clone)]
struct OperatorContext {
    environment: Environment,
    log: OperatorLog,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    stop: watch::Receiver<bool>,
}

impl OperatorContext {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().clone()
    }

    fn has_stopped(&self) -> bool {
        *self.stop.borrow()
    }

    /// Sends a write until there is a clear response, and records it.
    async fn write(&self, operator: &Operator, draft: Draft) -> CallOutcome {
        let Draft { version, base, bytes, is_valid, is_resend } = draft;
        let started_at = self.environment.now();
        let outcome = operator.put(&bytes, base).await;
        let ended_at = self.environment.now();
        let write = ConfigWrite {
            version,
            base,
            bytes,
            is_valid,
            started_at,
            ended_at,
            outcome: outcome.clone(),
            is_resend,
        };
        self.log.record_write(write);
        outcome
    }
}

/// A configuration that is about to be written.
struct Draft {
    version: u64,
    base: u64,
    bytes: Arc<[u8]>,
    is_valid: bool,
    is_resend: bool,
}

impl Draft {
    /// A valid configuration.
    fn new(version: u64, base: u64) -> Draft {
        let bytes = configuration(version).to_bytes().into();
        Draft { version, base, bytes, is_valid: true, is_resend: false }
    }
}

/// The configuration that is known to be in force.
#[derive(Clone)]
struct CurrentConfig {
    version: u64,
    bytes: Arc<[u8]>,
}

/// Writes configurations, each based on the one before.
struct ConfigWriter {
    context: OperatorContext,
    /// `None` after a write without an acknowledgement: the newest version has to be read first.
    current: Option<CurrentConfig>,
    next_version: u64,
}

impl ConfigWriter {
    async fn run(mut self, mut requests: UnboundedReceiver<OperatorRequest>, mut rng: fastrand::Rng) {
        while !self.context.has_stopped() {
            let pause = Duration::from_millis(rng.u64(WRITE_PAUSE_MS));
            let request = timeout(pause, requests.recv()).await.ok().flatten();
            if self.current.is_none() {
                self.refresh_current().await;
            }
            let Some(current) = self.current.clone() else { continue };
            match request {
                Some(OperatorRequest::RaceWrites) => self.race(current.version, &mut rng).await,
                Some(OperatorRequest::BurstWrites) => self.burst(&mut rng).await,
                None => match rng.u32(..6) {
                    0 => self.resend(current, &mut rng).await,
                    1 => self.write_invalid(current.version, &mut rng).await,
                    _ => self.write_next(current.version, &mut rng).await,
                },
            }
        }
    }

    /// Reads the newest version after a write without an acknowledgement.
    async fn refresh_current(&mut self) {
        let outcome = Operator::new(self.context.addresses()).get().await;
        if let Some(version) = version_of(outcome.body()) {
            self.current = Some(CurrentConfig { version, bytes: outcome.body().into() });
        }
    }

    /// An operator that calls the addresses in a random order.
    fn operator(&self, rng: &mut fastrand::Rng) -> Operator {
        let mut addresses = self.context.addresses();
        rng.shuffle(&mut addresses);
        Operator::new(addresses)
    }

    fn allocate_version(&mut self) -> u64 {
        let version = self.next_version;
        self.next_version += 1;
        version
    }

    async fn write_next(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let draft = Draft::new(self.allocate_version(), base);
        let written = CurrentConfig { version: draft.version, bytes: draft.bytes.clone() };
        let operator = self.operator(rng);
        self.current = match self.context.write(&operator, draft).await {
            CallOutcome::Acknowledged(_) => Some(written),
            // A refusal means that another version is in force; without a clear response either may be.
            CallOutcome::Refused(_) | CallOutcome::Unknown => None,
        };
    }

    /// Sends the current configuration again, which has to be acknowledged again.
    async fn resend(&mut self, current: CurrentConfig, rng: &mut fastrand::Rng) {
        let CurrentConfig { version, bytes } = current;
        let writes = self.context.log.writes();
        let mut acknowledged = writes.iter().filter(|write| write.is_acknowledged());
        let Some(write) = acknowledged.find(|write| write.version == version) else { return };
        let operator = self.operator(rng);
        let draft = Draft { version, base: write.base, bytes, is_valid: true, is_resend: true };
        self.context.write(&operator, draft).await;
    }

    /// Writes a configuration with a route to a service that does not exist.
    async fn write_invalid(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.allocate_version();
        let mut json = configuration(version).to_json();
        json["Routes"][1]["Service"] = "nobody".into();
        let bytes = json.to_string().into_bytes().into();
        let operator = self.operator(rng);
        let draft = Draft { version, base, bytes, is_valid: false, is_resend: false };
        self.context.write(&operator, draft).await;
    }

    /// Writes two configurations on one base at the same time; at most one may be acknowledged.
    async fn race(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let first = Draft::new(self.allocate_version(), base);
        let second = Draft::new(self.allocate_version(), base);
        let operators = [self.operator(rng), self.operator(rng)];
        tokio::join!(self.context.write(&operators[0], first), self.context.write(&operators[1], second));
        self.current = None;
    }

    async fn burst(&mut self, rng: &mut fastrand::Rng) {
        for _ in 0..BURST_WRITES {
            let Some(base) = self.current.as_ref().map(|current| current.version) else { return };
            self.write_next(base, rng).await;
        }
    }
}

/// Reads at random addresses, one attempt each.
async fn run_reader(context: OperatorContext, mut rng: fastrand::Rng) {
    while !context.has_stopped() {
        let addresses = context.addresses();
        let from = addresses[rng.usize(..addresses.len())];
        let read = read_once(&context.environment, from).await;
        context.log.record_read(read);
        tokio::time::sleep(Duration::from_millis(rng.u64(READ_PAUSE_MS))).await;
    }
}

/// Reads the newest configuration once, at one address.
pub async fn read_once(environment: &Environment, from: SocketAddr) -> ConfigRead {
    let started_at = environment.now();
    let RedirectedCall { final_address, result } =
        call_with_redirects(from, &Request::new("GET", "/config")).await;
    let bytes = result.ok().filter(|response| response.status == 200).map(|response| response.body);
    ConfigRead { from, reached: final_address, started_at, ended_at: environment.now(), bytes }
}
