//! Tests of the literal output of the binary: the line and exit status of each error, summaries and schemas.
//!
//! The expected texts were captured from commit 1a8c4db. Operators' tools match these lines.

mod support;

use lugwharf_emulator::cluster::SettingsSpec;
use lugwharf_emulator::configuration::{ConfigurationSpec, RouteSpec, ServiceSpec};
use rstest::rstest;
use serde_json::{Value, json};
use std::process::Output;
use support::command::{TemporaryFile, run};

/// Asserts exactly this text on standard error, nothing on standard output, and this exit status. `FILE` in
/// the text stands for `path`.
fn assert_ends(output: &Output, status: i32, path: &str, message: &str) {
    let text = String::from_utf8_lossy(&output.stderr).replace(path, "FILE");
    assert_eq!((output.status.code(), text.as_str()), (Some(status), message));
    assert!(output.stdout.is_empty(), "{output:?}");
}

#[rstest]
#[case::nothing(&[], "lugwharf: no subcommand; see lugwharf --help\n")]
#[case::subcommand(&["dance"], "lugwharf: unknown subcommand \"dance\"; see lugwharf --help\n")]
#[case::option_before(&["--dance"], "lugwharf: unknown subcommand \"--dance\"; see lugwharf --help\n")]
#[case::option(&["proxy", "--dance"], "lugwharf: proxy: Unrecognized option: 'dance'; see lugwharf proxy --help\n")]
#[case::option_of_a_tool(&["check-config", "--log", "info", "x"], "lugwharf: check-config: Unrecognized option: 'log'; see lugwharf check-config --help\n")]
#[case::level(&["agent", "--log", "loud"], "lugwharf: agent: no log level \"loud\"; see lugwharf agent --help\n")]
#[case::missing_value(&["control", "--settings"], "lugwharf: control: Argument to option 'settings' missing; see lugwharf control --help\n")]
#[case::twice(&["control", "--log", "info", "--log", "warn"], "lugwharf: control: Option 'log' given more than once; see lugwharf control --help\n")]
#[case::surplus(&["control", "now"], "lugwharf: control: takes no \"now\"; see lugwharf control --help\n")]
#[case::no_file(&["check-config"], "lugwharf: check-config: takes one file; see lugwharf check-config --help\n")]
#[case::two_files(&["check-settings", "a", "b"], "lugwharf: check-settings: takes one file; see lugwharf check-settings --help\n")]
#[case::no_tuning_file(&["check-tuning"], "lugwharf: check-tuning: takes one file; see lugwharf check-tuning --help\n")]
#[case::surplus_for_schema(&["print-schema", "x"], "lugwharf: print-schema: takes no \"x\"; see lugwharf print-schema --help\n")]
#[case::flag_with_value(&["print-schema", "--patch=x"], "lugwharf: print-schema: Option 'patch' does not take an argument; see lugwharf print-schema --help\n")]
#[case::port_zero(&["proxy", "--metrics", "0"], "lugwharf: --metrics: \"0\" is no port\n")]
#[case::port_too_high(&["agent", "--metrics", "70000"], "lugwharf: --metrics: \"70000\" is no port\n")]
#[case::port_no_number(&["control", "--metrics", "many"], "lugwharf: --metrics: \"many\" is no port\n")]
fn a_wrong_command_line_ends_with_status_2_and_this_line(#[case] arguments: &[&str], #[case] message: &str) {
    assert_ends(&run(arguments), 2, "FILE", message);
}

#[rstest]
#[case::proxy(&["proxy"], "lugwharf: settings: /nonexistent/settings.toml: No such file or directory (os error 2)\n")]
#[case::agent(&["agent"], "lugwharf: settings: /nonexistent/settings.toml: No such file or directory (os error 2)\n")]
#[case::control(&["control"], "lugwharf: settings: /nonexistent/settings.toml: No such file or directory (os error 2)\n")]
#[case::proxy_without_tuning(&["proxy", "--tuning", "/nonexistent/tuning.toml"], "lugwharf: tuning: /nonexistent/tuning.toml: No such file or directory (os error 2)\n")]
#[case::check_config(&["check-config", "/nonexistent/file"], "lugwharf: /nonexistent/file: No such file or directory (os error 2)\n")]
#[case::check_settings(&["check-settings", "/nonexistent/file"], "lugwharf: /nonexistent/file: No such file or directory (os error 2)\n")]
#[case::check_tuning(&["check-tuning", "/nonexistent/file"], "lugwharf: /nonexistent/file: No such file or directory (os error 2)\n")]
fn a_missing_file_ends_with_status_1_and_this_line(#[case] arguments: &[&str], #[case] message: &str) {
    assert_ends(&run(arguments), 1, "FILE", message);
}

