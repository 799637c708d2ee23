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
pub enum StickyKey {
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
    pub draws_two: bool,
    /// Whether own requests in flight enter the score.
    pub counts_in_flight: bool,
    /// Whether a sample above the average replaces it at once; else it is folded in as a lower one.
    pub rises_at_once: bool,
    /// Whether a server without samples starts at the median of the known ones; else as the fastest.
    pub starts_at_median: bool,
    /// Whether failures enter the average as the time that they had.
    pub samples_failures: bool,
    /// Whether shared parts of prompts steer the draw.
    pub steers: bool,
    /// Whether servers of the own zone come first.
    pub prefers_home: bool,
    /// Whether servers that fail in a row are left out for a while.
    pub ejects: bool,
    /// Whether requests that can't make it are refused before they are sent.
    pub refuses_early: bool,
    /// Whether requests to model servers carry the rank of their route, and prompts that of their length.
    pub passes_priority: bool,
    /// Whether streams that were cut go on at another server.
    pub resumes_streams: bool,
    /// Whether connections to servers are kept between requests.
    pub keeps_connections: bool,
    /// The longest prompt that a decode server reads by itself while there are prefill servers, in tokens: it reads between
    /// the tokens of others, whose streams pause meanwhile.
    pub decode_reads_at_most: u32,
    /// Whether it reads longer ones too where hand-overs of memory fail.
    pub decode_reads_after_failures: bool,
    /// Time constant of the decay of a server's average.
    #[serde(rename = "tau_ms", with = "millis")]
    pub tau: Duration,
    /// What a prefill's time is divided by.
    pub normalisation: Normalisation,
    /// Tokens that cost as much as a prefill's fixed part.
    pub base_tokens: f64,
    /// What steers the draw of prefill servers.
    pub sticky_key: StickyKey,
    /// The steered candidate is taken while its estimate is at most so many times that of a random pair.
    pub sticky_tolerance: f64,
    /// For how long a part that was sent to a server is taken to be kept there.
    #[serde(rename = "cache_age_ms", with = "millis")]
    pub cache_age: Duration,
    /// Parts remembered for each server.
    pub cache_parts: usize,
    /// A server of another zone is taken only if its estimate is better by this factor.
    pub cross_zone_factor: f64,
    /// The share of the objective that the estimate at home may take before other zones are drawn from.
    pub home_share: f64,
    /// How long a server's own report of its load counts.
    #[serde(rename = "report_age_ms", with = "millis")]
    pub report_age: Duration,
    /// How much of the requests of others that a server reports enters the score; 0 for none.
    pub report_weight: f64,
    /// The price factor of a server whose report tells of requests that wait or of no free slot.
    pub full_factor: f64,
    /// The price factor of a server that is still cold.
    pub cold_factor: f64,
    /// Own requests in flight to one server, as a multiple of its slots over the live proxies. Generous, since the server itself
    /// refuses what it can't take; it bounds what a silent server collects.
    pub in_flight_factor: f64,
    /// The least bound on own requests in flight to one server.
    pub in_flight_floor: u32,
    /// The first time for which a server is ejected; it doubles with each failed trial.
    #[serde(rename = "eject_first_ms", with = "millis")]
    pub eject_first: Duration,
    /// The longest.
    #[serde(rename = "eject_most_ms", with = "millis")]
    pub eject_most: Duration,
    /// Soft failures in a row that eject; a refused connection counts as all of them.
    pub eject_strikes: u8,
    /// How long a server that said it is another one, or has another part, is left out.
    #[serde(rename = "misdirected_ms", with = "millis")]
    pub misdirected: Duration,
    /// The part of the fleet's retry budget that is shared out by own requests.
    pub budget_share: f64,
    /// Proxies that are assumed where the fleet's size is not known.
    pub proxies_guess: u32,
    /// Sends that provably did not run, beyond the first, for one request.
    pub rejections: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            draws_two: true,
            counts_in_flight: true,
            rises_at_once: true,
            starts_at_median: true,
            samples_failures: true,
            steers: true,
            prefers_home: true,
            ejects: true,
            refuses_early: true,
            passes_priority: true,
            resumes_streams: true,
            keeps_connections: true,
            decode_reads_at_most: 2_048,
            decode_reads_after_failures: false,
            tau: Duration::from_millis(2_500),
            normalisation: Normalisation::ByTokens,
            base_tokens: 512.0,
            sticky_key: StickyKey::LastShared,
            sticky_tolerance: 1.5,
            cache_age: Duration::from_secs(8),
            cache_parts: 512,
            cross_zone_factor: 1.25,
            home_share: 0.5,
            report_age: Duration::from_millis(1_500),
            report_weight: 0.25,
            full_factor: 3.0,
            cold_factor: 1.5,
            in_flight_factor: 8.0,
            in_flight_floor: 16,
            eject_first: Duration::from_millis(500),
            eject_most: Duration::from_secs(8),
            eject_strikes: 2,
            misdirected: Duration::from_secs(4),
            budget_share: 0.5,
            proxies_guess: 16,
            rejections: 3,
        }
    }
}
