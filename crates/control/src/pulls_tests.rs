//! Who gets which answer, and that those who have the same share one.

use super::{Frame, MAX_CACHED_REPLIES, MAX_WAIT, PendingPulls, PullsServed, REPLY_CACHE_TTL, ReplyContext};
use lugwharf_distribution::Tables;
use lugwharf_protocol::{
    ConfigRecord, ControlReply, ServerEntry, ServerState, TablePosition, Update, VersionVector, decode,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Bytes of the length in front of a frame.
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
    tables.servers_mut().replace(1, (0..servers).map(server).collect()).expect("the first epoch");
    tables
}

fn context(has_quorum: bool) -> ReplyContext {
    ReplyContext { has_quorum, control: vec![SocketAddr::from(([10, 0, 1, 1], 7041))] }
}

fn pull(pulls: &mut PendingPulls, now: Duration, have: VersionVector) -> oneshot::Receiver<Frame> {
    let (reply, answer) = oneshot::channel();
    pulls.add(now, "front-1".to_owned(), have, WAIT_MS, reply);
    answer
}

fn update(frame: &Frame) -> Update {
    let ControlReply::Update { update, .. } = decode(&frame[LENGTH_BYTES..]).expect("a reply");
    update
}

#[test]
fn all_who_have_nothing_share_one_answer() {
    let tables = tables(20);
    let mut pulls = PendingPulls::default();
    let mut answers = Vec::new();
    for asked in 0..100 {
        let now = Duration::from_millis(asked);
        let mut answer = pull(&mut pulls, now, VersionVector::default());
        pulls.serve(now, &tables, &context(true));
        answers.push(answer.try_recv().expect("an answer at once"));
    }
    assert!(answers.iter().all(|frame| Arc::ptr_eq(frame, &answers[0])));
    assert_eq!(update(&answers[0]).servers.expect("the list").entries.len(), 20);
}

#[test]
fn nobody_gets_an_answer_from_before_a_change() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut before = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(update(&before.try_recv().expect("an answer")).vector.config, 0);
    tables.advance_config(Arc::new(ConfigRecord { version: 4, bytes: b"{}".to_vec() }));
    let mut after = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!((served.updated, served.configs), (1, vec![("front-1".to_owned(), 4)]));
    assert_eq!(update(&after.try_recv().expect("an answer")).vector.config, 4);
}

#[test]
fn who_has_everything_waits_its_time_and_gets_nothing_new() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let have = tables.vector();
    let mut answer = pull(&mut pulls, Duration::ZERO, have);
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert!(answer.try_recv().is_err());
    pulls.serve(Duration::from_millis(u64::from(WAIT_MS)), &tables, &context(true));
    let got = update(&answer.try_recv().expect("an answer"));
    assert_eq!((got.vector, got.servers), (have, None));
}

#[test]
fn who_has_everything_is_told_at_once_that_the_process_is_out_of_touch() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut answer = pull(&mut pulls, Duration::ZERO, tables.vector());
    pulls.serve(Duration::ZERO, &tables, &context(false));
    let frame = answer.try_recv().expect("an answer");
    let ControlReply::Update { has_quorum, .. } = decode(&frame[LENGTH_BYTES..]).expect("a reply");
    assert!(!has_quorum);
}

#[test]
fn an_answer_is_not_kept_for_long() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let mut first = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    let first = first.try_recv().expect("an answer");
    pulls.serve(REPLY_CACHE_TTL, &tables, &context(true));
    assert_eq!(Arc::strong_count(&first), 1);
    assert_eq!(update(&first).vector.servers, TablePosition { epoch: 1, sequence: 1 });
}

fn config(version: u64) -> Arc<ConfigRecord> {
    Arc::new(ConfigRecord { version, bytes: b"{}".to_vec() })
}

#[test]
fn in_a_storm_of_configurations_a_front_is_sent_the_newest_once_in_a_while() {
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
            have = VersionVector { config: update(&frame).config.expect("newer").version, ..tables.vector() };
            sent.push(have.config);
        }
    }
    assert_eq!(sent, [1, 51]);
}

#[test]
fn a_list_that_changes_does_not_wait_for_a_configuration_that_is_not_due() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    let mut first = pull(&mut pulls, Duration::ZERO, VersionVector::default());
    pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(update(&first.try_recv().expect("an answer")).vector.config, 1);
    let have = tables.vector();
    tables.advance_config(config(2));
    tables.servers_mut().replace(1, (0..3).map(server).collect()).expect("the same epoch");
    let now = Duration::from_millis(100);
    let mut second = pull(&mut pulls, now, have);
    pulls.serve(now, &tables, &context(true));
    let got = update(&second.try_recv().expect("an answer"));
    assert_eq!((got.config, got.servers.expect("a change").entries.len()), (None, 1));
}

#[test]
fn a_front_that_starts_again_gets_its_configuration_at_once() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    for at in [0, 100] {
        let now = Duration::from_millis(at);
        let mut answer = pull(&mut pulls, now, VersionVector::default());
        pulls.serve(now, &tables, &context(true));
        assert!(update(&answer.try_recv().expect("an answer")).config.is_some());
    }
}

fn in_touch(frame: &Frame) -> bool {
    let ControlReply::Update { has_quorum, .. } = decode(&frame[LENGTH_BYTES..]).expect("a reply");
    has_quorum
}

