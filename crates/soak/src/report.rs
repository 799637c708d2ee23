//! The files that a run writes to disk, and the summary of many runs.

use crate::fault::FaultKind;
use crate::finding::Finding;
use crate::harness::RunOutcome;
use crate::schedule::Schedule;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::path::Path;

/// Writes the schedule, findings, ledger and logs of a run into a folder, which is created if necessary.
///
/// # Errors
/// The folder or a file cannot be written.
pub fn write_run_folder(folder: &Path, outcome: &RunOutcome) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("schedule.txt"), outcome.schedule.to_string())?;
    let findings: Vec<String> =
        outcome.findings.iter().map(|Finding { rule, facts }| format!("{rule}: {facts}\n")).collect();
    std::fs::write(folder.join("findings.txt"), findings.concat())?;
    std::fs::write(folder.join("ledger.txt"), &outcome.ledger)?;
    std::fs::write(folder.join("processes.log"), &outcome.logs)
}

/// Statistics over many runs.
#[derive(Debug, Default)]
pub struct Summary {
    /// The number of seeds that were run.
    seeds: usize,
    /// The seeds with findings.
    failed: BTreeSet<u64>,
    requests: usize,
    successes: usize,
    changes: usize,
    reads: usize,
    faults: BTreeMap<FaultKind, usize>,
    /// The pairs of fault kinds whose scheduled times overlapped, with the smaller kind first.
    overlapping: BTreeSet<(FaultKind, FaultKind)>,
    /// The number of findings by rule.
    violations: BTreeMap<&'static str, usize>,
}

impl Summary {
    /// Adds a run to the statistics.
    pub fn add(&mut self, seed: u64, outcome: &RunOutcome) {
        self.seeds += 1;
        self.requests += outcome.requests;
        self.successes += outcome.successes;
        self.changes += outcome.changes;
        self.reads += outcome.reads;
        self.count_faults(&outcome.schedule);
        for finding in &outcome.findings {
            self.failed.insert(seed);
            *self.violations.entry(finding.rule).or_default() += 1;
        }
    }

    fn count_faults(&mut self, schedule: &Schedule) {
        for (index, fault) in schedule.faults.iter().enumerate() {
            *self.faults.entry(fault.kind).or_default() += 1;
            for other in &schedule.faults[..index] {
                if other.end() > fault.start {
                    self.overlapping.insert((other.kind.min(fault.kind), other.kind.max(fault.kind)));
                }
            }
        }
    }

    /// Whether no run had findings.
    pub fn is_clean(&self) -> bool {
        self.failed.is_empty()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seeds {}, failed {} {:?}", self.seeds, self.failed.len(), self.failed)?;
        writeln!(f, "requests {}, successes {}", self.requests, self.successes)?;
        writeln!(f, "changes {}, reads {}", self.changes, self.reads)?;
        let possible_pairs = FaultKind::ALL.len() * (FaultKind::ALL.len() + 1) / 2;
        writeln!(f, "pairs of fault kinds that overlapped {} of {possible_pairs}", self.overlapping.len())?;
        for (kind, count) in &self.faults {
            writeln!(f, "  {:<18}{count}", kind.name())?;
        }
        writeln!(f, "violations {}", self.violations.values().sum::<usize>())?;
        for (rule, count) in &self.violations {
            writeln!(f, "  {rule:<22}{count}")?;
        }
        Ok(())
    }
}
