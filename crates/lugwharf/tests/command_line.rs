//! Tests of the command line of the binary: output and exit status.

mod support;

use lugwharf_emulator::cluster::SettingsSpec;
use lugwharf_emulator::configuration::{ConfigurationSpec, RouteSpec, ServiceSpec};
use rstest::rstest;
use serde_json::{Value, json};
use std::process::Output;
use support::command::{TemporaryFile, run};

// The exit statuses of the binary.
const SUCCESS: i32 = 0;
const FAILURE: i32 = 1;
const USAGE_ERROR: i32 = 2;

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the standard output is not UTF-8")
}

/// Asserts one plain line with all of `expected` on standard error, nothing on standard output, and this exit
/// status.
fn assert_ends(output: &Output, status: i32, expected: &[&str]) {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(status), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    assert!(text.starts_with("lugwharf: ") && output.stdout.is_empty(), "{text}");
    for part in expected {
        assert!(text.contains(part), "{part:?} is missing: {text}");
    }
}

fn configuration() -> Value {
    ConfigurationSpec::new(7)
        .with_service(ServiceSpec::new("board", None))
        .with_route(RouteSpec::new("shop.example", "/work/", "unsafe", "board"))
        .to_json()
}

#[rstest]
#[case::nothing(&[], "no subcommand")]
#[case::subcommand(&["dance"], "\"dance\"")]
#[case::option_before(&["--dance"], "\"--dance\"")]
#[case::option(&["proxy", "--dance"], "dance")]
#[case::option_of_a_tool(&["check-config", "--log", "info", "x"], "log")]
#[case::level(&["agent", "--log", "loud"], "\"loud\"")]
#[case::missing_value(&["control", "--settings"], "settings")]
#[case::twice(&["control", "--log", "info", "--log", "warn"], "log")]
#[case::surplus(&["control", "now"], "\"now\"")]
#[case::no_file(&["check-config"], "one file")]
#[case::two_files(&["check-settings", "a", "b"], "one file")]
#[case::surplus_for_schema(&["print-schema", "x"], "\"x\"")]
fn usage_error_has_its_own_exit_status(#[case] arguments: &[&str], #[case] expected: &str) {
    assert_ends(&run(arguments), USAGE_ERROR, &[expected, "--help"]);
}

#[rstest]
fn process_without_settings_fails(#[values("proxy", "agent", "control")] role: &str) {
    assert_ends(&run(&[role]), FAILURE, &["/nonexistent/settings.toml"]);
}

#[rstest]
#[case::overview(&["--help"], &["proxy", "agent", "control", "check-config", "check-settings", "check-tuning", "print-schema", "Exit status"])]
#[case::overview_by_word(&["help"], &["print-schema"])]
#[case::proxy(&["proxy", "--help"], &["lugwharf proxy", "--log", "--settings"])]
#[case::agent(&["agent", "-h"], &["lugwharf agent", "--log", "--settings"])]
#[case::control(&["control", "--help"], &["lugwharf control", "--log", "--settings"])]
#[case::check_config(&["check-config", "--help"], &["check-config FILE"])]
#[case::check_settings(&["check-settings", "--help"], &["check-settings FILE"])]
#[case::print_schema(&["print-schema", "--help"], &["print-schema"])]
#[case::version(&["--version"], &[env!("CARGO_PKG_VERSION")])]
fn help_lists_subcommands_and_options(#[case] arguments: &[&str], #[case] expected: &[&str]) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(SUCCESS));
    let text = stdout(&output);
    for part in expected {
        assert!(text.contains(part), "{part:?} is missing:\n{text}");
    }
}

#[test]
fn valid_configuration_is_summarised() {
    let file = TemporaryFile::new("good.json", &configuration().to_string());
    let output = run(&["check-config", file.path()]);
    assert_eq!(output.status.code(), Some(SUCCESS), "{output:?}");
    assert_eq!(stdout(&output), format!("{}: version 7, 1 routes, 1 services\n", file.path()));
}

