//! Tests of reading the configuration.

use super::*;

pub const JSON: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
    "limits":{"sockets":300},"settings":{"areas":["a b","c"],"zone":1,"discovery":"pushed","orgs":[],
    "policyLimits":{"cancel":true,"connectTimeout":70},"report":{"fields":["depth","concurrent"],"how":"on_probe"},
    "requestClasses":[{"name":"pay","aim":290.0,"idempotency":"fragile"}]}}"#;

#[test]
fn nested_settings_are_flattened_and_parsed() {
    let config = Config::read(JSON, |_| None).expect("cannot read the configuration");
    assert_eq!((config.seed, config.max_descriptors, config.settings.zone), (0x8c1f_30d2_7a5b_e964, 300, 1));
    assert_eq!(config.settings.classes[0].latency_target, Duration::from_millis(290));
    assert_eq!(config.network.zones, ["a_b", "c"]);
    assert_eq!(config.network.classes, ["pay"]);
    assert_eq!(config.network.connect_timeout, Duration::from_millis(70));
    assert_eq!(config.network.load_field_name.as_deref(), Some("concurrent"));
}

#[test]
fn the_environment_takes_precedence_and_errors_name_the_key() {
    let env = |key: &str| (key == "BALANCER_LISTEN").then(|| "127.0.0.2:1".to_owned());
    assert_eq!(
        Config::read(JSON, env).expect("cannot read the configuration").listen.to_string(),
        "127.0.0.2:1"
    );
    for (from, to, message) in [
        ("127.0.0.1:8500", "nowhere", "discovery: cannot read \"nowhere\""),
        ("8c1f", "zz", "seed: cannot read"),
        ("290.0", "\"soon\"", "requestClasses.0.aim"),
        ("290.0", "1e21", "requestClasses.0.aim"),
        ("\"connectTimeout\":70", "\"connectTimeout\":1e21", "policyLimits.connectTimeout"),
        ("{\"name\"", "{", "no JSON"),
    ] {
        let error = Config::read(&JSON.replacen(from, to, 1), |_| None)
            .err()
            .expect("the invalid configuration was accepted");
        assert!(error.to_string().contains(message), "{error}");
    }
}
