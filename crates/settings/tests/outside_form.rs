//! Fixes the format of the settings file for deployments: every key, default and error text, as literals.

use lugwharf_settings::{
    Bounds, Cloud, DEFAULT_PATH, FaultTolerance, Limits, Listen, PATH_VARIABLE, PortRange, Settings,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;

/// A file with every key, each with a value that is not the default.
const EVERY_KEY: &str = r#"
Node = "n"
Role = "my-front"
Ip = "10.1.0.13"
Bind = "10.9.0.1"
Zone = "a"
Region = "r"
PortRange = [7720, 7735]
Seeds = ["10.1.0.16:8166", "[::1]:8166"]
Bootstrap = true
CountsForQuorum = false
DataDir = "/data"
FeedAddress = "127.0.0.2:99"
[Zones]
a = "r"
b = "s"
[Listen]
Front = "10.1.0.13:1"
Ready = "10.1.0.13:2"
Control = "10.1.0.13:3"
[Limits]
MemoryMb = 1
MaxFds = 2
DiskMb = 3
[FaultTolerance]
Machines = 4
[Cloud]
Address = "10.200.0.79:8169"
RatePerS = 5.5
LagMs = 6
[Bounds]
SeedLagS = 1.5
ReuseAfterS = 2.5
ContactMs = 3
AckMs = 4
CatchUpS = 5.5
DrainMs = 6
GraceS = 7.5
LossSlackMs = 8
ConfigMs = 9
MaxSkewMs = 10
RetryBudget = 11.5
BudgetWindowS = 12.5
BudgetSlack = 13.5
TransitMs = 14
again_s = 15.5
Fenced = false
LeaseMs = 16
"#;

/// A file with only the required keys.
const REQUIRED_KEYS: &str = "Node = \"n\"\nIp = \"10.1.0.13\"\nPortRange = [7720, 7735]\n";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("the address is valid")
}

/// The settings that [`EVERY_KEY`] contains.
fn settings_of_every_key() -> Settings {
    Settings {
        node: "n".to_owned(),
        role: "my-front".to_owned(),
        ip: "10.1.0.13".parse().expect("the address is valid"),
        bind: Some("10.9.0.1".parse().expect("the address is valid")),
        zone: "a".to_owned(),
        region: "r".to_owned(),
        port_range: PortRange { first: 7720, last: 7735 },
        seeds: vec![address("10.1.0.16:8166"), address("[::1]:8166")],
        bootstrap: true,
        counts_for_quorum: false,
        data_dir: Some("/data".into()),
        zones: [("a", "r"), ("b", "s")].map(|(zone, region)| (zone.to_owned(), region.to_owned())).into(),
        listen: Listen {
            front: Some(address("10.1.0.13:1")),
            ready: Some(address("10.1.0.13:2")),
            control: Some(address("10.1.0.13:3")),
        },
        limits: Limits { memory_mb: 1, max_fds: 2, disk_mb: 3 },
        fault_tolerance: FaultTolerance { machines: 4 },
        bounds: Bounds {
            seed_lag_s: 1.5,
            reuse_after_s: 2.5,
            contact_ms: 3,
            ack_ms: 4,
            catch_up_s: 5.5,
            drain_ms: 6,
            grace_s: 7.5,
            loss_slack_ms: 8,
            config_ms: 9,
            max_skew_ms: 10,
            retry_budget: 11.5,
            budget_window_s: 12.5,
            budget_slack: 13.5,
            transit_ms: 14,
            prefix_reuse_s: 15.5,
            fenced: false,
            lease_ms: 16,
        },
        cloud: Some(Cloud { address: address("10.200.0.79:8169"), rate_per_s: 5.5, lag_ms: 6 }),
        feed_address: Some(address("127.0.0.2:99")),
        source: None,
    }
}

