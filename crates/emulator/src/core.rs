//! What a server core takes and gives: a state machine without I/O, `(event, now) -> actions`.

use crate::names;
use crate::stamp::{ExpectedBody, Stamp};
use crate::wire::{Headers, Request, Response};
use std::net::SocketAddr;
use std::time::Duration;

/// Names one request inside one driver; numbers are not used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A whole request as a core sees it.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The headers.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
    /// [`crate::content::hash_all`] of method, target and body.
    pub content: u64,
}

impl From<Request> for ServerRequest {
    fn from(request: Request) -> Self {
        let segments = [request.method.as_bytes(), request.target.as_bytes(), &request.body];
        let content = crate::content::hash_all(&segments);
        ServerRequest {
            content,
            method: request.method,
            target: request.target,
            headers: request.headers,
            body: request.body,
        }
    }
}

impl ServerRequest {
    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The id of the client's try.
    pub fn request_id(&self) -> Option<&str> {
        self.headers.get(names::REQUEST_ID)
    }

    /// When the caller stops to wait.
    pub fn deadline(&self, now: Duration) -> Option<Duration> {
        let ms: f64 = self.headers.parsed(names::DEADLINE_MS)?;
        Some(now + millis(ms))
    }
}

/// Milliseconds as a duration; whatever is no time counts as none.
pub fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::ZERO)
}

/// The memory of a read prompt on its way from one server to another.
#[derive(Clone, Debug, PartialEq)]
pub struct KvContents {
    /// The request it was read for.
    pub request_id: String,
    /// The parts of the prompt, each with its tokens.
    pub segments: Vec<(u64, u64)>,
    /// All tokens.
    pub tokens: u64,
    /// The version of the weights that read it.
    pub version: u64,
    /// The zone and region of the server that read it.
    pub location: Location,
}

/// Where a server stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone.
    pub zone: String,
    /// The region.
    pub region: String,
}

/// What happens to a server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    /// A whole request came.
    Request {
        /// Its name.
        call: CallId,
        /// The request.
        request: ServerRequest,
    },
    /// The connection of a call ended.
    Cancelled {
        /// The call.
        call: CallId,
    },
    /// The response to [`Action::FetchHandle`]; nothing if it is gone or the other server can't be reached.
    HandleFetched {
        /// The call that asked.
        call: CallId,
        /// The memory.
        contents: Option<KvContents>,
    },
    /// The time that [`ServerCore::next_wake`] told has come.
    Wake,
    /// The server is to end.
    Drain,
    /// From now on health checks fail, and each run ends with the server's own 500, or no longer.
    SetFailing(bool),
}

/// What a server does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A whole response.
    Respond {
        /// For that call.
        call: CallId,
        /// The response.
        response: Response,
    },
    /// The head of a stream.
    Head {
        /// For that call.
        call: CallId,
        /// Status and headers.
        head: Response,
    },
    /// The bytes of one event.
    Event {
        /// For that call.
        call: CallId,
        /// The event.
        bytes: Vec<u8>,
    },
    /// The stream is whole.
    End {
        /// For that call.
        call: CallId,
    },
    /// The response ends here, although it is not whole.
    Truncate {
        /// For that call.
        call: CallId,
    },
    /// Work on the request began.
    Started {
        /// The call.
        call: CallId,
        /// The request that the memory was read for, if it was fetched.
        kv_owner: Option<String>,
    },
    /// The memory behind a handle of another server is wanted.
    FetchHandle {
        /// For that call.
        call: CallId,
        /// The server that has it.
        address: SocketAddr,
        /// The handle.
        handle: String,
    },
}

/// A server without its sockets.
pub trait ServerCore: Send + 'static {
    /// Takes one event and adds what follows from it.
    fn handle(&mut self, event: ServerEvent, now: Duration, actions: &mut Vec<Action>);

    /// When it wants [`ServerEvent::Wake`] next.
    fn next_wake(&self) -> Option<Duration>;

    /// Gives the memory behind a handle away; works once for each handle.
    fn take_handle(&mut self, _handle: &str, _now: Duration) -> Option<KvContents> {
        None
    }

    /// Who it is.
    fn identity(&self) -> &Identity;
}

/// Who a server is, and what every response of it carries.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its incarnation.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it stands.
    pub location: Location,
    /// The path of its health check.
    pub health_path: String,
    /// Seconds that idle connections are kept, if it tells.
    pub keep_alive_s: Option<u64>,
    /// Whether answers tell the load.
    pub tells_load: bool,
}

impl Identity {
    /// An identity with usual values.
    pub fn new(instance: &str, service: &str) -> Identity {
        Identity {
            instance: instance.to_owned(),
            service: service.to_owned(),
            location: Location::default(),
            health_path: "/health".to_owned(),
            keep_alive_s: Some(30),
            tells_load: true,
        }
    }

    /// The 400 or 421 that a request gets whatever the server's state.
    pub fn refusal(&self, request: &ServerRequest) -> Option<Response> {
        if request.request_id().is_none() {
            return Some(self.rejection(400, request));
        }
        let expected = request.headers.get(names::EXPECT_INSTANCE)?;
        (expected != self.instance).then(|| self.rejection(421, request))
    }

    /// A response to a request that did not run and never will.
    pub fn rejection(&self, status: u16, request: &ServerRequest) -> Response {
        let stamp = self.stamp(0, status, ExpectedBody::Bytes { length: 0, hash: crate::content::hash(b"") });
        self.signed(Response::new(status), request.request_id(), &stamp).with(names::NOT_EXECUTED, "1")
    }

    /// A stamp of this server.
    pub fn stamp(&self, run: u64, status: u16, expected_body: ExpectedBody) -> Stamp {
        Stamp { instance: self.instance.clone(), run, status, expected_body }
    }

    /// The response with the headers that go with every response to a request.
    pub fn signed(&self, response: Response, request_id: Option<&str>, stamp: &Stamp) -> Response {
        let mut response = response.with(names::SERVER_STAMP, stamp.to_string());
        if let Some(id) = request_id {
            response.headers.set(names::REQUEST_ID, id);
        }
        if let Some(seconds) = self.keep_alive_s {
            response.headers.set(names::KEEP_ALIVE, format!("timeout={seconds}"));
        }
        response
    }

    /// The response to a health check.
    pub fn health(&self, healthy: bool) -> Response {
        Response::new(if healthy { 200 } else { 503 }).with(names::INSTANCE_ID, &self.instance)
    }
}
