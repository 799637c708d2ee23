//! Lets clients in.

use crate::client;
use crate::clients::Clients;
use crate::state::Shared;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Lets clients in for as long as it is polled.
pub async fn listen(shared: &Rc<Shared>, clients: &Rc<Clients>, listener: &TcpListener) {
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                is_failing = false;
                clients.make_room().await;
                admit(shared, clients, stream);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    spdlog::warn!("accept outcome=failed error={error}");
                }
                clients.evict();
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Serves whoever the system has accepted by now, also those that the runtime has not heard of.
pub fn admit_waiting(shared: &Rc<Shared>, clients: &Rc<Clients>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while clients.has_room()
        && let Ok((stream, _)) = listener.accept()
    {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(shared, clients, stream);
        }
    }
}

fn admit(shared: &Rc<Shared>, clients: &Rc<Clients>, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    shared.note_admitted();
    let (number, slot) = clients.add();
    let (shared, clients) = (shared.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        client::serve(&shared, stream, &slot).await;
        clients.remove(number);
    });
}
