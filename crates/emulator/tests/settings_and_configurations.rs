//! Settings files and configurations of the emulator are read back by the crates that parse them.

use lugwharf_config::Configuration;
use lugwharf_emulator::cluster::{SettingsSpec, Subnet, class, ports};
use lugwharf_emulator::configuration::{ConfigurationSpec, EngineSpec, RouteSpec, ServiceSpec};
use lugwharf_emulator::model_server::{ModelParameters, Stage};
use lugwharf_settings::Settings;

#[test]
fn settings_file_is_parsed_back() {
    let subnet = Subnet::claim().expect("a block of addresses");
    let spec = SettingsSpec {
        node: "control-0".to_owned(),
        machine_class: class::CORE,
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
    let settings = Settings::parse(&spec.to_toml()).expect("settings");
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
        Settings::parse(&spec.to_toml()).map(|read| read.internal_ports().feed).ok(),
        Some(ports::FEED)
    );
}

#[test]
fn address_blocks_differ() {
    let blocks = [Subnet::claim().expect("a block"), Subnet::claim().expect("a block")];
    assert_ne!(blocks[0].front(0), blocks[1].front(0));
    assert_ne!(blocks[0].front(0), blocks[0].control(0));
}

#[test]
fn configuration_is_parsed_back() {
    let engine = EngineSpec::from(&ModelParameters::quick(Stage::Decode));
    let spec = ConfigurationSpec::new(3)
        .service(ServiceSpec::new("llm", Some(engine)))
        .service(ServiceSpec::new("plain", None))
        .route(RouteSpec::new("a.example", "/gen/", "streaming", "llm"))
        .route(RouteSpec::new("a.example", "/work/", "unsafe", "plain"));
    let read = Configuration::parse(&spec.to_bytes()).expect("a configuration");
    assert_eq!((read.version, read.routes.len(), read.services.len()), (3, 2, 2));
    assert_eq!(read.services[0].engine.as_ref().map(|engine| engine.kv_tokens), Some(100_000));
}