/// The settings that [`REQUIRED_KEYS`] contains, with the defaults of all other keys.
fn settings_of_required_keys() -> Settings {
    Settings {
        node: "n".to_owned(),
        role: String::new(),
        ip: "10.1.0.13".parse().expect("the address is valid"),
        bind: None,
        zone: String::new(),
        region: String::new(),
        port_range: PortRange { first: 7720, last: 7735 },
        seeds: Vec::new(),
        bootstrap: false,
        counts_for_quorum: true,
        data_dir: None,
        zones: [].into(),
        listen: Listen { front: None, ready: None, control: None },
        limits: Limits { memory_mb: 256, max_fds: 1024, disk_mb: 0 },
        fault_tolerance: FaultTolerance { machines: 0 },
        bounds: Bounds {
            seed_lag_s: 3.0,
            reuse_after_s: 2.0,
            contact_ms: 3_000,
            ack_ms: 4_000,
            catch_up_s: 4.0,
            drain_ms: 3_000,
            grace_s: 8.0,
            loss_slack_ms: 200,
            config_ms: 2_000,
            max_skew_ms: 5_000,
            retry_budget: 0.2,
            budget_window_s: 10.0,
            budget_slack: 20.0,
            transit_ms: 120,
            prefix_reuse_s: 8.0,
            fenced: true,
            lease_ms: 3_000,
        },
        cloud: None,
        feed_address: None,
        source: None,
    }
}

#[test]
fn every_key_is_read() {
    assert_eq!(Settings::parse(EVERY_KEY).expect("the settings are valid"), settings_of_every_key());
}

#[test]
fn every_key_that_is_left_out_has_its_default() {
    assert_eq!(Settings::parse(REQUIRED_KEYS).expect("the settings are valid"), settings_of_required_keys());
    for table in ["[Listen]\n", "[Limits]\n", "[FaultTolerance]\n", "[Bounds]\n", "[Zones]\n"] {
        assert_eq!(
            Settings::parse(&format!("{REQUIRED_KEYS}{table}")).expect("the settings are valid"),
            settings_of_required_keys()
        );
    }
}

#[test]
fn a_cloud_needs_its_address_alone() {
    let text = format!("{REQUIRED_KEYS}[Cloud]\nAddress = \"10.200.0.79:8169\"\n");
    let cloud = Cloud { address: address("10.200.0.79:8169"), rate_per_s: 10.0, lag_ms: 0 };
    assert_eq!(Settings::parse(&text).expect("the settings are valid").cloud, Some(cloud));
}

#[test]
fn the_file_is_found_where_deployments_put_it() {
    assert_eq!((PATH_VARIABLE, DEFAULT_PATH), ("LUGWHARF_BOOT", "/etc/lugwharf/settings.toml"));
}

