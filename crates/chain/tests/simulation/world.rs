//! The simulated world: virtual time, machines, links and operators, all from one seed.

use crate::fault::Fault;
use crate::network::{Network, Parcel};
use crate::node::{DiskJob, Node};
use crate::operator::Operator;
use crate::oracle::Oracle;
use crate::transcript::Transcript;
use lugwharf_chain::{Action, Event, HistoryLimits, LogEvent, Message, OperatorRequestId};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::Duration;

/// How the system is set up.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub machines: usize,
    pub tolerated: usize,
    pub operators: usize,
    pub sync: Duration,
    pub longest_delay: Duration,
    pub rewrite_above: usize,
    pub history: HistoryLimits,
    pub piece_bytes: usize,
    /// Whether messages go through their encoding.
    pub encodes: bool,
    /// Whether peers are suspected at once, so that processes propose views against each other all the time.
    pub nervous: bool,
}

impl Scenario {
    /// Three machines that bear the loss of one.
    pub fn small() -> Scenario {
        Scenario {
            machines: 3,
            tolerated: 1,
            operators: 2,
            sync: Duration::from_millis(5),
            longest_delay: Duration::from_millis(3),
            rewrite_above: 8 * 1024 * 1024,
            history: HistoryLimits::default(),
            piece_bytes: 256 * 1024,
            encodes: false,
            nervous: false,
        }
    }
}

/// What happens to a piece of a history that is sent, or to its ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtPiece {
    Lost,
    SenderDies,
    ReceiverDies,
    BothLosePower,
    ReceiverLosesDisk,
}

/// Something that will happen.
#[derive(Debug)]
pub enum Happening {
    Boot {
        node: usize,
    },
    Tick {
        node: usize,
        epoch: u64,
    },
    Deliver(Parcel),
    LinkDown {
        node: usize,
        epoch: u64,
        peer: usize,
    },
    DiskDone {
        node: usize,
        epoch: u64,
        batch: u64,
    },
    Fault(Fault),
    /// Looks whether a process that was told to end may go.
    Departure {
        node: usize,
        epoch: u64,
        /// It goes then all the same.
        deadline: Duration,
        back_after: Option<Duration>,
    },
    /// An operator has a wish, or takes up its call again.
    Wake {
        operator: usize,
        generation: u64,
    },
    /// The operator's patience with a try ends.
    Silence {
        operator: usize,
        ticket: OperatorRequestId,
    },
    Answer {
        operator: usize,
        ticket: OperatorRequestId,
        answer: lugwharf_chain::OperatorResponse,
    },
}

struct Scheduled {
    at: Duration,
    order: u64,
    what: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// The world.
pub struct World {
    pub scenario: Scenario,
    pub rng: fastrand::Rng,
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub operators: Vec<Operator>,
    pub oracle: Oracle,
    pub after_ack: Vec<(Duration, Fault)>,
    pub after_proposal: Vec<(Duration, Fault)>,
    pub after_view: Vec<(Duration, Fault)>,
    /// What happens when this piece of a history is sent, counted from 1.
    pub at_piece: Option<(usize, AtPiece)>,
    /// How many pieces were sent.
    pub pieces: usize,
    /// What happens when the log of a machine begins to be rewritten.
    pub at_rewrite: Option<(usize, Fault)>,
    pub tickets: BTreeMap<OperatorRequestId, usize>,
    pub next_ticket: u64,
    pub orders: u64,
    /// Whether operators go on having wishes.
    pub busy: bool,
    /// How many views were seen.
    pub views: u64,
    /// Records the run, for its digest.
    pub transcript: Option<Transcript>,
    trace: bool,
    queue: BinaryHeap<Reverse<Scheduled>>,
    order: u64,
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], 7000))
}

