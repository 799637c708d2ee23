//! What may have run is not sent again unless its route allows it, whatever happens while the request is under way.

mod clock;
mod common;

use clock::frozen;
use common::*;
use rstest::rstest;
use std::time::Duration;

/// All of the usual request but its last byte.
const ALL_BUT_LAST: &str = "\r\n\r\nbod";

fn route(kind: &str, attempts: u32) -> String {
    format!(
        r#"{{"Host":"{HOST}","PathPrefix":"/r/","RouteKind":"{kind}","TimeoutMs":5000,"SloMs":300,"Service":"s","MaxAttempts":{attempts}}}"#
    )
}

fn world_of(kind: &str, attempts: u32) -> Setup {
    Setup { routes: vec![route(kind, attempts)], retry_budget: 10.0, ..setup(kind, "") }
}

/// The route as it was when the request came rules it to its end.
#[rstest]
#[case::kind(route("unsafe", 3), vec![route("safe", 3)])]
#[case::attempts(route("safe", 1), vec![route("safe", 5)])]
#[case::both(route("unsafe", 1), vec![route("safe", 5)])]
#[case::removed(route("unsafe", 3), vec![])]
#[tokio::test]
async fn in_flight_request_keeps_its_retry_policy_when_configuration_relaxes_it(
    #[case] before: String, #[case] after: Vec<String>,
) {
    let setup = Setup { routes: vec![before], retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        assert_eq!(world.configure(2, &after, false).await.config, 2);
        server.reset();
        assert_eq!(client.message().await.expect("an answer").status(), 502);
    })
    .await;
}

#[tokio::test]
async fn in_flight_request_keeps_its_retry_when_configuration_forbids_retries() {
    with_world(world_of("safe", 2), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, first) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        world.configure(2, &[route("unsafe", 1)], false).await;
        server.reset();
        let (mut server, second) = world.accept_either("a", "b").await;
        assert_ne!(first, second);
        assert!(server.message().await.is_some());
        server.send(&answer("r1", "again")).await;
        assert_eq!(client.message().await.expect("an answer").body, "again");
    })
    .await;
}

/// The agent's restart, and a list that it tells anew.
#[tokio::test]
async fn unsafe_request_is_not_retried_after_agent_restart() {
    with_world(world_of("unsafe", 3), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        world.reconnect().await;
        world.configure(2, &[route("safe", 3)], false).await;
        world.list(&[]).await;
        server.reset();
        assert_eq!(client.message().await.expect("an answer").status(), 502);
    })
    .await;
}

/// Servers keep their names over it: one that has turned the request away is not asked again.
#[tokio::test]
async fn attempted_servers_are_excluded_after_agent_restart() {
    with_world(world_of("unsafe", 3), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, first) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        world.reconnect().await;
        world.list(&[]).await;
        server.send(&not_executed("r1", 503)).await;
        let (mut server, second) = world.accept_either("a", "b").await;
        assert_ne!(first, second);
        assert!(server.message().await.is_some());
        server.send(&not_executed("r1", 503)).await;
        assert_eq!(client.message().await.expect("an answer").status(), 503);
    })
    .await;
}

#[tokio::test]
async fn unsafe_request_is_not_retried_during_shutdown() {
    until_end(world_of("unsafe", 3), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        world.stop();
        assert_eq!(world.readiness().await, 503);
        server.reset();
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("connection")), (502, Some("close")));
        tokio::time::pause();
    })
    .await;
}

/// A server that has left the list between the choice and the send gets nothing.
#[tokio::test]
async fn request_whose_deadline_passes_during_connect_is_refused() {
    with_world(world_of("unsafe", 1), async |world| {
        let mut client = world.ask("r1", "Deadline-Ms: 30\r\n").await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503, "what was not sent is promised not to have run");
    })
    .await;
}

