//! Tests of the error of a process that cannot start, and of the status, metrics and logs of a running fleet.

mod support;

use lugwharf_emulator::cluster::{SettingsSpec, poll};
use rstest::rstest;
use std::path::PathBuf;
use std::process::{Command, Output};
use support::{Fleet, MODEL_SERVICE, SMALL, next_configuration};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn run(arguments: &[&str], settings: &PathBuf) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lugwharf"));
    command.args(arguments).env_clear().env("LUGWHARF_BOOT", settings);
    command.output().expect("cannot run the binary")
}

/// Writes a settings file.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("lugwharf-start-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).expect("cannot write the settings file");
    path
}

/// Asserts that the process failed with one line that contains `expected`, and did not panic.
fn assert_one_plain_line(output: &Output, expected: &str) {
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "{text}");
    assert_eq!(text.trim_end().lines().count(), 1, "{text}");
    assert!(text.contains(expected), "{text}");
    assert!(!text.contains("panicked"), "{text}");
}

#[rstest]
fn unusable_settings_fail_with_one_line(
    #[values("proxy", "agent", "control")] role: &str,
    #[values("missing", "malformed", "wrong_type", "bad_value")] fault: &str,
) {
    let good = SettingsSpec::default().to_toml();
    let (text, expected) = match fault {
        "missing" => (None, "No such file"),
        "malformed" => (Some("Node = \n[[".to_owned()), "settings"),
        "wrong_type" => (Some(good.replace("AckMs = 4000", "AckMs = \"soon\"")), "AckMs"),
        _ => (Some(good.replace("Node = \"node-0\"", "Node = \"\"")), "Node"),
    };
    let path = match text {
        Some(text) => settings_file(&format!("{role}-{fault}"), &text),
        None => PathBuf::from("/nonexistent/settings.toml"),
    };
    let output = run(&[role], &path);
    let _ = std::fs::remove_file(&path);
    assert_one_plain_line(&output, expected);
}

#[rstest]
#[case::none(&[], "subcommand")]
#[case::unknown(&["dance"], "dance")]
#[case::unknown_option(&["proxy", "--dance"], "dance")]
fn usage_error_fails_with_one_line(#[case] arguments: &[&str], #[case] expected: &str) {
    let output = run(arguments, &PathBuf::from("/nonexistent/settings.toml"));
    assert_one_plain_line(&output, expected);
}

#[test]
fn help_and_version_succeed() {
    for arguments in [&["--help"][..], &["--version"], &["proxy", "--help"]] {
        let output = run(arguments, &PathBuf::from("/nonexistent/settings.toml"));
        assert!(output.status.success() && !output.stdout.is_empty(), "{arguments:?}");
    }
}

/// Returns the complete response of a control machine as text.
async fn get(fleet: &Fleet, control: usize, path: &str) -> String {
    let address = fleet.cluster.control_address(control);
    let mut stream = TcpStream::connect(address).await.expect("cannot connect to the process");
    let head = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("cannot write to the connection");
    let mut response = String::new();
    stream.read_to_string(&mut response).await.expect("cannot read the response");
    response
}

/// Waits until all control machines know the lease holder of the list watcher's role. That may take longer
/// than until all front-end nodes serve.
async fn wait_for_lease_holder(fleet: &Fleet) {
    let is_known = || async {
        let mut holders = Vec::new();
        for control in 0..3 {
            let status = fleet.cluster.control_status(control).await.unwrap_or_default();
            holders.push(status["Roles"][0]["Holder"].clone());
        }
        holders.iter().all(|holder| holder.is_string() && *holder == holders[0])
    };
    assert!(poll(is_known).await, "the control machines name no common holder\n{}", fleet.cluster.logs());
}

