//! Stand-ins and driver of the script cases: starts the project's own programs on loopback addresses, and
//! plays the platform, a plain service, the operator and the clients as `PROTOCOL.md` describes them.
//!
//! Standard library only, so that `build.sh` needs nothing but `rustc`.

mod fleet;
mod http;
mod servers;

mod duplicate_field;
mod limits_on_kept_connections;
mod unsignalled_seeds;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A run that has not ended by then is ended: a script may take 120 s.
const MAX_TIME: Duration = Duration::from_secs(110);

/// The result of a case, which is also its exit status.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
}

/// Writes what was sent, answered and run to `record.txt`, with the time since the start in ms.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn ms(&self) -> u128 {
        self.started.elapsed().as_millis()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.started.elapsed().as_millis(), text.as_ref());
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write record.txt: {error}");
            std::process::exit(Verdict::CouldNotRun as i32);
        }
    };
    let record: &'static Record = Box::leak(Box::new(record));
    record.line(format!("case {case}, disruption: {has_trouble}"));
    // The processes that were started end with this one.
    thread::spawn(move || {
        thread::sleep(MAX_TIME);
        record.line("could not run: it took too long");
        std::process::exit(Verdict::CouldNotRun as i32);
    });
    let verdict = match case.as_str() {
        "duplicate-field" => duplicate_field::run(record, has_trouble),
        "limits-on-kept-connections" => limits_on_kept_connections::run(record, has_trouble),
        "unsignalled-seeds" => unsignalled_seeds::run(record, has_trouble),
        _ => Err(format!("no case {case:?}")),
    };
    let verdict = verdict.unwrap_or_else(|error| {
        record.line(format!("could not run: {error}"));
        Verdict::CouldNotRun
    });
    record.line(format!("exit {}", verdict as i32));
    std::process::exit(verdict as i32);
}
