//! The link over which a server fetches KV caches, one at a time.

use super::parameters::ModelParameters;
use crate::server_core::{Location, duration_from_ms};
use std::time::Duration;

/// The maximum queueing delay of a transfer. A transfer that would wait longer is rejected.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(2);
/// A transfer between zones takes this many times as long as one within a zone.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// A transfer between regions takes this many times as long as one within a zone.
const CROSS_REGION_FACTOR: f64 = 10.0;

/// The transfer link of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TransferLink {
    /// When all queued transfers have ended.
    free_at: Duration,
}

impl TransferLink {
    /// Whether a new transfer would be queued for at most [`MAX_QUEUE_DELAY`].
    pub fn has_capacity(&self, now: Duration) -> bool {
        self.free_at.saturating_sub(now) <= MAX_QUEUE_DELAY
    }

    /// Queues a transfer after all others. Returns when it ends.
    pub fn enqueue(
        &mut self, now: Duration, tokens: u64, parameters: &ModelParameters, from: &Location, to: &Location,
    ) -> Duration {
        let bits = tokens as f64 * parameters.kv_token_bytes * 8.0;
        let bits_per_ms = (parameters.link_mbps * 1_000.0).max(1.0);
        let duration =
            duration_from_ms(parameters.transfer_setup_ms + bits / bits_per_ms * distance_factor(from, to));
        self.free_at = self.free_at.max(now) + duration;
        self.free_at
    }
}

/// The factor by which the distance between two servers lengthens a transfer.
fn distance_factor(from: &Location, to: &Location) -> f64 {
    if from.region != to.region {
        CROSS_REGION_FACTOR
    } else if from.zone != to.zone {
        CROSS_ZONE_FACTOR
    } else {
        1.0
    }
}
