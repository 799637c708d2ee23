//! The operator's API on a machine that holds no replica: each call is sent on to a control process by a redirect.
//!
//! Nothing is decided or kept here, so that an answer can't be out of date. The redirect leads to the control process that the
//! agent of this machine follows, which has answered within the last second and is in touch with the rest of the core. Where
//! there is none, the operator is told to come back.

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
/// A body that is on its way is read for so long, as a caller that still writes may not hear the answer. The machine's link may
/// be too narrow for the whole of a long one.
const BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves redirects until the process ends. `target` is the operator's address of a control process, if one is followed.
pub fn serve(listener: TcpListener, target: watch::Receiver<Option<SocketAddr>>) {
    let config = operator::http_server_config(listener, MAX_CONFIG_BYTES);
    let handler = move |conn: Conn| {
        let target = *target.borrow();
        async move { answer(conn, target).await }
    };
    tokio::spawn(config.run_async(handler));
}

async fn answer(mut conn: Conn, target: Option<SocketAddr>) -> Conn {
    // What comes of it does not matter: the body goes to the control process.
    let _ = timeout(BODY_TIMEOUT, conn.request_body().read_bytes()).await;
    let Some(target) = target else {
        let error = OperatorError::new(ErrorKind::Unavailable, "no control process is followed here");
        return operator::respond_with_error(conn, &error);
    };
    let path = conn.path_and_query();
    let location = format!("http://{target}{path}");
    conn.with_status(TEMPORARY_REDIRECT).with_response_header(KnownHeaderName::Location, location).halt()
}
