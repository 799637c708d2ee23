//! Tunable constants of the routing decisions, and a switch for each mechanism.
//!
//! A tuning file sets them by their serialized names, durations in ms (such as `tau_ms`); an unknown name is
//! an error. Turning a switch off disables its mechanism and nothing else, so the benefit of a mechanism can
//! be measured by a run without it.

use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Deserializes durations from integers in ms.
mod millis {
    use serde::{Deserialize, Deserializer};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// How the latency of a prefill is normalised before it is added to the average of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Normalisation {
    /// No normalisation: long and short prompts count alike.
    Plain,
    /// Divides by the [units of work](crate::WorkSize::units), which grow with the number of tokens to
    /// prefill.
    ByTokens,
}

/// The segment that identifies the prefix of a prompt for prefix affinity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityKey {
    /// The last segment that is shared with other requests.
    LastShared,
    /// The shared segment with the most tokens.
    MostTokens,
}

/// The tunable constants of the routing decisions. Each field states its default.
// Serialized names are part of the configuration format; see docs/GLOSSARY.md.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Whether two candidates are drawn and compared. If off, one server is drawn at random. Default: on.
    #[serde(rename = "draws_two")]
    pub uses_two_choices: bool,
    /// Whether this proxy's requests in flight count towards the score. Default: on.
    pub counts_in_flight: bool,
    /// Whether a sample above the average replaces the average. If off, it is averaged in like any other
    /// sample. Default: on.
    #[serde(rename = "rises_at_once")]
    pub is_peak_sensitive: bool,
    /// Whether a server without samples is assumed to have the median latency of its service. If off, 1 ms is
    /// assumed. Default: on.
    pub starts_at_median: bool,
    /// Whether a failure counts as a latency sample of at least the attempt's timeout. Default: on.
    pub samples_failures: bool,
    /// Whether prefills are routed by prefix affinity. Default: on.
    #[serde(rename = "steers")]
    pub uses_prefix_affinity: bool,
    /// Whether servers of the local zone are preferred. Default: on.
    #[serde(rename = "prefers_home")]
    pub prefers_local_zone: bool,
    /// Whether servers are ejected after consecutive failures. Default: on.
    #[serde(rename = "ejects")]
    pub ejects_outliers: bool,
    /// Whether a request is rejected without being sent if the selected server is busy and the latency
    /// estimate exceeds the time left until the request's deadline. Default: on.
    #[serde(rename = "refuses_early")]
    pub sheds_late_requests: bool,
    /// Whether requests to model servers carry a priority: for prefills one derived from the prompt's length,
    /// otherwise that of the route. Default: on.
    #[serde(rename = "passes_priority")]
    pub forwards_priority: bool,
    /// Whether interrupted streams are resumed at another server. Default: on.
    pub resumes_streams: bool,
    /// Whether connections to servers are reused. Default: on.
    #[serde(rename = "keeps_connections")]
    pub reuses_connections: bool,
    /// The longest prompt, in tokens, that a decode server prefills itself while there are prefill servers.
    /// Such a prefill runs between the decode steps of other requests and pauses their streams. Default:
    /// 2048.
    #[serde(rename = "decode_reads_at_most")]
    pub max_decode_prefill_tokens: u32,
    /// Whether a decode server also prefills longer prompts after KV cache transfers have failed. Default:
    /// off.
    #[serde(rename = "decode_reads_after_failures")]
    pub decode_prefills_after_failures: bool,
    /// The time constant of the latency average's exponential decay. Default: 2500 ms.
    #[serde(rename = "tau_ms", with = "millis")]
    pub ewma_decay: Duration,
    /// How the latency of prefills is normalised. Default: by tokens.
    pub normalisation: Normalisation,
    /// The number of tokens whose prefill costs as much as the fixed cost of an attempt. Default: 512.
    #[serde(rename = "base_tokens")]
    pub prefill_base_tokens: f64,
    /// The segment that identifies the prefix of a prompt. Default: the last shared one.
    #[serde(rename = "sticky_key")]
    pub affinity_key: AffinityKey,
    /// The server picked by prefix affinity is selected if its score is at most this multiple of the score of
    /// the server drawn by power of two choices. Default: 1.5.
    #[serde(rename = "sticky_tolerance")]
    pub affinity_tolerance: f64,
    /// How long a segment is assumed to stay in a server's prefix cache after its last use. Default: 8000 ms.
    #[serde(rename = "cache_age_ms", with = "millis")]
    pub prefix_cache_ttl: Duration,
    /// The maximum number of prompt segments tracked per server. Default: 512.
    #[serde(rename = "cache_parts")]
    pub prefix_cache_capacity: usize,
    /// A server in another zone is selected only if its score times this factor is lower than the score of
    /// the local one. Default: 1.25.
    pub cross_zone_factor: f64,
    /// The share of the latency objective above which the estimate in the local zone makes other zones
    /// eligible. Default: 0.5.
    #[serde(rename = "home_share")]
    pub local_zone_objective_share: f64,
    /// How long a server's load report is used after it was received. Default: 1500 ms.
    #[serde(rename = "report_age_ms", with = "millis")]
    pub load_report_ttl: Duration,
    /// The weight of other proxies' requests, as reported by the server, in the score: 0 ignores them, 1
    /// counts them like this proxy's own. Default: 0.25.
    #[serde(rename = "report_weight")]
    pub load_report_weight: f64,
    /// The score multiplier of a server that reported itself as saturated. Default: 3.
    #[serde(rename = "full_factor")]
    pub saturation_penalty: f64,
    /// The score multiplier of a server that is warming up (slow start). Default: 1.5.
    #[serde(rename = "cold_factor")]
    pub warmup_penalty: f64,
    /// The limit on this proxy's requests in flight at a server, as a multiple of the server's slots divided
    /// by the number of live proxies. The limit is generous because servers reject requests beyond their
    /// capacity; it bounds the requests that accumulate at an unresponsive server. Default: 8.
    #[serde(rename = "in_flight_factor")]
    pub in_flight_limit_factor: f64,
    /// The lower bound of the limit on this proxy's requests in flight at a server. Default: 16.
    #[serde(rename = "in_flight_floor")]
    pub min_in_flight_limit: u32,
    /// The duration of a server's first ejection; it doubles with each failed trial. Default: 500 ms.
    #[serde(rename = "eject_first_ms", with = "millis")]
    pub base_ejection_time: Duration,
    /// The maximum duration of an ejection. Default: 8000 ms.
    #[serde(rename = "eject_most_ms", with = "millis")]
    pub max_ejection_time: Duration,
    /// The number of consecutive failures after which a server is ejected. A refused connection counts as
    /// that many failures. Default: 2.
    #[serde(rename = "eject_strikes")]
    pub ejection_threshold: u8,
    /// How long a server that answered 421 is not selected, unless its list entry changes. Default: 4000 ms.
    #[serde(rename = "misdirected_ms", with = "millis")]
    pub misdirected_backoff: Duration,
    /// The share of the fleet's retry budget that proxies use; a value below 1 tolerates a stale proxy count.
    /// Default: 0.5.
    #[serde(rename = "budget_share")]
    pub retry_budget_share: f64,
    /// The number of proxies assumed while the size of the fleet is unknown. Default: 16.
    #[serde(rename = "proxies_guess")]
    pub assumed_proxies: u32,
    /// How often one request may be retried after a rejection. A rejection proves that the server did not
    /// execute the request. Default: 3.
    #[serde(rename = "rejections")]
    pub max_rejections: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            uses_two_choices: true,
            counts_in_flight: true,
            is_peak_sensitive: true,
            starts_at_median: true,
            samples_failures: true,
            uses_prefix_affinity: true,
            prefers_local_zone: true,
            ejects_outliers: true,
            sheds_late_requests: true,
            forwards_priority: true,
            resumes_streams: true,
            reuses_connections: true,
            max_decode_prefill_tokens: 2_048,
            decode_prefills_after_failures: false,
            ewma_decay: Duration::from_millis(2_500),
            normalisation: Normalisation::ByTokens,
            prefill_base_tokens: 512.0,
            affinity_key: AffinityKey::LastShared,
            affinity_tolerance: 1.5,
            prefix_cache_ttl: Duration::from_secs(8),
            prefix_cache_capacity: 512,
            cross_zone_factor: 1.25,
            local_zone_objective_share: 0.5,
            load_report_ttl: Duration::from_millis(1_500),
            load_report_weight: 0.25,
            saturation_penalty: 3.0,
            warmup_penalty: 1.5,
            in_flight_limit_factor: 8.0,
            min_in_flight_limit: 16,
            base_ejection_time: Duration::from_millis(500),
            max_ejection_time: Duration::from_secs(8),
            ejection_threshold: 2,
            misdirected_backoff: Duration::from_secs(4),
            retry_budget_share: 0.5,
            assumed_proxies: 16,
            max_rejections: 3,
        }
    }
}

