//! Tests of the version vector over all tables, and the updates computed from it.

use lugwharf_distribution::Tables;
use lugwharf_protocol::{ConfigRecord, FleetSummary, ServerDelta, TablePosition, Update, VersionVector};
use rstest::rstest;
use std::sync::Arc;

fn config(version: u64) -> Arc<ConfigRecord> {
    Arc::new(ConfigRecord { version, bytes: vec![version as u8] })
}

fn tables(version: u64, epoch: u64, live: u32) -> Tables {
    let mut tables = Tables::new();
    tables.advance_config(config(version));
    tables.servers_mut().replace(epoch, Vec::new()).unwrap();
    tables.set_live_proxies(live);
    tables
}

#[test]
fn only_a_newer_configuration_is_applied() {
    let mut tables = Tables::new();
    assert!(tables.advance_config(config(4)));
    assert!(!tables.advance_config(config(4)));
    assert!(!tables.advance_config(config(2)));
    assert!(tables.advance_config(config(9)));
    assert_eq!(tables.config(), Some(&config(9)));
}

#[rstest]
#[case::up_to_date(7, 3, 5, None)]
#[case::ahead(8, 4, 5, None)]
#[case::old_config(6, 3, 5, Some((true, false, false)))]
#[case::old_servers(7, 2, 5, Some((false, true, false)))]
#[case::other_count(7, 3, 6, Some((false, false, true)))]
#[case::nothing(0, 0, 0, Some((true, true, true)))]
fn update_holds_only_what_is_newer(
    #[case] version: u64, #[case] epoch: u64, #[case] live: u32,
    #[case] tables_sent: Option<(bool, bool, bool)>,
) {
    let servers = TablePosition { epoch, sequence: epoch.min(1) };
    let have = VersionVector { config: version, servers, live_proxies: live };
    let update = tables(7, 3, 5).update_since(&have);
    let sent = update
        .as_ref()
        .map(|update| (update.config.is_some(), update.servers.is_some(), update.fleet.is_some()));
    assert_eq!(sent, tables_sent);
}

#[test]
fn applied_update_leads_to_its_vector() {
    let source = tables(7, 3, 5);
    let mut reader = tables(6, 2, 9);
    let update = source.update_since(&reader.version_vector()).unwrap();
    assert_eq!(reader.apply(&update), Ok(true));
    assert_eq!(reader.version_vector(), update.vector);
    assert_eq!(reader.version_vector(), source.version_vector());
    assert_eq!(reader.apply(&update), Ok(false));
    assert_eq!(source.update_since(&reader.version_vector()), None);
}

#[test]
fn other_tables_are_applied_despite_a_gap_in_the_servers() {
    let position = TablePosition { epoch: 2, sequence: 5 };
    let update = Update {
        config: Some(ConfigRecord { version: 3, bytes: Vec::new() }),
        servers: Some(ServerDelta { position, ..ServerDelta::default() }),
        fleet: Some(FleetSummary { live_proxies: 4 }),
        ..Update::default()
    };
    let mut tables = Tables::new();
    assert!(tables.apply(&update).is_err());
    assert_eq!(
        tables.version_vector(),
        VersionVector { config: 3, live_proxies: 4, ..VersionVector::default() }
    );
}

#[test]
fn unknown_count_leaves_the_last_one_in_place() {
    let mut tables = tables(1, 1, 5);
    tables.set_live_proxies(0);
    assert_eq!(tables.live_proxies(), 5);
}

#[test]
fn written_list_is_readable() {
    let tables = tables(1, 4, 5);
    assert_eq!(tables.servers().position(), TablePosition { epoch: 4, sequence: 1 });
}

#[test]
fn unknown_count_is_not_sent() {
    let have = VersionVector { live_proxies: 5, ..tables(7, 3, 0).version_vector() };
    assert_eq!(tables(7, 3, 0).update_since(&have), None);
}

/// A process that waits for a change must be notified of each of them.
#[rstest]
#[case::config(8, 3, 5)]
#[case::servers(7, 4, 5)]
#[case::fleet(7, 3, 6)]
fn apply_reports_a_change_of_each_table(#[case] version: u64, #[case] epoch: u64, #[case] live: u32) {
    let mut reader = tables(7, 3, 5);
    let update = tables(version, epoch, live).update_since(&reader.version_vector()).unwrap();
    assert_eq!(reader.apply(&update), Ok(true));
}
