//! Handles of KV caches that prefill servers hold for decode servers.

use crate::http::append_field;
use crate::outbound::{Connection, MAX_UNMATCHED_BYTES, discard_response};
use crate::state::ProxyState;
use crate::telemetry::metrics::increment;
use lugwharf_routing::{Phase, Selection};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

#[cfg(test)]
#[path = "kv_handle_tests.rs"]
mod kv_handle_tests;

/// The timeout of the request that frees a KV cache. After that, the KV cache is left to expire at the
/// prefill server.
const FREE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The handle of the KV cache of one request's prompt at its prefill server. The KV cache is never used for
/// another request. Dropping the handle without [`KvHandle::consume`] frees the KV cache in the background.
pub struct KvHandle {
    state: Rc<ProxyState>,
    server: Selection,
    id: String,
    is_consumed: bool,
}

impl KvHandle {
    /// Creates the handle with the given `id` of a KV cache at `server`.
    pub fn new(state: &Rc<ProxyState>, server: Selection, id: String) -> KvHandle {
        KvHandle { state: state.clone(), server, id, is_consumed: false }
    }

    /// Returns the value of `Kv-From`: `ADDRESS/ID`.
    pub fn source(&self) -> String {
        format!("{}/{}", self.server.address, self.id)
    }

    /// Returns the zone of the prefill server.
    pub fn zone(&self) -> &str {
        &self.server.zone
    }

    /// Records that a decode server has fetched the KV cache, so that it need not be freed.
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
            let confirmed = timeout(FREE_TIMEOUT, send_free_request(&state, &server, &id)).await;
            let is_freed = confirmed.is_ok_and(|confirmed| confirmed == Some(true));
            let metrics = &state.metrics;
            increment(if is_freed { &metrics.handles_freed } else { &metrics.handles_not_freed });
            let outcome = if is_freed { "freed" } else { "left" };
            spdlog::debug!("server={} handle={id} outcome={outcome}", server.id);
        });
    }
}

/// Sends `DELETE /kv-handle/ID` to the prefill server. Returns whether the server confirmed it, or `None` if
/// the request could not be sent or got no response.
///
/// The request has no id that its response could carry, and a late duplicate of the response to another
/// request may arrive in its place. Responses with an id are therefore skipped, and the connection is not
/// reused.
async fn send_free_request(state: &ProxyState, server: &Selection, id: &str) -> Option<bool> {
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
    connection.write(&encode_free_request(server, id)).await.ok()?;
    let mut remaining = MAX_UNMATCHED_BYTES;
    loop {
        let head = connection.read_head().await.ok()?;
        if !head.headers.has("request-id") {
            return Some(head.is_success());
        }
        discard_response(&mut connection, &head, &mut remaining).await.ok()?;
    }
}

/// Encodes the request that frees the KV cache with handle `id`.
fn encode_free_request(server: &Selection, id: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(160);
    out.extend_from_slice(b"DELETE /kv-handle/");
    out.extend_from_slice(id.as_bytes());
    out.extend_from_slice(b" HTTP/1.1\r\n");
    append_field(&mut out, "Host", server.address.to_string().as_bytes());
    append_field(&mut out, "Expect-Instance", server.id.as_bytes());
    out.extend_from_slice(b"\r\n");
    out
}
