//! The folder of a failing seed, and the summary of many.

use crate::judge::Finding;
use crate::run::Outcome;
use crate::schedule::{Kind, Schedule};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::io;
use std::path::Path;

/// Writes all that explains a run into a folder.
pub fn write_folder(folder: &Path, outcome: &Outcome) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("schedule.txt"), outcome.schedule.to_string())?;
    let findings: Vec<String> =
        outcome.findings.iter().map(|Finding { rule, facts }| format!("{rule}: {facts}\n")).collect();
    std::fs::write(folder.join("findings.txt"), findings.concat())?;
    std::fs::write(folder.join("ledger.txt"), &outcome.ledger)?;
    std::fs::write(folder.join("processes.log"), &outcome.logs)
}

/// What many runs showed.
#[derive(Debug, Default)]
pub struct Summary {
    seeds: usize,
    failed: BTreeSet<u64>,
    requests: usize,
    successes: usize,
    changes: usize,
    reads: usize,
    troubles: BTreeMap<Kind, usize>,
    pairs: BTreeSet<(Kind, Kind)>,
    violations: BTreeMap<&'static str, usize>,
}

impl Summary {
    /// Adds a run.
    pub fn add(&mut self, seed: u64, outcome: &Outcome) {
        self.seeds += 1;
        self.requests += outcome.requests;
        self.successes += outcome.successes;
        self.changes += outcome.changes;
        self.reads += outcome.reads;
        self.note_troubles(&outcome.schedule);
        for finding in &outcome.findings {
            self.failed.insert(seed);
            *self.violations.entry(finding.rule).or_default() += 1;
        }
    }

    fn note_troubles(&mut self, schedule: &Schedule) {
        for (index, trouble) in schedule.troubles.iter().enumerate() {
            *self.troubles.entry(trouble.kind).or_default() += 1;
            for other in &schedule.troubles[..index] {
                if other.end() > trouble.at {
                    self.pairs.insert((other.kind.min(trouble.kind), other.kind.max(trouble.kind)));
                }
            }
        }
    }

    /// Whether nothing was found.
    pub fn is_clean(&self) -> bool {
        self.failed.is_empty()
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seeds {}, failed {} {:?}", self.seeds, self.failed.len(), self.failed)?;
        writeln!(f, "requests {}, successes {}", self.requests, self.successes)?;
        writeln!(f, "changes {}, reads {}", self.changes, self.reads)?;
        let possible = Kind::ALL.len() * (Kind::ALL.len() + 1) / 2;
        writeln!(f, "pairs of troubles that overlapped {} of {possible}", self.pairs.len())?;
        for (kind, count) in &self.troubles {
            writeln!(f, "  {:<18}{count}", kind.name())?;
        }
        writeln!(f, "violations {}", self.violations.values().sum::<usize>())?;
        for (rule, count) in &self.violations {
            writeln!(f, "  {rule:<22}{count}")?;
        }
        Ok(())
    }
}
