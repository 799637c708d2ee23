//! Troubles while everything starts for the first time, before the first configuration.

use crate::fleet::{Fleet, ProcessId};
use eyre::Result;
use std::time::Duration;

/// Troubles of one start.
const TROUBLES: std::ops::RangeInclusive<u32> = 1..=4;
/// The time before each of them, and the time before what was ended starts again, in ms: founding takes some 300 ms.
const PAUSE_MS: std::ops::Range<u64> = 0..400;

/// Ends or freezes processes that have just started, and lets them go on.
pub async fn inject_startup_faults(fleet: &mut Fleet, fronts: usize, seed: u64) -> Result<()> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x57a7);
    for _ in 0..rng.u32(TROUBLES) {
        pause(&mut rng).await;
        let processes: Vec<ProcessId> = fleet.processes(fronts);
        let process_id = processes[rng.usize(..processes.len())];
        let together = rng.u32(..4) == 0;
        let struck: Vec<ProcessId> = if together { processes } else { vec![process_id] };
        let freezes = rng.bool();
        for process_id in &struck {
            if freezes { fleet.pause(*process_id)? } else { fleet.kill(*process_id)? }
        }
        pause(&mut rng).await;
        for process_id in struck {
            if freezes { fleet.resume(process_id)? } else { fleet.release(process_id)? }
        }
    }
    Ok(())
}

async fn pause(rng: &mut fastrand::Rng) {
    tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
}
