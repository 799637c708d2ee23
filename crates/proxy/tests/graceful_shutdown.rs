//! The end of the process, with what is under way.

mod common;

use common::*;
use std::time::Duration;
use tokio::time::Instant;

#[tokio::test]
async fn shutdown_fails_readiness_at_once_and_serves_until_idle() {
    until_end(setup("unsafe", ""), async |world| {
        let mut resting = world.ask("r0", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server
            .send(&answer("r0", "before").replace("Content-Length", "Connection: close\r\nContent-Length"))
            .await;
        assert_eq!(resting.message().await.expect("an answer").header("connection"), None);
        world.list(&["b"]).await;
        assert_eq!(world.readiness().await, 200);
        world.stop();
        assert_eq!(world.readiness().await, 503);
        // One that had rested, and one that comes late, are served, and told that it was the last time.
        resting.send(&request("r1", "", "body")).await;
        let mut late = world.ask("r2", "").await;
        for _ in 0..2 {
            let mut server = world.accept("a").await;
            let seen = server.message().await.expect("a request");
            let id = seen.header("request-id").expect("an id").to_owned();
            server.send(&answer(&id, "still")).await;
        }
        for client in [&mut resting, &mut late] {
            let got = client.message().await.expect("an answer");
            assert_eq!((got.body.as_str(), got.header("connection")), ("still", Some("close")));
        }
        tokio::time::pause();
    })
    .await;
}

#[tokio::test]
async fn shutdown_waits_for_in_flight_requests_and_closes_idle_connections() {
    until_end(setup("unsafe", ""), async |world| {
        let mut slow = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        let mut resting = world.client().await;
        world.stop();
        assert_eq!(world.readiness().await, 503);
        tokio::time::pause();
        assert!(resting.is_closed().await);
        server.send(&answer("r1", "late")).await;
        assert_eq!(slow.message().await.expect("an answer").body, "late");
    })
    .await;
}

#[tokio::test]
async fn shutdown_cuts_remaining_requests_before_the_grace_period_ends() {
    let mut setup = setup("unsafe", "");
    setup.routes[0] = setup.routes[0].replace("\"TimeoutMs\":5000", "\"TimeoutMs\":60000");
    let mut begun = Instant::now();
    until_end(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        tokio::time::pause();
        begun = Instant::now();
        world.stop();
        assert!(client.message().await.is_none(), "cut at the end");
        assert!(server.is_closed().await);
    })
    .await;
    let took = begun.elapsed();
    assert!(took >= Duration::from_secs(7) && took < Duration::from_secs(8), "{took:?}");
}
