//! What a machine without a replica tells who asks it for control processes.

use crate::link::Link;
use crate::{ControlPlaneStatus, discovery};
use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn names_the_control_processes_and_is_out_of_touch() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let control_plane = ControlPlaneStatus::default();
    let serving = tokio::spawn(discovery::serve(listener, control_plane.clone()));
    let mut link = Link::open(address, None).await.expect("a link");
    let have = VersionVector { config: 7, ..VersionVector::default() };
    let named: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("an address")];
    for control in [Vec::new(), named] {
        control_plane.known.send_replace(control.clone());
        let (node, loads) = ("front-1".to_owned(), Vec::new());
        let request = AgentRequest::Pull { node, incarnation: 1, have, wait_ms: 500, loads };
        let reply = link.call(&request, LIMIT).await.expect("a reply");
        let update = Update { vector: have, ..Update::default() };
        assert_eq!(reply, ControlReply::Update { has_quorum: false, control, update });
    }
    serving.abort();
}

/// Control processes announce themselves to a seed that knows nobody yet.
#[tokio::test]
async fn names_whom_control_processes_have_announced() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let control_plane = ControlPlaneStatus::default();
    let serving = tokio::spawn(discovery::serve(listener, control_plane.clone()));
    let [one, two]: [SocketAddr; 2] =
        ["10.0.0.1:7721", "10.0.0.2:7721"].map(|text| text.parse().expect("an address"));
    for (announced, named) in [(vec![one], vec![one]), (vec![two], vec![two, one])] {
        let mut link = Link::open(address, None).await.expect("a link");
        let reply = link.call(&AgentRequest::Announce { control: announced }, LIMIT).await.expect("a reply");
        let update = Update::default();
        assert_eq!(reply, ControlReply::Update { has_quorum: false, control: named.clone(), update });
        assert_eq!(*control_plane.announced.borrow(), named);
    }
    serving.abort();
}