/// Returns a valid configuration with the value at a JSON pointer replaced.
fn with_value(pointer: &str, value: Value) -> String {
    let mut configuration = configuration();
    *configuration.pointer_mut(pointer).expect("the configuration has no value at the pointer") = value;
    configuration.to_string()
}

#[rstest]
#[case::no_json("no_json", "{\n\"Version\": 7,\n".to_owned(), &["line 3"])]
#[case::wrong_type("wrong_type", with_value("/Version", json!("seven")), &["/Version"])]
#[case::unknown_service("unknown_service", with_value("/Routes/0/Service", json!("nobody")), &["/Routes/0/Service", "nobody"])]
#[case::zero_timeout("no_time", with_value("/Routes/0/TimeoutMs", json!(0)), &["/Routes/0/TimeoutMs"])]
#[case::bad_prefix("bad_prefix", with_value("/Routes/0/PathPrefix", json!("/work")), &["/Routes/0/PathPrefix"])]
fn invalid_configuration_is_reported_with_its_location(
    #[case] name: &str, #[case] text: String, #[case] expected: &[&str],
) {
    let file = TemporaryFile::new(&format!("{name}.json"), &text);
    let output = run(&["check-config", file.path()]);
    assert_ends(&output, FAILURE, expected);
    assert_ends(&output, FAILURE, &[file.path()]);
}

#[test]
fn valid_settings_are_summarised() {
    let file = TemporaryFile::new("good.toml", &SettingsSpec::default().to_toml());
    let output = run(&["check-settings", file.path()]);
    assert_eq!(output.status.code(), Some(SUCCESS), "{output:?}");
    assert!(stdout(&output).contains("node node-0"));
}

#[rstest]
#[case::no_toml("no_toml", ("Bootstrap = false", "Bootstrap = \n"), &["line 10, column"])]
#[case::wrong_type("wrong_type", ("AckMs = 4000", "AckMs = \"soon\""), &["line", "AckMs"])]
#[case::bad_value("bad_value", ("Node = \"node-0\"", "Node = \"\""), &["Node"])]
#[case::missing("missing", ("Ip = \"127.0.0.1\"", ""), &["Ip"])]
fn invalid_settings_are_reported_with_their_location(
    #[case] name: &str, #[case] (good, bad): (&str, &str), #[case] expected: &[&str],
) {
    let text = SettingsSpec::default().to_toml();
    assert!(text.contains(good), "{text}");
    let file = TemporaryFile::new(&format!("{name}.toml"), &text.replace(good, bad));
    let output = run(&["check-settings", file.path()]);
    assert_ends(&output, FAILURE, expected);
    assert_ends(&output, FAILURE, &[file.path()]);
}

/// The settings ask for control on a machine that counts for the quorum and has no data directory.
#[rstest]
#[case::agent(&["agent", "--settings"])]
#[case::control(&["control", "--settings"])]
#[case::check(&["check-settings"])]
fn control_without_a_disk_fails_with_one_line(#[case] arguments: &[&str]) {
    let control = Some("127.0.0.1:8166".parse().expect("cannot parse the address"));
    let spec = SettingsSpec { control, counts_for_quorum: true, ..SettingsSpec::default() };
    let file = TemporaryFile::new(&format!("no_disk_{}.toml", arguments[0]), &spec.to_toml());
    let arguments: Vec<&str> = arguments.iter().copied().chain([file.path()]).collect();
    assert_ends(&run(&arguments), FAILURE, &["DataDir", "missing"]);
}

#[rstest]
#[case::figures("[routing]\ntau_ms = 900\ndraws_two = false\n[stages]\nleast_decode_share = 0.3\n", &["tau: 900ms", "draws_two: false", "0.3"])]
#[case::names("[routing]\nnormalisation = \"plain\"\nsticky_key = \"most_tokens\"\n", &["Plain", "MostTokens"])]
#[case::nothing("", &["tau: 2.5s", "draws_two: true"])]
fn valid_tuning_is_summarised(#[case] text: &str, #[case] expected: &[&str]) {
    let file = TemporaryFile::new(&format!("good-{}.toml", expected[0].len()), text);
    let output = run(&["check-tuning", file.path()]);
    assert_eq!(output.status.code(), Some(SUCCESS), "{output:?}");
    expected.iter().for_each(|part| assert!(stdout(&output).contains(part), "{part:?}: {}", stdout(&output)));
}