/// What an unsafe request meets, with attempts and budget left: whatever it is, it may have run.
#[rstest]
#[case::reset("", 502)]
#[case::another_requests(
    "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
    502
)]
#[case::anothers_promise(
    "HTTP/1.1 503 No\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    502
)]
#[case::nobodys_promise("HTTP/1.1 503 No\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", 502)]
#[case::without_a_promise("HTTP/1.1 503 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n", 502)]
#[case::without_a_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno", 502)]
#[case::half_a_head("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n", 502)]
#[case::half_a_body(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf",
    502
)]
#[case::half_a_chunk(
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
    502
)]
#[case::two_lengths(
    "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\nContent-Length: 1\r\n\r\n",
    502
)]
#[case::another_protocol("HTTP/1.1 101 Switch\r\nRequest-Id: r1\r\n\r\n", 502)]
#[case::its_own_failure(
    "HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    500
)]
#[case::its_own_time_out(
    "HTTP/1.1 504 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    504
)]
#[tokio::test]
async fn unsafe_request_that_may_have_executed_is_not_retried(#[case] said: &str, #[case] status: u16) {
    with_world(world_of("unsafe", 3), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server.send(said).await;
        drop(server);
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept_either("a", "b") => panic!("it was sent again"),
        };
        assert_eq!(got.status(), status);
    })
    .await;
}

/// The same for a safe one: to another server, within `MaxAttempts`.
#[rstest]
#[case::reset("")]
#[case::without_a_stamp("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nno")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf")]
#[case::its_own_failure("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn safe_request_is_retried_once_on_another_server(#[case] said: &str) {
    let mut setup = world_of("safe", 2);
    setup.servers.push(("c", None));
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let mut met = Vec::new();
        for _ in 0..2 {
            let (mut server, name) = tokio::select! {
                peer = world.accept("a") => (peer, "a"),
                peer = world.accept("b") => (peer, "b"),
                peer = world.accept("c") => (peer, "c"),
            };
            assert!(server.message().await.is_some());
            assert!(!met.contains(&name), "each server once");
            met.push(name);
            server.send(said).await;
        }
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept_either("a", "b") => panic!("a third send"),
            _ = world.accept("c") => panic!("a third send"),
        };
        assert!(got.status() == 502 || got.status() == 500, "{}", got.head);
    })
    .await;
}

/// A failure that the request itself brings about would come again.
#[tokio::test]
async fn client_error_response_is_final() {
    with_world(world_of("safe", 3), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server.send("HTTP/1.1 404 No\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n").await;
        assert_eq!(client.message().await.expect("an answer").status(), 404);
    })
    .await;
}

/// No server turns a request away for ever: those that do are bounded too.
#[tokio::test]
async fn rejected_attempts_of_an_unsafe_request_are_bounded() {
    const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut setup = Setup { retry_budget: 100.0, ..world_of("unsafe", 1) };
    setup.servers = NAMES.iter().map(|name| (*name, None)).collect();
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let mut sends = 0;
        let got = loop {
            let mut server = tokio::select! {
                got = client.message() => break got.expect("an answer"),
                (peer, _) = world.accept_either("a", "b") => peer,
                (peer, _) = world.accept_either("c", "d") => peer,
                (peer, _) = world.accept_either("e", "f") => peer,
                (peer, _) = world.accept_either("g", "h") => peer,
            };
            assert!(server.message().await.is_some());
            server.send(&not_executed("r1", 503)).await;
            sends += 1;
        };
        assert_eq!((got.status(), sends), (503, 4));
    })
    .await;
}

/// A server that says that it is busy, and takes longer than there is time, gets nothing: the client hears so at once.
#[tokio::test]
async fn request_that_cannot_meet_its_deadline_is_refused_unsent() {
    with_world(world_of("unsafe", 1), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut kept = world.accept("a").await;
        assert!(kept.message().await.is_some());
        let said = answer("r1", "slow").replace("Content-Length", "Load-Report: 8,4,8\r\nContent-Length");
        frozen(async {
            tokio::time::advance(Duration::from_secs(2)).await;
            kept.send(&said).await;
            assert!(client.message().await.is_some());
            client.send(&request("r2", "Deadline-Ms: 900\r\n", "body")).await;
            let got = tokio::select! {
                got = client.message() => got.expect("an answer"),
                seen = kept.until(ALL_BUT_LAST) => panic!("it was sent: {seen:?}"),
            };
            assert_eq!(got.status(), 503);
            // With more time it is.
            client.send(&request("r3", "", "body")).await;
            assert!(kept.until(ALL_BUT_LAST).await.is_some());
        })
        .await;
    })
    .await;
}

