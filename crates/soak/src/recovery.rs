//! The conditions that must hold once all faults are over: the fleet recovers by itself, and serves writes
//! and reads again.

use crate::configuration::{configuration, version_of};
use crate::finding::Finding;
use crate::fleet::Fleet;
use crate::operator_log::{ConfigWrite, OperatorLog};
use crate::operators::read_once;
use lugwharf_emulator::cluster::readiness_status;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// The time limit of the recovery: `RecoveryS` of the fleet's settings plus the `CatchUpS` of a node that was
/// just restarted.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(16);
/// `ConfigMs` of the fleet's settings: the time within which an acknowledged configuration reaches all
/// front-end nodes.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The interval between two checks of the conditions.
const CONDITION_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between two checks of the configuration versions in use.
const PROPAGATION_INTERVAL: Duration = Duration::from_millis(25);
/// The rule of all findings of this module.
const RULE: &str = "not_healed";

/// Waits until the fleet is healthy. After [`RECOVERY_TIMEOUT`], each condition that still fails is a
/// finding.
pub async fn await_recovery(fleet: &Fleet) -> Vec<Finding> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let failing = failing_conditions(fleet).await;
        if failing.is_empty() {
            return Vec::new();
        }
        if Instant::now() >= deadline {
            return failing.into_iter().map(|facts| Finding { rule: RULE, facts }).collect();
        }
        tokio::time::sleep(CONDITION_INTERVAL).await;
    }
}

/// The conditions of a healthy fleet that do not hold. In a healthy fleet all control nodes serve in one view
/// and agree on the holder of the list reader's lease, and all front-end nodes are ready.
async fn failing_conditions(fleet: &Fleet) -> Vec<String> {
    let mut failing = Vec::new();
    let mut views = BTreeSet::new();
    let mut holders = BTreeSet::new();
    for index in &fleet.control_nodes {
        let Some(status) = fleet.cluster.control_status(*index).await else {
            failing.push(format!("control-{index} does not respond to a status request"));
            continue;
        };
        for flag in ["Serving", "InTouch", "DiskWell", "Member"] {
            if status[flag] != Value::Bool(true) {
                failing.push(format!("control-{index}: {flag} is {}", status[flag]));
            }
        }
        views.insert(status["View"].to_string());
        holders.insert(status["Roles"][0]["Holder"].to_string());
        let chain = status["Chain"].as_array().map_or(0, Vec::len);
        if chain != fleet.control_nodes.len() {
            failing.push(format!("control-{index}: the chain has {chain} replicas"));
        }
    }
    if views.len() > 1 {
        failing.push(format!("control nodes are in different views: {views:?}"));
    }
    if holders.len() != 1 || holders.contains("null") {
        failing
            .push(format!("control nodes report no common holder of the list reader's lease: {holders:?}"));
    }
    for front in 0..fleet.front_count {
        if readiness_status(fleet.cluster.ready_address(front)).await != Some(200) {
            failing.push(format!("front-{front} is not ready"));
        }
    }
    failing
}

/// Writes one more configuration, which must be acknowledged and reach all front-end nodes in time. `version`
/// must be higher than all versions written before.
pub async fn verify_final_write(fleet: &Fleet, version: u64, log: &OperatorLog) -> Vec<Finding> {
    let operator = fleet.operator();
    let newest = operator.get().await;
    let Some(base) = version_of(newest.body()) else {
        return failed(format!("no configuration could be read: {newest:?}"));
    };
    let (started_at, bytes) = (fleet.environment.now(), configuration(version).to_bytes());
    let outcome = operator.put(&bytes, base).await;
    log.record_write(ConfigWrite {
        version,
        base,
        bytes: bytes.into(),
        is_valid: true,
        started_at,
        ended_at: fleet.environment.now(),
        outcome: outcome.clone(),
        is_resend: false,
    });
    if outcome.status() != Some(200) {
        return failed(format!(
            "the write of version {version} on base {base} was not acknowledged: {outcome:?}"
        ));
    }
    await_propagation(fleet, version).await
}

/// Waits until all front-end nodes use a version.
async fn await_propagation(fleet: &Fleet, version: u64) -> Vec<Finding> {
    let deadline = Instant::now() + PROPAGATION_TIMEOUT;
    let expected = format!("lugwharf_proxy_config_version {version}");
    let mut lagging: Vec<usize> = (0..fleet.front_count).collect();
    while !lagging.is_empty() {
        let mut still_lagging = Vec::new();
        for front in lagging {
            let [metrics, _] = fleet.cluster.front_metrics(front).await;
            if !metrics.is_some_and(|text| text.lines().any(|line| line == expected)) {
                still_lagging.push(front);
            }
        }
        lagging = still_lagging;
        if Instant::now() >= deadline && !lagging.is_empty() {
            return failed(format!("front-end nodes {lagging:?} did not receive version {version} in time"));
        }
        tokio::time::sleep(PROPAGATION_INTERVAL).await;
    }
    Vec::new()
}

fn failed(facts: String) -> Vec<Finding> {
    vec![Finding { rule: RULE, facts }]
}

/// Reads the configuration at each control node. The checker compares the read configurations with the
/// written ones.
pub async fn verify_final_reads(fleet: &Fleet, log: &OperatorLog) -> Vec<Finding> {
    let mut found = Vec::new();
    for index in &fleet.control_nodes {
        let read = read_once(&fleet.environment, fleet.cluster.control_address(*index)).await;
        if read.bytes.is_none() {
            let facts = format!("control-{index} did not answer a read of the configuration");
            found.push(Finding { rule: RULE, facts });
        }
        log.record_read(read);
    }
    found
}
