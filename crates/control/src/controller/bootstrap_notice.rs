//! Says what the first start of a system waits for, if it waits for long.
//!
//! View 1 is agreed by a majority of the seeds (`docs/design/membership.md`): which machines count for the quorum is known of
//! each machine alone, so that the processes that start first can't tell whether they are a majority of them. Where too few of the
//! seeds run control, nothing is ever decided, and one line says so: `bootstrap outcome=waiting`.

use super::Controller;
use super::state_machine_settings::replica_seeds;
use spdlog::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;

/// A first start takes a second or two once the machines run.
const NOTICE_AFTER: Duration = Duration::from_secs(10);

/// What a first start waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingSeeds {
    /// The seeds that make a majority.
    pub needed: usize,
    /// Those that run control.
    pub present: usize,
    /// The peer addresses of the others.
    pub absent: Vec<SocketAddr>,
}

/// The seeds without a control process, if too few of all seeds run one. `running` are the control processes that are known.
pub fn missing_seeds(seeds: &[SocketAddr], running: &[SocketAddr]) -> Option<MissingSeeds> {
    let absent: Vec<SocketAddr> = seeds.iter().copied().filter(|seed| !running.contains(seed)).collect();
    let (needed, present) = (seeds.len() / 2 + 1, seeds.len() - absent.len());
    (present < needed).then_some(MissingSeeds { needed, present, absent })
}

/// Whether the line was logged.
#[derive(Debug, Default)]
pub struct BootstrapNotice {
    was_given: bool,
}

impl Controller {
    /// Logs once what the first start waits for, if no view was agreed for [`NOTICE_AFTER`].
    pub(super) fn notice_delayed_bootstrap(&mut self) {
        let now = self.now();
        let is_delayed =
            self.settings.bootstrap && self.replica.status().view_number == 0 && now >= NOTICE_AFTER;
        if !is_delayed || self.bootstrap_notice.was_given {
            return;
        }
        let running = self.process_directory.all(now, self.local_address, &[]);
        let Some(missing) = missing_seeds(&replica_seeds(&self.settings), &running) else { return };
        self.bootstrap_notice.was_given = true;
        let MissingSeeds { needed, present, absent } = missing;
        let absent: Vec<String> = absent.iter().map(SocketAddr::to_string).collect();
        warn!("bootstrap", kv: { outcome = "waiting", needed, present, absent = absent.join(",").as_str() });
    }
}
