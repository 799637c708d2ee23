//! The link over which a server fetches KV caches, one after another.

use super::parameters::ModelParameters;
use crate::server_core::{Location, duration_from_ms};
use std::time::Duration;

/// A transfer that would be queued for longer is rejected.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(2);
/// A transfer between zones takes so many times as long.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// A transfer between regions takes so many times as long.
const CROSS_REGION_FACTOR: f64 = 10.0;

/// The link of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TransferLink {
    free_at: Duration,
}

impl TransferLink {
    /// Whether a transfer would be queued for 2 s at most.
    pub fn has_capacity(&self, now: Duration) -> bool {
        self.free_at.saturating_sub(now) <= MAX_QUEUE_DELAY
    }

    /// Queues a transfer behind all others; returns when it ends.
    pub fn begin(
        &mut self, now: Duration, tokens: u64, parameters: &ModelParameters, from: &Location, to: &Location,
    ) -> Duration {
        let bits = tokens as f64 * parameters.kv_token_bytes * 8.0;
        let bits_per_ms = (parameters.link_mbps * 1_000.0).max(1.0);
        let time = duration_from_ms(parameters.transfer_setup_ms + bits / bits_per_ms * distance(from, to));
        self.free_at = self.free_at.max(now) + time;
        self.free_at
    }
}

fn distance(from: &Location, to: &Location) -> f64 {
    if from.region != to.region {
        CROSS_REGION_FACTOR
    } else if from.zone != to.zone {
        CROSS_ZONE_FACTOR
    } else {
        1.0
    }
}
