//! The figures of the planning of parts that a settings file may set, and its switch.

use serde::Deserialize;

/// The figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StageTuning {
    /// Whether servers are ordered to change their parts.
    pub orders: bool,
    /// The share of servers that make tokens at least: a hand-over of memory occupies a server's link, and few links would be
    /// busy links.
    #[serde(rename = "least_decode_share")]
    pub min_decode_share: f64,
    /// The share of the places of decode servers that may be taken: the rest is for bursts and for servers that are lost. A full
    /// batch makes tokens at half the pace of an empty one, which is many times faster than pauses may last.
    #[serde(rename = "decode_fill")]
    pub max_decode_utilization: f64,
}

impl Default for StageTuning {
    fn default() -> Self {
        StageTuning { orders: true, min_decode_share: 0.2, max_decode_utilization: 0.6 }
    }
}
