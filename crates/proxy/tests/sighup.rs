//! SIGHUP while a request is under way. Alone in its process, since the signal reaches the whole of it.

mod common;

use common::*;
use std::process::Command;

#[tokio::test]
async fn in_flight_unsafe_request_is_not_retried_after_sighup() {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        let signalled = Command::new("sh").args(["-c", "kill -HUP $PPID"]).status().expect("a shell");
        assert!(signalled.success());
        assert_eq!(world.readiness().await, 200, "it goes on");
        server.reset();
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept_either("a", "b") => panic!("it was sent again"),
        };
        assert_eq!(got.status(), 502);
    })
    .await;
}
