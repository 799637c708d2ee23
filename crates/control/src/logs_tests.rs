//! Tests of the text of log lines.

use crate::logs::{self, ConfigHash, Excerpt};
use lugwharf_chain::{
    Blake3, Digest, EntryHeader, FaultyReplica, Fnv, LogEvent, MemberId, ReplicaFault, ViewChangeReason,
};
use rstest::rstest;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};
use std::net::SocketAddr;
use std::sync::Arc;

/// Returns the text that is written for `line` by a logger with this level filter.
fn written(line: &LogEvent, level: Level) -> String {
    let sink = WriteSink::builder().target(Vec::new());
    let sink = sink.formatter(PatternFormatter::new(pattern!("{level} {payload} {kv}")));
    let sink = Arc::new(sink.build().expect("cannot build the sink"));
    let mut builder = Logger::builder();
    builder.sink(sink.clone()).level_filter(LevelFilter::MoreSevereEqual(level));
    logs::log_chain_event(&builder.build().expect("cannot build the logger"), line);
    String::from_utf8(sink.clone_target()).expect("the log line is not UTF-8")
}

fn header() -> EntryHeader {
    EntryHeader {
        index: 3,
        version: 12,
        base: 9,
        digest: Digest { fnv: Fnv(0x2, 0x3), blake3: Some(Blake3(0xab, 0x1)), request_hash: None },
    }
}

const HASH: &str = "00000000000000ab0000000000000001";

#[rstest]
#[case::started(
    LogEvent::Started {
        identity: MemberId { address: SocketAddr::from(([10, 0, 0, 1], 7_700)), disk: 0x5a },
        may_bootstrap: true,
        view_number: 4,
    },
    "info replica outcome=started address=10.0.0.1:7700 disk=000000000000005a may_bootstrap=true view=4".to_owned()
)]
#[case::proposing(
    LogEvent::Proposing {
        view_number: 5,
        reason: ViewChangeReason::ChainBroken,
        faulty_replica: Some(FaultyReplica {
            address: SocketAddr::from(([10, 0, 0, 3], 7_700)),
            fault: ReplicaFault::Unreachable,
        }),
    },
    "info view outcome=proposed view=5 reason=chain_broken replica=10.0.0.3:7700 fault=unreachable".to_owned()
)]
#[case::bootstrapping(
    LogEvent::Proposing { view_number: 1, reason: ViewChangeReason::Bootstrap, faulty_replica: None },
    "info view outcome=proposed view=1 reason=bootstrap replica=- fault=-".to_owned()
)]
#[case::serving(
    LogEvent::Serving { view_number: 5, chain_length: 2 },
    "info view outcome=serving view=5 replicas=2".to_owned()
)]
#[case::committed(
    LogEvent::EntryCommitted(header()),
    format!("debug entry outcome=committed index=3 version=12 base=9 hash={HASH}")
)]
#[case::disk_fault(LogEvent::DiskFault, "warn disk outcome=fault".to_owned())]
#[case::disk_healthy(LogEvent::DiskHealthy, "warn disk outcome=healthy".to_owned())]
#[case::superseded(
    LogEvent::EntrySuperseded(header()),
    format!("warn entry outcome=superseded index=3 version=12 base=9 hash={HASH}")
)]
fn event_is_logged_as_one_line_with_fields(#[case] line: LogEvent, #[case] expected: String) {
    assert_eq!(written(&line, Level::Debug).trim_end(), expected);
}

#[test]
fn serving_is_not_logged_at_warn() {
    assert_eq!(written(&LogEvent::Serving { view_number: 5, chain_length: 2 }, Level::Warn), "");
}

#[test]
fn hash_equals_the_digest_that_replicas_compare() {
    assert_eq!(ConfigHash(b"{}").to_string(), Digest::of(b"{}").to_string());
}

#[rstest]
#[case::short("another version is current", "another version is current")]
#[case::empty("", "-")]
#[case::lines("\"a\nb\r\u{1b}[0m\" is too long", "\"a b  [0m\" is too long")]
fn excerpt_is_one_line(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(Excerpt(text).to_string(), expected);
}

#[test]
fn excerpt_is_bounded() {
    assert_eq!(Excerpt(&"ü".repeat(3_000_000)).to_string(), "ü".repeat(200));
}

/// The hash in log lines identifies a configuration from the operator to the proxies, so all processes must
/// log the same one.
#[test]
fn agents_and_proxies_show_the_hash_that_control_processes_show() {
    let bytes = br#"{"Version":7}"#;
    let record = lugwharf_protocol::ConfigRecord { version: 7, bytes: bytes.to_vec() };
    assert_eq!(record.hash().to_string(), ConfigHash(bytes).to_string());
    assert_eq!(record.hash().to_string().len(), 32);
}
