//! What the log of many changes costs: bytes written and held, time to start, peak memory.
//!
//! `cargo run --release -p lugwharf-chain --example history_log [CHANGES [ROUTES]]`; 1,000 changes of 350 routes unless
//! told otherwise. One replica on a real folder, which is made anew in the system's folder for such files. The log is
//! read back in a process of its own, so that its memory is measured alone.

use lugwharf_chain::{Action, Event, OperatorRequestId, OperatorResponse, Replica, ReplicaSettings};
use lugwharf_store::Log;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

type Outcome<T> = Result<T, Box<dyn Error>>;

const CHANGES: u64 = 1_000;
const ROUTES: usize = 350;
const TICK: Duration = Duration::from_millis(30);
/// Names the run that only reads the log.
const START: &str = "start";

/// A replica with its disk, on a clock that does not wait.
struct Machine {
    replica: Replica,
    log: Log,
    now: Duration,
    written_bytes: u64,
    rewrites: u64,
}

impl Machine {
    fn open(folder: &Path) -> Outcome<Machine> {
        let (log, recovered) = Log::open(folder)?;
        let me = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let settings = ReplicaSettings::new(me, vec![me], true, 0, 1);
        let mut out = Vec::new();
        let replica = Replica::recover(settings, &recovered.records, Duration::ZERO, &mut out)?;
        let mut machine = Machine { replica, log, now: Duration::ZERO, written_bytes: 0, rewrites: 0 };
        machine.carry_out(out)?;
        Ok(machine)
    }

    /// Carries out what the replica wants until it rests. Returns the answer to a call, if there is one.
    fn carry_out(&mut self, mut actions: Vec<Action>) -> Outcome<Option<OperatorResponse>> {
        let mut answered = None;
        while !actions.is_empty() {
            let mut out = Vec::new();
            for action in actions {
                match action {
                    Action::Persist { batch, records } => {
                        self.log.append(&records)?;
                        self.written_bytes += records.iter().map(Vec::len).sum::<usize>() as u64;
                        self.replica.handle(self.now, Event::Persisted { batch }, &mut out);
                    }
                    Action::RewriteLog { batch, records } => {
                        self.log.rewrite(&records)?;
                        self.written_bytes += self.log.len_bytes();
                        self.rewrites += 1;
                        self.replica.handle(self.now, Event::Persisted { batch }, &mut out);
                    }
                    Action::Respond { response, .. } => answered = Some(response),
                    _ => {}
                }
            }
            actions = out;
        }
        Ok(answered)
    }

    fn handle(&mut self, event: Event) -> Outcome<Option<OperatorResponse>> {
        let mut out = Vec::new();
        self.replica.handle(self.now, event, &mut out);
        self.carry_out(out)
    }

    fn tick(&mut self) -> Outcome<()> {
        self.now += TICK;
        self.handle(Event::Tick).map(|_| ())
    }

    fn run_until_serving(&mut self) -> Outcome<()> {
        while !self.replica.status().is_serving {
            self.tick()?;
        }
        Ok(())
    }

    fn take(&mut self, version: u64, bytes: Arc<[u8]>) -> Outcome<()> {
        let event = Event::Submit {
            id: OperatorRequestId(version),
            base: version - 1,
            version,
            request_hash: None,
            bytes,
        };
        match self.handle(event)? {
            Some(OperatorResponse::Accepted { .. }) => self.tick(),
            other => Err(format!("version {version}: {other:?}").into()),
        }
    }
}

/// A configuration as long as a real one, other in each version.
fn configuration(version: u64, routes: usize) -> Arc<[u8]> {
    let route = |number: usize| {
        format!(
            "{{\"Name\":\"r-{number}\",\"Host\":\"h-{number}.example\",\"PathPrefix\":\"/v1/{version}/{number}/\",\
             \"RouteKind\":\"streaming\",\"TimeoutMs\":2500,\"SloMs\":300,\"Priority\":0,\"Service\":\"s-{number}\",\
             \"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true}}"
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!("{{\"Version\":{version},\"Routes\":[{}]}}", routes.join(",")).into_bytes().into()
}

/// The most memory that this process has had, in KiB, as the kernel counts it.
fn peak_memory() -> Outcome<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).ok_or("no VmHWM")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

fn write(folder: &Path, changes: u64, routes: usize) -> Outcome<()> {
    let mut machine = Machine::open(folder)?;
    machine.run_until_serving()?;
    let size = configuration(1, routes).len();
    let begun = Instant::now();
    for version in 1..=changes {
        machine.take(version, configuration(version, routes))?;
    }
    let took = begun.elapsed();
    println!("{changes} changes of {routes} routes, {size} bytes each, in {} ms", took.as_millis());
    println!("written: {} bytes, of these {} rewrites", machine.written_bytes, machine.rewrites);
    println!("held:    {} bytes", machine.log.len_bytes());
    println!("peak memory while writing: {} KiB", peak_memory()?);
    Ok(())
}

fn start(folder: &Path) -> Outcome<()> {
    let before = peak_memory()?;
    let begun = Instant::now();
    Log::open(folder)?;
    let reading = begun.elapsed();
    let begun = Instant::now();
    let machine = Machine::open(folder)?;
    let took = begun.elapsed();
    let newest = machine.replica.status().committed_version;
    println!("reading the file alone: {:.1} ms", reading.as_secs_f64() * 1_000.0);
    println!("start:   {:.1} ms, newest committed {newest:?}", took.as_secs_f64() * 1_000.0);
    println!("peak memory of the start: {} KiB, {before} KiB before it", peak_memory()?);
    Ok(())
}

fn main() -> Outcome<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [START, folder] = arguments.iter().map(String::as_str).collect::<Vec<&str>>()[..] {
        return start(Path::new(folder));
    }
    let changes = arguments.first().map_or(Ok(CHANGES), |text| text.parse())?;
    let routes = arguments.get(1).map_or(Ok(ROUTES), |text| text.parse())?;
    let folder: PathBuf = std::env::temp_dir().join(format!("history-log-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    write(&folder, changes, routes)?;
    let status = Command::new(std::env::current_exe()?).arg(START).arg(&folder).status()?;
    std::fs::remove_dir_all(&folder)?;
    if status.success() { Ok(()) } else { Err("the start failed".into()) }
}
