//! A replica that hears nobody asks its seeds, and calls on whom they name.

use crate::command::Command;
use crate::seed_lookup::{self, Asker};
use lugwharf_protocol::{AgentRequest, ControlReply, Update, read_frame, write_frame};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

#[tokio::test]
async fn tells_the_owner_whom_a_seed_names_and_passes_over_one_that_is_gone() {
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let gone_address = gone.local_addr().expect("an address");
    drop(gone);
    let seed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let seed_address = seed.local_addr().expect("an address");
    let named: Vec<SocketAddr> = vec!["10.0.0.1:7721".parse().expect("an address")];
    let control = named.clone();
    tokio::spawn(async move {
        let (mut stream, _) = seed.accept().await.expect("a link");
        let request = read_frame::<AgentRequest>(&mut stream).await.expect("a frame");
        let Some(AgentRequest::Pull { node, .. }) = request else { panic!("no request") };
        assert_eq!(node, "front-1");
        let reply = ControlReply::Update { in_touch: false, control, update: Update::default() };
        write_frame(&mut stream, &reply).await.expect("a write");
    });
    let (commands, mut queue) = mpsc::channel(4);
    tokio::spawn(seed_lookup::run(Asker { node: "front-1".to_owned(), source: None }, commands));
    let Some(Command::SeedsToAsk { reply }) = queue.recv().await else { panic!("no question") };
    reply.send(vec![gone_address, seed_address]).expect("an asker");
    let Some(Command::Named { addresses }) = queue.recv().await else { panic!("nobody named") };
    assert_eq!(addresses, named);
}
