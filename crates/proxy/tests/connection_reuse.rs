//! Kept connections to servers: an answer that is still owed on one never passes for another call's.

mod clock;
mod common;

use clock::frozen;
use common::*;
use lugwharf_protocol::Stage;
use rstest::rstest;
use std::time::Duration;

fn prefilled(id: &str, handle: &str) -> String {
    let body = format!(r#"{{"KvHandle":"{handle}","Tokens":1460,"Version":1}}"#);
    let length = body.len();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}

/// Has request `id` answered by server a on a connection that is kept then.
async fn keep_one(world: &mut World, id: &str) -> (Peer, Peer) {
    world.list(&["b"]).await;
    let mut client = world.ask(id, "").await;
    let mut server = world.accept("a").await;
    assert!(server.message().await.is_some());
    server.send(&answer(id, "kept")).await;
    assert_eq!(client.message().await.expect("an answer").body, "kept");
    (client, server)
}

/// A resumed stream has its prompt read again: the same id at the same server, whose first answer comes a second time now.
#[tokio::test]
async fn second_prefill_ignores_a_duplicate_of_the_first_prefill_response() {
    let more = r#","Resumable":true,"MaxAttempts":3"#;
    let setup = Setup { retry_budget: 10.0, ..split(more, &["d", "e"]) };
    with_world(setup, async |world| {
        let _client = world.ask("r1", "").await;
        let mut kept = world.accept("p").await;
        assert!(kept.message().await.is_some());
        kept.send(&prefilled("r1", "one")).await;
        let (mut server, _) = world.accept_either("d", "e").await;
        assert!(server.message().await.is_some());
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        server.reset();
        let second = tokio::select! {
            seen = kept.message() => {
                assert!(seen.is_some());
                None
            }
            peer = world.accept("p") => Some(peer),
        };
        kept.send(&prefilled("r1", "one")).await;
        match second {
            Some(mut peer) => {
                let seen = peer.message().await.expect("a request");
                assert_eq!(seen.header("serving-stage"), Some("prefill"));
                peer.send(&prefilled("r1", "two")).await;
            }
            None => kept.send(&prefilled("r1", "two")).await,
        }
        let (mut server, _) = world.accept_either("d", "e").await;
        let source = format!("{}/two", world.address("p"));
        assert_eq!(server.message().await.expect("a request").header("kv-from"), Some(source.as_str()));
    })
    .await;
}

#[tokio::test]
async fn duplicate_responses_of_earlier_requests_are_skipped() {
    with_world(setup("unsafe", ""), async |world| {
        let (mut client, mut server) = keep_one(world, "r1").await;
        client.send(&request("r2", "", "body")).await;
        assert!(server.message().await.is_some(), "the connection was clean when it was taken");
        server.send(&answer("r1", "kept")).await;
        server.send(&not_executed("r0", 503)).await;
        server.send(&answer("r2", "own")).await;
        assert_eq!(client.message().await.expect("an answer").body, "own");
    })
    .await;
}

/// Its answer could not be told from a late copy of another one's.
#[rstest]
#[case::no_id(format!("POST /r/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 4\r\n\r\nbody"))]
#[case::no_body_behind_the_length(format!("HEAD /r/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r2\r\n\r\n"))]
#[tokio::test]
async fn request_without_distinguishable_response_gets_its_own_connection(#[case] other: String) {
    with_world(setup("safe", ""), async |world| {
        let (mut client, mut kept) = keep_one(world, "r1").await;
        client.send(&other).await;
        let mut alone = tokio::select! {
            seen = kept.message() => panic!("on the kept connection: {seen:?}"),
            peer = world.accept("a") => peer,
        };
        assert!(alone.until("\r\n\r\n").await.is_some());
        let said = answer("r2", "");
        alone.send(&said).await;
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp")), (200, Some("stamp-r2")));
        if other.starts_with("POST") {
            assert_eq!(alone.until("body").await.as_deref(), Some("body"));
        }
        assert!(alone.is_closed().await, "it carries nothing more");
        // The kept one is as good as before.
        client.send(&request("r3", "", "body")).await;
        assert_eq!(kept.message().await.expect("a request").header("request-id"), Some("r3"));
    })
    .await;
}

/// The call that frees a handle bears no id: a late copy of another answer may come in place of its own.
#[tokio::test]
async fn connection_that_released_a_handle_is_not_reused() {
    with_world(split("", &["d"]), async |world| {
        let client = world.ask("r1", "").await;
        let mut kept = world.accept("p").await;
        assert!(kept.message().await.is_some());
        kept.send(&prefilled("r1", "one")).await;
        let mut server = world.accept("d").await;
        assert!(server.message().await.is_some());
        drop(client);
        let freeing = kept.message().await.expect("a request");
        assert!(freeing.head.starts_with("DELETE /kv-handle/one HTTP/1.1\r\n"), "{}", freeing.head);
        assert_eq!(freeing.header("expect-instance"), Some("i-p"), "the address may be another one's by now");
        kept.send(&prefilled("r1", "one")).await;
        let _other = world.ask("r2", "").await;
        let mut second = tokio::select! {
            seen = kept.message() => panic!("the answer to DELETE is still owed: {seen:?}"),
            peer = world.accept("p") => peer,
        };
        assert_eq!(second.message().await.expect("a request").header("request-id"), Some("r2"));
        kept.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
        assert!(kept.is_closed().await);
    })
    .await;
}

/// Nothing is sent to the address of a server that has left the list: it may be another one's by now.
#[tokio::test]
async fn handle_of_a_removed_server_is_not_released() {
    with_world(split("", &["d"]), async |world| {
        let client = world.ask("r1", "").await;
        let mut kept = world.accept("p").await;
        assert!(kept.message().await.is_some());
        kept.send(&prefilled("r1", "one")).await;
        let mut server = world.accept("d").await;
        assert!(server.message().await.is_some());
        world.list(&["p"]).await;
        assert!(kept.is_closed().await, "with its incarnation");
        drop(client);
        assert!(server.is_closed().await);
        let _other = world.ask("r2", "").await;
        tokio::select! {
            biased;
            _ = world.accept("p") => panic!("a call to an address that may be reused"),
            _ = world.accept("d") => {}
        }
    })
    .await;
}

#[rstest]
#[case::over_time(true)]
#[case::client_gone(false)]
#[tokio::test]
async fn connection_with_an_outstanding_response_is_not_reused(#[case] waits: bool) {
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "Deadline-Ms: 900\r\n").await;
        let mut server = world.accept("a").await;
        assert!(server.message().await.is_some());
        if waits {
            tokio::time::pause();
            assert_eq!(client.message().await.expect("an answer").status(), 504);
            tokio::time::resume();
        } else {
            drop(client);
        }
        assert!(server.is_closed().await);
        let _other = world.ask("r2", "").await;
        let mut server = world.accept("a").await;
        assert_eq!(server.message().await.expect("a request").header("request-id"), Some("r2"));
    })
    .await;
}

