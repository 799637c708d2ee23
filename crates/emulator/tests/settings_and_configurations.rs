//! Tests that the settings files and configurations of the emulator are parsed by the crates that define
//! them, and that their encoded forms do not change.

use lugwharf_config::Configuration;
use lugwharf_emulator::cluster::{SettingsSpec, Subnet, machine_class, ports};
use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec, SplitSpec};
use lugwharf_emulator::content;
use lugwharf_emulator::model_server::{ModelParameters, Stage};
use lugwharf_emulator::platform::{InstanceEntry, InstanceState};
use lugwharf_settings::Settings;

#[test]
fn settings_file_is_parsed_back() {
    let subnet = Subnet::claim().expect("an address block is free");
    let spec = SettingsSpec {
        node: "control-0".to_owned(),
        machine_class: machine_class::CORE,
        serves: vec!["control".to_owned()],
        ip: subnet.control(0).into(),
        control: Some((subnet.control(0), ports::CONTROL).into()),
        seeds: vec![(subnet.control(0), ports::CONTROL).into()],
        feed_address: Some((subnet.front(0), ports::FEED).into()),
        data_dir: Some("/tmp/somewhere".into()),
        bootstrap: true,
        cloud: Some(([127, 0, 0, 1], 9).into()),
        bounds: vec![("AckMs".to_owned(), "1234".to_owned())],
        ..SettingsSpec::default()
    };
    let settings = Settings::parse(&spec.to_toml()).expect("the settings are valid");
    assert_eq!(settings.node, "control-0");
    assert_eq!(settings.listen.control, spec.control);
    assert_eq!(settings.seeds, spec.seeds);
    assert_eq!(settings.feed_address, spec.feed_address);
    assert_eq!(settings.data_dir, spec.data_dir);
    assert_eq!(settings.cloud.map(|cloud| cloud.address), spec.cloud);
    assert_eq!((settings.bounds.ack_ms, settings.bounds.drain_ms), (1_234, 3_000));
    assert_eq!(settings.fault_tolerance.machines, 1);
    assert!(settings.bootstrap);
    assert_eq!(
        Settings::parse(&spec.to_toml()).map(|settings| settings.internal_ports().feed).ok(),
        Some(ports::FEED)
    );
}

#[test]
fn address_blocks_differ() {
    let blocks = [
        Subnet::claim().expect("an address block is free"),
        Subnet::claim().expect("an address block is free"),
    ];
    assert_ne!(blocks[0].front(0), blocks[1].front(0));
    assert_ne!(blocks[0].front(0), blocks[0].control(0));
}

#[test]
fn configuration_is_parsed_back() {
    let engine = EngineSpec::from(&ModelParameters::small_and_fast(Stage::Decode));
    let spec = ConfigurationSpec::new(3)
        .with_service(ServiceSpec::new("llm", Some(engine)))
        .with_service(ServiceSpec::new("plain", None))
        .with_route(RouteSpec::new("a.example", "/gen/", "streaming", "llm"))
        .with_route(RouteSpec::new("a.example", "/work/", "unsafe", "plain"));
    let configuration = Configuration::parse(&spec.to_bytes()).expect("the configuration is valid");
    assert_eq!((configuration.version, configuration.routes.len(), configuration.services.len()), (3, 2, 2));
    assert_eq!(configuration.services[0].engine.as_ref().map(|engine| engine.kv_tokens), Some(100_000));
}

/// The encoded form of a configuration with all optional fields does not change when Rust fields are renamed.
#[test]
fn configuration_keeps_its_encoded_form() {
    let engine = EngineSpec::from(&ModelParameters::small_and_fast(Stage::Decode));
    let split = RouteSpec {
        service: None,
        traffic_split: vec![SplitSpec { service: "plain".to_owned(), weight: 2.5 }],
        ..RouteSpec::new("a.example", "/split/", "safe", "plain")
    };
    let spec = ConfigurationSpec::new(3)
        .with_service(ServiceSpec::new("llm", Some(engine)))
        .with_service(ServiceSpec::new("plain", None))
        .with_route(RouteSpec::new("a.example", "/gen/", "streaming", "llm"))
        .with_route(split);
    assert_eq!(String::from_utf8_lossy(&spec.to_bytes()), ENCODED_CONFIGURATION);
}

