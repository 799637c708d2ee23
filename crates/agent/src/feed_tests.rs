//! Tests of when an update is sent to a proxy again.

use super::{feed_proxy, read_frame, write_frame};
use crate::table_owner::{self, Command};
use lugwharf_protocol::{ConfigRecord, FeedMessage, ProxyReport, Update, VersionVector};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

async fn receive_version(proxy: &mut TcpStream) -> Option<u64> {
    let message = read_frame::<FeedMessage>(proxy).await.expect("cannot read the update");
    let FeedMessage::Update(update) = message.expect("the feed has ended");
    update.config.map(|config| config.version)
}

/// Guards against agent and proxy that send each other an update without a pause which the proxy can't read.
/// It reports the same versions after each of them.
#[tokio::test(start_paused = true)]
async fn update_that_the_proxy_does_not_apply_is_sent_again_after_growing_delays() {
    let (commands, queue) = mpsc::channel(4);
    tokio::spawn(table_owner::run(queue));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let mut proxy = TcpStream::connect(address).await.expect("cannot connect to the listener");
    let (stream, _) = listener.accept().await.expect("no connection was opened");
    tokio::spawn(feed_proxy(stream, commands.clone()));
    let (reply, applied) = oneshot::channel();
    let config = Some(ConfigRecord { version: 7, bytes: b"unreadable".to_vec() });
    let update = Update { config, ..Update::default() };
    commands.send(Command::Apply { update, reply }).await.expect("the table owner has ended");
    applied.await.expect("the table owner has ended");
    let report = ProxyReport { have: VersionVector::default(), loads: Vec::new() };
    let started_at = Instant::now();
    for _ in 0..6 {
        write_frame(&mut proxy, &report).await.expect("cannot write the report");
        assert_eq!(receive_version(&mut proxy).await, Some(7));
    }
    // The five delays are at least half of 100, 200, 400, 600 and 600 ms.
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(950) && elapsed < Duration::from_secs(5), "{elapsed:?}");
}