/// The answer to a pull that was served before: it is not made anew, though what it says of contact changes.
#[rstest]
#[case::lost(true, false)]
#[case::found(false, true)]
fn nobody_is_told_of_contact_as_it_was(#[case] before: bool, #[case] after: bool) {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    for state in [before, after] {
        let mut answer = pull(&mut pulls, Duration::ZERO, VersionVector::default());
        pulls.serve(Duration::ZERO, &tables, &context(state));
        assert_eq!(in_touch(&answer.try_recv().expect("an answer")), state);
    }
}

#[test]
fn the_processes_that_are_named_are_the_newest() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    for count in 1..3_u8 {
        let control = (0..count).map(|host| SocketAddr::from(([10, 0, 1, host], 7041))).collect::<Vec<_>>();
        let context = ReplyContext { has_quorum: true, control: control.clone() };
        let mut answer = pull(&mut pulls, Duration::ZERO, VersionVector::default());
        pulls.serve(Duration::ZERO, &tables, &context);
        let frame = answer.try_recv().expect("an answer");
        let ControlReply::Update { control: named, .. } = decode(&frame[LENGTH_BYTES..]).expect("a reply");
        assert_eq!(named, control);
    }
}

/// A front that has left is sent nothing, so that it is not counted as one that has just been sent a configuration.
#[test]
fn a_pull_that_was_given_up_does_not_hold_up_the_next_one() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(Duration::from_millis(500));
    tables.advance_config(config(1));
    let have = tables.vector();
    drop(pull(&mut pulls, Duration::ZERO, have));
    tables.advance_config(config(2));
    assert_eq!(pulls.serve(Duration::ZERO, &tables, &context(true)), PullsServed::default());
    let mut answer = pull(&mut pulls, Duration::ZERO, have);
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!(served, PullsServed { updated: 1, unchanged: 0, configs: vec![("front-1".to_owned(), 2)] });
    assert_eq!(update(&answer.try_recv().expect("an answer")).config.expect("newer").version, 2);
}

#[test]
fn no_pull_waits_longer_than_the_bound() {
    let tables = tables(2);
    let mut pulls = PendingPulls::default();
    let (reply, mut answer) = oneshot::channel();
    pulls.add(Duration::ZERO, "front-1".to_owned(), tables.vector(), u32::MAX, reply);
    pulls.serve(MAX_WAIT - Duration::from_millis(1), &tables, &context(true));
    assert!(answer.try_recv().is_err());
    let served = pulls.serve(MAX_WAIT, &tables, &context(true));
    assert_eq!(served, PullsServed { updated: 0, unchanged: 1, configs: Vec::new() });
    assert!(in_touch(&answer.try_recv().expect("an answer")));
}

/// Pulls of different ages and states in one look: each is answered or kept by itself.
#[test]
fn a_look_passes_over_no_pull() {
    let mut tables = tables(2);
    let mut pulls = PendingPulls::default();
    let old = tables.vector();
    tables.advance_config(config(1));
    let new = tables.vector();
    let mut answers =
        [old, new, old, old, new, new].map(|have| (have, pull(&mut pulls, Duration::ZERO, have)));
    let served = pulls.serve(Duration::ZERO, &tables, &context(true));
    assert_eq!((served.updated, served.unchanged, served.configs.len()), (3, 0, 3));
    for (have, answer) in &mut answers {
        assert_eq!(answer.try_recv().is_ok(), *have == old);
    }
}

/// The config_interval holds for each front by itself, and only for its length.
#[test]
fn a_configuration_is_due_again_after_the_pace_and_for_others_at_once() {
    let config_interval = Duration::from_millis(500);
    let mut tables = tables(2);
    let mut pulls = PendingPulls::with_config_interval(config_interval);
    let mut ask = |tables: &Tables, node: &str, at: Duration, have: VersionVector| {
        let (reply, mut answer) = oneshot::channel();
        pulls.add(at, node.to_owned(), have, WAIT_MS, reply);
        pulls.serve(at, tables, &context(true));
        answer.try_recv().ok().and_then(|frame| update(&frame).config).map(|config| config.version)
    };
    tables.advance_config(config(1));
    let nothing = VersionVector::default();
    assert_eq!(ask(&tables, "front-1", Duration::ZERO, nothing), Some(1));
    let first = tables.vector();
    tables.advance_config(config(2));
    assert_eq!(ask(&tables, "front-1", config_interval - Duration::from_millis(1), first), None);
    assert_eq!(ask(&tables, "front-2", config_interval - Duration::from_millis(1), first), Some(2));
    assert_eq!(ask(&tables, "front-1", config_interval, first), Some(2));
}

/// Answers are kept for a few askers alone, and no answer is another asker's.
#[test]
fn answers_that_are_not_kept_are_made_anew() {
    let mut tables = tables(2);
    tables.advance_config(config(100));
    let mut pulls = PendingPulls::default();
    let mut ask = |version: u64| {
        let have = VersionVector { config: version, ..tables.vector() };
        let mut answer = pull(&mut pulls, Duration::ZERO, have);
        pulls.serve(Duration::ZERO, &tables, &context(true));
        answer.try_recv().expect("an answer")
    };
    let kept = u64::try_from(MAX_CACHED_REPLIES).expect("a number");
    let first: Vec<Frame> = (0..=kept).map(&mut ask).collect();
    let second: Vec<Frame> = (0..=kept).map(&mut ask).collect();
    let shared = |index: usize| Arc::ptr_eq(&first[index], &second[index]);
    assert!((0..MAX_CACHED_REPLIES).all(shared) && !shared(MAX_CACHED_REPLIES));
}
