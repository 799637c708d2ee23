//! The keys of the tuning file's `[routing]` table and the defaults, as literals: files of operators name them.

use lugwharf_routing::{Normalisation, StickyKey, Tuning};
use rstest::rstest;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn defaults_are_the_documented_figures() {
    let expected = Tuning {
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
        tau: ms(2_500),
        normalisation: Normalisation::ByTokens,
        base_tokens: 512.0,
        sticky_key: StickyKey::LastShared,
        sticky_tolerance: 1.5,
        cache_age: ms(8_000),
        cache_parts: 512,
        cross_zone_factor: 1.25,
        home_share: 0.5,
        report_age: ms(1_500),
        report_weight: 0.25,
        full_factor: 3.0,
        cold_factor: 1.5,
        in_flight_factor: 8.0,
        in_flight_floor: 16,
        eject_first: ms(500),
        eject_most: ms(8_000),
        eject_strikes: 2,
        misdirected: ms(4_000),
        budget_share: 0.5,
        proxies_guess: 16,
        rejections: 3,
    };
    assert_eq!(Tuning::default(), expected);
    assert_eq!(toml::from_str::<Tuning>("").expect("an empty file"), expected);
}

/// Each key is accepted with its default, which changes nothing, and with another value, which changes its field alone.
#[rstest]
#[case("draws_two", "true", "false", |t: &mut Tuning| t.draws_two = false)]
#[case("counts_in_flight", "true", "false", |t: &mut Tuning| t.counts_in_flight = false)]
#[case("rises_at_once", "true", "false", |t: &mut Tuning| t.rises_at_once = false)]
#[case("starts_at_median", "true", "false", |t: &mut Tuning| t.starts_at_median = false)]
#[case("samples_failures", "true", "false", |t: &mut Tuning| t.samples_failures = false)]
#[case("steers", "true", "false", |t: &mut Tuning| t.steers = false)]
#[case("prefers_home", "true", "false", |t: &mut Tuning| t.prefers_home = false)]
#[case("ejects", "true", "false", |t: &mut Tuning| t.ejects = false)]
#[case("refuses_early", "true", "false", |t: &mut Tuning| t.refuses_early = false)]
#[case("passes_priority", "true", "false", |t: &mut Tuning| t.passes_priority = false)]
#[case("resumes_streams", "true", "false", |t: &mut Tuning| t.resumes_streams = false)]
#[case("keeps_connections", "true", "false", |t: &mut Tuning| t.keeps_connections = false)]
#[case("decode_reads_at_most", "2048", "7", |t: &mut Tuning| t.decode_reads_at_most = 7)]
#[case("decode_reads_after_failures", "false", "true", |t: &mut Tuning| t.decode_reads_after_failures = true)]
#[case("tau_ms", "2500", "7", |t: &mut Tuning| t.tau = ms(7))]
#[case("normalisation", "'by_tokens'", "'plain'", |t: &mut Tuning| t.normalisation = Normalisation::Plain)]
#[case("base_tokens", "512.0", "7.5", |t: &mut Tuning| t.base_tokens = 7.5)]
#[case("sticky_key", "'last_shared'", "'most_tokens'", |t: &mut Tuning| t.sticky_key = StickyKey::MostTokens)]
#[case("sticky_tolerance", "1.5", "7.5", |t: &mut Tuning| t.sticky_tolerance = 7.5)]
#[case("cache_age_ms", "8000", "7", |t: &mut Tuning| t.cache_age = ms(7))]
#[case("cache_parts", "512", "7", |t: &mut Tuning| t.cache_parts = 7)]
#[case("cross_zone_factor", "1.25", "7.5", |t: &mut Tuning| t.cross_zone_factor = 7.5)]
#[case("home_share", "0.5", "7.5", |t: &mut Tuning| t.home_share = 7.5)]
#[case("report_age_ms", "1500", "7", |t: &mut Tuning| t.report_age = ms(7))]
#[case("report_weight", "0.25", "7.5", |t: &mut Tuning| t.report_weight = 7.5)]
#[case("full_factor", "3.0", "7.5", |t: &mut Tuning| t.full_factor = 7.5)]
#[case("cold_factor", "1.5", "7.5", |t: &mut Tuning| t.cold_factor = 7.5)]
#[case("in_flight_factor", "8.0", "7.5", |t: &mut Tuning| t.in_flight_factor = 7.5)]
#[case("in_flight_floor", "16", "7", |t: &mut Tuning| t.in_flight_floor = 7)]
#[case("eject_first_ms", "500", "7", |t: &mut Tuning| t.eject_first = ms(7))]
#[case("eject_most_ms", "8000", "7", |t: &mut Tuning| t.eject_most = ms(7))]
#[case("eject_strikes", "2", "7", |t: &mut Tuning| t.eject_strikes = 7)]
#[case("misdirected_ms", "4000", "7", |t: &mut Tuning| t.misdirected = ms(7))]
#[case("budget_share", "0.5", "7.5", |t: &mut Tuning| t.budget_share = 7.5)]
#[case("proxies_guess", "16", "7", |t: &mut Tuning| t.proxies_guess = 7)]
#[case("rejections", "3", "7", |t: &mut Tuning| t.rejections = 7)]
fn each_key_sets_its_field(
    #[case] key: &str, #[case] default: &str, #[case] other: &str, #[case] set: fn(&mut Tuning),
) {
    let parse = |value: &str| toml::from_str::<Tuning>(&format!("{key} = {value}")).expect("an accepted key");
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
fn other_keys_and_values_are_refused(#[case] text: &str) {
    assert!(toml::from_str::<Tuning>(text).is_err());
}