impl World {
    pub fn new(seed: u64, scenario: Scenario) -> World {
        // In release builds too.
        lugwharf_invariants::fail_at_once();
        let mut rng = fastrand::Rng::with_seed(seed);
        let seeds: Vec<SocketAddr> = (0..scenario.machines.min(3)).map(address).collect();
        let node = |index| Node::new(address(index), seeds.clone(), true, scenario.sync);
        let nodes: Vec<Node> = (0..scenario.machines).map(node).collect();
        let network = Network::new(scenario.longest_delay);
        let starts: Vec<u64> = nodes.iter().map(|_| rng.u64(0..300)).collect();
        let mut world = World {
            operators: (0..scenario.operators).map(|_| Operator::default()).collect(),
            scenario,
            rng,
            now: Duration::ZERO,
            nodes,
            network,
            oracle: Oracle::default(),
            after_ack: Vec::new(),
            after_proposal: Vec::new(),
            after_view: Vec::new(),
            at_piece: None,
            pieces: 0,
            at_rewrite: None,
            tickets: BTreeMap::new(),
            next_ticket: 0,
            orders: 0,
            busy: false,
            views: 0,
            transcript: None,
            trace: std::env::var_os("CHAIN_TRACE").is_some(),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for (node, start) in starts.into_iter().enumerate() {
            world.schedule(Duration::from_millis(start), Happening::Boot { node });
        }
        world
    }

    /// Lets something happen after a time.
    pub fn schedule(&mut self, after: Duration, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled { at: self.now + after, order: self.order, what }));
    }

    pub fn trace(&self, what: impl FnOnce() -> String) {
        if self.trace {
            println!("{:>10.4} {}", self.now.as_secs_f64(), what());
        }
    }

    /// Lets time pass.
    pub fn run_until(&mut self, end: Duration) -> Result<(), String> {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at;
            if let Some(transcript) = &mut self.transcript {
                transcript.record_happening(self.now, &next.what);
            }
            self.happen(next.what);
            if let Some(violation) = self.oracle.violation.take() {
                return Err(format!("at {:?}: {violation}", self.now));
            }
        }
        self.now = end;
        Ok(())
    }

    pub fn run_for(&mut self, time: Duration) -> Result<(), String> {
        self.run_until(self.now + time)
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Boot { node } => self.boot(node),
            Happening::Tick { node, epoch } => self.tick(node, epoch),
            Happening::Deliver(parcel) => self.deliver(parcel),
            Happening::LinkDown { node, epoch, peer } => {
                let peer = self.nodes[peer].address;
                self.feed(node, epoch, Event::LinkDown { peer });
            }
            Happening::DiskDone { node, epoch, batch } => self.disk_done(node, epoch, batch),
            Happening::Fault(fault) => self.inflict(fault),
            Happening::Departure { node, epoch, deadline, back_after } => {
                self.depart(node, epoch, deadline, back_after);
            }
            Happening::Wake { operator, generation } => self.wake(operator, generation),
            Happening::Silence { operator, ticket } => self.silence(operator, ticket),
            Happening::Answer { operator, ticket, answer } => self.answered(operator, ticket, answer),
        }
    }

    pub fn boot(&mut self, node: usize) {
        if self.nodes[node].gone || self.nodes[node].is_up() {
            return;
        }
        let seed = self.rng.u64(..);
        let mut out = Vec::new();
        match self.nodes[node].boot(&self.scenario, self.now, seed, &mut out) {
            Ok(true) => {
                self.trace(|| format!("boot {node}"));
                let epoch = self.nodes[node].epoch;
                self.carry_out(node, out);
                self.schedule(Duration::from_millis(1), Happening::Tick { node, epoch });
            }
            Ok(false) => self.schedule(Duration::from_millis(300), Happening::Boot { node }),
            Err(violation) => self.oracle.fail(violation),
        }
    }

    fn tick(&mut self, node: usize, epoch: u64) {
        if self.nodes[node].epoch != epoch || !self.nodes[node].is_up() {
            return;
        }
        if !self.nodes[node].frozen {
            self.feed(node, epoch, Event::Tick);
        }
        let next = Duration::from_millis(self.rng.u64(20..50));
        self.schedule(next, Happening::Tick { node, epoch });
    }

    /// Hands an event to a process, if it still runs.
    pub fn feed(&mut self, node: usize, epoch: u64, event: Event) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        if self.nodes[node].frozen {
            return self.nodes[node].held.push(event);
        }
        let now = self.now;
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        let mut out = Vec::new();
        process.replica.handle(now - process.started, event, &mut out);
        self.carry_out(node, out);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            if let Some(transcript) = &mut self.transcript {
                transcript.record_action(node, &action);
            }
            match action {
                Action::Send { to, message } => self.send(node, to, message),
                Action::Persist { batch, records } => {
                    self.begin_job(node, DiskJob { batch, records, rewrite: false });
                }
                Action::RewriteLog { batch, records } => {
                    self.begin_job(node, DiskJob { batch, records, rewrite: true });
                    if let Some((_, fault)) = self.at_rewrite.take_if(|(rewriting, _)| *rewriting == node) {
                        self.schedule(Duration::ZERO, Happening::Fault(fault));
                    }
                }
                Action::Respond { id, response } => self.carry_answer(id, response),
                Action::Committed { config } => {
                    let Some(process) = self.nodes[node].process.as_mut() else { continue };
                    let before = process.committed.replace(config.version);
                    self.oracle.saw_commit(node, before, &config);
                    self.trace(|| format!("{node} knows {} on {}", config.version, config.base));
                }
                Action::ViewChanged(view) => {
                    self.views = self.views.max(view.number);
                    self.oracle.saw_view(&view);
                    let next = self.after_view.pop();
                    self.schedule_faults(next.into_iter().collect());
                    let chain: Vec<u8> = view.chain.iter().map(|member| short(member.address)).collect();
                    let members: Vec<u8> = view.members.iter().map(|member| short(member.address)).collect();
                    self.trace(|| format!("{node} view {} members {members:?} chain {chain:?}", view.number));
                }
                Action::Log(line) => self.note(node, &line),
            }
        }
    }

    pub fn schedule_faults(&mut self, faults: Vec<(Duration, Fault)>) {
        for (after, fault) in faults {
            self.schedule(after, Happening::Fault(fault));
        }
    }

    fn note(&mut self, node: usize, line: &LogEvent) {
        if let LogEvent::Proposing { .. } = line {
            let next = self.after_proposal.pop();
            self.schedule_faults(next.into_iter().collect());
        }
        self.trace(|| format!("{node} {line:?}"));
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: Message) {
        let run = self.nodes[from].epoch;
        self.oracle.saw_message(from, run, &message);
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else { return };
        let to_epoch = self.nodes[to].epoch;
        if !self.nodes[to].is_up() {
            return;
        }
        if matches!(message, Message::StateChunk { .. } | Message::HistoryChunk { .. })
            && self.piece_is_lost(from, to)
        {
            return;
        }
        let message = if self.scenario.encodes { reencode(&message) } else { message };
        let parcel = Parcel { from, to, to_epoch, message };
        if let Some((at, parcel)) = self.network.route(self.now, parcel, &mut self.rng) {
            self.schedule(at - self.now, Happening::Deliver(parcel));
        }
    }

    /// Counts a piece, and lets happen what is due with it.
    fn piece_is_lost(&mut self, from: usize, to: usize) -> bool {
        self.pieces += 1;
        let count = self.pieces;
        let Some((_, what)) = self.at_piece.take_if(|(piece, _)| *piece == count) else { return false };
        let back = Duration::from_millis(300);
        let kill = |node| Fault::Kill { nodes: vec![node], back_after: vec![back] };
        let lose_power = |nodes: &[usize], wiped: &[usize]| Fault::PowerLoss {
            nodes: nodes.to_vec(),
            wiped: wiped.iter().copied().collect(),
            back_after: vec![back; nodes.len()],
        };
        let fault = match what {
            AtPiece::Lost => return true,
            AtPiece::SenderDies => kill(from),
            AtPiece::ReceiverDies => kill(to),
            AtPiece::BothLosePower => lose_power(&[from, to], &[]),
            AtPiece::ReceiverLosesDisk => lose_power(&[to], &[to]),
        };
        self.schedule(Duration::ZERO, Happening::Fault(fault));
        false
    }

    fn deliver(&mut self, parcel: Parcel) {
        let from = self.nodes[parcel.from].address;
        self.feed(parcel.to, parcel.to_epoch, Event::Message { from, message: parcel.message });
    }

    fn begin_job(&mut self, node: usize, job: DiskJob) {
        let batch = job.batch;
        let time = self.nodes[node].disk_time(self.now);
        let epoch = self.nodes[node].epoch;
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        if process.job.replace(job).is_some() {
            self.oracle.fail(format!("two batches at a time at {node}"));
        }
        self.schedule(time, Happening::DiskDone { node, epoch, batch });
    }

    fn disk_done(&mut self, node: usize, epoch: u64, batch: u64) {
        if self.nodes[node].epoch != epoch {
            return;
        }
        let hang = self.nodes[node].disk_hangs_until;
        if hang > self.now {
            return self.schedule(hang - self.now, Happening::DiskDone { node, epoch, batch });
        }
        let Some(process) = self.nodes[node].process.as_mut() else { return };
        let Some(job) = process.job.take() else { return };
        let log = &mut process.log;
        let done = if job.rewrite { log.rewrite(&job.records) } else { log.append(&job.records) };
        let event = if done.is_ok() { Event::Persisted { batch } } else { Event::PersistFailed { batch } };
        self.feed(node, epoch, event);
    }
}

fn short(address: SocketAddr) -> u8 {
    match address {
        SocketAddr::V4(address) => address.ip().octets()[3] - 1,
        SocketAddr::V6(_) => u8::MAX,
    }
}

fn reencode(message: &Message) -> Message {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    let decoded: Message = ciborium::from_reader(bytes.as_slice()).expect("a message can be decoded");
    assert_eq!(&decoded, message);
    decoded
}
