//! A replica announces the control processes to seeds that run none, and learns whom they know.

use crate::announcement;
use crate::command::Command;
use crate::message::Announcement;
use lugwharf_protocol::{AgentRequest, ControlReply, Update, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

#[tokio::test]
async fn processes_named_by_a_seed_reach_the_controller_and_a_dead_seed_is_skipped() {
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let gone_address = gone.local_addr().expect("an address");
    drop(gone);
    let seed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let seed_address = seed.local_addr().expect("an address");
    let announced: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("an address")];
    let control = announced.clone();
    tokio::spawn(async move {
        let (mut stream, _) = seed.accept().await.expect("a link");
        let request = read_frame::<AgentRequest>(&mut stream).await.expect("a frame");
        let own = "10.0.0.2:7721".parse().expect("an address");
        assert_eq!(request, Some(AgentRequest::Announce { control: vec![own] }));
        let reply = ControlReply::Update { has_quorum: false, control, update: Update::default() };
        write_frame(&mut stream, &reply).await.expect("a write");
    });
    let (commands, mut queue) = mpsc::channel(4);
    tokio::spawn(announcement::run(None, commands));
    let Some(Command::GetAnnouncement { reply }) = queue.recv().await else { panic!("no question") };
    let control = vec!["10.0.0.2:7721".parse().expect("an address")];
    let sent = reply.send(Announcement { seeds: vec![gone_address, seed_address], control });
    assert!(sent.is_ok(), "somebody asks");
    let Some(Command::PeersAnnounced { addresses }) = queue.recv().await else { panic!("nobody announced") };
    assert_eq!(addresses, announced);
}