#[tokio::test]
async fn status_shows_chain_roles_servers_and_agents() {
    let fleet = Fleet::start(SMALL).await;
    wait_for_lease_holder(&fleet).await;
    let mut holders = 0;
    let mut agents = Vec::new();
    for control in 0..3 {
        let status = fleet.cluster.control_status(control).await.expect("the process reports no status");
        let [peer, _] = fleet.cluster.internal_addresses(control);
        assert_eq!(status["Address"], peer.to_string(), "{status}");
        assert_eq!(
            status["Chain"][status["Position"].as_u64().expect("the status has no position") as usize],
            status["Address"]
        );
        for flag in ["Member", "InTouch", "DiskWell"] {
            assert_eq!(status[flag], true, "{flag} of {status}");
        }
        let role = &status["Roles"][0];
        assert!(role["Holder"].is_string() && role["Token"].is_u64() && role["HeldMs"].is_u64(), "{status}");
        if role["HeldHere"] == true {
            holders += 1;
            assert_eq!(role["Holder"], status["Address"], "{status}");
        }
        agents.extend(status["Agents"].as_array().cloned().unwrap_or_default());
    }
    assert_eq!(holders, 1, "{}", fleet.cluster.logs());
    assert!(agents.iter().any(|agent| agent["VersionsBehind"] == 0), "{agents:?}");
    let shows_servers = || async {
        let status = fleet.cluster.control_status(0).await.unwrap_or_default();
        let services = status["Services"].as_array().cloned().unwrap_or_default();
        services.iter().any(|service| {
            let count = |name: &str| service[name].as_u64().unwrap_or(0);
            service["Service"] == MODEL_SERVICE && count("Prefill") > 0 && count("Decode") > 0
        })
    };
    assert!(poll(shows_servers).await, "{}", fleet.cluster.logs());
}

#[tokio::test]
async fn metrics_count_commits_refusals_and_pulls() {
    let fleet = Fleet::start(SMALL).await;
    wait_for_lease_holder(&fleet).await;
    assert_eq!(fleet.operator.put(&next_configuration(3, "/a/").to_bytes(), 9).await.status(), Some(412));
    let (mut texts, mut refused) = (String::new(), 0);
    for control in 0..3 {
        let text = get(&fleet, control, "/metrics").await;
        assert!(text.contains("openmetrics-text") && text.trim_end().ends_with("# EOF"), "{text}");
        assert!(text.contains("\nlugwharf_control_commits_total 1\n"), "{text}");
        refused += usize::from(text.contains("\nlugwharf_control_refusals_total{kind=\"conflict\"} 1\n"));
        texts.push_str(&text);
    }
    assert_eq!(refused, 1, "{texts}");
    assert!(texts.contains("\nlugwharf_control_list_reader 1\n"), "{texts}");
    assert!(texts.contains("lugwharf_control_pulls_total{answer=\"update\"}"), "{texts}");
}

/// The logs name the version and hash of a configuration, from the operator to the proxy.
#[tokio::test]
async fn configuration_can_be_traced_through_the_logs() {
    let fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    let hash = || {
        let logs = fleet.cluster.logs();
        let accepted = logs.lines().find(|line| line.contains("outcome=accepted version=3 base=1 hash="));
        let field =
            accepted.and_then(|line| line.split_whitespace().find(|field| field.starts_with("hash=")));
        field.map(str::to_owned)
    };
    assert!(poll(|| async { hash().is_some() }).await, "{}", fleet.cluster.logs());
    let hash = hash().expect("the log line has no hash");
    for step in ["outcome=committed version=3 base=1", "outcome=applied version=3"] {
        let shows = || async { fleet.cluster.logs().contains(&format!("{step} {hash}")) };
        assert!(poll(shows).await, "{step} {hash} is missing\n{}", fleet.cluster.logs());
    }
    // The line of the proxy has the same hash.
    let is_logged_by_proxy = |line: &str| line.contains("config version=3 routes=") && line.ends_with(&hash);
    assert!(
        poll(|| async { fleet.cluster.logs().lines().any(is_logged_by_proxy) }).await,
        "{}",
        fleet.cluster.logs()
    );
    let step = "outcome=pulled version=3 to=";
    assert!(poll(|| async { fleet.cluster.logs().contains(step) }).await, "{}", fleet.cluster.logs());
}
