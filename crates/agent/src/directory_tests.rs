//! What a machine without a replica tells who asks it for control processes.

use crate::directory;
use crate::link::Link;
use lugwharf_protocol::{AgentRequest, ControlReply, Update, VersionVector};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LIMIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn names_the_control_processes_and_is_out_of_touch() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (known, control) = watch::channel(Vec::new());
    let serving = tokio::spawn(directory::serve(listener, control));
    let mut link = Link::open(address, None).await.expect("a link");
    let have = VersionVector { config: 7, ..VersionVector::default() };
    let named: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("an address")];
    for control in [Vec::new(), named] {
        known.send_replace(control.clone());
        let (node, loads) = ("front-1".to_owned(), Vec::new());
        let request = AgentRequest::Pull { node, incarnation: 1, have, wait_ms: 500, loads };
        let reply = link.call(&request, LIMIT).await.expect("a reply");
        let update = Update { vector: have, ..Update::default() };
        assert_eq!(reply, ControlReply::Update { in_touch: false, control, update });
    }
    serving.abort();
}
