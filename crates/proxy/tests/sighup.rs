//! SIGHUP while a request is in flight. This test has a binary of its own, since the signal affects the whole
//! process.

mod support;

use std::process::Command;
use support::*;

#[tokio::test]
async fn in_flight_unsafe_request_is_not_retried_after_sighup() {
    with_proxy(Scenario::new("unsafe").max_attempts(3).retry_budget(10.0), async |proxy| {
        let (mut client, server, _) = proxy.dispatch("r1", "").await;
        let signalled =
            Command::new("sh").args(["-c", "kill -HUP $PPID"]).status().expect("the shell can be run");
        assert!(signalled.success());
        assert_eq!(proxy.readiness_status().await, 200, "the proxy keeps serving");
        server.reset();
        let response = tokio::select! {
            response = client.read_message() => response.expect("a complete response is received"),
            _ = proxy.accept_any(&PLAIN_SERVERS) => panic!("the request was retried"),
        };
        assert_eq!(response.status(), 502);
    })
    .await;
}
