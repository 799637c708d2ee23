//! Conversions between the interface's [`Duration`]s and the module's `f64` milliseconds.

use std::time::Duration;

/// Converts a duration to milliseconds.
pub(crate) fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Converts milliseconds to a duration. Negative, non-finite and too large values become zero.
pub(crate) fn from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::ZERO)
}
