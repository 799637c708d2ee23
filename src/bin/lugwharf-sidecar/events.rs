//! What the parts of the sidecar tell the driver, and the handle by which they do.

use crate::upstream::{ForwardedRequest, ServedBody};
use bytes::Bytes;
use hyper::header::HeaderValue;
use lugwharf_sidecar::api::{Origin, Outcome, RequestId, ServerEntry, ServerId, ServerListEvent};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// The final answer to a client.
#[derive(Debug)]
pub enum FinalAnswer {
    Served(Bytes, Option<HeaderValue>),
    Rejected(Option<Duration>),
    Failed,
}

/// A client's request, read to its end.
pub struct ClientRequest {
    pub outbound: ForwardedRequest,
    pub class: usize,
    pub cost: Option<Duration>,
    pub origin: Origin,
    /// How long the client waits, and when that began as far as can be told.
    pub budget: Duration,
    pub since: Instant,
}

/// One answer of discovery.
pub struct ListUpdate {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<(ServerEntry, SocketAddr)>,
}

/// What the driver is told.
pub enum DriverEvent {
    Request(RequestId, Box<ClientRequest>, oneshot::Sender<FinalAnswer>),
    ClientDisconnected(RequestId),
    Attempt(RequestId, usize, Outcome, ServedBody),
    Probed(ServerId, Outcome, Option<f64>),
    List(ListUpdate),
    /// How the watch ended: it broke, or a call failed.
    ListFailed(ServerListEvent),
}

/// How the other parts tell the driver what happens.
#[derive(Clone)]
pub struct DriverHandle {
    to: mpsc::UnboundedSender<DriverEvent>,
    next_id: Arc<AtomicU32>,
    ready: Arc<AtomicBool>,
}

/// Tells that the client has left if it goes before its answer.
struct DisconnectGuard<'a>(&'a DriverHandle, RequestId);

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.0.send(DriverEvent::ClientDisconnected(self.1));
    }
}

impl DriverHandle {
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverEvent>) {
        let (to, from) = mpsc::unbounded_channel();
        let (next_id, ready) = Default::default();
        (DriverHandle { to, next_id, ready }, from)
    }

    pub fn send(&self, event: DriverEvent) {
        // Without a driver the process is about to end.
        drop(self.to.send(event));
    }

    /// Tells whether there are upstreams to send to.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Are there upstreams to send to?
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Hands a request over and waits for its final answer.
    pub async fn execute(&self, inbound: ClientRequest) -> FinalAnswer {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (to, answer) = oneshot::channel();
        self.send(DriverEvent::Request(id, Box::new(inbound), to));
        let waiting = DisconnectGuard(self, id);
        let answer = answer.await.unwrap_or(FinalAnswer::Failed);
        std::mem::forget(waiting);
        answer
    }
}
