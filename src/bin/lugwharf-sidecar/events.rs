//! What the parts of the sidecar report to the driver, and the handle that they do it by.

use crate::upstream::{ForwardedRequest, ServedBody};
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
    /// An upstream's answer.
    Served(ServedBody),
    /// Nothing ran, or a retry is harmless.
    Rejected {
        /// When the client should try again.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Failed,
}

/// A client's request, read completely.
pub struct ClientRequest {
    pub forwarded: ForwardedRequest,
    /// Index into the settings' classes.
    pub class: usize,
    /// The work that the client expects it to be.
    pub cost: Option<Duration>,
    pub origin: Origin,
    /// How long the client waits from `received_at` on.
    pub client_timeout: Duration,
    pub received_at: Instant,
}

/// One answer of discovery.
pub struct ListUpdate {
    pub revision: u64,
    /// Whether it has all servers, or only those that changed.
    pub is_complete: bool,
    pub members: Vec<ListMember>,
}

/// A server of the list and its address.
pub struct ListMember {
    pub entry: ServerEntry,
    pub address: SocketAddr,
}

/// An input of the driver.
pub enum DriverEvent {
    /// A client's request arrived.
    Request { id: RequestId, request: Box<ClientRequest>, answer: oneshot::Sender<FinalAnswer> },
    /// A client left before its answer.
    ClientDisconnected(RequestId),
    /// An attempt ended. The body is empty unless the outcome is [`Outcome::Ok`].
    AttemptEnded { id: RequestId, attempt: usize, outcome: Outcome, served: ServedBody },
    /// A probe ended.
    ProbeEnded { server: ServerId, outcome: Outcome, reported_load: Option<f64> },
    /// Discovery answered.
    List(ListUpdate),
    /// A call to discovery failed, or a watch was interrupted; the event says which.
    ListFailed(ServerListEvent),
}

/// How the other parts reach the driver.
#[derive(Clone)]
pub struct DriverHandle {
    events: mpsc::UnboundedSender<DriverEvent>,
    next_id: Arc<AtomicU32>,
    is_ready: Arc<AtomicBool>,
}

/// Reports that the client has left if it is dropped before the answer.
struct DisconnectGuard<'a> {
    driver: &'a DriverHandle,
    id: RequestId,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        self.driver.send(DriverEvent::ClientDisconnected(self.id));
    }
}

impl DriverHandle {
    /// A handle, and the receiver that the driver reads.
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let (next_id, is_ready) = Default::default();
        (DriverHandle { events, next_id, is_ready }, receiver)
    }

    /// Reports an event. A closed channel is fine: the driver ends only when the process does.
    pub fn send(&self, event: DriverEvent) {
        drop(self.events.send(event));
    }

    /// Sets whether there are upstreams to send to.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether there are upstreams to send to.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Has a request executed and waits for its final answer. Dropping the future means that the client has left.
    pub async fn execute(&self, request: ClientRequest) -> FinalAnswer {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        self.send(DriverEvent::Request { id, request: Box::new(request), answer: sender });
        let guard = DisconnectGuard { driver: self, id };
        // Without an answer the driver is gone.
        let answer = answer.await.unwrap_or(FinalAnswer::Failed);
        std::mem::forget(guard);
        answer
    }
}
