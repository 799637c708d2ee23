//! Handles of KV caches that wait at prefill servers.

use crate::http::field;
use crate::outbound::{Connection, MAX_STRAY_BYTES, discard_response};
use crate::state::ProxyState;
use crate::telemetry::metrics::increment;
use lugwharf_routing::{Phase, Selection};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

#[cfg(test)]
#[path = "kv_handle_tests.rs"]
mod kv_handle_tests;

/// How long the call that frees a handle may take. After that the handle expires by itself at the server.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The KV cache of one request's prompt at its prefill server. It is never used for another request; dropping the handle without
/// [`KvHandle::consume`] frees the KV cache in the background.
pub struct KvHandle {
    state: Rc<ProxyState>,
    server: Selection,
    id: String,
    is_consumed: bool,
}

impl KvHandle {
    /// The handle `id` of a KV cache at `server`.
    pub fn new(state: &Rc<ProxyState>, server: Selection, id: String) -> KvHandle {
        KvHandle { state: state.clone(), server, id, is_consumed: false }
    }

    /// The value of `Kv-From`: `ADDRESS/ID`.
    pub fn source(&self) -> String {
        format!("{}/{}", self.server.address, self.id)
    }

    /// The zone of the prefill server.
    pub fn zone(&self) -> &str {
        &self.server.zone
    }

    /// A decode server has fetched the KV cache.
    pub fn consume(mut self) {
        self.is_consumed = true;
    }
}

impl Drop for KvHandle {
    fn drop(&mut self) {
        if self.is_consumed {
            return;
        }
        let (state, server, id) = (self.state.clone(), self.server.clone(), std::mem::take(&mut self.id));
        tokio::task::spawn_local(async move {
            let freed = timeout(FREE_TIMEOUT, free(&state, &server, &id)).await;
            let is_freed = freed.is_ok_and(|freed| freed == Some(true));
            let metrics = &state.metrics;
            increment(if is_freed { &metrics.handles_freed } else { &metrics.handles_left });
            let outcome = if is_freed { "freed" } else { "left" };
            spdlog::debug!("server={} handle={id} outcome={outcome}", server.id);
        });
    }
}

/// Calls `DELETE /kv-handle/ID` at the prefill server; returns whether the server confirmed it.
///
/// The call has no id that its response could carry: a late copy of another request's response may come in place of its own. So
/// the connection is not reused.
async fn free(state: &ProxyState, server: &Selection, id: &str) -> Option<bool> {
    if !state.balancer.borrow().is_eligible(state.now(), server.key, Phase::Prefill) {
        return None;
    }
    let mut connection = match state.pool.checkout(server.key, true, &[]) {
        Some(connection) => connection,
        None => {
            let proxies = state.balancer.borrow().proxy_count();
            let permit = state.pool.try_reserve(server.key, None, proxies)?;
            Connection::open(server.address, permit).await.ok()?
        }
    };
    connection.write(&request(server, id)).await.ok()?;
    let mut remaining = MAX_STRAY_BYTES;
    loop {
        let head = connection.read_head().await.ok()?;
        if !head.headers.has("request-id") {
            return Some(head.is_success());
        }
        discard_response(&mut connection, &head, &mut remaining).await.ok()?;
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
