//! The operators of a run: one task writes configurations, sometimes concurrently or repeatedly, another
//! reads them.

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

/// The range that the pause between two writes is drawn from, in ms.
const WRITE_PAUSE_MS: std::ops::Range<u64> = 100..900;
/// The range that the pause between two reads is drawn from, in ms.
const READ_PAUSE_MS: std::ops::Range<u64> = 10..120;
/// The number of writes in a burst.
const BURST_WRITES: usize = 6;

/// A request of a fault to the operators, which they execute instead of their next write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Two different writes on the same base version at the same time.
    RaceWrites,
    /// Several writes without a pause.
    BurstWrites,
}

/// The operators of a run.
pub struct Operators {
    log: OperatorLog,
    /// The channel for the requests of faults.
    pub requests: UnboundedSender<OperatorRequest>,
    /// The addresses that operators call. They change when a control node is replaced.
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Operators {
    /// Starts the operators. Version 1 of the configuration must be in force.
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
            // A task that panicked records nothing more.
            let _ = task.await;
        }
        self.log
    }
}

/// The state that both tasks share.
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

    /// Sends a write until a response tells its outcome, and records it.
    async fn write(&self, operator: &Operator, pending_write: PendingWrite) -> CallOutcome {
        let PendingWrite { version, base, bytes, is_valid, is_resend } = pending_write;
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

/// A write that is about to be sent.
struct PendingWrite {
    version: u64,
    base: u64,
    bytes: Arc<[u8]>,
    is_valid: bool,
    is_resend: bool,
}

impl PendingWrite {
    /// The write of a valid configuration.
    fn new(version: u64, base: u64) -> PendingWrite {
        let bytes = configuration(version).to_bytes().into();
        PendingWrite { version, base, bytes, is_valid: true, is_resend: false }
    }
}

/// The configuration that is known to be in force.
#[derive(Clone)]
struct CurrentConfig {
    version: u64,
    bytes: Arc<[u8]>,
}

/// The task that writes configurations, each based on the previous one.
struct ConfigWriter {
    context: OperatorContext,
    /// `None` after a write that was not acknowledged: the newest version must be read before the next write.
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

    /// Reads the newest version, after a write that was not acknowledged.
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
        let pending_write = PendingWrite::new(self.allocate_version(), base);
        let written = CurrentConfig { version: pending_write.version, bytes: pending_write.bytes.clone() };
        let operator = self.operator(rng);
        self.current = match self.context.write(&operator, pending_write).await {
            CallOutcome::Acknowledged(_) => Some(written),
            // After a refusal another version is in force; after an unknown outcome either version may be.
            CallOutcome::Refused(_) | CallOutcome::Unknown => None,
        };
    }

    /// Sends the current configuration again, which must be acknowledged again.
    async fn resend(&mut self, current: CurrentConfig, rng: &mut fastrand::Rng) {
        let CurrentConfig { version, bytes } = current;
        let writes = self.context.log.writes();
        let mut acknowledged = writes.iter().filter(|write| write.is_acknowledged());
        let Some(write) = acknowledged.find(|write| write.version == version) else { return };
        let operator = self.operator(rng);
        let pending_write =
            PendingWrite { version, base: write.base, bytes, is_valid: true, is_resend: true };
        self.context.write(&operator, pending_write).await;
    }

    /// Writes an invalid configuration, which has a route to a service that does not exist.
    async fn write_invalid(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.allocate_version();
        let mut json = configuration(version).to_json();
        json["Routes"][1]["Service"] = "nobody".into();
        let bytes = json.to_string().into_bytes().into();
        let operator = self.operator(rng);
        let pending_write = PendingWrite { version, base, bytes, is_valid: false, is_resend: false };
        self.context.write(&operator, pending_write).await;
    }

    /// Writes two configurations on the same base concurrently. At most one of them may be acknowledged.
    async fn race(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let first = PendingWrite::new(self.allocate_version(), base);
        let second = PendingWrite::new(self.allocate_version(), base);
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

/// The task that reads the configuration at random addresses, with a single attempt per read.
async fn run_reader(context: OperatorContext, mut rng: fastrand::Rng) {
    while !context.has_stopped() {
        let addresses = context.addresses();
        let from = addresses[rng.usize(..addresses.len())];
        let read = read_once(&context.environment, from).await;
        context.log.record_read(read);
        tokio::time::sleep(Duration::from_millis(rng.u64(READ_PAUSE_MS))).await;
    }
}

/// Reads the newest configuration at one address, with a single attempt.
pub async fn read_once(environment: &Environment, from: SocketAddr) -> ConfigRead {
    let started_at = environment.now();
    let RedirectedCall { final_address, result } =
        call_with_redirects(from, &Request::new("GET", "/config")).await;
    let bytes = result.ok().filter(|response| response.status == 200).map(|response| response.body);
    ConfigRead { from, reached: final_address, started_at, ended_at: environment.now(), bytes }
}
