//! Tests of startup failures of the sidecar: it prints one line and exits with a non-zero code.

use std::net::TcpListener;
use std::process::{Command, Stdio};

const JSON: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:8500","seed":"5a",
    "known":{"revision":1,"complete":true,"members":[]},
    "settings":{"zone":0,"discovery":"pushed",
    "requestClasses":[{"name":"pay","aim":290.0,"deadline":900.0,"idempotency":"fragile"}]}}"#;

/// Starts a sidecar with this configuration file, and returns its standard error and its exit code.
fn start_with(file: Option<&str>) -> (String, Option<i32>) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lugwharf-sidecar"));
    for key in ["BALANCER_CONFIG", "BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY"] {
        command.env_remove(key);
    }
    if let Some(file) = file {
        command.env("BALANCER_CONFIG", file);
    }
    let output = command.stdout(Stdio::piped()).output().expect("the sidecar exits");
    assert!(output.stdout.is_empty());
    (String::from_utf8(output.stderr).expect("standard error is valid UTF-8"), output.status.code())
}

fn start_with_text(name: &str, text: &str) -> (String, Option<i32>) {
    let file = format!("{}/startup-{}-{name}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&file, text).expect("the configuration file is written");
    let result = start_with(Some(&file));
    std::fs::remove_file(&file).expect("the configuration file is removed");
    result
}

#[test]
fn an_invalid_configuration_exits_with_code_1_and_one_literal_line() {
    let failure = |text: &str| (format!("lugwharf-sidecar: {text}\n"), Some(1));
    assert_eq!(start_with(None), failure("BALANCER_CONFIG is not set"));
    let missing = "/nowhere/at/all.json";
    assert_eq!(
        start_with(Some(missing)),
        failure("reading /nowhere/at/all.json: No such file or directory (os error 2)")
    );
    for (name, from, to, line) in [
        ("json", "{\"name\"", "{", "the configuration is no JSON: key must be a string at line 1 column 2"),
        ("listen", "127.0.0.1:0", "nowhere", "listen: cannot read \"nowhere\""),
        ("discovery", "127.0.0.1:8500", "", "discovery: cannot read \"\""),
        ("seed", "\"5a\"", "\"zz\"", "seed: cannot read \"zz\""),
        ("zone", "\"zone\":0", "\"zones\":0", "setting zone: missing"),
        ("class", "fragile", "brittle", "setting requestClasses.0.idempotency: cannot read \"brittle\""),
        ("aim", "290.0", "\"soon\"", "setting requestClasses.0.aim: cannot read \"soon\""),
        ("class-name", "\"name\":\"pay\",", "", "setting requestClasses.0.name: missing"),
    ] {
        assert!(JSON.contains(from), "{name}");
        assert_eq!(start_with_text(name, &JSON.replacen(from, to, 1)), failure(line), "{name}");
    }
}

#[test]
fn an_address_in_use_exits_with_one_line_after_the_predecessors_shutdown_time() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port can be bound");
    let addr = listener.local_addr().expect("the listener has a local address");
    let started_at = std::time::Instant::now();
    let result = start_with_text("in-use", &JSON.replace("127.0.0.1:0", &addr.to_string()));
    let line = format!("lugwharf-sidecar: listening on {addr}: Address already in use (os error 98)\n");
    assert_eq!(result, (line, Some(1)));
    assert!(started_at.elapsed() >= std::time::Duration::from_millis(3_660), "{:?}", started_at.elapsed());
}
