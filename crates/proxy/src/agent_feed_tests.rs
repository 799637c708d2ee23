//! The agent feed across reconnects: bytes received on one connection are never combined with those of the
//! next.

use crate::agent_feed::run;
use crate::outbound::fixtures::{server_entry, start_listener, state_with_server};
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

/// Accepts the proxy's next connection and reads its first report.
async fn accept(agent: &TcpListener) -> (TcpStream, ProxyReport) {
    let mut connection = agent.accept().await.expect("the proxy connects to the agent").0;
    let report =
        read_frame(&mut connection).await.expect("the frame is valid").expect("the proxy sends a report");
    (connection, report)
}

async fn with_agent(body: impl AsyncFnOnce(&TcpListener, &Rc<ProxyState>)) {
    let agent = start_listener().await;
    let address = agent.local_addr().expect("the listener has a local address");
    let state = state_with_server(address);
    let local = LocalSet::new();
    local.spawn_local(run(state.clone(), address));
    local.run_until(body(&agent, &state)).await;
}

/// A message that is truncated by the end of its connection is discarded, not completed with bytes of the
/// next connection.
#[rstest]
#[case::in_the_length(2)]
#[case::in_the_body(20)]
#[case::all_but_the_last_byte(usize::MAX)]
#[tokio::test]
async fn partial_message_is_discarded_with_its_connection(#[case] end: usize) {
    with_agent(async |agent, state| {
        let (mut old, report) = accept(agent).await;
        assert_eq!(report.have.config, 0);
        let bytes = encode(&config(7)).expect("the message can be encoded");
        let end = end.min(bytes.len() - 1);
        old.write_all(&bytes[..end]).await.expect("the bytes are written");
        drop(old);
        let (mut new, report) = accept(agent).await;
        assert_eq!(report.have.config, 0, "no part of the partial message was applied");
        write_frame(&mut new, &config(8)).await.expect("the bytes are written");
        let report: ProxyReport =
            read_frame(&mut new).await.expect("the frame is valid").expect("the proxy sends a report");
        assert_eq!((report.have.config, state.versions().config), (8, 8));
    })
    .await;
}

/// A restarted agent may hold older versions for a while. The proxy ignores them.
#[tokio::test]
async fn older_versions_of_a_restarted_agent_are_ignored() {
    with_agent(async |agent, state| {
        let (mut old, report) = accept(agent).await;
        write_frame(&mut old, &config(7)).await.expect("the bytes are written");
        let after: ProxyReport =
            read_frame(&mut old).await.expect("the frame is valid").expect("the proxy sends a report");
        assert_eq!(after.have.config, 7);
        drop(old);
        let (mut new, after) = accept(agent).await;
        assert_eq!((after.have.config, after.have.servers), (7, report.have.servers));
        // The agent holds an older endpoint list.
        let position = TablePosition { epoch: 0, sequence: 9 };
        let servers = Some(ServerDelta {
            position,
            is_full: true,
            base: None,
            entries: Vec::new(),
            removed: Vec::new(),
        });
        write_frame(&mut new, &FeedMessage::Update(Update { servers, ..Update::default() }))
            .await
            .expect("the bytes are written");
        let after: ProxyReport =
            read_frame(&mut new).await.expect("the frame is valid").expect("the proxy sends a report");
        assert_eq!(after.have.servers, report.have.servers);
        write_frame(&mut new, &config(6)).await.expect("the bytes are written");
        let after: ProxyReport =
            read_frame(&mut new).await.expect("the frame is valid").expect("the proxy sends a report");
        assert_eq!(after.have.config, 7);
        assert!(state.balancer.borrow().has_servers());
    })
    .await;
}

/// The same endpoint list received again on a new connection leaves the servers, and so the connections to
/// them, unchanged.
#[tokio::test]
async fn repeated_endpoint_list_keeps_the_servers() {
    with_agent(async |agent, state| {
        let (old, report) = accept(agent).await;
        let before: Vec<_> = state.balancer.borrow().server_keys().collect();
        drop(old);
        let (mut new, _) = accept(agent).await;
        let position = report.have.servers;
        let entries = vec![server_entry(agent.local_addr().expect("the listener has a local address"))];
        let servers = Some(ServerDelta { position, is_full: true, base: None, entries, removed: Vec::new() });
        write_frame(&mut new, &FeedMessage::Update(Update { servers, ..Update::default() }))
            .await
            .expect("the bytes are written");
        let after: ProxyReport =
            read_frame(&mut new).await.expect("the frame is valid").expect("the proxy sends a report");
        assert_eq!(after.have.servers, position);
        assert_eq!(state.balancer.borrow().server_keys().collect::<Vec<_>>(), before);
    })
    .await;
}

/// Guards against a configuration that the proxy can't read and that is logged each time the agent sends it.
#[tokio::test]
async fn unreadable_configuration_is_counted_and_leaves_the_one_in_force() {
    with_agent(async |agent, state| {
        let (mut agent, _) = accept(agent).await;
        write_frame(&mut agent, &config(7)).await.expect("the bytes are written");
        let unreadable = Some(ConfigRecord { version: 8, bytes: b"{".to_vec() });
        let update = FeedMessage::Update(Update { config: unreadable, ..Update::default() });
        for count in 0..3 {
            let report: ProxyReport =
                read_frame(&mut agent).await.expect("the frame is valid").expect("the proxy sends a report");
            assert_eq!((report.have.config, state.metrics.unreadable_configs.get()), (7, count));
            write_frame(&mut agent, &update).await.expect("the bytes are written");
        }
    })
    .await;
}
