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
pub enum Wish {
    /// Two different changes on one version.
    Race,
    /// Several changes without a pause.
    Burst,
}

/// One change as it was sent.
#[derive(Clone, Debug)]
pub struct Put {
    /// Its version.
    pub version: u64,
    /// The version that it builds on.
    pub base: u64,
    /// Its bytes.
    pub bytes: Arc<[u8]>,
    /// Whether it can be in force at all.
    pub is_valid: bool,
    /// When it was sent first.
    pub began: Duration,
    /// When the last answer came.
    pub ended: Duration,
    /// What was told.
    pub verdict: CallOutcome,
    /// Whether it is a change that was acknowledged, sent again with no other one between.
    pub is_resend: bool,
}

/// One read of the newest configuration at one machine.
#[derive(Clone, Debug)]
pub struct Read {
    /// Where.
    pub from: SocketAddr,
    /// When it was sent.
    pub began: Duration,
    /// When the answer came.
    pub ended: Duration,
    /// The configuration, byte for byte; nothing for any other answer than 200.
    pub bytes: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Records {
    puts: Vec<Put>,
    reads: Vec<Read>,
}

/// What the operators sent and were told; clones share it.
#[derive(Clone, Debug, Default)]
pub struct Book {
    records: Arc<Mutex<Records>>,
}

impl Book {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All changes.
    pub fn puts(&self) -> Vec<Put> {
        self.records().puts.clone()
    }

    /// All reads.
    pub fn reads(&self) -> Vec<Read> {
        self.records().reads.clone()
    }

    /// Adds a change.
    pub fn note_put(&self, put: Put) {
        self.records().puts.push(put);
    }

    /// Adds a read.
    pub fn note_read(&self, read: Read) {
        self.records().reads.push(read);
    }
}

/// The operators of one run.
pub struct Operators {
    /// What they sent and were told.
    pub book: Book,
    /// What troubles want of them.
    pub wishes: UnboundedSender<Wish>,
    /// The control machines in use.
    pub addresses: watch::Sender<Vec<SocketAddr>>,
    stop: watch::Sender<bool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Operators {
    /// Starts them; the first configuration is in force.
    pub fn start(world: &World, addresses: Vec<SocketAddr>, seed: u64) -> Operators {
        let (wishes, wished) = unbounded_channel();
        let (addresses, stop) = (watch::Sender::new(addresses), watch::Sender::new(false));
        let book = Book::default();
        let desk = Desk {
            world: world.clone(),
            book: book.clone(),
            addresses: addresses.subscribe(),
            stop: stop.subscribe(),
        };
        let bytes: Arc<[u8]> = configuration(1).to_bytes().into();
        let writer = Writer { desk: desk.clone(), current: Some((1, bytes)), next: 2 };
        let tasks = vec![
            tokio::spawn(writer.work(wished, fastrand::Rng::with_seed(seed ^ 0x0b))),
            tokio::spawn(read_on(desk, fastrand::Rng::with_seed(seed ^ 0x0c))),
        ];
        Operators { book, wishes, addresses, stop, tasks }
    }

    /// Lets them finish what they are at, and returns what they sent and were told.
    pub async fn finish(self) -> Book {
        self.stop.send_replace(true);
        for task in self.tasks {
            // An operator that panicked has nothing more to record.
            let _ = task.await;
        }
        self.book
    }
}

#[derive(Clone)]
struct Desk {
    world: World,
    book: Book,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    stop: watch::Receiver<bool>,
}

impl Desk {
    fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.borrow().clone()
    }

    fn has_stopped(&self) -> bool {
        *self.stop.borrow()
    }
}

/// Sends changes, one on top of the other.
struct Writer {
    desk: Desk,
    /// The newest version and its bytes; nothing after a change without a clear answer.
    current: Option<(u64, Arc<[u8]>)>,
    next: u64,
}

impl Writer {
    async fn work(mut self, mut wished: UnboundedReceiver<Wish>, mut rng: fastrand::Rng) {
        while !self.desk.has_stopped() {
            let pause = Duration::from_millis(rng.u64(PAUSE_MS));
            let wish = timeout(pause, wished.recv()).await.ok().flatten();
            if self.current.is_none() {
                self.look().await;
            }
            let Some((base, bytes)) = self.current.clone() else { continue };
            match wish {
                Some(Wish::Race) => self.race(base, &mut rng).await,
                Some(Wish::Burst) => self.burst(&mut rng).await,
                None => match rng.u32(..6) {
                    0 => self.send_again(base, bytes, &mut rng).await,
                    1 => self.send_invalid(base, &mut rng).await,
                    _ => self.send_next(base, &mut rng).await,
                },
            }
        }
    }

