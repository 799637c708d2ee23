//! The application's side: its connections, their requests to the driver and the answers back.

mod eviction;
mod shutdown;

use crate::client::{ClientConnection, ClientPhase, ClientStream};
use crate::config::Config;
use crate::connection::{MAX_BUFFER, MAX_HEADERS};
use crate::events::{ClientRequest, DriverHandle, FinalAnswer};
use crate::request::{self, Rejection};
use crate::upstream::{ForwardedRequest, MAX_BODY};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

pub use shutdown::shutdown_time;

/// The wait after an accept that failed, as when there are no descriptors left.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// A request has come to its end so long after its client connected, or, on a connection that has had an answer, after
/// its head. Who stops in the middle hears of it in 3 s as well; a body has this long at least.
const MAX_REQUEST_READ: Duration = Duration::from_millis(2_500);
const MIN_BODY_TIMEOUT: Duration = Duration::from_millis(400);
/// Clients may hold a third of all descriptors for requests. Of this third, this part stays free for new connections,
/// since whoever finds none left can't even ask.
const FREE_SHARE: usize = 4;

/// Shared by all connections of the application.
pub struct Server {
    config: Arc<Config>,
    driver: DriverHandle,
    draining: AtomicBool,
    max_connections: usize,
    /// Of these connections, those that have carried a request.
    max_used_connections: usize,
    clients: Mutex<BTreeMap<u64, Arc<ClientConnection>>>,
    /// Told when a connection has ended or is between requests.
    capacity_freed: Notify,
    accepted: Mutex<Instant>,
    /// Told when no more connections are to be accepted.
    stop_accepting: Notify,
    /// The ids of requests that are still open.
    open_ids: Mutex<HashSet<HeaderValue>>,
}

