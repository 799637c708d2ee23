//! Observes the exits, metrics and resource use of the processes during a run.

use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::process_id::ProcessId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::timeout;

/// The part of a metrics line that identifies a counter of invariant violations.
const INVARIANT_VIOLATIONS: &str = "_invariant_violations_total{invariant=\"";
/// The metrics line of a control process that holds the lease of the list reader.
const LIST_READER_METRIC: &str = "lugwharf_control_list_reader 1";
/// The timeout for the metrics of one process.
const METRICS_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum number of file descriptors of an idle process. This limit and the next two are far above the
/// needs of a small fleet.
const MAX_DESCRIPTORS: usize = 300;
/// The maximum number of threads of an idle process.
const MAX_THREADS: u64 = 8;
/// The maximum resident memory of an idle process, in KB.
const MAX_RESIDENT_KB: u64 = 64 * 1024;

/// One incarnation of a process. The pid distinguishes it from others of the same name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Incarnation {
    name: String,
    pid: u32,
}

/// The observations of the processes so far.
#[derive(Debug, Default)]
pub struct ProcessMonitor {
    /// The last configuration version that each incarnation reported.
    config_versions: BTreeMap<Incarnation, u64>,
    /// The number of log lines that each incarnation of a proxy has omitted.
    omitted_log_lines: BTreeMap<Incarnation, u64>,
    findings: BTreeSet<Finding>,
}

impl ProcessMonitor {
    /// Observes all processes once.
    pub async fn observe(&mut self, fleet: &mut Fleet) {
        let mut lease_holders: Vec<ProcessId> = Vec::new();
        for process_id in fleet.processes() {
            let name = process_id.name();
            let Some(process) = fleet.cluster.process(&name) else { continue };
            let (pid, exit_status) = (process.id(), process.exit_status());
            // The metrics of a paused process would time out.
            if fleet.is_stopped_or_paused(&name) {
                continue;
            }
            if let Some(status) = exit_status {
                self.report("process_ended", format!("{name} exited unexpectedly: {status}"));
                continue;
            }
            if let Ok(Some(text)) = timeout(METRICS_TIMEOUT, metrics_of(fleet, process_id)).await {
                self.record_metrics(Incarnation { name, pid }, &text);
                lease_holders.extend(holds_list_lease(&text).then_some(process_id));
            }
        }
        self.check_lease_holders(fleet, &lease_holders).await;
    }

    /// Reports several holders of one lease. The processes were observed one after the other, so the first
    /// may have lost the lease before the last was observed. Several holders are a violation only if the
    /// first process still holds the lease afterwards.
    async fn check_lease_holders(&mut self, fleet: &Fleet, holders: &[ProcessId]) {
        let [first, _, ..] = holders else { return };
        let text = timeout(METRICS_TIMEOUT, metrics_of(fleet, *first)).await.ok().flatten();
        if text.is_some_and(|text| holds_list_lease(&text)) {
            let names: Vec<String> = holders.iter().map(|process_id| process_id.name()).collect();
            self.report("two_holders", format!("{names:?} at {} ms", fleet.environment.now().as_millis()));
        }
    }

    /// Checks the resource use of each process while the fleet is idle.
    pub fn check_idle_resources(&mut self, fleet: &mut Fleet) {
        for process_id in fleet.processes() {
            let name = process_id.name();
            let Some(pid) = fleet.cluster.process(&name).map(|process| process.id()) else { continue };
            let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
            let (threads, resident) = (proc_field(&status, "Threads:"), proc_field(&status, "VmRSS:"));
            if descriptors > MAX_DESCRIPTORS || threads > MAX_THREADS || resident > MAX_RESIDENT_KB {
                let facts = format!(
                    "{name}: {descriptors} descriptors (at most {MAX_DESCRIPTORS}), {threads} threads (at most {MAX_THREADS}), {resident} KB resident (at most {MAX_RESIDENT_KB})"
                );
                self.report("bounds", facts);
            }
        }
    }

    fn record_metrics(&mut self, incarnation: Incarnation, text: &str) {
        let is_violation = |line: &&str| line.contains(INVARIANT_VIOLATIONS) && !line.ends_with(" 0");
        for line in text.lines().filter(is_violation) {
            self.report("invariant", format!("{}: {line}", incarnation.name));
        }
        if let Some(version) = sample(text, "_config_version") {
            let before = self.config_versions.insert(incarnation.clone(), version).unwrap_or(0);
            if version < before {
                self.report("version_fell", format!("{}: {version} after {before}", incarnation.name));
            }
        }
        if let Some(omitted) = sample(text, "_request_lines_omitted_total") {
            self.omitted_log_lines.insert(incarnation, omitted);
        }
    }

    /// The number of log lines about failed requests that all incarnations of a front-end node's proxy have
    /// omitted.
    pub fn omitted_log_lines(&self, front: usize) -> u64 {
        let proxy = ProcessId::Proxy(front).name();
        let of_proxy = self.omitted_log_lines.iter().filter(|(incarnation, _)| incarnation.name == proxy);
        of_proxy.map(|(_, omitted)| omitted).sum()
    }

    /// All violations that were observed.
    pub fn findings(&self) -> BTreeSet<Finding> {
        self.findings.clone()
    }

    fn report(&mut self, rule: &'static str, facts: String) {
        self.findings.insert(Finding { rule, facts });
    }
}

/// Whether a control process holds the lease of the list reader, according to its metrics.
fn holds_list_lease(metrics: &str) -> bool {
    metrics.lines().any(|line| line == LIST_READER_METRIC)
}

/// The value of the first metric whose name has this suffix.
fn sample(metrics: &str, suffix: &str) -> Option<u64> {
    let has_suffix = |line: &&str| line.split(' ').next().is_some_and(|name| name.ends_with(suffix));
    let (_, value) = metrics.lines().find(has_suffix)?.rsplit_once(' ')?;
    value.parse().ok()
}

async fn metrics_of(fleet: &Fleet, process_id: ProcessId) -> Option<String> {
    match process_id {
        ProcessId::Control(index) => fleet.cluster.control_metrics(index).await,
        ProcessId::Proxy(front) => {
            let [proxy, _] = fleet.cluster.front_metrics(front).await;
            proxy
        }
        ProcessId::Agent(front) => {
            let [_, agent] = fleet.cluster.front_metrics(front).await;
            agent
        }
    }
}

/// The numeric value of a field in `/proc/PID/status`; 0 if there is no such field.
fn proc_field(status: &str, name: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|rest| rest.split_whitespace().next()).and_then(|value| value.parse().ok()).unwrap_or(0)
}