#[rstest]
#[case::empty_node("Node = \"n\"", "Node = \"\"", "Node: must not be empty")]
#[case::no_node("Node = \"n\"", "", "TOML parse error at line 1, column 1 | 1 | | ^ missing field `Node`")]
#[case::no_ip("Ip = \"10.1.0.13\"", "", "TOML parse error at line 1, column 1 | 1 | | ^ missing field `Ip`")]
#[case::bad_ip(
    "Ip = \"10.1.0.13\"",
    "Ip = \"nowhere\"",
    "TOML parse error at line 4, column 6 | 4 | Ip = \"nowhere\" |      ^^^^^^^^^ invalid IP address syntax"
)]
#[case::no_ports(
    "PortRange = [7720, 7735]",
    "",
    "TOML parse error at line 1, column 1 | 1 | | ^ missing field `PortRange`"
)]
#[case::one_port(
    "PortRange = [7720, 7735]",
    "PortRange = [7720]",
    "TOML parse error at line 8, column 13 | 8 | PortRange = [7720] |             ^^^^^^ invalid length 1, expected a tuple of size 2"
)]
#[case::too_few_ports(
    "PortRange = [7720, 7735]",
    "PortRange = [7720, 7721]",
    "PortRange: holds too few ports"
)]
#[case::port_zero("PortRange = [7720, 7735]", "PortRange = [0, 9]", "PortRange: holds too few ports")]
#[case::port_too_high(
    "PortRange = [7720, 7735]",
    "PortRange = [7720, 70000]",
    "TOML parse error at line 8, column 20 | 8 | PortRange = [7720, 70000] |                    ^^^^^ invalid value: integer `70000`, expected u16"
)]
#[case::bad_seed(
    "Seeds = [\"10.1.0.16:8166\", \"[::1]:8166\"]",
    "Seeds = [\"10.1.0.16\"]",
    "TOML parse error at line 9, column 10 | 9 | Seeds = [\"10.1.0.16\"] |          ^^^^^^^^^^^ invalid socket address syntax"
)]
#[case::wrong_type(
    "AckMs = 4",
    "AckMs = \"soon\"",
    "TOML parse error at line 35, column 9 | 35 | AckMs = \"soon\" |         ^^^^^^ invalid type: string \"soon\", expected u64"
)]
#[case::negative(
    "AckMs = 4",
    "AckMs = -4",
    "TOML parse error at line 35, column 9 | 35 | AckMs = -4 |         ^^ invalid value: integer `-4`, expected u64"
)]
#[case::no_toml(
    "[Listen]",
    "[Listen",
    "TOML parse error at line 17, column 8 | 17 | [Listen |        ^ unclosed table, expected `]`"
)]
#[case::twice(
    "Node = \"n\"",
    "Node = \"n\"\nNode = \"m\"",
    "TOML parse error at line 3, column 1 | 3 | Node = \"m\" | ^^^^ duplicate key"
)]
#[case::no_rate("RatePerS = 5.5", "RatePerS = 0.0", "Cloud.RatePerS: must be above 0")]
#[case::no_cloud_address(
    "Address = \"10.200.0.79:8169\"",
    "",
    "TOML parse error at line 27, column 1 | 27 | [Cloud] | ^^^^^^^ missing field `Address`"
)]
#[case::budget(
    "RetryBudget = 11.5",
    "RetryBudget = -0.1",
    "Bounds.RetryBudget: must be a finite number of at least 0"
)]
#[case::window(
    "BudgetWindowS = 12.5",
    "BudgetWindowS = nan",
    "Bounds.BudgetWindowS: must be a finite number of at least 0"
)]
#[case::slack(
    "BudgetSlack = 13.5",
    "BudgetSlack = inf",
    "Bounds.BudgetSlack: must be a finite number of at least 0"
)]
#[case::grace("GraceS = 7.5", "GraceS = -1.0", "Bounds.GraceS: must be a finite number of at least 0")]
fn the_error_of_an_unusable_file_is_unchanged(#[case] from: &str, #[case] to: &str, #[case] message: &str) {
    assert!(EVERY_KEY.contains(from), "{from}");
    let error = Settings::parse(&EVERY_KEY.replacen(from, to, 1)).expect_err("the settings are unusable");
    assert_eq!(error.to_string(), message);
}

#[test]
fn the_error_of_a_missing_file_is_unchanged() {
    let error = Settings::read(Path::new("/nonexistent/settings.toml")).expect_err("the file does not exist");
    assert_eq!(error.to_string(), "/nonexistent/settings.toml: No such file or directory (os error 2)");
}

#[test]
fn the_error_of_control_without_a_disk_is_unchanged() {
    let text = EVERY_KEY.replace("CountsForQuorum = false", "").replace("DataDir = \"/data\"", "");
    let error = Settings::parse(&text)
        .expect("the settings are valid")
        .control_placement()
        .expect_err("the replica has no data directory");
    assert_eq!(error.to_string(), "DataDir: is missing on a machine that counts and serves control");
}

/// On SIGHUP a process must read the file that it was started with, not the one that the environment names.
#[test]
fn settings_are_read_again_from_the_file_that_they_came_from() {
    let path = std::env::temp_dir().join(format!("lugwharf-settings-{}.toml", std::process::id()));
    std::fs::write(&path, REQUIRED_KEYS).expect("the settings file is written");
    let settings = Settings::read(&path).expect("the settings are valid");
    assert_eq!(settings, Settings { source: Some(path.clone()), ..settings_of_required_keys() });
    std::fs::write(&path, format!("{REQUIRED_KEYS}Seeds = [\"10.1.0.16:8166\"]\n"))
        .expect("the settings file is written");
    let reloaded = settings.reload().expect("the settings are valid");
    assert_eq!((reloaded.seeds, reloaded.source), (vec![address("10.1.0.16:8166")], Some(path.clone())));
    std::fs::remove_file(&path).expect("the settings file is removed");
    assert!(settings.reload().is_err(), "no other file is read in its place");
}
