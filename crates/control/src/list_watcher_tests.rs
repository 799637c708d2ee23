//! Tests of when the list watcher may send a request, and of when an outage makes it step down.

use crate::command::Command;
use crate::lease::{HeldLease, LeaseWatch};
use crate::list_watcher::{PlatformOutage, run};
use crate::platform_client::PlatformError;
use hyper::StatusCode;
use lugwharf_election::FencingToken;
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

/// Records consecutive failed reads, each given by its start and end in ms and its status. Returns whether
/// the last one asks to step down.
fn steps_down(reads: &[(u64, u64, Option<u16>)]) -> bool {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut outage = PlatformOutage::default();
    let mut should_step_down = false;
    for (started, ended, status) in reads {
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let error = status.map_or(PlatformError::Timeout, PlatformError::Status);
        should_step_down = outage.record_failure(at(*started), at(*ended), &error);
    }
    should_step_down
}

#[rstest]
#[case::one_page_that_times_out(&[(0, 700, None)], false)]
#[case::two_pages_that_time_out(&[(0, 700, None), (700, 1_400, None)], true)]
#[case::refused_connections(&[(0, 1, None), (250, 251, None), (500, 501, None), (1_000, 1_001, None)], false)]
#[case::refused_connections_for_longer(&[(0, 1, None), (250, 251, None), (1_250, 1_251, None)], true)]
#[case::over_the_rate_limit(&[(0, 1, Some(429)), (1_000, 1_001, Some(429)), (2_000, 2_001, Some(429))], false)]
#[case::an_answer_between(&[(0, 700, None), (700, 701, Some(503)), (950, 1_650, None)], false)]
fn steps_down_after_an_outage(#[case] reads: &[(u64, u64, Option<u16>)], #[case] expected: bool) {
    assert_eq!(steps_down(reads), expected);
}

#[test]
fn response_ends_the_outage() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut outage = PlatformOutage::default();
    outage.record_failure(at(0), at(700), &PlatformError::Timeout);
    outage.record_response();
    assert!(!outage.record_failure(at(1_000), at(1_700), &PlatformError::Timeout));
}

/// After a pause of the process, the list watcher may run before the controller has noticed that the lease
/// has expired.
#[rstest]
#[case::over(Duration::ZERO, false)]
#[case::running(Duration::from_secs(60), true)]
#[tokio::test(start_paused = true)]
async fn page_is_requested_only_under_a_valid_lease(#[case] remaining: Duration, #[case] is_requested: bool) {
    let platform = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = platform.local_addr().expect("cannot read the address of the listener");
    let (_lease_sender, lease) =
        watch::channel(Some(HeldLease { token: FencingToken(7), expires_at: Instant::now() + remaining }));
    let (commands, _queue) = mpsc::channel(1);
    let (_platform, address) = watch::channel(address);
    tokio::spawn(run(address, LeaseWatch::new(lease), commands));
    let (mut stream, _) = platform.accept().await.expect("cannot accept a connection");
    let mut bytes = [0; 64];
    let received = timeout(Duration::from_millis(500), stream.read(&mut bytes)).await;
    assert_eq!(received.is_ok_and(|read| read.is_ok_and(|bytes| bytes > 0)), is_requested);
}

/// Guards against a platform at a new address that waits for a restart of the lease holder.
#[tokio::test(start_paused = true)]
async fn next_read_goes_to_the_address_in_force() {
    let [first, second] = [listen().await, listen().await];
    let expires_at = Instant::now() + Duration::from_secs(60);
    let (_lease_sender, lease) = watch::channel(Some(HeldLease { token: FencingToken(7), expires_at }));
    let (commands, mut queue) = mpsc::channel(1);
    let (platform, address) = watch::channel(address_of(&first));
    tokio::spawn(run(address, LeaseWatch::new(lease), commands));
    drop(first.accept().await.expect("cannot accept a connection"));
    platform.send_replace(address_of(&second));
    assert!(matches!(queue.recv().await, Some(Command::ListReadFailed { .. })));
    let (mut stream, _) = second.accept().await.expect("cannot accept a connection");
    assert!(stream.read(&mut [0; 64]).await.is_ok_and(|bytes| bytes > 0));
}

async fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener")
}

fn address_of(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().expect("cannot read the address of the listener")
}
