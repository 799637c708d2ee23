//! Tests of which pauses time out.

use super::StallTimeoutReader;
use rstest::rstest;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, duplex};
use tokio::time::{Instant, sleep};

const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(900);
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads 30 bytes: the first ten arrive after `before` ms, and each further ten after `between` ms. Returns
/// the result and the time that it took.
async fn read(before: u64, between: u64) -> (io::Result<usize>, Duration) {
    let (mut stream, mut peer) = duplex(64);
    tokio::spawn(async move {
        for pause in [before, between, between] {
            sleep(Duration::from_millis(pause)).await;
            drop(peer.write_all(&[7; 10]).await);
        }
        // The connection stays open.
        sleep(Duration::from_secs(60)).await;
    });
    let started_at = Instant::now();
    let mut bytes = [0; 30];
    let read =
        StallTimeoutReader::new(&mut stream, FIRST_BYTE_TIMEOUT, STALL_TIMEOUT).read_exact(&mut bytes).await;
    (read, started_at.elapsed())
}

#[rstest]
#[case::at_once(0, 0)]
#[case::late_but_in_time(890, 0)]
#[case::longer_than_either_limit_in_all(890, 390)]
#[tokio::test(start_paused = true)]
async fn a_reader_without_a_long_pause_is_read_to_its_end(#[case] before: u64, #[case] between: u64) {
    let (read, _) = read(before, between).await;
    assert_eq!(read.expect("reading all bytes failed"), 30);
}

#[rstest]
#[case::nothing_comes(5_000, 0, 900, "timed out waiting for the first byte")]
#[case::nothing_more_comes(100, 5_000, 500, "timed out waiting for the next byte")]
#[tokio::test(start_paused = true)]
async fn a_long_pause_times_out(
    #[case] before: u64, #[case] between: u64, #[case] ends_ms: u64, #[case] text: &str,
) {
    let (read, took) = read(before, between).await;
    let error = read.expect_err("the read did not time out");
    assert_eq!((error.kind(), error.to_string().as_str()), (io::ErrorKind::TimedOut, text));
    assert!(took.abs_diff(Duration::from_millis(ends_ms)) <= Duration::from_millis(2), "{took:?}");
}
