//! Faults that are injected while the fleet starts for the first time, before the first configuration is
//! written.

use crate::fleet::Fleet;
use crate::process_id::ProcessId;
use eyre::Result;
use std::time::Duration;

/// The range that the number of faults is drawn from.
const FAULT_COUNT: std::ops::RangeInclusive<u32> = 1..=4;
/// The range that the pause before each fault and before its recovery is drawn from, in ms. The first view is
/// decided within about 300 ms.
const PAUSE_MS: std::ops::Range<u64> = 0..400;
/// One of this many faults affects all processes.
const ALL_PROCESSES_ONE_IN: u32 = 4;

/// Kills or pauses processes that have just started, and restarts or continues them.
///
/// # Errors
/// A process cannot be signalled or started.
pub async fn inject_startup_faults(fleet: &mut Fleet, seed: u64) -> Result<()> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x57a7);
    for _ in 0..rng.u32(FAULT_COUNT) {
        random_pause(&mut rng).await;
        let processes = fleet.processes();
        let chosen = processes[rng.usize(..processes.len())];
        let affects_all = rng.u32(..ALL_PROCESSES_ONE_IN) == 0;
        let affected: Vec<ProcessId> = if affects_all { processes } else { vec![chosen] };
        let is_pause = rng.bool();
        for process_id in &affected {
            if is_pause { fleet.pause(*process_id)? } else { fleet.kill(*process_id)? }
        }
        random_pause(&mut rng).await;
        for process_id in affected {
            if is_pause { fleet.release_pause(process_id)? } else { fleet.release_stop(process_id)? }
        }
    }
    Ok(())
}

/// Waits for a random time.
async fn random_pause(rng: &mut fastrand::Rng) {
    tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
}
