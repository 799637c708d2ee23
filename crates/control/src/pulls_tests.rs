//! Tests of which agent receives which reply, and that agents with the same versions share one encoded reply.

use super::{
    MAX_CACHED_REPLIES, MAX_WAIT, PendingPulls, PullsServed, REPLY_CACHE_TTL, ReplyContext, ReplyFrame,
    SentConfig,
};
use lugwharf_distribution::Tables;
use lugwharf_protocol::{
    ConfigRecord, ControlReply, ServerEntry, ServerState, TablePosition, Update, VersionVector, decode,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// The size of the length prefix of a frame.
const LENGTH_BYTES: usize = 4;
const WAIT_MS: u32 = 500;

fn server(number: u8) -> ServerEntry {
    ServerEntry {
        id: format!("i-{number}"),
        service: "model".to_owned(),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
        zone: "a".to_owned(),
        slots: 16,
        state: ServerState::Ready,
        warmup_remaining_ms: 0,
        stage: None,
        models: Vec::new(),
    }
}

fn tables(servers: u8) -> Tables {
    let mut tables = Tables::new();
    tables
        .servers_mut()
        .replace(1, (0..servers).map(server).collect())
        .expect("cannot replace the server list");
    tables
}

fn context(has_quorum: bool) -> ReplyContext {
    ReplyContext { has_quorum, control: vec![SocketAddr::from(([10, 0, 1, 1], 7041))] }
}

fn pull(pulls: &mut PendingPulls, now: Duration, have: VersionVector) -> oneshot::Receiver<ReplyFrame> {
    let (reply, answer) = oneshot::channel();
    pulls.add(now, "front-1".to_owned(), have, WAIT_MS, reply);
    answer
}

fn sent_config(version: u64) -> SentConfig {
    SentConfig { node: "front-1".to_owned(), version }
}

fn update(frame: &ReplyFrame) -> Update {
    let ControlReply::Update { update, .. } =
        decode(&frame[LENGTH_BYTES..]).expect("cannot decode the reply");
    update
}

#[test]
fn agents_with_nothing_share_one_reply() {
    let tables = tables(20);
    let mut pulls = PendingPulls::default();
    let mut answers = Vec::new();
    for time_ms in 0..100 {
        let now = Duration::from_millis(time_ms);
        let mut answer = pull(&mut pulls, now, VersionVector::default());
        pulls.serve(now, &tables, &context(true));
        answers.push(answer.try_recv().expect("no reply was sent immediately"));
    }
    assert!(answers.iter().all(|frame| Arc::ptr_eq(frame, &answers[0])));
    assert_eq!(update(&answers[0]).servers.expect("the update contains no server list").entries.len(), 20);
}

#[test]
fn change_of_the_tables_invalidates_cached_replies() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut before = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(update(&before.try_recv().expect("no reply was sent")).vector.config, 0);
    tables.advance_config(Arc::new(ConfigRecord { version: 4, bytes: b"{}".to_vec() }));
    let mut after = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!((served.updated, served.configs), (1, vec![sent_config(4)]));
    assert_eq!(update(&after.try_recv().expect("no reply was sent")).vector.config, 4);
}

#[test]
fn up_to_date_agent_waits_until_its_deadline_and_receives_no_update() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let have = tables.version_vector();
    let mut answer = pull(&mut pulls, Duration::ZERO, have);
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert!(answer.try_recv().is_err());
    pulls.serve(Duration::from_millis(u64::from(WAIT_MS)), &tables, &context(true));
    let received = update(&answer.try_recv().expect("no reply was sent"));
    assert_eq!((received.vector, received.servers), (have, None));
}

#[test]
fn up_to_date_agent_learns_at_once_that_the_quorum_is_lost() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut answer = pull(&mut pulls, Duration::ZERO, tables.version_vector());
    pulls.serve(Duration::ZERO, &tables, &context(false));
    let frame = answer.try_recv().expect("no reply was sent");
    let ControlReply::Update { has_quorum, .. } =
        decode(&frame[LENGTH_BYTES..]).expect("cannot decode the reply");
    assert!(!has_quorum);
}

