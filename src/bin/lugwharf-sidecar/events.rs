//! The events that the other modules of the sidecar send to the driver, and the handle that sends them.

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
    /// The answer of an upstream.
    Served(ServedBody),
    /// The request did not run, or a retry is harmless.
    Rejected {
        /// The delay after which the client should try again.
        retry_after: Option<Duration>,
    },
    /// The request failed and may have run.
    Failed,
}

/// A client's request whose head and body have been read completely.
pub struct ClientRequest {
    pub forwarded: ForwardedRequest,
    /// Index into the settings' classes.
    pub class: usize,
    /// The work that the client expects the request to take.
    pub cost: Option<Duration>,
    pub origin: Origin,
    /// How long the client waits, counted from `received_at`.
    pub client_timeout: Duration,
    pub received_at: Instant,
}

/// A server list, or the changes to one, as discovery returned it.
pub struct ListUpdate {
    pub revision: u64,
    /// Whether `members` has all servers, rather than only those that changed.
    pub is_complete: bool,
    pub members: Vec<ListMember>,
}

/// A server on the list and its address.
pub struct ListMember {
    pub entry: ServerEntry,
    pub address: SocketAddr,
}

/// An input of the driver.
pub enum DriverEvent {
    /// A client's request arrived.
    Request { id: RequestId, request: Box<ClientRequest>, answer: oneshot::Sender<FinalAnswer> },
    /// A client disconnected before its answer.
    ClientDisconnected(RequestId),
    /// An attempt ended. The body is empty unless the outcome is [`Outcome::Ok`].
    AttemptEnded { id: RequestId, attempt: usize, outcome: Outcome, served: ServedBody },
    /// A probe ended.
    ProbeEnded { server: ServerId, outcome: Outcome, reported_load: Option<f64> },
    /// Discovery returned a list or changes to it.
    List(ListUpdate),
    /// A call to discovery failed, or a watch was interrupted; the contained event says which.
    ListFailed(ServerListEvent),
}

/// The handle by which other tasks send events to the driver and read its state.
#[derive(Clone)]
pub struct DriverHandle {
    events: mpsc::UnboundedSender<DriverEvent>,
    next_id: Arc<AtomicU32>,
    is_ready: Arc<AtomicBool>,
}

/// Reports that the client disconnected if the guard is dropped before the answer.
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
    /// Returns a handle, and the receiver that the driver reads.
    pub fn new() -> (DriverHandle, mpsc::UnboundedReceiver<DriverEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let (next_id, is_ready) = Default::default();
        (DriverHandle { events, next_id, is_ready }, receiver)
    }

    /// Sends an event to the driver. A closed channel is ignored: the driver ends only when the process does.
    pub fn send(&self, event: DriverEvent) {
        drop(self.events.send(event));
    }

    /// Sets whether there are upstreams that take requests.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether there are upstreams that take requests.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Submits a request to the driver and waits for its final answer. Dropping the future reports that the
    /// client has disconnected.
    pub async fn execute(&self, request: ClientRequest) -> FinalAnswer {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        self.send(DriverEvent::Request { id, request: Box::new(request), answer: sender });
        let guard = DisconnectGuard { driver: self, id };
        // The sender is dropped without an answer only if the driver has ended.
        let answer = answer.await.unwrap_or(FinalAnswer::Failed);
        std::mem::forget(guard);
        answer
    }
}
