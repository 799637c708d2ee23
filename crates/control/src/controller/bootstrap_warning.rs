//! Logs a warning if the first start of a system waits too long for its seeds.
//!
//! View 1 is agreed by a majority of the seeds (`docs/design/membership.md`). Each machine knows only of
//! itself whether it counts for the quorum, so the processes that start first can't tell whether they are a
//! majority of the machines that count. If too few of the seeds run a control process, nothing is ever
//! decided, and one line is logged: `bootstrap outcome=waiting`.

use super::Controller;
use super::state_machine_settings::replica_seeds;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// How long the first start may take before the warning is logged. It normally takes one or two seconds after
/// the machines have started.
const WARNING_DELAY: Duration = Duration::from_secs(10);

/// The seeds that the first start waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingSeeds {
    /// The number of seeds that form a majority.
    pub needed: usize,
    /// The number of seeds that run a control process.
    pub present: usize,
    /// The peer addresses of the seeds that run none.
    pub absent: Vec<SocketAddr>,
}

/// Returns the seeds without a control process, unless a majority of the seeds runs one. `running` are the
/// known control processes.
pub fn missing_seeds(seeds: &[SocketAddr], running: &[SocketAddr]) -> Option<MissingSeeds> {
    let absent: Vec<SocketAddr> = seeds.iter().copied().filter(|seed| !running.contains(seed)).collect();
    let (needed, present) = (seeds.len() / 2 + 1, seeds.len() - absent.len());
    (present < needed).then_some(MissingSeeds { needed, present, absent })
}

/// Tracks whether the warning was logged, so that it is logged only once.
#[derive(Debug, Default)]
pub struct BootstrapWarning {
    was_logged: bool,
}

impl Controller {
    /// Logs once which seeds the first start waits for, if no view has been agreed after [`WARNING_DELAY`].
    pub(super) fn warn_of_delayed_bootstrap(&mut self) {
        let now = self.now();
        let is_delayed =
            self.settings.bootstrap && self.replica.status().view_number == 0 && now >= WARNING_DELAY;
        if !is_delayed || self.bootstrap_warning.was_logged {
            return;
        }
        let running = self.process_directory.all(now, self.local_address, &[]);
        let Some(missing) = missing_seeds(&replica_seeds(&self.settings), &running) else { return };
        self.bootstrap_warning.was_logged = true;
        let MissingSeeds { needed, present, absent } = missing;
        let absent: Vec<String> = absent.iter().map(SocketAddr::to_string).collect();
        warn!("bootstrap", kv: { outcome = "waiting", needed, present, absent = absent.join(",").as_str() });
    }
}
