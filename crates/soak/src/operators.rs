//! Operators: configurations sent, raced, sent again and read back, with a record of what was told about them.

use crate::configuration::{configuration, version_of};
use lugwharf_emulator::host::World;
use lugwharf_emulator::operator::{CallOutcome, Operator, call_once};
use lugwharf_emulator::wire::Request;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::watch;
use tokio::time::timeout;

/// The pause between two wishes of an operator, in ms.
const PAUSE_MS: std::ops::Range<u64> = 100..900;
/// Configurations of one burst.
const BURST: usize = 6;

/// What a trouble wants of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Two different changes on one version.
    Race,
    /// Several changes without a pause.
    Burst,
}

/// One change as it was sent.
#[derive(Clone, Debug)]
pub struct ConfigWrite {
    /// Its version.
    pub version: u64,
    /// The version that it builds on.
    pub base: u64,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// Whether it can be in force at all.
    pub is_valid: bool,
    /// When it was sent first.
    pub started_at: Duration,
    /// When the last answer came.
    pub ended_at: Duration,
    /// What was told.
    pub outcome: CallOutcome,
    /// Whether it is a change that was acknowledged, sent again with no other one between.
    pub is_resend: bool,
}

/// One read of the newest configuration at one machine.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// Where.
    pub from: SocketAddr,
    /// When it was sent.
    pub started_at: Duration,
    /// When the answer came.
    pub ended_at: Duration,
    /// The configuration, byte for byte; nothing for any other answer than 200.
    pub bytes: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Records {
    writes: Vec<ConfigWrite>,
    reads: Vec<ConfigRead>,
}

/// What the operators sent and were told; clones share it.
#[derive(Clone, Debug, Default)]
pub struct OperatorLog {
    records: Arc<Mutex<Records>>,
}

impl OperatorLog {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All changes.
    pub fn writes(&self) -> Vec<ConfigWrite> {
        self.records().writes.clone()
    }

    /// All reads.
    pub fn reads(&self) -> Vec<ConfigRead> {
        self.records().reads.clone()
    }

    /// Adds a change.
    pub fn record_write(&self, put: ConfigWrite) {
        self.records().writes.push(put);
    }

    /// Adds a read.
    pub fn record_read(&self, read: ConfigRead) {
        self.records().reads.push(read);
    }
}

/// The operators of one run.
pub struct Operators {
    /// What they sent and were told.
    pub operator_log: OperatorLog,
    /// What troubles want of them.
    pub requests: UnboundedSender<OperatorRequest>,
    /// The control machines in use.
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Operators {
    /// Starts them; the first configuration is in force.
    pub fn start(world: &World, addresses: Vec<SocketAddr>, seed: u64) -> Operators {
        let (requests, requested) = unbounded_channel();
        let (addresses, stop) = (watch::Sender::new(addresses), watch::Sender::new(false));
        let operator_log = OperatorLog::default();
        let context = OperatorContext {
            world: world.clone(),
            operator_log: operator_log.clone(),
            addresses: addresses.subscribe(),
            stop: stop.subscribe(),
        };
        let bytes: Arc<[u8]> = configuration(1).to_bytes().into();
        let writer = ConfigWriter { context: context.clone(), current: Some((1, bytes)), next_version: 2 };
        let tasks = vec![
            tokio::spawn(writer.run(requested, fastrand::Rng::with_seed(seed ^ 0x0b))),
            tokio::spawn(run_reader(context, fastrand::Rng::with_seed(seed ^ 0x0c))),
        ];
        Operators { operator_log, requests, addresses, stop, tasks }
    }

    /// Lets them finish what they are at, and returns what they sent and were told.
    pub async fn finish(self) -> OperatorLog {
        self.stop.send_replace(true);
        for task in self.tasks {
            // An operator that panicked has nothing more to record.
            let _ = task.await;
        }
        self.operator_log
    }
}

#[derive(Clone)]
struct OperatorContext {
    world: World,
    operator_log: OperatorLog,
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
}

/// Sends changes, one on top of the other.
struct ConfigWriter {
    context: OperatorContext,
    /// The newest version and its bytes; nothing after a change without a clear answer.
    current: Option<(u64, Arc<[u8]>)>,
    next_version: u64,
}

impl ConfigWriter {
    async fn run(mut self, mut requested: UnboundedReceiver<OperatorRequest>, mut rng: fastrand::Rng) {
        while !self.context.has_stopped() {
            let pause = Duration::from_millis(rng.u64(PAUSE_MS));
            let request = timeout(pause, requested.recv()).await.ok().flatten();
            if self.current.is_none() {
                self.refresh_current().await;
            }
            let Some((base, bytes)) = self.current.clone() else { continue };
            match request {
                Some(OperatorRequest::Race) => self.race(base, &mut rng).await,
                Some(OperatorRequest::Burst) => self.burst(&mut rng).await,
                None => match rng.u32(..6) {
                    0 => self.resend(base, bytes, &mut rng).await,
                    1 => self.send_invalid(base, &mut rng).await,
                    _ => self.send_next(base, &mut rng).await,
                },
            }
        }
    }

