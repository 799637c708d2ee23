//! The operator's API on a machine without a replica: each request is redirected to a control process.
//!
//! Nothing is decided or cached here, so a response can't be out of date. The redirect leads to the control process that the
//! agent of this machine follows, which has responded within the last second and has a quorum. Without one the operator gets
//! 503 and retries.

use crate::operator::{self, MAX_CONFIG_BYTES};
use crate::operator_error::{ErrorKind, OperatorError};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use trillium::{Conn, KnownHeaderName};

/// The status of a redirect that keeps the method and the body.
const TEMPORARY_REDIRECT: u16 = 307;
/// How long a body is read, since a client that still writes may miss the response. The link of the machine may be too narrow
/// for a long body.
const BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves redirects until the process ends. `target` is the operator API of the control process that is followed, if any.
pub fn serve(listener: TcpListener, target: watch::Receiver<Option<SocketAddr>>) {
    let config = operator::http_server_config(listener, MAX_CONFIG_BYTES);
    let handler = move |conn: Conn| {
        let target = *target.borrow();
        async move { redirect(conn, target).await }
    };
    tokio::spawn(config.run_async(handler));
}

async fn redirect(mut conn: Conn, target: Option<SocketAddr>) -> Conn {
    // The body is discarded: the client sends it again to the control process.
    let _ = timeout(BODY_TIMEOUT, conn.request_body().read_bytes()).await;
    let Some(target) = target else {
        let error = OperatorError::new(ErrorKind::Unavailable, "no control process is followed here");
        return operator::send_error(conn, &error);
    };
    let path = conn.path_and_query();
    let location = format!("http://{target}{path}");
    conn.with_status(TEMPORARY_REDIRECT).with_response_header(KnownHeaderName::Location, location).halt()
}
