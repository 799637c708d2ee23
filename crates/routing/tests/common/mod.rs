//! A balancer with a given list of servers, and helpers to query it.
#![allow(dead_code)]

use lugwharf_protocol::{ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition};
use lugwharf_routing::{
    Balancer, Phase, Prompt, RetryBudgetConfig, Selection, SelectionError, SelectionQuery, ServerKey, Tuning,
};
use std::time::Duration;

pub const SERVICE: &str = "service";
pub const SEED: u64 = 42;

pub fn retry_budget_config() -> RetryBudgetConfig {
    RetryBudgetConfig { ratio: 0.2, reserve: 32.0, window: Duration::from_secs(10), local_share: 1.0 }
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the entry of a ready server of [`SERVICE`] whose port is derived from its id.
pub fn entry(id: &str, zone: &str, stage: Option<Stage>) -> ServerEntry {
    let port =
        1_000 + id.bytes().fold(0u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())) % 50_000;
    ServerEntry {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: zone.to_owned(),
        slots: 64,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage,
        models: vec![ModelEntry { name: "m".to_owned(), version: 1 }],
    }
}

pub fn position(epoch: u64, sequence: u64) -> TablePosition {
    TablePosition { epoch, sequence }
}

pub fn full_delta(position: TablePosition, entries: Vec<ServerEntry>) -> ServerDelta {
    ServerDelta { position, is_full: true, base: None, entries, removed: Vec::new() }
}

/// Returns a balancer whose endpoint list has these entries, at position 1 of epoch 1.
pub fn balancer(tuning: Tuning, entries: Vec<ServerEntry>) -> Balancer {
    let mut balancer = Balancer::new(tuning, retry_budget_config(), SEED);
    assert!(balancer.apply(Duration::ZERO, &full_delta(position(1, 1), entries)));
    balancer
}

/// Returns the entries of the servers "a", "b", "c" … without a stage, in the zone "home".
pub fn unstaged_servers(count: u8) -> Vec<ServerEntry> {
    (0..count).map(|number| entry(&char::from(b'a' + number).to_string(), "home", None)).collect()
}

/// The part of a [`SelectionQuery`] that differs between tests.
pub struct TestQuery<'a> {
    pub phase: Phase,
    pub prompt: &'a Prompt,
    pub excluded: &'a [ServerKey],
    pub zone: &'a str,
}

pub fn select_with(
    balancer: &mut Balancer, now: Duration, query: &TestQuery<'_>,
) -> Result<Selection, SelectionError> {
    let query = SelectionQuery {
        service: SERVICE,
        phase: query.phase,
        model: Some("m"),
        prompt: query.prompt,
        preferred_zone: query.zone,
        excluded: query.excluded,
        objective: ms(300),
    };
    balancer.select(now, &query)
}

/// Selects a server for a request without a prompt, in [`Phase::Full`] and with "home" as preferred zone.
pub fn select(balancer: &mut Balancer, now: Duration) -> Result<Selection, SelectionError> {
    let prompt = Prompt::default();
    select_with(
        balancer,
        now,
        &TestQuery { phase: Phase::Full, prompt: &prompt, excluded: &[], zone: "home" },
    )
}

/// Returns the key of a listed server.
pub fn key_of(balancer: &mut Balancer, id: &str) -> ServerKey {
    let keys: Vec<ServerKey> = balancer.server_keys().collect();
    keys.into_iter().find(|key| balancer.server_id(*key) == Some(id)).expect("the server is listed")
}