/// Gives an id back, however its request ends.
struct OpenId<'a>(&'a Server, HeaderValue);

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        lock(&self.0.open_ids).remove(&self.1);
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Server {
    pub fn new(config: Arc<Config>, driver: DriverHandle, most: usize, share: usize) -> Arc<Server> {
        let max_used_connections = share - share / FREE_SHARE;
        let (draining, clients, capacity_freed, stop_accepting, open_ids) = Default::default();
        let accepted = Mutex::new(Instant::now());
        Arc::new(Server {
            config,
            driver,
            draining,
            max_connections: most,
            max_used_connections,
            clients,
            capacity_freed,
            accepted,
            stop_accepting,
            open_ids,
        })
    }

    /// Lets connections in until the last call; then whoever the system has accepted by that time.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        let (mut number, mut pending) = (0, None);
        tokio::select! {
            () = self.accept_until_cancelled(&listener, &mut number, &mut pending) => {}
            () = self.stop_accepting.notified() => {}
        }
        pending.into_iter().for_each(|stream| self.serve_connection(stream, &mut number));
        // Asks the system itself: the runtime may not have heard of the last ones.
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            if stream.set_nonblocking(true).is_ok()
                && let Ok(stream) = TcpStream::from_std(stream)
            {
                self.serve_connection(stream, &mut number);
            }
        }
    }

    /// One that has to wait for room is `pending` meanwhile.
    async fn accept_until_cancelled(
        self: &Arc<Self>, listener: &TcpListener, number: &mut u64, pending: &mut Option<TcpStream>,
    ) {
        let mut failing = false;
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    failing = false;
                    *lock(&self.accepted) = Instant::now();
                    *pending = Some(stream);
                    self.make_room().await;
                    pending.take().into_iter().for_each(|stream| self.serve_connection(stream, number));
                }
                Err(error) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("accept: {error}");
                    }
                    self.evict(|_| true);
                    sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            }
        }
    }

    fn serve_connection(self: &Arc<Self>, stream: TcpStream, number: &mut u64) {
        // Without it answers are merely slower.
        drop(stream.set_nodelay(true));
        *number += 1;
        let (server, client, number) = (self.clone(), ClientConnection::new(stream), *number);
        lock(&self.clients).insert(number, client.clone());
        tokio::spawn(async move {
            server.serve(client).await;
            lock(&server.clients).remove(&number);
            server.capacity_freed.notify_one();
        });
    }

    async fn serve(self: &Arc<Self>, client: Arc<ClientConnection>) {
        let service = service_fn(|request| {
            let (server, client) = (self.clone(), client.clone());
            async move {
                let since = client.start_reading_body();
                server.evict_idle_over_limit();
                let response = server.respond(request, &client, since).await;
                client.start_writing_answer();
                Ok::<_, Infallible>(response)
            }
        });
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER).max_headers(MAX_HEADERS);
        let connection = http.serve_connection(TokioIo::new(ClientStream(client.clone())), service);
        tokio::pin!(connection);
        loop {
            tokio::select! {
                // First HTTP, so that what it has read by now counts for all others.
                biased;
                // Whatever ends it, whoever waited on it has left.
                _ = connection.as_mut() => return,
                () = client.disconnected() => return,
                () = client.answer_written() => {
                    self.evict_idle_over_limit();
                    self.capacity_freed.notify_one();
                }
                () = client.close_requested() => match client.phase() {
                    _ if client.may_close() => return,
                    // Guards against one that doesn't read its answer.
                    (ClientPhase::WritingAnswer, age) if age >= self.max_unread_time() => return,
                    (ClientPhase::WritingAnswer, _) => connection.as_mut().graceful_shutdown(),
                    // Its answer will say that it is the last; a request that is coming in is served.
                    _ => {}
                }
            }
        }
    }

    async fn respond(
        &self, request: Request<Incoming>, client: &ClientConnection, since: Instant,
    ) -> Response<Full<Bytes>> {
        let (mut response, close) = match request.uri().path() {
            "/health/ready" => {
                let ready = self.driver.is_ready() && !self.draining.load(Ordering::Relaxed);
                (
                    plain_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, ""),
                    false,
                )
            }
            _ => match self.handle_request(request, client, since).await {
                Ok(answer) => (to_response(answer), false),
                Err((status, why)) => (plain_response(status, why), true),
            },
        };
        // Nothing more is read where something was wrong.
        if close || client.is_closing() || self.draining.load(Ordering::Relaxed) {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Guards against requests that can't be read: they are answered as failed, and go nowhere.
    async fn handle_request(
        &self, request: Request<Incoming>, client: &ClientConnection, begun: Instant,
    ) -> Result<FinalAnswer, Rejection> {
        let since = Instant::now();
        let (head, body) = request.into_parts();
        let terms = request::terms(&head, &self.config)?;
        let patience =
            MAX_REQUEST_READ.saturating_sub(begun.elapsed()).max(MIN_BODY_TIMEOUT).min(terms.budget);
        let body = timeout(patience, Limited::new(body, MAX_BODY).collect()).await;
        let body = body.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "a body that does not end"))?;
        let body = body.map_err(|_| (StatusCode::BAD_REQUEST, "a broken body"))?.to_bytes();
        // Guards against the id of a request that is still open: an upstream may take one for the other.
        if !lock(&self.open_ids).insert(terms.id.clone()) {
            return Err((StatusCode::CONFLICT, "the id of an open request"));
        }
        let _open = OpenId(self, terms.id);
        let headers = request::forwarded_headers(head.headers);
        let outbound = ForwardedRequest { method: head.method, uri: head.uri, headers, body };
        client.start_awaiting_answer();
        let (class, cost, origin, budget) = (terms.class, terms.cost, terms.origin, terms.budget);
        Ok(self.driver.execute(ClientRequest { outbound, class, cost, origin, budget, since }).await)
    }
}

fn plain_response(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// The final answer in HTTP.
fn to_response(answer: FinalAnswer) -> Response<Full<Bytes>> {
    match answer {
        FinalAnswer::Served(body, content_type) => {
            let mut response = Response::new(Full::new(body));
            response.headers_mut().extend(content_type.map(|value| (CONTENT_TYPE, value)));
            response
        }
        FinalAnswer::Failed => plain_response(StatusCode::BAD_GATEWAY, "failed"),
        FinalAnswer::Rejected(retry_after) => {
            let mut response = plain_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let text = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            let value = text.and_then(|text| HeaderValue::from_str(&text).ok());
            response.headers_mut().extend(value.map(|value| (RETRY_AFTER, value)));
            response
        }
    }
}

#[cfg(test)]
#[path = "server_tests.rs"]
mod tests;