#[test]
fn cached_reply_expires() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut first = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    let first = first.try_recv().expect("no reply was sent");
    pulls.serve(REPLY_CACHE_TTL, &tables, &context(true));
    assert_eq!(Arc::strong_count(&first), 1);
    assert_eq!(update(&first).vector.servers, TablePosition { epoch: 1, sequence: 1 });
}

fn config(version: u64) -> Arc<ConfigRecord> {
    Arc::new(ConfigRecord { version, bytes: b"{}".to_vec() })
}

#[test]
fn front_end_node_is_sent_the_newest_of_many_configurations_once_per_interval() {
    let config_interval = Duration::from_millis(500);
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(config_interval);
    tables.advance_config(config(1));
    let mut have = VersionVector::default();
    let mut sent = Vec::new();
    for tenth in 0..100_u64 {
        let now = Duration::from_millis(tenth * 10);
        tables.advance_config(config(tenth + 1));
        let mut answer = pull(&mut pulls, now, have);
        pulls.serve(now, &tables, &context(true));
        if let Ok(frame) = answer.try_recv() {
            have = VersionVector {
                config: update(&frame).config.expect("the update contains no configuration").version,
                ..tables.version_vector()
            };
            sent.push(have.config);
        }
    }
    assert_eq!(sent, [1, 51]);
}

#[test]
fn server_list_does_not_wait_for_a_configuration_that_is_not_due() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    let mut first = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(update(&first.try_recv().expect("no reply was sent")).vector.config, 1);
    let have = tables.version_vector();
    tables.advance_config(config(2));
    tables.servers_mut().replace(1, (0..3).map(server).collect()).expect("cannot replace the server list");
    let now = Duration::from_millis(100);
    let mut second = pull(&mut pulls, now, have);
    pulls.serve(now, &tables, &context(true));
    let received = update(&second.try_recv().expect("no reply was sent"));
    assert_eq!(
        (
            received.config,
            received.servers.expect("the update contains no change of the server list").entries.len()
        ),
        (None, 1)
    );
}

#[test]
fn restarted_front_end_node_is_sent_its_configuration_immediately() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    for at in [0, 100] {
        let now = Duration::from_millis(at);
        let mut answer = pull(&mut pulls, now, VersionVector::default());
        pulls.serve(now, &tables, &context(true));
        assert!(update(&answer.try_recv().expect("no reply was sent")).config.is_some());
    }
}

fn has_quorum(frame: &ReplyFrame) -> bool {
    let ControlReply::Update { has_quorum, .. } =
        decode(&frame[LENGTH_BYTES..]).expect("cannot decode the reply");
    has_quorum
}

/// The tables stay the same, so the replies differ only in their context.
#[rstest]
#[case::lost(true, false)]
#[case::regained(false, true)]
fn change_of_the_quorum_invalidates_cached_replies(#[case] before: bool, #[case] after: bool) {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    for state in [before, after] {
        let mut answer = pull(&mut pulls, Duration::ZERO, VersionVector::default());
        pulls.serve(Duration::ZERO, &tables, &context(state));
        assert_eq!(has_quorum(&answer.try_recv().expect("no reply was sent")), state);
    }
}

#[test]
fn change_of_the_control_processes_invalidates_cached_replies() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    for count in 1..3_u8 {
        let control = (0..count).map(|host| SocketAddr::from(([10, 0, 1, host], 7041))).collect::<Vec<_>>();
        let context = ReplyContext { has_quorum: true, control: control.clone() };
        let mut answer = pull(&mut pulls, Duration::ZERO, VersionVector::default());
        pulls.serve(Duration::ZERO, &tables, &context);
        let frame = answer.try_recv().expect("no reply was sent");
        let ControlReply::Update { control: named, .. } =
            decode(&frame[LENGTH_BYTES..]).expect("cannot decode the reply");
        assert_eq!(named, control);
    }
}

