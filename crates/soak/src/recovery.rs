//! What has to be well again once all troubles are over.

use crate::checker::Finding;
use crate::configuration::{configuration, version_of};
use crate::fleet::Fleet;
use crate::operators::{ConfigWrite, OperatorLog};
use lugwharf_emulator::cluster::readiness_status;
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// `RecoveryS` of the fleet's settings, with the `CatchUpS` of a machine that has just come back.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(16);
/// `ConfigMs` of the fleet's settings.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until the fleet is well; tells what is not if it takes longer than [`RECOVERY`].
pub async fn await_recovery(fleet: &Fleet, fronts: usize) -> Vec<Finding> {
    let deadline = Instant::now() + RECOVERY_TIMEOUT;
    loop {
        let unhealthy_conditions = unhealthy_conditions(fleet, fronts).await;
        if unhealthy_conditions.is_empty() {
            return Vec::new();
        }
        if Instant::now() >= deadline {
            let all = |facts: String| Finding { rule: "not_healed", facts };
            return unhealthy_conditions.into_iter().map(all).collect();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn unhealthy_conditions(fleet: &Fleet, fronts: usize) -> Vec<String> {
    let mut found = Vec::new();
    let mut views = BTreeSet::new();
    let mut holders = BTreeSet::new();
    for index in &fleet.controls {
        let Some(status) = fleet.cluster.control_status(*index).await else {
            found.push(format!("control-{index} does not answer"));
            continue;
        };
        for flag in ["Serving", "InTouch", "DiskWell", "Member"] {
            if status[flag] != Value::Bool(true) {
                found.push(format!("control-{index}: {flag} is {}", status[flag]));
            }
        }
        views.insert(status["View"].to_string());
        holders.insert(status["Roles"][0]["Holder"].to_string());
        let chain = status["Chain"].as_array().map_or(0, Vec::len);
        if chain != fleet.controls.len() {
            found.push(format!("control-{index}: a chain of {chain}"));
        }
    }
    if views.len() > 1 {
        found.push(format!("views {views:?}"));
    }
    if holders.len() != 1 || holders.contains("null") {
        found.push(format!("list reader {holders:?}"));
    }
    for front in 0..fronts {
        if readiness_status(fleet.cluster.ready_address(front)).await != Some(200) {
            found.push(format!("front-{front} is not ready"));
        }
    }
    found
}

/// Sends one more change, which has to be acknowledged and to reach every front in time. `version` is above all that were
/// sent.
pub async fn verify_final_write(
    fleet: &Fleet, fronts: usize, version: u64, operator_log: &OperatorLog,
) -> Vec<Finding> {
    let find = |facts: String| vec![Finding { rule: "not_healed", facts }];
    let operator = fleet.operator();
    let newest = operator.get().await;
    let Some(base) = version_of(newest.body()) else {
        return find(format!("no configuration is read back: {newest:?}"));
    };
    let (started_at, bytes) = (fleet.world.now(), configuration(version).to_bytes());
    let outcome = operator.put(&bytes, base).await;
    operator_log.record_write(ConfigWrite {
        version,
        base,
        bytes: bytes.into(),
        is_valid: true,
        started_at,
        ended_at: fleet.world.now(),
        outcome: outcome.clone(),
        is_resend: false,
    });
    if outcome.status() != Some(200) {
        return find(format!("version {version} on {base}: {outcome:?}"));
    }
    let deadline = Instant::now() + PROPAGATION_TIMEOUT;
    let expected_line = format!("lugwharf_proxy_config_version {version}");
    let mut lagging: Vec<usize> = (0..fronts).collect();
    while !lagging.is_empty() {
        let mut still_lagging = Vec::new();
        for front in lagging {
            let text = fleet.cluster.front_metrics(front).await.into_iter().next().flatten();
            if !text.is_some_and(|text| text.lines().any(|line| line == expected_line)) {
                still_lagging.push(front);
            }
        }
        lagging = still_lagging;
        if Instant::now() >= deadline && !lagging.is_empty() {
            return find(format!("fronts {lagging:?} lack version {version}"));
        }
        tokio::time::sleep(POLL_INTERVAL / 4).await;
    }
    Vec::new()
}