#[tokio::test]
async fn refused_connections_are_bounded() {
    const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut setup = world_of("unsafe", 1);
    setup.servers = NAMES.iter().map(|name| (*name, None)).collect();
    with_world(setup, async |world| {
        NAMES.iter().for_each(|name| world.end(name));
        let mut client = world.ask("r1", "").await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503, "nothing was sent");
    })
    .await;
}

/// Sends that come to nothing are bounded too: each one may have taken a place of a server that is full.
#[tokio::test]
async fn attempts_reset_before_the_last_byte_are_bounded() {
    const NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut setup = world_of("unsafe", 1);
    setup.servers = NAMES.iter().map(|name| (*name, None)).collect();
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let mut sends = 0;
        let got = frozen(async {
            loop {
                let mut server = tokio::select! {
                    got = client.message() => break got.expect("an answer"),
                    (peer, _) = world.accept_either("a", "b") => peer,
                    (peer, _) = world.accept_either("c", "d") => peer,
                    (peer, _) = world.accept_either("e", "f") => peer,
                    (peer, _) = world.accept_either("g", "h") => peer,
                };
                assert!(server.until(ALL_BUT_LAST).await.is_some());
                server.reset();
                sends += 1;
            }
        })
        .await;
        assert_eq!((got.status(), sends), (503, 5));
    })
    .await;
}

/// Refusing it would promise that it has not run.
#[tokio::test]
async fn retry_that_cannot_meet_its_deadline_is_still_sent() {
    with_world(world_of("safe", 2), async |world| {
        world.list(&["a"]).await;
        let mut client = world.ask("r1", "").await;
        let mut slow = world.accept("b").await;
        assert!(slow.message().await.is_some());
        world.list(&[]).await;
        let said = answer("r1", "slow").replace("Content-Length", "Load-Report: 8,4,8\r\nContent-Length");
        frozen(async {
            tokio::time::advance(Duration::from_secs(2)).await;
            slow.send(&said).await;
            assert!(client.message().await.is_some());
            client.send(&request("r2", "Deadline-Ms: 900\r\n", "body")).await;
            let mut server = world.accept("a").await;
            assert!(server.message().await.is_some());
            server.reset();
            assert!(slow.message().await.is_some());
            slow.send(&answer("r2", "again")).await;
            assert_eq!(client.message().await.expect("an answer").body, "again");
        })
        .await;
    })
    .await;
}

/// A time that is over in the head or in the body of an answer leaves the budget to others.
#[rstest]
#[case::silent("")]
#[case::half_a_body("HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf")]
#[tokio::test]
async fn deadline_exceeded_withdraws_nothing_from_the_retry_budget(#[case] said: &str) {
    let setup = Setup { retry_budget: 1.0, ..world_of("safe", 2) };
    with_world(setup, async |world| {
        // Half a resend is earned by each request: one by these two, and one and a half with the last.
        let mut client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server
            .send(&answer("r1", "ok").replace("Content-Length", "Connection: close\r\nContent-Length"))
            .await;
        assert!(client.message().await.is_some());
        let mut client = world.ask("r2", "Deadline-Ms: 900\r\n").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server.send(said).await;
        tokio::time::pause();
        assert_eq!(client.message().await.expect("an answer").status(), 504);
        tokio::time::resume();
        let mut client = world.ask("r3", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        server.reset();
        let (mut server, _) = tokio::select! {
            met = world.accept_either("a", "b") => met,
            got = client.message() => panic!("no budget was left: {got:?}"),
        };
        assert!(server.message().await.is_some());
    })
    .await;
}
