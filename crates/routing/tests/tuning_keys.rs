//! Keys and defaults of the tuning file's `[routing]` table, as literals because operators' files contain
//! them.

use lugwharf_routing::{AffinityKey, Normalisation, Tuning};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn defaults_match_the_documented_values() {
    let expected = Tuning {
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
        ewma_decay: ms(2_500),
        normalisation: Normalisation::ByTokens,
        prefill_base_tokens: 512.0,
        affinity_key: AffinityKey::LastShared,
        affinity_tolerance: 1.5,
        prefix_cache_ttl: ms(8_000),
        prefix_cache_capacity: 512,
        cross_zone_factor: 1.25,
        local_zone_objective_share: 0.5,
        load_report_ttl: ms(1_500),
        load_report_weight: 0.25,
        saturation_penalty: 3.0,
        warmup_penalty: 1.5,
        in_flight_limit_factor: 8.0,
        min_in_flight_limit: 16,
        base_ejection_time: ms(500),
        max_ejection_time: ms(8_000),
        ejection_threshold: 2,
        misdirected_backoff: ms(4_000),
        retry_budget_share: 0.5,
        assumed_proxies: 16,
        max_rejections: 3,
    };
    assert_eq!(Tuning::default(), expected);
    assert_eq!(toml::from_str::<Tuning>("").expect("an empty file is valid"), expected);
}

/// Setting a key to its default changes nothing; setting it to another value changes its field alone.
#[rstest]
#[case("draws_two", "true", "false", |t: &mut Tuning| t.uses_two_choices = false)]
#[case("counts_in_flight", "true", "false", |t: &mut Tuning| t.counts_in_flight = false)]
#[case("rises_at_once", "true", "false", |t: &mut Tuning| t.is_peak_sensitive = false)]
#[case("starts_at_median", "true", "false", |t: &mut Tuning| t.starts_at_median = false)]
#[case("samples_failures", "true", "false", |t: &mut Tuning| t.samples_failures = false)]
#[case("steers", "true", "false", |t: &mut Tuning| t.uses_prefix_affinity = false)]
#[case("prefers_home", "true", "false", |t: &mut Tuning| t.prefers_local_zone = false)]
#[case("ejects", "true", "false", |t: &mut Tuning| t.ejects_outliers = false)]
#[case("refuses_early", "true", "false", |t: &mut Tuning| t.sheds_late_requests = false)]
#[case("passes_priority", "true", "false", |t: &mut Tuning| t.forwards_priority = false)]
#[case("resumes_streams", "true", "false", |t: &mut Tuning| t.resumes_streams = false)]
#[case("keeps_connections", "true", "false", |t: &mut Tuning| t.reuses_connections = false)]
#[case("decode_reads_at_most", "2048", "7", |t: &mut Tuning| t.max_decode_prefill_tokens = 7)]
#[case("decode_reads_after_failures", "false", "true", |t: &mut Tuning| t.decode_prefills_after_failures = true)]
#[case("tau_ms", "2500", "7", |t: &mut Tuning| t.ewma_decay = ms(7))]
#[case("normalisation", "'by_tokens'", "'plain'", |t: &mut Tuning| t.normalisation = Normalisation::Plain)]
#[case("base_tokens", "512.0", "7.5", |t: &mut Tuning| t.prefill_base_tokens = 7.5)]
#[case("sticky_key", "'last_shared'", "'most_tokens'", |t: &mut Tuning| t.affinity_key = AffinityKey::MostTokens)]
#[case("sticky_tolerance", "1.5", "7.5", |t: &mut Tuning| t.affinity_tolerance = 7.5)]
#[case("cache_age_ms", "8000", "7", |t: &mut Tuning| t.prefix_cache_ttl = ms(7))]
#[case("cache_parts", "512", "7", |t: &mut Tuning| t.prefix_cache_capacity = 7)]
#[case("cross_zone_factor", "1.25", "7.5", |t: &mut Tuning| t.cross_zone_factor = 7.5)]
#[case("home_share", "0.5", "7.5", |t: &mut Tuning| t.local_zone_objective_share = 7.5)]
#[case("report_age_ms", "1500", "7", |t: &mut Tuning| t.load_report_ttl = ms(7))]
#[case("report_weight", "0.25", "7.5", |t: &mut Tuning| t.load_report_weight = 7.5)]
#[case("full_factor", "3.0", "7.5", |t: &mut Tuning| t.saturation_penalty = 7.5)]
#[case("cold_factor", "1.5", "7.5", |t: &mut Tuning| t.warmup_penalty = 7.5)]
#[case("in_flight_factor", "8.0", "7.5", |t: &mut Tuning| t.in_flight_limit_factor = 7.5)]
#[case("in_flight_floor", "16", "7", |t: &mut Tuning| t.min_in_flight_limit = 7)]
#[case("eject_first_ms", "500", "7", |t: &mut Tuning| t.base_ejection_time = ms(7))]
#[case("eject_most_ms", "8000", "7", |t: &mut Tuning| t.max_ejection_time = ms(7))]
#[case("eject_strikes", "2", "7", |t: &mut Tuning| t.ejection_threshold = 7)]
#[case("misdirected_ms", "4000", "7", |t: &mut Tuning| t.misdirected_backoff = ms(7))]
#[case("budget_share", "0.5", "7.5", |t: &mut Tuning| t.retry_budget_share = 7.5)]
#[case("proxies_guess", "16", "7", |t: &mut Tuning| t.assumed_proxies = 7)]
#[case("rejections", "3", "7", |t: &mut Tuning| t.max_rejections = 7)]
fn each_key_sets_its_field(
    #[case] key: &str, #[case] default: &str, #[case] other: &str, #[case] set: fn(&mut Tuning),
) {
    let parse = |value: &str| {
        toml::from_str::<Tuning>(&format!("{key} = {value}")).expect("the key and its value are accepted")
    };
    assert_eq!(parse(default), Tuning::default());
    let mut expected = Tuning::default();
    set(&mut expected);
    assert_ne!(expected, Tuning::default());
    assert_eq!(parse(other), expected);
}

#[rstest]
#[case::without_its_unit("tau = 2500")]
#[case::unknown("tau_milliseconds = 2500")]
#[case::unknown_variant("normalisation = 'ByTokens'")]
#[case::text_for_a_number("tau_ms = '2500'")]
fn unknown_keys_and_invalid_values_are_rejected(#[case] text: &str) {
    assert!(toml::from_str::<Tuning>(text).is_err());
}
