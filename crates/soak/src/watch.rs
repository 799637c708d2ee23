//! Metrics and ends of the processes while the soak runs.

use crate::fleet::{Fleet, Unit};
use crate::judge::Finding;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::timeout;

/// A violation of an invariant in a text of metrics.
const VIOLATIONS: &str = "_invariant_violations_total{invariant=\"";
/// The rig waits no longer for the figures of one process.
const ANSWER_WITHIN: Duration = Duration::from_millis(150);
/// Descriptors, threads and resident memory of one process at rest; far above what a small fleet needs.
const MOST_DESCRIPTORS: usize = 300;
const MOST_THREADS: u64 = 8;
const MOST_RESIDENT_KB: u64 = 64 * 1024;

/// What was seen of the processes so far.
#[derive(Debug, Default)]
pub struct Watch {
    /// The configuration last told by each process, by its name and id.
    versions: BTreeMap<(String, u32), u64>,
    /// Lines left out by each proxy, by front and process id.
    omitted: BTreeMap<(usize, u32), u64>,
    findings: BTreeSet<Finding>,
}

impl Watch {
    /// Looks at all processes once.
    pub async fn look(&mut self, fleet: &mut Fleet, fronts: usize) {
        let mut holders: Vec<Unit> = Vec::new();
        for unit in fleet.units(fronts) {
            let name = unit.name();
            let Some(process) = fleet.cluster.process(&name) else { continue };
            let (id, ended) = (process.id(), process.ended());
            if let Some(status) = ended {
                if !fleet.is_troubled(&name) {
                    self.find("process_ended", format!("{name} ended by itself: {status}"));
                }
                continue;
            }
            // One that stands still would keep the rig waiting.
            if fleet.is_troubled(&name) {
                continue;
            }
            if let Ok(Some(text)) = timeout(ANSWER_WITHIN, metrics_of(fleet, unit)).await {
                self.read(unit, id, &text);
                holders.extend(holds_role(&text).then_some(unit));
            }
        }
        self.look_at_holders(fleet, &holders).await;
    }

    /// Of two that said one after the other that they hold the role, the first may have lost it in between; not if it says so
    /// again.
    async fn look_at_holders(&mut self, fleet: &Fleet, holders: &[Unit]) {
        let [first, others @ ..] = holders else { return };
        if others.is_empty() {
            return;
        }
        let text = timeout(ANSWER_WITHIN, metrics_of(fleet, *first)).await.ok().flatten();
        if text.is_some_and(|text| holds_role(&text)) {
            let names: Vec<String> = holders.iter().map(|unit| unit.name()).collect();
            self.find("two_holders", format!("{names:?} at {} ms", fleet.world.now().as_millis()));
        }
    }

    /// Looks at what each process holds at rest.
    pub fn look_at_rest(&mut self, fleet: &mut Fleet, fronts: usize) {
        for unit in fleet.units(fronts) {
            let name = unit.name();
            let Some(id) = fleet.cluster.process(&name).map(|process| process.id()) else { continue };
            let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
            let (threads, resident) = (figure(&status, "Threads:"), figure(&status, "VmRSS:"));
            if descriptors > MOST_DESCRIPTORS || threads > MOST_THREADS || resident > MOST_RESIDENT_KB {
                let facts = format!("{name}: {descriptors} descriptors, {threads} threads, {resident} KB");
                self.find("bounds", facts);
            }
        }
    }

    fn read(&mut self, unit: Unit, id: u32, text: &str) {
        let name = unit.name();
        for line in text.lines().filter(|line| line.contains(VIOLATIONS) && !line.ends_with(" 0")) {
            self.find("invariant", format!("{name}: {line}"));
        }
        let sample = |metric: &str| {
            let line =
                text.lines().find(|line| line.split(' ').next().is_some_and(|name| name.ends_with(metric)));
            line.and_then(|line| line.rsplit_once(' ')).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        if let Some(version) = sample("_config_version") {
            let before = self.versions.insert((name.clone(), id), version).unwrap_or(0);
            if version < before {
                self.find("version_fell", format!("{name}: {version} after {before}"));
            }
        }
        if let (Unit::Proxy(front), Some(omitted)) = (unit, sample("_request_lines_omitted_total")) {
            self.omitted.insert((front, id), omitted);
        }
    }

    /// Lines about failed requests that the proxy of a front has left out.
    pub fn omitted(&self, front: usize) -> u64 {
        self.omitted.iter().filter(|((of, _), _)| *of == front).map(|(_, omitted)| omitted).sum()
    }

    /// What is wrong.
    pub fn findings(self) -> BTreeSet<Finding> {
        self.findings
    }

    fn find(&mut self, rule: &'static str, facts: String) {
        self.findings.insert(Finding { rule, facts });
    }
}

/// Whether a control process holds the list reader's role.
fn holds_role(text: &str) -> bool {
    text.lines().any(|line| line == "lugwharf_control_list_reader 1")
}

async fn metrics_of(fleet: &Fleet, unit: Unit) -> Option<String> {
    match unit {
        Unit::Control(index) => fleet.cluster.control_metrics(index).await,
        Unit::Proxy(front) => fleet.cluster.front_metrics(front).await.into_iter().next().flatten(),
        Unit::Agent(front) => fleet.cluster.front_metrics(front).await.into_iter().nth(1).flatten(),
    }
}

/// The number behind a name in `/proc/ID/status`.
fn figure(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|value| value.parse().ok()).unwrap_or(0)
}