/// The expected text is the output of commit 1a8c4db. Its names are those that operators write in the file.
#[test]
fn tuning_defaults_are_printed_by_name() {
    let file = TemporaryFile::new("defaults.toml", "");
    let output = run(&["check-tuning", file.path()]);
    let expected = "TuningFile { routing: Tuning { draws_two: true, counts_in_flight: true, rises_at_once: true, \
        starts_at_median: true, samples_failures: true, steers: true, prefers_home: true, ejects: true, \
        refuses_early: true, passes_priority: true, resumes_streams: true, keeps_connections: true, \
        decode_reads_at_most: 2048, decode_reads_after_failures: false, tau: 2.5s, normalisation: ByTokens, \
        base_tokens: 512.0, sticky_key: LastShared, sticky_tolerance: 1.5, cache_age: 8s, cache_parts: 512, \
        cross_zone_factor: 1.25, home_share: 0.5, report_age: 1.5s, report_weight: 0.25, full_factor: 3.0, \
        cold_factor: 1.5, in_flight_factor: 8.0, in_flight_floor: 16, eject_first: 500ms, eject_most: 8s, \
        eject_strikes: 2, misdirected: 4s, budget_share: 0.5, proxies_guess: 16, rejections: 3 }, \
        stages: StageTuning { orders: true, least_decode_share: 0.2, decode_fill: 0.6 } }";
    assert_eq!(stdout(&output), format!("{}: {expected}\n", file.path()));
}

#[rstest]
#[case::unknown_switch("[routing]\ndraws_three = true\n", "draws_three")]
#[case::unknown_part("[elsewhere]\n", "elsewhere")]
#[case::wrong_type("[routing]\ntau_ms = \"soon\"\n", "tau_ms")]
#[case::wrong_name("[routing]\nsticky_key = \"any\"\n", "any")]
fn invalid_tuning_is_reported_with_its_location(
    #[case] text: &str, #[case] expected: &str,
    #[values("check-tuning", "proxy", "agent", "control")] command: &str,
) {
    let tuning = TemporaryFile::new(&format!("bad-{command}-{expected}.toml"), text);
    let settings = TemporaryFile::new(
        &format!("settings-{command}-{expected}.toml"),
        &SettingsSpec::default().to_toml(),
    );
    let arguments = match command {
        "check-tuning" => vec![command, tuning.path()],
        role => vec![role, "--settings", settings.path(), "--tuning", tuning.path()],
    };
    assert_ends(&run(&arguments), FAILURE, &[expected, tuning.path()]);
}

#[rstest]
fn missing_file_is_named_once(#[values("check-config", "check-settings")] tool: &str) {
    let output = run(&[tool, "/nonexistent/file"]);
    assert_ends(&output, FAILURE, &["/nonexistent/file"]);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.matches("/nonexistent/file").count(), 1, "{text}");
}

#[test]
fn configuration_schema_is_printed_as_json() {
    let output = run(&["print-schema"]);
    assert_eq!(output.status.code(), Some(SUCCESS));
    let schema: Value = serde_json::from_slice(&output.stdout).expect("the schema is not JSON");
    assert!(schema["properties"]["Routes"].is_object(), "{schema}");
}

#[test]
fn patch_schema_is_printed_as_json() {
    let output = run(&["print-schema", "--patch"]);
    assert_eq!(output.status.code(), Some(SUCCESS));
    let schema: Value = serde_json::from_slice(&output.stdout).expect("the schema is not JSON");
    assert!(schema["properties"]["Upsert"].is_object(), "{schema}");
}
