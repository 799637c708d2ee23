//! Tests that a replica announces control processes to seeds that run none, and uses the processes in their
//! replies.

use crate::announcement;
use crate::command::Command;
use crate::message::Announcement;
use lugwharf_protocol::{AgentRequest, ControlReply, Update, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

#[tokio::test]
async fn processes_named_by_a_seed_reach_the_controller_and_a_dead_seed_is_skipped() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let closed_address = closed.local_addr().expect("cannot read the address of the listener");
    drop(closed);
    let seed = TcpListener::bind("127.0.0.1:0").await.expect("cannot bind a listener");
    let seed_address = seed.local_addr().expect("cannot read the address of the listener");
    let announced: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("cannot parse the address")];
    let control = announced.clone();
    tokio::spawn(async move {
        let (mut stream, _) = seed.accept().await.expect("cannot accept a connection");
        let request = read_frame::<AgentRequest>(&mut stream).await.expect("cannot read the request");
        let own = "10.0.0.2:7721".parse().expect("cannot parse the address");
        assert_eq!(request, Some(AgentRequest::Announce { control: vec![own] }));
        let reply = ControlReply::Update { has_quorum: false, control, update: Update::default() };
        write_frame(&mut stream, &reply).await.expect("cannot write the reply");
    });
    let (commands, mut queue) = mpsc::channel(4);
    tokio::spawn(announcement::run(None, commands));
    let Some(Command::GetAnnouncement { reply }) = queue.recv().await else {
        panic!("no GetAnnouncement command was sent")
    };
    let control = vec!["10.0.0.2:7721".parse().expect("cannot parse the address")];
    let sent = reply.send(Announcement { seeds: vec![closed_address, seed_address], control });
    assert!(sent.is_ok(), "the requester waits for the reply");
    let Some(Command::PeersAnnounced { addresses }) = queue.recv().await else {
        panic!("no PeersAnnounced command was sent")
    };
    assert_eq!(addresses, announced);
}