/// Nothing is sent for an abandoned pull, so the front-end node must not count as one that was just sent a
/// configuration.
#[test]
fn abandoned_pull_does_not_count_as_a_sent_configuration() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    let have = tables.version_vector();
    drop(pull(&mut pulls, Duration::ZERO, have));
    tables.advance_config(config(2));
    assert_eq!(pulls.serve(Duration::ZERO, &tables, &context(true)), PullsServed::default());
    let mut answer = pull(&mut pulls, Duration::ZERO, have);
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(served, PullsServed { updated: 1, unchanged: 0, configs: vec![sent_config(2)] });
    assert_eq!(
        update(&answer.try_recv().expect("no reply was sent"))
            .config
            .expect("the update contains no configuration")
            .version,
        2
    );
}

#[test]
fn pull_waits_at_most_max_wait() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let (reply, mut answer) = oneshot::channel();
    pulls.add(Duration::ZERO, "front-1".to_owned(), tables.version_vector(), u32::MAX, reply);
    pulls.serve(MAX_WAIT - Duration::from_millis(1), &tables, &context(true));
    assert!(answer.try_recv().is_err());
    let served = pulls.serve(MAX_WAIT, &tables, &context(true));
    assert_eq!(served, PullsServed { updated: 0, unchanged: 1, configs: Vec::new() });
    assert!(has_quorum(&answer.try_recv().expect("no reply was sent")));
}

/// Serves up-to-date and outdated pulls in one pass. `swap_remove` must not cause any of them to be skipped.
#[test]
fn serve_decides_each_pull_separately() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::default();
    let old = tables.version_vector();
    tables.advance_config(config(1));
    let new = tables.version_vector();
    let mut answers =
        [old, new, old, old, new, new].map(|have| (have, pull(&mut pulls, Duration::ZERO, have)));
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!((served.updated, served.unchanged, served.configs.len()), (3, 0, 3));
    for (have, answer) in &mut answers {
        assert_eq!(answer.try_recv().is_ok(), *have == old);
    }
}

/// The interval applies to each front-end node separately, and ends after its length.
#[test]
fn config_interval_applies_to_each_front_end_node_separately() {
    let config_interval = Duration::from_millis(500);
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(config_interval);
    let mut pull_config = |tables: &Tables, node: &str, at: Duration, have: VersionVector| {
        let (reply, mut answer) = oneshot::channel();
        pulls.add(at, node.to_owned(), have, WAIT_MS, reply);
        pulls.serve(at, tables, &context(true));
        answer.try_recv().ok().and_then(|frame| update(&frame).config).map(|config| config.version)
    };
    tables.advance_config(config(1));
    let nothing = VersionVector::default();
    assert_eq!(pull_config(&tables, "front-1", Duration::ZERO, nothing), Some(1));
    let first = tables.version_vector();
    tables.advance_config(config(2));
    assert_eq!(pull_config(&tables, "front-1", config_interval - Duration::from_millis(1), first), None);
    assert_eq!(pull_config(&tables, "front-2", config_interval - Duration::from_millis(1), first), Some(2));
    assert_eq!(pull_config(&tables, "front-1", config_interval, first), Some(2));
}

/// Only the first [`MAX_CACHED_REPLIES`] replies are cached, each for its own versions.
#[test]
fn reply_beyond_the_cache_is_encoded_again() {
    let mut tables = tables(2);
    tables.advance_config(config(100));
    let mut pulls = PendingPulls::default();
    let mut pull_config = |version: u64| {
        let have = VersionVector { config: version, ..tables.version_vector() };
        let mut answer = pull(&mut pulls, Duration::ZERO, have);
        pulls.serve(Duration::ZERO, &tables, &context(true));
        answer.try_recv().expect("no reply was sent")
    };
    let cached = u64::try_from(MAX_CACHED_REPLIES).expect("the limit does not fit into a u64");
    let first: Vec<ReplyFrame> = (0..=cached).map(&mut pull_config).collect();
    let second: Vec<ReplyFrame> = (0..=cached).map(&mut pull_config).collect();
    let shared = |index: usize| Arc::ptr_eq(&first[index], &second[index]);
    assert!((0..MAX_CACHED_REPLIES).all(shared) && !shared(MAX_CACHED_REPLIES));
}