    /// Asks for the newest version after a change without a clear answer.
    async fn look(&mut self) {
        let verdict = Operator::new(self.desk.addresses()).get().await;
        if let Some(version) = version_of(verdict.body()) {
            self.current = Some((version, verdict.body().into()));
        }
    }

    /// An operator that begins with any of the machines.
    fn operator(&self, rng: &mut fastrand::Rng) -> Operator {
        let mut addresses = self.desk.addresses();
        rng.shuffle(&mut addresses);
        Operator::new(addresses)
    }

    fn take_version(&mut self) -> u64 {
        let version = self.next;
        self.next += 1;
        version
    }

    async fn send_next(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.take_version();
        let bytes: Arc<[u8]> = configuration(version).to_bytes().into();
        let operator = self.operator(rng);
        let verdict = self.desk.put(&operator, version, base, &bytes, true, false).await;
        self.conclude(version, bytes, &verdict);
    }

    fn conclude(&mut self, version: u64, bytes: Arc<[u8]>, verdict: &CallOutcome) {
        self.current = match verdict {
            CallOutcome::Acknowledged(_) => Some((version, bytes)),
            // Whether it is in force has to be asked; after a refusal another one is.
            CallOutcome::Refused(_) | CallOutcome::Unknown => None,
        };
    }

    async fn send_again(&mut self, version: u64, bytes: Arc<[u8]>, rng: &mut fastrand::Rng) {
        let puts = self.desk.book.puts();
        let is_it =
            |put: &&Put| put.version == version && matches!(put.verdict, CallOutcome::Acknowledged(_));
        let Some(base) = puts.iter().find(is_it).map(|put| put.base) else { return };
        let operator = self.operator(rng);
        self.desk.put(&operator, version, base, &bytes, true, true).await;
    }

    async fn send_invalid(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let version = self.take_version();
        let mut whole = configuration(version).to_json();
        whole["Routes"][1]["Service"] = "nobody".into();
        let bytes: Arc<[u8]> = whole.to_string().into_bytes().into();
        let operator = self.operator(rng);
        self.desk.put(&operator, version, base, &bytes, false, false).await;
    }

    async fn race(&mut self, base: u64, rng: &mut fastrand::Rng) {
        let versions = [self.take_version(), self.take_version()];
        let bodies = versions.map(|version| Arc::<[u8]>::from(configuration(version).to_bytes()));
        let operators = [self.operator(rng), self.operator(rng)];
        let desk = self.desk.clone();
        tokio::join!(
            desk.put(&operators[0], versions[0], base, &bodies[0], true, false),
            desk.put(&operators[1], versions[1], base, &bodies[1], true, false),
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

impl Desk {
    async fn put(
        &self, operator: &Operator, version: u64, base: u64, bytes: &Arc<[u8]>, is_valid: bool,
        is_resend: bool,
    ) -> CallOutcome {
        let began = self.world.now();
        let verdict = operator.put(bytes, base).await;
        let (bytes, ended) = (bytes.clone(), self.world.now());
        let told = verdict.clone();
        self.book.note_put(Put { version, base, bytes, is_valid, began, ended, verdict, is_resend });
        told
    }
}

/// Reads at each machine in turn, each time at one alone.
async fn read_on(desk: Desk, mut rng: fastrand::Rng) {
    while !desk.has_stopped() {
        let addresses = desk.addresses();
        let from = addresses[rng.usize(..addresses.len())];
        let read = read_once(&desk.world, from).await;
        desk.book.note_read(read);
        tokio::time::sleep(Duration::from_millis(rng.u64(10..120))).await;
    }
}

/// Reads once at one machine.
pub async fn read_once(world: &World, from: SocketAddr) -> Read {
    let began = world.now();
    let answer = call_once(from, &Request::new("GET", "/config")).await;
    let bytes = answer.ok().filter(|answer| answer.status == 200).map(|answer| answer.body);
    Read { from, began, ended: world.now(), bytes }
}