/// Prints the constants under their serialized names, for `lugwharf check-tuning`. Durations are printed with
/// their unit, so their names have no unit suffix.
impl fmt::Display for Tuning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tuning")
            .field("draws_two", &self.uses_two_choices)
            .field("counts_in_flight", &self.counts_in_flight)
            .field("rises_at_once", &self.is_peak_sensitive)
            .field("starts_at_median", &self.starts_at_median)
            .field("samples_failures", &self.samples_failures)
            .field("steers", &self.uses_prefix_affinity)
            .field("prefers_home", &self.prefers_local_zone)
            .field("ejects", &self.ejects_outliers)
            .field("refuses_early", &self.sheds_late_requests)
            .field("passes_priority", &self.forwards_priority)
            .field("resumes_streams", &self.resumes_streams)
            .field("keeps_connections", &self.reuses_connections)
            .field("decode_reads_at_most", &self.max_decode_prefill_tokens)
            .field("decode_reads_after_failures", &self.decode_prefills_after_failures)
            .field("tau", &self.ewma_decay)
            .field("normalisation", &self.normalisation)
            .field("base_tokens", &self.prefill_base_tokens)
            .field("sticky_key", &self.affinity_key)
            .field("sticky_tolerance", &self.affinity_tolerance)
            .field("cache_age", &self.prefix_cache_ttl)
            .field("cache_parts", &self.prefix_cache_capacity)
            .field("cross_zone_factor", &self.cross_zone_factor)
            .field("home_share", &self.local_zone_objective_share)
            .field("report_age", &self.load_report_ttl)
            .field("report_weight", &self.load_report_weight)
            .field("full_factor", &self.saturation_penalty)
            .field("cold_factor", &self.warmup_penalty)
            .field("in_flight_factor", &self.in_flight_limit_factor)
            .field("in_flight_floor", &self.min_in_flight_limit)
            .field("eject_first", &self.base_ejection_time)
            .field("eject_most", &self.max_ejection_time)
            .field("eject_strikes", &self.ejection_threshold)
            .field("misdirected", &self.misdirected_backoff)
            .field("budget_share", &self.retry_budget_share)
            .field("proxies_guess", &self.assumed_proxies)
            .field("rejections", &self.max_rejections)
            .finish()
    }
}
