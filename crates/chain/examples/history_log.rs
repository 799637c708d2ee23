//! Measures the cost of a log with many changes: bytes written, bytes on disk, recovery time and peak memory.
//!
//! ```text
//! cargo run --release -p lugwharf-chain --example history_log [CHANGES [ROUTES]]
//! ```
//!
//! By default, a single replica commits 1,000 changes, each a configuration with 350 routes. Its log is a
//! real file in a new directory below the system's temporary directory. The log is then recovered in a
//! separate process, so that the peak memory of the recovery is measured in isolation. Peak memory is read
//! from `/proc`, so the example runs on Linux only.

use lugwharf_chain::{Action, Event, OperatorRequestId, OperatorResponse, Replica, ReplicaSettings};
use lugwharf_store::Log;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

type BoxResult<T> = Result<T, Box<dyn Error>>;

const DEFAULT_CHANGES: u64 = 1_000;
const DEFAULT_ROUTES: usize = 350;
/// The time by which the clock of the replica advances with each tick.
const TICK: Duration = Duration::from_millis(30);
/// The first argument of the process that only recovers the log.
const READ_LOG: &str = "start";

/// A single replica with its log on disk. Its clock advances with each tick instead of following real time.
struct LocalReplica {
    replica: Replica,
    log: Log,
    now: Duration,
    /// The bytes written by appends and by rewrites of the log.
    written_bytes: u64,
    rewrites: u64,
}

impl LocalReplica {
    /// Recovers a replica from the log in a directory. An empty directory counts as a new disk.
    fn open(directory: &Path) -> BoxResult<LocalReplica> {
        let (log, recovered) = Log::open(directory)?;
        let local_address = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let settings = ReplicaSettings::new(local_address, vec![local_address], true, 0, 1);
        let mut actions = Vec::new();
        let replica = Replica::recover(settings, &recovered.records, Duration::ZERO, &mut actions)?;
        let mut local = LocalReplica { replica, log, now: Duration::ZERO, written_bytes: 0, rewrites: 0 };
        local.execute(actions)?;
        Ok(local)
    }

    /// Executes actions and those that result from them, until none remain. Returns the last response to the
    /// operator.
    fn execute(&mut self, mut actions: Vec<Action>) -> BoxResult<Option<OperatorResponse>> {
        let mut last_response = None;
        while !actions.is_empty() {
            let mut next_actions = Vec::new();
            for action in actions {
                match action {
                    Action::Persist { batch, records } => {
                        self.log.append(&records)?;
                        self.written_bytes += records.iter().map(Vec::len).sum::<usize>() as u64;
                        self.replica.handle(self.now, Event::Persisted { batch }, &mut next_actions);
                    }
                    Action::RewriteLog { batch, records } => {
                        self.log.rewrite(&records)?;
                        self.written_bytes += self.log.len_bytes();
                        self.rewrites += 1;
                        self.replica.handle(self.now, Event::Persisted { batch }, &mut next_actions);
                    }
                    Action::Respond { response, .. } => last_response = Some(response),
                    // There are no peers, and log events are not needed.
                    _ => {}
                }
            }
            actions = next_actions;
        }
        Ok(last_response)
    }

    fn handle(&mut self, event: Event) -> BoxResult<Option<OperatorResponse>> {
        let mut actions = Vec::new();
        self.replica.handle(self.now, event, &mut actions);
        self.execute(actions)
    }

    fn tick(&mut self) -> BoxResult<()> {
        self.now += TICK;
        self.handle(Event::Tick).map(|_| ())
    }

    fn tick_until_serving(&mut self) -> BoxResult<()> {
        while !self.replica.status().is_serving {
            self.tick()?;
        }
        Ok(())
    }

    /// Commits a configuration under the next version.
    fn commit(&mut self, version: u64, bytes: Arc<[u8]>) -> BoxResult<()> {
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

/// A configuration of realistic size, with different bytes in each version.
fn configuration(version: u64, route_count: usize) -> Arc<[u8]> {
    let route = |number: usize| {
        format!(
            "{{\"Name\":\"r-{number}\",\"Host\":\"h-{number}.example\",\"PathPrefix\":\"/v1/{version}/{number}/\",\
             \"RouteKind\":\"streaming\",\"TimeoutMs\":2500,\"SloMs\":300,\"Priority\":0,\"Service\":\"s-{number}\",\
             \"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true}}"
        )
    };
    let routes: Vec<String> = (0..route_count).map(route).collect();
    format!("{{\"Version\":{version},\"Routes\":[{}]}}", routes.join(",")).into_bytes().into()
}

/// The peak resident memory of this process in KiB, as reported by the kernel.
fn peak_memory_kib() -> BoxResult<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .ok_or("/proc/self/status has no VmHWM line")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Commits changes and prints the cost.
fn measure_writing(directory: &Path, change_count: u64, route_count: usize) -> BoxResult<()> {
    let mut replica = LocalReplica::open(directory)?;
    replica.tick_until_serving()?;
    let size = configuration(1, route_count).len();
    let started_at = Instant::now();
    for version in 1..=change_count {
        replica.commit(version, configuration(version, route_count))?;
    }
    let elapsed = started_at.elapsed();
    println!(
        "{change_count} changes of {route_count} routes, {size} bytes each, in {} ms",
        elapsed.as_millis()
    );
    println!("written: {} bytes, {} rewrites included", replica.written_bytes, replica.rewrites);
    println!("on disk: {} bytes", replica.log.len_bytes());
    println!("peak memory while writing: {} KiB", peak_memory_kib()?);
    Ok(())
}

/// Recovers a replica from its log and prints the cost.
fn measure_start(directory: &Path) -> BoxResult<()> {
    let memory_before = peak_memory_kib()?;
    let started_at = Instant::now();
    Log::open(directory)?;
    let reading_time = started_at.elapsed();
    let started_at = Instant::now();
    let replica = LocalReplica::open(directory)?;
    let elapsed = started_at.elapsed();
    let committed_version = replica.replica.status().committed_version;
    println!("reading the log alone: {:.1} ms", reading_time.as_secs_f64() * 1_000.0);
    println!("start: {:.1} ms, newest committed {committed_version:?}", elapsed.as_secs_f64() * 1_000.0);
    println!("peak memory of the start: {} KiB, {memory_before} KiB before it", peak_memory_kib()?);
    Ok(())
}

fn main() -> BoxResult<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [READ_LOG, directory] = arguments.iter().map(String::as_str).collect::<Vec<&str>>()[..] {
        return measure_start(Path::new(directory));
    }
    let change_count = arguments.first().map_or(Ok(DEFAULT_CHANGES), |text| text.parse())?;
    let route_count = arguments.get(1).map_or(Ok(DEFAULT_ROUTES), |text| text.parse())?;
    let directory: PathBuf = std::env::temp_dir().join(format!("history-log-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    measure_writing(&directory, change_count, route_count)?;
    let status = Command::new(std::env::current_exe()?).arg(READ_LOG).arg(&directory).status()?;
    std::fs::remove_dir_all(&directory)?;
    if status.success() { Ok(()) } else { Err("the process that recovers the log failed".into()) }
}
