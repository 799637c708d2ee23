//! The memory of a prompt that a prefill server holds for one request. It is never given to another request, and freed at once
//! if nobody takes it.

#[cfg(test)]
#[path = "kv_handle_tests.rs"]
mod kv_handle_tests;

use crate::http::field;
use crate::outbound::{Connection, MAX_STRAY_BYTES, discard_response};
use crate::state::ProxyState;
use crate::telemetry::metrics::increment;
use lugwharf_routing::{Phase, Selection};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Freeing a handle may take so long; then it lapses by itself.
const FREE_WITHIN: Duration = Duration::from_millis(1_500);

/// A handle that nobody has accepted yet.
pub struct KvHandle {
    state: Rc<ProxyState>,
    server: Selection,
    id: String,
    is_taken: bool,
}

impl KvHandle {
    /// `server` holds the memory.
    pub fn new(state: &Rc<ProxyState>, server: Selection, id: String) -> KvHandle {
        KvHandle { state: state.clone(), server, id, is_taken: false }
    }

    /// What `Kv-From` says.
    pub fn source(&self) -> String {
        format!("{}/{}", self.server.address, self.id)
    }

    /// The zone of its server.
    pub fn zone(&self) -> &str {
        &self.server.zone
    }

    /// A decode server has accepted it.
    pub fn accepted(mut self) {
        self.is_taken = true;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (state, server, id) = (self.state.clone(), self.server.clone(), std::mem::take(&mut self.id));
        tokio::task::spawn_local(async move {
            let freed = timeout(FREE_WITHIN, free(&state, &server, &id)).await;
            let is_freed = freed.is_ok_and(|freed| freed == Some(true));
            let metrics = &state.metrics;
            increment(if is_freed { &metrics.handles_freed } else { &metrics.handles_left });
            let outcome = if is_freed { "freed" } else { "left" };
            spdlog::debug!("server={} handle={id} outcome={outcome}", server.id);
        });
    }
}

/// `DELETE /kv-handle/ID` at the server that holds it; whether it was done. The call has no id that its answer could bear, so its
/// connection carries nothing more: a late copy of another call's answer may have come in place of its own.
async fn free(state: &ProxyState, server: &Selection, id: &str) -> Option<bool> {
    if !state.balancer.borrow().is_eligible(state.now(), server.key, Phase::Prefill) {
        return None;
    }
    let mut connection = match state.pool.take(server.key, true, &[]) {
        Some(connection) => connection,
        None => {
            let proxies = state.balancer.borrow().proxy_count();
            let open = state.pool.try_reserve(server.key, None, proxies)?;
            Connection::open(server.address, open).await.ok()?
        }
    };
    connection.write(&request(server, id)).await.ok()?;
    let mut room = MAX_STRAY_BYTES;
    loop {
        let head = connection.read_head().await.ok()?;
        if !head.headers.has("request-id") {
            return Some(head.is_success());
        }
        discard_response(&mut connection, &head, &mut room).await.ok()?;
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