/// The encoded form of the entries of the platform's list does not change when Rust fields are renamed.
#[test]
fn listed_instances_keep_their_encoded_form() {
    let address = ([10, 0, 0, 1], 8_080).into();
    let plain = InstanceEntry::plain("i-1", "plain", address, "zone-a", 6);
    let mut model =
        InstanceEntry::plain("i-2", "llm", address, "zone-b", 8).with_stage(Stage::Prefill, "m", 4);
    model.state = InstanceState::Draining;
    let encoded = serde_json::to_string(&[plain, model]).expect("the entries are encoded");
    assert_eq!(encoded, ENCODED_INSTANCES);
}

/// The text of a settings file, with all optional keys and with none of them, does not change when Rust
/// fields are renamed.
#[test]
fn settings_files_keep_their_text() {
    let full = SettingsSpec {
        node: "control-0".to_owned(),
        role: "control".to_owned(),
        machine_class: machine_class::CORE,
        serves: vec!["control".to_owned()],
        ip: [127, 1, 2, 3].into(),
        bind: Some([127, 1, 2, 53].into()),
        seeds: vec![([127, 1, 2, 3], ports::CONTROL).into(), ([127, 1, 2, 4], ports::CONTROL).into()],
        bootstrap: true,
        counts_for_quorum: true,
        fault_tolerance: 2,
        data_dir: Some("/tmp/somewhere".into()),
        front: Some(([127, 1, 2, 3], ports::FRONT).into()),
        ready: Some(([127, 1, 2, 3], ports::READY).into()),
        control: Some(([127, 1, 2, 3], ports::CONTROL).into()),
        feed_address: Some(([127, 1, 2, 3], ports::FEED).into()),
        cloud: Some(([127, 0, 0, 1], 9).into()),
        max_fds: 512,
        bounds: vec![("AckMs".to_owned(), "1234".to_owned()), ("Own".to_owned(), "7".to_owned())],
    };
    let hashes = [full, SettingsSpec::default()].map(|spec| content::hash(spec.to_toml().as_bytes()));
    assert_eq!(hashes, [0x54dc_d549_5dee_e827, 0x9708_c6bd_6ade_c345], "{hashes:#x?}");
}

const ENCODED_CONFIGURATION: &str = r#"{"Limits":{"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"MaxBodyBytes":4194304,"MaxHeaderBytes":16384},"Routes":[{"Host":"a.example","MaxAttempts":2,"Name":"r-gen-","PathPrefix":"/gen/","Priority":0,"Resumable":false,"RouteKind":"streaming","Service":"llm","SloMs":500,"Sticky":true,"TimeoutMs":5000,"gap_aim_ms":300},{"Host":"a.example","MaxAttempts":2,"Name":"r-split-","PathPrefix":"/split/","Priority":0,"Resumable":false,"RouteKind":"safe","SloMs":500,"Sticky":false,"TimeoutMs":5000,"TrafficSplit":[{"Service":"plain","Weight":2.5}],"gap_aim_ms":300}],"Services":[{"Engine":{"KvHoldS":5.0,"KvTokenBytes":35136.0,"KvTokens":100000,"LinkMbps":1000000.0,"Slots":8,"SwitchS":0.02},"HealthPath":"/health","MaxConns":350,"Name":"llm","Protocol":"h1","Tls":false},{"HealthPath":"/health","MaxConns":350,"Name":"plain","Protocol":"h1","Tls":false}],"Version":3}"#;
const ENCODED_INSTANCES: &str = r#"[{"Service":"plain","Address":"10.0.0.1:8080","Zone":"zone-a","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0,"Id":"i-1"},{"Service":"llm","Address":"10.0.0.1:8080","Zone":"zone-b","Version":"v1","Slots":8,"State":"draining","ColdLeftMs":0,"Stage":"prefill","Models":[{"Name":"m","Version":4,"Adapters":[]}],"Id":"i-2"}]"#;
