//! Who a server is.

use super::kv::Location;
use super::request::ServerRequest;
use crate::header_names;
use crate::stamp::{ExpectedBody, Stamp};
use crate::wire::Response;

/// A server's identity, and what every response of it carries.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its incarnation (`Instance-Id`).
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Where it is.
    pub location: Location,
    /// The path of its health check.
    pub health_path: String,
    /// The timeout of idle connections in seconds, announced in `Keep-Alive`; none is announced where this is `None`.
    pub keep_alive_s: Option<u64>,
    /// Whether responses carry `Load-Report`.
    pub sends_load_reports: bool,
}

impl Identity {
    /// An identity in no zone, with the health path `/health`, a keep-alive of 30 s and load reports.
    pub fn new(instance: &str, service: &str) -> Identity {
        Identity {
            instance: instance.to_owned(),
            service: service.to_owned(),
            location: Location::default(),
            health_path: "/health".to_owned(),
            keep_alive_s: Some(30),
            sends_load_reports: true,
        }
    }

    /// The 400 (no `Request-Id`) or 421 (another `Expect-Instance`) that a request gets whatever the server's state.
    pub fn refusal(&self, request: &ServerRequest) -> Option<Response> {
        if request.request_id().is_none() {
            return Some(self.rejection(400, request));
        }
        let expected = request.headers.get(header_names::EXPECT_INSTANCE)?;
        (expected != self.instance).then(|| self.rejection(421, request))
    }

    /// A response to a request that was not executed and never will be (`Not-Executed`).
    pub fn rejection(&self, status: u16, request: &ServerRequest) -> Response {
        let stamp = self.stamp(0, status, ExpectedBody::Bytes { length: 0, hash: crate::content::hash(b"") });
        self.signed(Response::new(status), request.request_id(), &stamp).with(header_names::NOT_EXECUTED, "1")
    }

    /// A stamp of this server for an execution; 0 stands for none.
    pub fn stamp(&self, run: u64, status: u16, expected_body: ExpectedBody) -> Stamp {
        Stamp { instance: self.instance.clone(), run, status, expected_body }
    }

    /// The response with the headers that every response to a request carries: stamp, request id and keep-alive.
    pub fn signed(&self, response: Response, request_id: Option<&str>, stamp: &Stamp) -> Response {
        let mut response = response.with(header_names::SERVER_STAMP, stamp.to_string());
        if let Some(id) = request_id {
            response.headers.set(header_names::REQUEST_ID, id);
        }
        if let Some(seconds) = self.keep_alive_s {
            response.headers.set(header_names::KEEP_ALIVE, format!("timeout={seconds}"));
        }
        response
    }

    /// The response to a health check.
    pub fn health(&self, healthy: bool) -> Response {
        Response::new(if healthy { 200 } else { 503 }).with(header_names::INSTANCE_ID, &self.instance)
    }
}