#[rstest]
#[case::bad_value("proxy", ("Node = \"node-0\"", "Node = \"\""), "lugwharf: settings: Node: must not be empty\n")]
#[case::bad_value_for_control("control", ("Node = \"node-0\"", "Node = \"\""), "lugwharf: settings: Node: must not be empty\n")]
#[case::bad_value_checked("check-settings", ("Node = \"node-0\"", "Node = \"\""), "lugwharf: FILE: Node: must not be empty\n")]
#[case::wrong_type("agent", ("AckMs = 4000", "AckMs = \"soon\""), "lugwharf: settings: TOML parse error at line 36, column 9 | 36 | AckMs = \"soon\" | ^^^^^^ invalid type: string \"soon\", expected u64\n")]
#[case::wrong_type_checked("check-settings", ("AckMs = 4000", "AckMs = \"soon\""), "lugwharf: FILE: TOML parse error at line 36, column 9 | 36 | AckMs = \"soon\" | ^^^^^^ invalid type: string \"soon\", expected u64\n")]
#[case::missing("proxy", ("Ip = \"127.0.0.1\"", ""), "lugwharf: settings: TOML parse error at line 1, column 1 | 1 | Node = \"node-0\" | ^ missing field `Ip`\n")]
#[case::missing_checked("check-settings", ("Ip = \"127.0.0.1\"", ""), "lugwharf: FILE: TOML parse error at line 1, column 1 | 1 | Node = \"node-0\" | ^ missing field `Ip`\n")]
#[case::few_ports_checked("check-settings", ("PortRange = [", "PortRange = [7, 7] #"), "lugwharf: FILE: PortRange: holds too few ports\n")]
fn invalid_settings_end_with_status_1_and_this_line(
    #[case] command: &str, #[case] (good, bad): (&str, &str), #[case] message: &str,
) {
    let text = SettingsSpec::default().to_toml();
    assert!(text.contains(good), "{text}");
    let file =
        TemporaryFile::new(&format!("settings-{command}-{}.toml", bad.len()), &text.replace(good, bad));
    let arguments = match command {
        "check-settings" => vec![command, file.path()],
        role => vec![role, "--settings", file.path()],
    };
    assert_ends(&run(&arguments), 1, file.path(), message);
}

#[rstest]
#[case::agent(
    "agent",
    "lugwharf: settings: DataDir: is missing on a machine that counts and serves control\n"
)]
#[case::control("control", "lugwharf: settings: DataDir is missing\n")]
#[case::check(
    "check-settings",
    "lugwharf: FILE: DataDir: is missing on a machine that counts and serves control\n"
)]
fn control_without_a_disk_ends_with_status_1_and_this_line(#[case] command: &str, #[case] message: &str) {
    let control = Some("127.0.0.1:8166".parse().expect("cannot parse the address"));
    let spec = SettingsSpec { control, counts_for_quorum: true, ..SettingsSpec::default() };
    let file = TemporaryFile::new(&format!("no-disk-{command}.toml"), &spec.to_toml());
    let arguments = match command {
        "check-settings" => vec![command, file.path()],
        role => vec![role, "--settings", file.path()],
    };
    assert_ends(&run(&arguments), 1, file.path(), message);
}

fn configuration() -> Value {
    ConfigurationSpec::new(7)
        .with_service(ServiceSpec::new("board", None))
        .with_route(RouteSpec::new("shop.example", "/work/", "unsafe", "board"))
        .to_json()
}

