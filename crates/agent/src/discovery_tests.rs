//! Tests of the replies of a machine without a replica.

use crate::control_connection::ControlConnection;
use crate::{ControlPlaneStatus, discovery};
use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn replies_with_the_known_control_processes_and_without_a_quorum() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let control_plane = ControlPlaneStatus::default();
    let serving = tokio::spawn(discovery::serve(listener, control_plane.clone()));
    let mut connection =
        ControlConnection::open(address, None).await.expect("cannot connect to the listener");
    let have = VersionVector { config: 7, ..VersionVector::default() };
    let known: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("cannot parse the address")];
    for control in [Vec::new(), known] {
        control_plane.known.send_replace(control.clone());
        let (node, loads) = ("front-1".to_owned(), Vec::new());
        let request = AgentRequest::Pull { node, incarnation: 1, have, wait_ms: 500, loads };
        let reply = connection.call(&request, TIMEOUT).await.expect("the call failed");
        let update = Update { vector: have, ..Update::default() };
        assert_eq!(reply, ControlReply::Update { has_quorum: false, control, update });
    }
    serving.abort();
}

/// Control processes announce themselves to a seed that knows none yet.
#[tokio::test]
async fn replies_with_announced_control_processes_newest_first() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let address = listener.local_addr().expect("cannot read the address of the listener");
    let control_plane = ControlPlaneStatus::default();
    let serving = tokio::spawn(discovery::serve(listener, control_plane.clone()));
    let [one, two]: [SocketAddr; 2] =
        ["10.0.0.1:7721", "10.0.0.2:7721"].map(|text| text.parse().expect("cannot parse the address"));
    for (announced, replied) in [(vec![one], vec![one]), (vec![two], vec![two, one])] {
        let mut connection =
            ControlConnection::open(address, None).await.expect("cannot connect to the listener");
        let reply = connection
            .call(&AgentRequest::Announce { control: announced }, TIMEOUT)
            .await
            .expect("the call failed");
        let update = Update::default();
        assert_eq!(reply, ControlReply::Update { has_quorum: false, control: replied.clone(), update });
        assert_eq!(*control_plane.announced.borrow(), replied);
    }
    serving.abort();
}
