//! Every figure of the decisions that may be tuned, and a switch for each mechanism, in one place.
//!
//! A settings file may set them by their names (durations in ms, as `tau_ms`); an unknown name is an error. What is switched
//! off takes its mechanism out and leaves the rest as it is, so that a run shows what the mechanism is worth.

use serde::Deserialize;
use std::time::Duration;

/// Durations as numbers of ms.
mod millis {
    use serde::{Deserialize, Deserializer};
    use std::time::Duration;

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}

/// What a round-trip time is divided by before it enters a server's average.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Normalisation {
    /// By nothing: requests count alike.
    Plain,
    /// By the tokens that had to be read, on top of a fixed part.
    ByTokens,
}

/// Which part of a prompt steers the draw of servers that read prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AffinityKey {
    /// The last part that is shared with other requests.
    LastShared,
    /// The shared part with the most tokens.
    MostTokens,
}

/// The figures.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Whether two candidates are drawn; else one server at random.
    #[serde(rename = "draws_two")]
    pub uses_two_choices: bool,
    /// Whether own requests in flight enter the score.
    pub counts_in_flight: bool,
    /// Whether a sample above the average replaces it at once; else it is folded in as a lower one.
    #[serde(rename = "rises_at_once")]
    pub is_peak_sensitive: bool,
    /// Whether a server without samples starts at the median of the known ones; else as the fastest.
    pub starts_at_median: bool,
    /// Whether failures enter the average as the time that they had.
    pub samples_failures: bool,
    /// Whether shared parts of prompts steer the draw.
    #[serde(rename = "steers")]
    pub uses_prefix_affinity: bool,
    /// Whether servers of the own zone come first.
    #[serde(rename = "prefers_home")]
    pub prefers_local_zone: bool,
    /// Whether servers that fail in a row are left out for a while.
    #[serde(rename = "ejects")]
    pub ejects_outliers: bool,
    /// Whether requests that can't make it are refused before they are sent.
    #[serde(rename = "refuses_early")]
    pub sheds_hopeless_requests: bool,
    /// Whether requests to model servers carry the rank of their route, and prompts that of their length.
    #[serde(rename = "passes_priority")]
    pub forwards_priority: bool,
    /// Whether streams that were cut go on at another server.
    pub resumes_streams: bool,
    /// Whether connections to servers are kept between requests.
    #[serde(rename = "keeps_connections")]
    pub reuses_connections: bool,
    /// The longest prompt that a decode server reads by itself while there are prefill servers, in tokens: it reads between
    /// the tokens of others, whose streams pause meanwhile.
    #[serde(rename = "decode_reads_at_most")]
    pub max_decode_prefill_tokens: u32,
    /// Whether it reads longer ones too where hand-overs of memory fail.
    #[serde(rename = "decode_reads_after_failures")]
    pub decode_prefills_after_failures: bool,
    /// Time constant of the decay of a server's average.
    #[serde(rename = "tau_ms", with = "millis")]
    pub ewma_decay: Duration,
    /// What a prefill's time is divided by.
    pub normalisation: Normalisation,
    /// Tokens that cost as much as a prefill's fixed part.
    #[serde(rename = "base_tokens")]
    pub prefill_base_tokens: f64,
    /// What steers the draw of prefill servers.
    #[serde(rename = "sticky_key")]
    pub affinity_key: AffinityKey,
    /// The steered candidate is taken while its estimate is at most so many times that of a random pair.
    #[serde(rename = "sticky_tolerance")]
    pub affinity_tolerance: f64,
    /// For how long a part that was sent to a server is taken to be kept there.
    #[serde(rename = "cache_age_ms", with = "millis")]
    pub prefix_cache_ttl: Duration,
    /// Parts remembered for each server.
    #[serde(rename = "cache_parts")]
    pub prefix_cache_capacity: usize,
    /// A server of another zone is taken only if its estimate is better by this factor.
    pub cross_zone_factor: f64,
    /// The share of the objective that the estimate at home may take before other zones are drawn from.
    #[serde(rename = "home_share")]
    pub local_zone_objective_share: f64,
    /// How long a server's own report of its load counts.
    #[serde(rename = "report_age_ms", with = "millis")]
    pub load_report_ttl: Duration,
    /// How much of the requests of others that a server reports enters the score; 0 for none.
    #[serde(rename = "report_weight")]
    pub load_report_weight: f64,
    /// The price factor of a server whose report tells of requests that wait or of no free slot.
    #[serde(rename = "full_factor")]
    pub saturation_penalty: f64,
    /// The price factor of a server that is still cold.
    #[serde(rename = "cold_factor")]
    pub warmup_penalty: f64,
    /// Own requests in flight to one server, as a multiple of its slots over the live proxies. Generous, since the server itself
    /// refuses what it can't take; it bounds what a silent server collects.
    #[serde(rename = "in_flight_factor")]
    pub in_flight_limit_factor: f64,
    /// The least bound on own requests in flight to one server.
    #[serde(rename = "in_flight_floor")]
    pub min_in_flight_limit: u32,
    /// The first time for which a server is ejected; it doubles with each failed trial.
    #[serde(rename = "eject_first_ms", with = "millis")]
    pub base_ejection_time: Duration,
    /// The longest.
    #[serde(rename = "eject_most_ms", with = "millis")]
    pub max_ejection_time: Duration,
    /// Soft failures in a row that eject; a refused connection counts as all of them.
    #[serde(rename = "eject_strikes")]
    pub ejection_threshold: u8,
    /// How long a server that said it is another one, or has another part, is left out.
    #[serde(rename = "misdirected_ms", with = "millis")]
    pub misdirected_backoff: Duration,
    /// The part of the fleet's retry budget that is shared out by own requests.
    #[serde(rename = "budget_share")]
    pub retry_budget_share: f64,
    /// Proxies that are assumed where the fleet's size is not known.
    #[serde(rename = "proxies_guess")]
    pub assumed_proxies: u32,
    /// Sends that provably did not run, beyond the first, for one request.
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
            sheds_hopeless_requests: true,
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
