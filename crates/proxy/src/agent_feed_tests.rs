//! The link to the agent over its restarts: what was received on one connection never reaches the next one.

use crate::agent_feed::run;
use crate::outbound::fixtures::{entry, listener, state};
use crate::state::ProxyState;
use lugwharf_protocol::{
    ConfigRecord, FeedMessage, ProxyReport, ServerDelta, TablePosition, Update, encode, read_frame,
    write_frame,
};
use rstest::rstest;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

fn config(version: u64) -> FeedMessage {
    let text = format!(r#"{{"Version":{version},"Routes":[],"Services":[],"Limits":{{}}}}"#);
    let config = Some(ConfigRecord { version, bytes: text.into_bytes() });
    FeedMessage::Update(Update { config, ..Update::default() })
}

/// Accepts the proxy's next connection, and its first report.
async fn accept(agent: &TcpListener) -> (TcpStream, ProxyReport) {
    let mut connection = agent.accept().await.expect("the proxy").0;
    let report = read_frame(&mut connection).await.expect("a report").expect("a report");
    (connection, report)
}

async fn with_agent(body: impl AsyncFnOnce(&TcpListener, &Rc<ProxyState>)) {
    let agent = listener().await;
    let address = agent.local_addr().expect("an address");
    let state = state(address);
    let local = LocalSet::new();
    local.spawn_local(run(state.clone(), address));
    local.run_until(body(&agent, &state)).await;
}

/// A message that broke off with its connection is not joined with what the next one brings.
#[rstest]
#[case::in_the_length(2)]
#[case::in_the_body(20)]
#[case::all_but_the_last_byte(usize::MAX)]
#[tokio::test]
async fn partial_message_is_dropped_with_its_connection(#[case] end: usize) {
    with_agent(async |agent, state| {
        let (mut old, report) = accept(agent).await;
        assert_eq!(report.have.config, 0);
        let bytes = encode(&config(7)).expect("a frame");
        let end = end.min(bytes.len() - 1);
        old.write_all(&bytes[..end]).await.expect("sent");
        drop(old);
        let (mut new, report) = accept(agent).await;
        assert_eq!(report.have.config, 0, "nothing of it was applied");
        write_frame(&mut new, &config(8)).await.expect("sent");
        let report: ProxyReport = read_frame(&mut new).await.expect("a report").expect("a report");
        assert_eq!((report.have.config, state.versions().config), (8, 8));
    })
    .await;
}

/// An agent that has restarted knows less for a while: its older versions are ignored.
#[tokio::test]
async fn older_versions_of_a_restarted_agent_are_ignored() {
    with_agent(async |agent, state| {
        let (mut old, report) = accept(agent).await;
        write_frame(&mut old, &config(7)).await.expect("sent");
        let after: ProxyReport = read_frame(&mut old).await.expect("a report").expect("a report");
        assert_eq!(after.have.config, 7);
        drop(old);
        let (mut new, after) = accept(agent).await;
        assert_eq!((after.have.config, after.have.servers), (7, report.have.servers));
        // Sent by an agent that knows an older list.
        let position = TablePosition { epoch: 0, sequence: 9 };
        let servers = Some(ServerDelta { position, is_full: true, entries: Vec::new(), removed: Vec::new() });
        write_frame(&mut new, &FeedMessage::Update(Update { servers, ..Update::default() }))
            .await
            .expect("sent");
        let after: ProxyReport = read_frame(&mut new).await.expect("a report").expect("a report");
        assert_eq!(after.have.servers, report.have.servers);
        write_frame(&mut new, &config(6)).await.expect("sent");
        let after: ProxyReport = read_frame(&mut new).await.expect("a report").expect("a report");
        assert_eq!(after.have.config, 7);
        assert!(state.balancer.borrow().has_servers());
    })
    .await;
}

/// The same list again, on a new connection, changes nothing: connections to servers stay.
#[tokio::test]
async fn same_list_again_retains_the_servers() {
    with_agent(async |agent, state| {
        let (old, report) = accept(agent).await;
        let before: Vec<_> = state.balancer.borrow().server_keys().collect();
        drop(old);
        let (mut new, _) = accept(agent).await;
        let position = report.have.servers;
        let entries = vec![entry(agent.local_addr().expect("an address"))];
        let servers = Some(ServerDelta { position, is_full: true, entries, removed: Vec::new() });
        write_frame(&mut new, &FeedMessage::Update(Update { servers, ..Update::default() }))
            .await
            .expect("sent");
        let after: ProxyReport = read_frame(&mut new).await.expect("a report").expect("a report");
        assert_eq!(after.have.servers, position);
        assert_eq!(state.balancer.borrow().server_keys().collect::<Vec<_>>(), before);
    })
    .await;
}
