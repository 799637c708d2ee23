//! The tuning of stage planning by a settings file.

use serde::Deserialize;
use std::fmt;

/// The section `[stages]` of a tuning file. A key that is missing has its default.
///
/// The names of the keys are fixed; see docs/OPERATING.md.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StageTuning {
    /// Whether servers are ordered to change their stage; default true.
    pub orders: bool,
    /// The smallest share of servers that decode; default 0.2. A transfer of KV cache occupies the link of a decode server,
    /// and a few links would be saturated.
    #[serde(rename = "least_decode_share")]
    pub min_decode_share: f64,
    /// The largest share of the decode servers' slots that may be in use; default 0.6. The rest is for bursts and for
    /// servers that fail. A full batch decodes at half the pace of an empty one, which is still many times faster than the
    /// longest pause between tokens that is allowed.
    #[serde(rename = "decode_fill")]
    pub max_decode_utilization: f64,
}

impl Default for StageTuning {
    fn default() -> Self {
        StageTuning { orders: true, min_decode_share: 0.2, max_decode_utilization: 0.6 }
    }
}

/// The constants in force, under the names that operators write, as `lugwharf check-tuning` prints them.
impl fmt::Display for StageTuning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StageTuning")
            .field("orders", &self.orders)
            .field("least_decode_share", &self.min_decode_share)
            .field("decode_fill", &self.max_decode_utilization)
            .finish()
    }
}