/// Returns a valid configuration with the value at a JSON pointer replaced.
fn with_value(pointer: &str, value: Value) -> String {
    let mut text = configuration();
    *text.pointer_mut(pointer).expect("the configuration has no value at the pointer") = value;
    text.to_string()
}

#[rstest]
#[case::no_json("no_json", "{\n\"Version\": 7,\n".to_owned(), "lugwharf: FILE: : EOF while parsing a value at line 3 column 0\n")]
#[case::no_version("no_version", with_value("/Version", json!(0)), "lugwharf: FILE: /Version: 0 is less than the minimum of 1\n")]
#[case::wrong_type("wrong_type", with_value("/Version", json!("seven")), "lugwharf: FILE: /Version: \"seven\" is not of type \"integer\"\n")]
#[case::unknown_service("unknown_service", with_value("/Routes/0/Service", json!("nobody")), "lugwharf: FILE: /Routes/0/Service: no service is named \"nobody\"\n")]
#[case::zero_timeout("no_time", with_value("/Routes/0/TimeoutMs", json!(0)), "lugwharf: FILE: /Routes/0/TimeoutMs: must be above 0\n")]
#[case::bad_prefix("bad_prefix", with_value("/Routes/0/PathPrefix", json!("/work")), "lugwharf: FILE: /Routes/0/PathPrefix: must begin and end with a slash\n")]
#[case::bad_kind("bad_kind", with_value("/Routes/0/RouteKind", json!("odd")), "lugwharf: FILE: /Routes/0/RouteKind: \"odd\" is not one of \"safe\", \"unsafe\" or \"streaming\"\n")]
fn an_invalid_configuration_ends_with_status_1_and_this_line(
    #[case] name: &str, #[case] text: String, #[case] message: &str,
) {
    let file = TemporaryFile::new(&format!("{name}.json"), &text);
    assert_ends(&run(&["check-config", file.path()]), 1, file.path(), message);
}

#[rstest]
#[case::unknown_switch(
    "switch",
    "[routing]\ndraws_three = true\n",
    "lugwharf: FILE: TOML parse error at line 2, column 1 | 2 | draws_three = true | ^^^^^^^^^^^ unknown field `draws_three`, expected one of `draws_two`, `counts_in_flight`, `rises_at_once`, `starts_at_median`, `samples_failures`, `steers`, `prefers_home`, `ejects`, `refuses_early`, `passes_priority`, `resumes_streams`, `keeps_connections`, `decode_reads_at_most`, `decode_reads_after_failures`, `tau_ms`, `normalisation`, `base_tokens`, `sticky_key`, `sticky_tolerance`, `cache_age_ms`, `cache_parts`, `cross_zone_factor`, `home_share`, `report_age_ms`, `report_weight`, `full_factor`, `cold_factor`, `in_flight_factor`, `in_flight_floor`, `eject_first_ms`, `eject_most_ms`, `eject_strikes`, `misdirected_ms`, `budget_share`, `proxies_guess`, `rejections`\n"
)]
#[case::unknown_table(
    "table",
    "[elsewhere]\n",
    "lugwharf: FILE: TOML parse error at line 1, column 2 | 1 | [elsewhere] | ^^^^^^^^^ unknown field `elsewhere`, expected `routing` or `stages`\n"
)]
#[case::wrong_type(
    "type",
    "[routing]\ntau_ms = \"soon\"\n",
    "lugwharf: FILE: TOML parse error at line 2, column 10 | 2 | tau_ms = \"soon\" | ^^^^^^ invalid type: string \"soon\", expected u64\n"
)]
#[case::wrong_name(
    "name",
    "[routing]\nsticky_key = \"any\"\n",
    "lugwharf: FILE: TOML parse error at line 2, column 14 | 2 | sticky_key = \"any\" | ^^^^^ unknown variant `any`, expected `last_shared` or `most_tokens`\n"
)]
#[case::unknown_in_stages(
    "stages",
    "[stages]\nhurry = 1\n",
    "lugwharf: FILE: TOML parse error at line 2, column 1 | 2 | hurry = 1 | ^^^^^ unknown field `hurry`, expected one of `orders`, `least_decode_share`, `decode_fill`\n"
)]
fn an_invalid_tuning_ends_with_status_1_and_this_line(
    #[case] name: &str, #[case] text: &str, #[case] message: &str,
) {
    let file = TemporaryFile::new(&format!("tuning-{name}.toml"), text);
    assert_ends(&run(&["check-tuning", file.path()]), 1, file.path(), message);
}

