//! Metrics and ends of the processes while the soak runs.

use crate::checker::Finding;
use crate::fleet::{Fleet, ProcessId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::timeout;

/// A violation of an invariant in a text of metrics.
const VIOLATIONS: &str = "_invariant_violations_total{invariant=\"";
/// The rig waits no longer for the figures of one process.
const METRICS_TIMEOUT: Duration = Duration::from_millis(150);
/// Descriptors, threads and resident memory of one process at rest; far above what a small fleet needs.
const MAX_DESCRIPTORS: usize = 300;
const MAX_THREADS: u64 = 8;
const MAX_RESIDENT_KB: u64 = 64 * 1024;

/// What was seen of the processes so far.
#[derive(Debug, Default)]
pub struct ProcessMonitor {
    /// The configuration last told by each process, by its name and id.
    versions: BTreeMap<(String, u32), u64>,
    /// Lines left out by each proxy, by front and process id.
    omitted_log_lines: BTreeMap<(usize, u32), u64>,
    findings: BTreeSet<Finding>,
}

impl ProcessMonitor {
    /// Looks at all processes once.
    pub async fn observe(&mut self, fleet: &mut Fleet, fronts: usize) {
        let mut holders: Vec<ProcessId> = Vec::new();
        for process_id in fleet.processes(fronts) {
            let name = process_id.name();
            let Some(process) = fleet.cluster.process(&name) else { continue };
            let (pid, exit_status) = (process.id(), process.ended());
            if let Some(status) = exit_status {
                if !fleet.is_stopped_or_paused(&name) {
                    self.report("process_ended", format!("{name} ended by itself: {status}"));
                }
                continue;
            }
            // One that stands still would keep the rig waiting.
            if fleet.is_stopped_or_paused(&name) {
                continue;
            }
            if let Ok(Some(text)) = timeout(METRICS_TIMEOUT, metrics_of(fleet, process_id)).await {
                self.record_metrics(process_id, pid, &text);
                holders.extend(holds_list_reader_role(&text).then_some(process_id));
            }
        }
        self.check_lease_holders(fleet, &holders).await;
    }

    /// Of two that said one after the other that they hold the role, the first may have lost it in between; not if it says so
    /// again.
    async fn check_lease_holders(&mut self, fleet: &Fleet, holders: &[ProcessId]) {
        let [first, others @ ..] = holders else { return };
        if others.is_empty() {
            return;
        }
        let text = timeout(METRICS_TIMEOUT, metrics_of(fleet, *first)).await.ok().flatten();
        if text.is_some_and(|text| holds_list_reader_role(&text)) {
            let names: Vec<String> = holders.iter().map(|process_id| process_id.name()).collect();
            self.report("two_holders", format!("{names:?} at {} ms", fleet.world.now().as_millis()));
        }
    }

    /// Looks at what each process holds at rest.
    pub fn check_idle_resources(&mut self, fleet: &mut Fleet, fronts: usize) {
        for process_id in fleet.processes(fronts) {
            let name = process_id.name();
            let Some(pid) = fleet.cluster.process(&name).map(|process| process.id()) else { continue };
            let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let (threads, resident) = (proc_field(&status, "Threads:"), proc_field(&status, "VmRSS:"));
            if descriptors > MAX_DESCRIPTORS || threads > MAX_THREADS || resident > MAX_RESIDENT_KB {
                let facts = format!("{name}: {descriptors} descriptors, {threads} threads, {resident} KB");
                self.report("bounds", facts);
            }
        }
    }

    fn record_metrics(&mut self, process_id: ProcessId, pid: u32, text: &str) {
        let name = process_id.name();
        for line in text.lines().filter(|line| line.contains(VIOLATIONS) && !line.ends_with(" 0")) {
            self.report("invariant", format!("{name}: {line}"));
        }
        let sample = |metric: &str| {
            let line =
                text.lines().find(|line| line.split(' ').next().is_some_and(|name| name.ends_with(metric)));
            line.and_then(|line| line.rsplit_once(' ')).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        if let Some(version) = sample("_config_version") {
            let before = self.versions.insert((name.clone(), pid), version).unwrap_or(0);
            if version < before {
                self.report("version_fell", format!("{name}: {version} after {before}"));
            }
        }
        if let (ProcessId::Proxy(front), Some(omitted_log_lines)) =
            (process_id, sample("_request_lines_omitted_total"))
        {
            self.omitted_log_lines.insert((front, pid), omitted_log_lines);
        }
    }

    /// Lines about failed requests that the proxy of a front has left out.
    pub fn omitted_log_lines(&self, front: usize) -> u64 {
        self.omitted_log_lines
            .iter()
            .filter(|((of, _), _)| *of == front)
            .map(|(_, omitted_log_lines)| omitted_log_lines)
            .sum()
    }

    /// What is wrong.
    pub fn findings(self) -> BTreeSet<Finding> {
        self.findings
    }

    fn report(&mut self, rule: &'static str, facts: String) {
        self.findings.insert(Finding { rule, facts });
    }
}

/// Whether a control process holds the list reader's role.
fn holds_list_reader_role(text: &str) -> bool {
    text.lines().any(|line| line == "lugwharf_control_list_reader 1")
}

async fn metrics_of(fleet: &Fleet, process_id: ProcessId) -> Option<String> {
    match process_id {
        ProcessId::Control(index) => fleet.cluster.control_metrics(index).await,
        ProcessId::Proxy(front) => fleet.cluster.front_metrics(front).await.into_iter().next().flatten(),
        ProcessId::Agent(front) => fleet.cluster.front_metrics(front).await.into_iter().nth(1).flatten(),
    }
}

/// The number behind a name in `/proc/ID/status`.
fn proc_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|value| value.parse().ok()).unwrap_or(0)
}
