//! The memory of a prompt that a prefill server holds for one request. It is never given to another request, and freed at once
//! if nobody takes it.

#[cfg(test)]
#[path = "handle_tests.rs"]
mod handle_tests;

use crate::figures::increment;
use crate::state::Shared;
use crate::upstream::{Connection, MOST_SURPLUS, read_over};
use crate::wire::field;
use lugwharf_routing::{Phase, Selection};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Freeing a handle may take so long; then it lapses by itself.
const FREE_WITHIN: Duration = Duration::from_millis(1_500);

/// A handle that nobody has taken yet.
pub struct Handle {
    shared: Rc<Shared>,
    server: Selection,
    id: String,
    is_taken: bool,
}

impl Handle {
    /// `server` holds the memory.
    pub fn new(shared: &Rc<Shared>, server: Selection, id: String) -> Handle {
        Handle { shared: shared.clone(), server, id, is_taken: false }
    }

    /// What `Kv-From` says.
    pub fn source(&self) -> String {
        format!("{}/{}", self.server.address, self.id)
    }

    /// The zone of its server.
    pub fn zone(&self) -> &str {
        &self.server.zone
    }

    /// A decode server has taken it.
    pub fn taken(mut self) {
        self.is_taken = true;
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (shared, server, id) = (self.shared.clone(), self.server.clone(), std::mem::take(&mut self.id));
        tokio::task::spawn_local(async move {
            let freed = timeout(FREE_WITHIN, free(&shared, &server, &id)).await;
            let is_freed = freed.is_ok_and(|freed| freed == Some(true));
            let figures = &shared.figures;
            increment(if is_freed { &figures.handles_freed } else { &figures.handles_left });
            let outcome = if is_freed { "freed" } else { "left" };
            spdlog::debug!("server={} handle={id} outcome={outcome}", server.id);
        });
    }
}

/// `DELETE /kv-handle/ID` at the server that holds it; whether it was done. The call has no id that its answer could bear, so its
/// connection carries nothing more: a late copy of another call's answer may have come in place of its own.
async fn free(shared: &Shared, server: &Selection, id: &str) -> Option<bool> {
    if !shared.balancer.borrow().is_eligible(shared.now(), server.key, Phase::Prefill) {
        return None;
    }
    let mut connection = match shared.pool.take(server.key, true, &[]) {
        Some(connection) => connection,
        None => {
            let proxies = shared.balancer.borrow().proxy_count();
            let open = shared.pool.open_count(server.key, None, proxies)?;
            Connection::open(server.address, open).await.ok()?
        }
    };
    connection.write(&request(server, id)).await.ok()?;
    let mut room = MOST_SURPLUS;
    loop {
        let head = connection.read_head().await.ok()?;
        if !head.headers.has("request-id") {
            return Some(head.is_success());
        }
        read_over(&mut connection, &head, &mut room).await.ok()?;
    }
}

fn request(server: &Selection, id: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(160);
    out.extend_from_slice(b"DELETE /kv-handle/");
    out.extend_from_slice(id.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    field(&mut out, "Host", server.address.to_string().as_bytes());
    field(&mut out, "Expect-Instance", server.id.as_bytes());
    out.extend_from_slice(b"\r\n");
    out
}
