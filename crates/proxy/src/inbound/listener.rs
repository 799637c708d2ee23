//! Lets clients in.

use crate::inbound::connection;
use crate::inbound::connections::ClientConnections;
use crate::state::ProxyState;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Lets clients in for as long as it is polled.
pub async fn listen(state: &Rc<ProxyState>, clients: &Rc<ClientConnections>, listener: &TcpListener) {
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                is_failing = false;
                clients.wait_for_capacity().await;
                admit(state, clients, stream);
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    spdlog::warn!("accept outcome=failed error={error}");
                }
                clients.evict_idlest();
                sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Serves whoever the system has accepted by now, also those that the runtime has not heard of.
pub fn admit_accepted(state: &Rc<ProxyState>, clients: &Rc<ClientConnections>, listener: TcpListener) {
    let Ok(listener) = listener.into_std() else { return };
    while clients.has_capacity()
        && let Ok((stream, _)) = listener.accept()
    {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            admit(state, clients, stream);
        }
    }
}

fn admit(state: &Rc<ProxyState>, clients: &Rc<ClientConnections>, stream: TcpStream) {
    drop(stream.set_nodelay(true));
    state.record_admission();
    let (number, slot) = clients.add();
    let (state, clients) = (state.clone(), clients.clone());
    tokio::task::spawn_local(async move {
        connection::serve(&state, stream, &slot).await;
        clients.remove(number);
    });
}