/// Streams that are cancelled, by their client or since they may not go on.
#[tokio::test]
async fn connection_of_a_cancelled_stream_is_not_reused() {
    with_world(split("", &["d"]), async |world| {
        world.list(&["p"]).await;
        let mut client = world.ask("r1", "").await;
        let mut server = world.accept("d").await;
        assert!(server.message().await.is_some());
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        drop(client);
        assert!(server.is_closed().await);
        let _other = world.ask("r2", "").await;
        let mut server = world.accept("d").await;
        assert_eq!(server.message().await.expect("a request").header("request-id"), Some("r2"));
    })
    .await;
}

/// The rest of the refusal would come in place of the next answer.
#[tokio::test]
async fn incomplete_rejection_closes_its_connection() {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let _client = world.ask("r1", "").await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
        let said = not_executed("r1", 503).replace("Content-Length: 0", "Content-Length: 2");
        frozen(async {
            server.send(&said).await;
            assert!(server.is_closed().await);
        })
        .await;
        let (mut server, _) = world.accept_either("a", "b").await;
        assert!(server.message().await.is_some());
    })
    .await;
}

#[tokio::test]
async fn connection_close_header_is_honoured() {
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut server = world.accept("a").await;
        assert!(server.message().await.is_some());
        let said = answer("r1", "ok").replace("Content-Length", "Connection: close\r\nContent-Length");
        frozen(async {
            server.send(&said).await;
            assert_eq!(client.message().await.expect("an answer").body, "ok");
            assert!(server.is_closed().await);
        })
        .await;
    })
    .await;
}

#[rstest]
#[case::no_answer("surplus".to_owned())]
#[case::a_second_copy(answer("r1", "ok"))]
#[tokio::test]
async fn surplus_bytes_after_a_response_close_the_connection_at_once(#[case] surplus: String) {
    with_world(setup("safe", ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut server = world.accept("a").await;
        assert!(server.message().await.is_some());
        frozen(async {
            server.send(&format!("{}{surplus}", answer("r1", "ok"))).await;
            assert_eq!(client.message().await.expect("an answer").body, "ok");
            assert!(server.is_closed().await);
        })
        .await;
    })
    .await;
}

/// Servers close connections that rest: one near its time, or long idle, may be closing just now.
#[rstest]
#[case::near_its_time("unsafe", "Keep-Alive: timeout=1\r\n", 700, false)]
#[case::well_before("unsafe", "Keep-Alive: timeout=1\r\n", 300, true)]
#[case::long_idle_unsafe("unsafe", "", 2_600, false)]
#[case::long_idle_safe("safe", "", 2_600, true)]
#[case::too_long_idle_safe("safe", "", 4_100, false)]
#[tokio::test]
async fn idle_connection_that_may_be_closing_is_not_reused(
    #[case] kind: &str, #[case] more: &str, #[case] rests: u64, #[case] is_used: bool,
) {
    with_world(setup(kind, ""), async |world| {
        world.list(&["b"]).await;
        let mut client = world.ask("r1", "").await;
        let mut kept = world.accept("a").await;
        assert!(kept.message().await.is_some());
        kept.send(&answer("r1", "ok").replace("Content-Length", &format!("{more}Content-Length"))).await;
        assert!(client.message().await.is_some());
        frozen(async {
            tokio::time::advance(Duration::from_millis(rests)).await;
            client.send(&request("r2", "", "body")).await;
            let used = tokio::select! {
                // The last byte may be held back.
                seen = kept.until("\r\n\r\nbod") => seen.is_some(),
                _ = world.accept("a") => false,
            };
            assert_eq!(used, is_used);
        })
        .await;
    })
    .await;
}

/// An incarnation's connections end with it, also where the same address is listed for the next one.
#[tokio::test]
async fn connections_are_not_inherited_by_the_next_incarnation_at_an_address() {
    let mut setup = setup("safe", "");
    setup.servers = vec![("a", None::<Stage>)];
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let mut kept = world.accept("a").await;
        assert!(kept.message().await.is_some());
        kept.send(&answer("r1", "ok")).await;
        assert!(client.message().await.is_some());
        world.list(&["a"]).await;
        assert!(kept.is_closed().await);
        world.list(&[]).await;
        client.send(&request("r2", "", "body")).await;
        let mut server = world.accept("a").await;
        assert_eq!(server.message().await.expect("a request").header("request-id"), Some("r2"));
    })
    .await;
}
