//! Troubles while everything starts for the first time, before the first configuration.

use crate::fleet::{Fleet, Unit};
use eyre::Result;
use std::time::Duration;

/// Troubles of one start.
const TROUBLES: std::ops::RangeInclusive<u32> = 1..=4;
/// The time before each of them, and the time before what was ended starts again, in ms: founding takes some 300 ms.
const PAUSE_MS: std::ops::Range<u64> = 0..400;

/// Ends or freezes processes that have just started, and lets them go on.
pub async fn startle(fleet: &mut Fleet, fronts: usize, seed: u64) -> Result<()> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x57a7);
    for _ in 0..rng.u32(TROUBLES) {
        pause(&mut rng).await;
        let units: Vec<Unit> = fleet.units(fronts);
        let unit = units[rng.usize(..units.len())];
        let together = rng.u32(..4) == 0;
        let struck: Vec<Unit> = if together { units } else { vec![unit] };
        let freezes = rng.bool();
        for unit in &struck {
            if freezes { fleet.freeze(*unit)? } else { fleet.kill(*unit)? }
        }
        pause(&mut rng).await;
        for unit in struck {
            if freezes { fleet.thaw(unit)? } else { fleet.release(unit)? }
        }
    }
    Ok(())
}

async fn pause(rng: &mut fastrand::Rng) {
    tokio::time::sleep(Duration::from_millis(rng.u64(PAUSE_MS))).await;
}
