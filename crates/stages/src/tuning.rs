//! Tunable constants of stage planning.

use serde::Deserialize;
use std::fmt;

/// The `[stages]` section of a tuning file. A missing key has its default.
///
/// The names of the keys are part of the configuration format; see docs/OPERATING.md.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StageTuning {
    /// Whether servers are ordered to change their stage; default true.
    pub orders: bool,
    /// The minimum share of servers that decode; default 0.2. A KV cache transfer occupies the link of a
    /// decode server, so the links of too few decode servers would be saturated.
    #[serde(rename = "least_decode_share")]
    pub min_decode_share: f64,
    /// The maximum share of the decode servers' slots that may be in use; default 0.6. The rest is reserved
    /// for bursts and server failures. A full batch decodes at half the speed of an empty one, which is still
    /// many times faster than the longest allowed pause between tokens.
    #[serde(rename = "decode_fill")]
    pub max_decode_utilization: f64,
}

impl Default for StageTuning {
    fn default() -> Self {
        StageTuning { orders: true, min_decode_share: 0.2, max_decode_utilization: 0.6 }
    }
}

/// Prints the constants under their serialized names, for `lugwharf check-tuning`.
impl fmt::Display for StageTuning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StageTuning")
            .field("orders", &self.orders)
            .field("least_decode_share", &self.min_decode_share)
            .field("decode_fill", &self.max_decode_utilization)
            .finish()
    }
}
