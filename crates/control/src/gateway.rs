//! The operator API on a machine without a replica: redirects each request to a control process.
//!
//! Nothing is decided or cached here, so no response can be out of date. Requests are redirected to the
//! control process that the agent of this machine follows, which has replied within the last second and has a
//! quorum. If the agent follows none, the operator receives 503 and retries.

use crate::http_server::HttpServer;
use crate::operator::{self, MAX_CONFIG_BYTES};
use crate::operator_error::{ErrorKind, OperatorError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use trillium::{Conn, KnownHeaderName};

/// The HTTP status of a redirect that preserves the method and the body.
const TEMPORARY_REDIRECT: u16 = 307;
/// How long the request body is read and discarded. A client that is still writing may miss the response, but
/// a long body may take too long over a slow link.
const BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// The maximum time to complete a redirect once its request has been received.
pub const MAX_REDIRECT_TIME: Duration = BODY_TIMEOUT.saturating_add(Duration::from_millis(100));

/// Serves redirects until the returned server is shut down. `target` is the operator API of the followed control process, if
/// any.
pub fn serve(listener: TcpListener, target: watch::Receiver<Option<SocketAddr>>) -> HttpServer {
    let handler = move |conn: Conn| {
        let target = *target.borrow();
        async move { redirect(conn, target).await }
    };
    HttpServer::start(listener, MAX_CONFIG_BYTES, handler)
}

async fn redirect(mut conn: Conn, target: Option<SocketAddr>) -> Conn {
    // The body is discarded because the client sends it again to the control process.
    let _ = timeout(BODY_TIMEOUT, conn.request_body().read_bytes()).await;
    let Some(target) = target else {
        let error = OperatorError::new(ErrorKind::Unavailable, "no control process is followed here");
        return operator::send_error(conn, &error);
    };
    let path = conn.path_and_query();
    let location = format!("http://{target}{path}");
    conn.with_status(TEMPORARY_REDIRECT).with_response_header(KnownHeaderName::Location, location).halt()
}