    /// Asks for the newest version after a change without a clear answer.
    async fn refresh_current(&mut self) {
        let outcome = Operator::new(self.context.addresses()).get().await;
        if let Some(version) = version_of(outcome.body()) {
            self.current = Some((version, outcome.body().into()));
        }
    }

    /// An operator that begins with any of the machines.
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

    async fn send_next(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.allocate_version();
        let bytes: Arc<[u8]> = configuration(version).to_bytes().into();
        let operator = self.operator(rng);
        let outcome = self.context.put(&operator, version, base, &bytes, true, false).await;
        self.record_outcome(version, bytes, &outcome);
    }

    fn record_outcome(&mut self, version: u64, bytes: Arc<[u8]>, outcome: &CallOutcome) {
        self.current = match outcome {
            CallOutcome::Acknowledged(_) => Some((version, bytes)),
            // Whether it is in force has to be asked; after a refusal another one is.
            CallOutcome::Refused(_) | CallOutcome::Unknown => None,
        };
    }

    async fn resend(&mut self, version: u64, bytes: Arc<[u8]>, rng: &mut fastrand::Rng) {
        let writes = self.context.operator_log.writes();
        let is_it = |put: &&ConfigWrite| {
            put.version == version && matches!(put.outcome, CallOutcome::Acknowledged(_))
        };
        let Some(base) = writes.iter().find(is_it).map(|put| put.base) else { return };
        let operator = self.operator(rng);
        self.context.put(&operator, version, base, &bytes, true, true).await;
    }

    async fn send_invalid(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.allocate_version();
        let mut json = configuration(version).to_json();
        json["Routes"][1]["Service"] = "nobody".into();
        let bytes: Arc<[u8]> = json.to_string().into_bytes().into();
        let operator = self.operator(rng);
        self.context.put(&operator, version, base, &bytes, false, false).await;
    }

    async fn race(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let versions = [self.allocate_version(), self.allocate_version()];
        let bodies = versions.map(|version| Arc::<[u8]>::from(configuration(version).to_bytes()));
        let operators = [self.operator(rng), self.operator(rng)];
        let context = self.context.clone();
        tokio::join!(
            context.put(&operators[0], versions[0], base, &bodies[0], true, false),
            context.put(&operators[1], versions[1], base, &bodies[1], true, false),
        );
        self.current = None;
    }

    async fn burst(&mut self, rng: &mut fastrand::Rng) {
        for _ in 0..BURST {
            let Some((base, _)) = self.current else { return };
            self.send_next(base, rng).await;
        }
    }
}

impl OperatorContext {
    async fn put(
        &self, operator: &Operator, version: u64, base: u64, bytes: &Arc<[u8]>, is_valid: bool,
        is_resend: bool,
    ) -> CallOutcome {
        let started_at = self.world.now();
        let outcome = operator.put(bytes, base).await;
        let (bytes, ended_at) = (bytes.clone(), self.world.now());
        let result = outcome.clone();
        self.operator_log.record_write(ConfigWrite {
            version,
            base,
            bytes,
            is_valid,
            started_at,
            ended_at,
            outcome,
            is_resend,
        });
        result
    }
}

/// Reads at each machine in turn, each time at one alone.
async fn run_reader(context: OperatorContext, mut rng: fastrand::Rng) {
    while !context.has_stopped() {
        let addresses = context.addresses();
        let from = addresses[rng.usize(..addresses.len())];
        let read = read_once(&context.world, from).await;
        context.operator_log.record_read(read);
        tokio::time::sleep(Duration::from_millis(rng.u64(10..120))).await;
    }
}

/// Reads once at one machine.
pub async fn read_once(world: &World, from: SocketAddr) -> ConfigRead {
    let started_at = world.now();
    let answer = call_once(from, &Request::new("GET", "/config")).await;
    let bytes = answer.ok().filter(|answer| answer.status == 200).map(|answer| answer.body);
    ConfigRead { from, started_at, ended_at: world.now(), bytes }
}
