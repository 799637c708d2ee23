//! The identity of a server.

use super::kv::Location;
use super::request::ServerRequest;
use crate::header_names;
use crate::stamp::{ExpectedBody, Stamp};
use crate::wire::Response;

/// The identity of a server and the properties of its responses.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The id of the server instance (`Instance-Id`).
    pub instance: String,
    /// The service that the server belongs to.
    pub service: String,
    /// The zone and region of the server.
    pub location: Location,
    /// The path of the health check.
    pub health_path: String,
    /// The timeout of idle connections that `Keep-Alive` announces, in s; `None` for no announcement.
    pub keep_alive_s: Option<u64>,
    /// Whether responses carry the header `Load-Report`.
    pub sends_load_reports: bool,
}

impl Identity {
    /// An identity without zone and region, with the health path `/health`, a keep-alive of 30 s and load
    /// reports.
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

    /// The rejection of a request that the server rejects in any state: 400 without `Request-Id`, 421 if
    /// `Expect-Instance` names another instance. `None` for any other request.
    pub fn rejection_by_identity(&self, request: &ServerRequest) -> Option<Response> {
        if request.request_id().is_none() {
            return Some(self.rejection(400, request));
        }
        let expected = request.headers.get(header_names::EXPECT_INSTANCE)?;
        (expected != self.instance).then(|| self.rejection(421, request))
    }

    /// A response that states that the request was not executed and never will be (`Not-Executed`).
    pub fn rejection(&self, status: u16, request: &ServerRequest) -> Response {
        let stamp = self.stamp(0, status, ExpectedBody::Bytes { length: 0, hash: crate::content::hash(b"") });
        self.with_common_headers(Response::new(status), request.request_id(), &stamp)
            .with(header_names::NOT_EXECUTED, "1")
    }

    /// A stamp of this server for the execution with this number; 0 if nothing was executed.
    pub fn stamp(&self, execution: u64, status: u16, expected_body: ExpectedBody) -> Stamp {
        Stamp { instance: self.instance.clone(), execution, status, expected_body }
    }

    /// The response with the headers that every response to a request carries: stamp, request id and
    /// keep-alive.
    pub fn with_common_headers(
        &self, response: Response, request_id: Option<&str>, stamp: &Stamp,
    ) -> Response {
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
    pub fn health(&self, is_healthy: bool) -> Response {
        Response::new(if is_healthy { 200 } else { 503 }).with(header_names::INSTANCE_ID, &self.instance)
    }
}
