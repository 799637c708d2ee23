//! Tests of parsing settings files, of their errors, and of the control placement.

use lugwharf_settings::{ControlPlacement, InternalPorts, Settings, SettingsError};
use rstest::rstest;

const SETTINGS_FILE: &str = r#"
Node = "front-a-1"
Role = "my-front"
Ip = "10.1.0.13"
Zone = "a"
Region = "r"
PortRange = [7720, 7735]
Seeds = ["10.1.0.16:8166", "10.2.0.32:8166"]
Bootstrap = true
Unknown = { Field = 1 }
[Zones]
a = "r"
[Listen]
Front = "10.1.0.13:8161"
Ready = "10.1.0.13:8167"
[Limits]
MemoryMb = 260
MaxFds = 4100
[FaultTolerance]
Machines = 1
[Bounds]
AckMs = 4000
again_s = 8
BudgetSlack = 58
[Cloud]
Address = "10.200.0.79:8169"
RatePerS = 47.0
"#;

#[test]
fn a_complete_file_is_parsed_and_unknown_keys_are_ignored() {
    let settings = Settings::parse(SETTINGS_FILE).expect("the settings are valid");
    assert_eq!(settings.node, "front-a-1");
    assert_eq!(settings.seeds.len(), 2);
    assert!(settings.bootstrap);
    assert_eq!(settings.fault_tolerance.machines, 1);
    assert_eq!(settings.bounds.budget_slack, 58.0);
    assert_eq!(settings.internal_ports(), InternalPorts { peer: 7720, agent: 7721, feed: 7722 });
    assert_eq!(settings.feed_address(), "127.0.0.1:7722".parse().expect("the address is valid"));
    assert_eq!(settings.cloud.expect("the settings have a [Cloud] table").lag_ms, 0);
}

#[rstest]
#[case("Node = \"front-a-1\"", "Node = \"\"", "Node")]
#[case("PortRange = [7720, 7735]", "PortRange = [7720, 7721]", "PortRange")]
#[case("PortRange = [7720, 7735]", "PortRange = [0, 9]", "PortRange")]
#[case("RatePerS = 47.0", "RatePerS = 0.0", "Cloud.RatePerS")]
#[case("BudgetSlack = 58", "BudgetSlack = -1", "Bounds.BudgetSlack")]
fn an_invalid_value_is_reported_with_its_key(#[case] from: &str, #[case] to: &str, #[case] field: &str) {
    match Settings::parse(&SETTINGS_FILE.replace(from, to)) {
        Err(SettingsError::Invalid { field: named, .. }) => assert_eq!(named, field),
        other => panic!("expected SettingsError::Invalid, got {other:?}"),
    }
}

#[rstest]
#[case("Ip = \"10.1.0.13\"", "Ip = \"nowhere\"")]
#[case("PortRange = [7720, 7735]", "")]
#[case("Bootstrap = true", "Bootstrap = 3")]
#[case("[Listen]", "[Listen")]
fn the_error_of_a_malformed_file_is_one_line(#[case] from: &str, #[case] to: &str) {
    match Settings::parse(&SETTINGS_FILE.replace(from, to)) {
        Err(error @ SettingsError::Malformed(_)) => {
            let text = error.to_string();
            assert!(!text.is_empty() && !text.contains('\n'), "{text:?}");
        }
        other => panic!("expected SettingsError::Malformed, got {other:?}"),
    }
}

const CONTROL_ADDRESS: &str = "10.1.0.13:8166";

/// The control placement of a machine with these replacements in [`SETTINGS_FILE`].
fn placement(changes: &[(&str, &str)]) -> Result<ControlPlacement, SettingsError> {
    let text = changes.iter().fold(SETTINGS_FILE.to_owned(), |text, (from, to)| text.replace(from, to));
    Settings::parse(&text).expect("the settings are valid").control_placement()
}

const SERVES_CONTROL: (&str, &str) = ("[Listen]", "[Listen]\nControl = \"10.1.0.13:8166\"");
const COUNTS_FOR_QUORUM: (&str, &str) = ("Bootstrap = true", "Bootstrap = true\nCountsForQuorum = true");
const DOES_NOT_COUNT_FOR_QUORUM: (&str, &str) =
    ("Bootstrap = true", "Bootstrap = true\nCountsForQuorum = false");
const HAS_DATA_DIR: (&str, &str) = ("PortRange", "DataDir = \"/data\"\nPortRange");

#[rstest]
#[case::it_serves_none(&[COUNTS_FOR_QUORUM, HAS_DATA_DIR], ControlPlacement::None)]
#[case::it_does_not_count(&[SERVES_CONTROL, DOES_NOT_COUNT_FOR_QUORUM], ControlPlacement::Gateway(CONTROL_ADDRESS.parse().expect("the address is valid")))]
#[case::a_disk_alone_does_not_count(&[SERVES_CONTROL, DOES_NOT_COUNT_FOR_QUORUM, HAS_DATA_DIR], ControlPlacement::Gateway(CONTROL_ADDRESS.parse().expect("the address is valid")))]
#[case::it_counts(&[SERVES_CONTROL, COUNTS_FOR_QUORUM, HAS_DATA_DIR], ControlPlacement::Replica)]
fn control_placement_follows_from_the_settings(
    #[case] changes: &[(&str, &str)], #[case] expected: ControlPlacement,
) {
    assert_eq!(placement(changes).expect("the settings allow a placement"), expected);
}

#[test]
fn a_replica_without_a_data_directory_is_rejected() {
    match placement(&[SERVES_CONTROL, COUNTS_FOR_QUORUM]) {
        Err(SettingsError::Invalid { field, .. }) => assert_eq!(field, "DataDir"),
        other => panic!("expected SettingsError::Invalid, got {other:?}"),
    }
}