#[test]
fn valid_settings_are_summarized() {
    let settings = TemporaryFile::new("good.toml", &SettingsSpec::default().to_toml());
    let output = run(&["check-settings", settings.path()]);
    let text = String::from_utf8_lossy(&output.stdout).replace(settings.path(), "FILE");
    assert_eq!(text, "FILE: node node-0, role \n");
    assert_eq!(output.status.code(), Some(0));
}

#[rstest]
#[case::defaults(
    "defaults",
    "",
    "FILE: TuningFile { routing: Tuning { draws_two: true, counts_in_flight: true, rises_at_once: true, starts_at_median: true, samples_failures: true, steers: true, prefers_home: true, ejects: true, refuses_early: true, passes_priority: true, resumes_streams: true, keeps_connections: true, decode_reads_at_most: 2048, decode_reads_after_failures: false, tau: 2.5s, normalisation: ByTokens, base_tokens: 512.0, sticky_key: LastShared, sticky_tolerance: 1.5, cache_age: 8s, cache_parts: 512, cross_zone_factor: 1.25, home_share: 0.5, report_age: 1.5s, report_weight: 0.25, full_factor: 3.0, cold_factor: 1.5, in_flight_factor: 8.0, in_flight_floor: 16, eject_first: 500ms, eject_most: 8s, eject_strikes: 2, misdirected: 4s, budget_share: 0.5, proxies_guess: 16, rejections: 3 }, stages: StageTuning { orders: true, least_decode_share: 0.2, decode_fill: 0.6 } }\n"
)]
#[case::changed(
    "changed",
    "[routing]\ntau_ms = 900\ndraws_two = false\nsticky_key = \"most_tokens\"\nnormalisation = \"plain\"\n[stages]\nleast_decode_share = 0.3\n",
    "FILE: TuningFile { routing: Tuning { draws_two: false, counts_in_flight: true, rises_at_once: true, starts_at_median: true, samples_failures: true, steers: true, prefers_home: true, ejects: true, refuses_early: true, passes_priority: true, resumes_streams: true, keeps_connections: true, decode_reads_at_most: 2048, decode_reads_after_failures: false, tau: 900ms, normalisation: Plain, base_tokens: 512.0, sticky_key: MostTokens, sticky_tolerance: 1.5, cache_age: 8s, cache_parts: 512, cross_zone_factor: 1.25, home_share: 0.5, report_age: 1.5s, report_weight: 0.25, full_factor: 3.0, cold_factor: 1.5, in_flight_factor: 8.0, in_flight_floor: 16, eject_first: 500ms, eject_most: 8s, eject_strikes: 2, misdirected: 4s, budget_share: 0.5, proxies_guess: 16, rejections: 3 }, stages: StageTuning { orders: true, least_decode_share: 0.3, decode_fill: 0.6 } }\n"
)]
fn a_valid_tuning_is_printed_with_these_names(#[case] name: &str, #[case] text: &str, #[case] summary: &str) {
    let file = TemporaryFile::new(&format!("tuning-good-{name}.toml"), text);
    let output = run(&["check-tuning", file.path()]);
    assert_eq!(String::from_utf8_lossy(&output.stdout).replace(file.path(), "FILE"), summary);
    assert_eq!(output.status.code(), Some(0));
}

/// Returns the 64-bit FNV-1a digest, which needs no other crate.
fn digest(bytes: &[u8]) -> String {
    let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    format!("{:016x}", bytes.iter().fold(0xcbf2_9ce4_8422_2325, mix))
}

#[rstest]
#[case::configuration(&["print-schema"], "96ab074ec5c1cc01")]
#[case::patch(&["print-schema", "--patch"], "dc28405de3de1082")]
fn schemas_are_printed_with_these_digests(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(digest(&output.stdout), expected);
}
