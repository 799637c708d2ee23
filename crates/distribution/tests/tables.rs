//! The vector over all tables and the updates made for it.

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
fn takes_only_newer_configurations() {
    let mut tables = Tables::new();
    assert!(tables.advance_config(config(4)));
    assert!(!tables.advance_config(config(4)));
    assert!(!tables.advance_config(config(2)));
    assert!(tables.advance_config(config(9)));
    assert_eq!(tables.config(), Some(&config(9)));
}

#[rstest]
#[case::level(7, 3, 5, None)]
#[case::ahead(8, 4, 5, None)]
#[case::old_config(6, 3, 5, Some((true, false, false)))]
#[case::old_servers(7, 2, 5, Some((false, true, false)))]
#[case::other_count(7, 3, 6, Some((false, false, true)))]
#[case::nothing(0, 0, 0, Some((true, true, true)))]
fn sends_only_what_is_newer(
    #[case] version: u64, #[case] epoch: u64, #[case] live: u32, #[case] parts: Option<(bool, bool, bool)>,
) {
    let servers = TablePosition { epoch, sequence: epoch.min(1) };
    let have = VersionVector { config: version, servers, live_proxies: live };
    let update = tables(7, 3, 5).update_since(&have);
    let sent = update
        .as_ref()
        .map(|update| (update.config.is_some(), update.servers.is_some(), update.fleet.is_some()));
    assert_eq!(sent, parts);
}

#[test]
fn brings_another_process_to_the_vector_of_the_update() {
    let source = tables(7, 3, 5);
    let mut taker = tables(6, 2, 9);
    let update = source.update_since(&taker.vector()).unwrap();
    assert_eq!(taker.apply(&update), Ok(true));
    assert_eq!(taker.vector(), update.vector);
    assert_eq!(taker.vector(), source.vector());
    assert_eq!(taker.apply(&update), Ok(false));
    assert_eq!(source.update_since(&taker.vector()), None);
}

#[test]
fn takes_the_other_parts_over_where_the_servers_do_not_follow() {
    let position = TablePosition { epoch: 2, sequence: 5 };
    let update = Update {
        config: Some(ConfigRecord { version: 3, bytes: Vec::new() }),
        servers: Some(ServerDelta { position, ..ServerDelta::default() }),
        fleet: Some(FleetSummary { live_proxies: 4 }),
        ..Update::default()
    };
    let mut tables = Tables::new();
    assert!(tables.apply(&update).is_err());
    assert_eq!(tables.vector(), VersionVector { config: 3, live_proxies: 4, ..VersionVector::default() });
}

#[test]
fn keeps_the_last_count_where_nothing_is_known() {
    let mut tables = tables(1, 1, 5);
    tables.set_live_proxies(0);
    assert_eq!(tables.live_proxies(), 5);
}

#[test]
fn shows_the_list_that_was_written() {
    let tables = tables(1, 4, 5);
    assert_eq!(tables.servers().position(), TablePosition { epoch: 4, sequence: 1 });
}

#[test]
fn tells_no_count_where_it_knows_none() {
    let have = VersionVector { live_proxies: 5, ..tables(7, 3, 0).vector() };
    assert_eq!(tables(7, 3, 0).update_since(&have), None);
}

/// Whoever waits for a change has to be woken by each of them.
#[rstest]
#[case::config(8, 3, 5)]
#[case::servers(7, 4, 5)]
#[case::fleet(7, 3, 6)]
fn says_that_it_changed_for_each_part(#[case] version: u64, #[case] epoch: u64, #[case] live: u32) {
    let mut taker = tables(7, 3, 5);
    let update = tables(version, epoch, live).update_since(&taker.vector()).unwrap();
    assert_eq!(taker.apply(&update), Ok(true));
}
