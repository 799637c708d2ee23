//! Streams, pairs of servers, handles.

mod common;

use common::pairs::*;
use common::*;
use lugwharf_protocol::Stage;
use rstest::rstest;

#[tokio::test]
async fn prefill_and_decode_servers_serve_a_stream_event_by_event() {
    with_world(split("", &["d"]), async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        let (mut server, seen) = world.offer("d").await;
        assert_eq!(seen.header("kv-from"), Some(format!("{}/{HANDLE}", world.address("p")).as_str()));
        assert_eq!((seen.header("serving-stage"), seen.body.as_str()), (None, "body"));
        server.send(&stream_head("r1")).await;
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.contains("Server-Stamp: stamp-r1\r\n"), "{head}");
        for id in 1..4 {
            server.send(&chunk(&event(id))).await;
            assert_eq!(client.chunk().await, Some(Some(event(id))), "before the next one is sent");
        }
        server.send(LAST_CHUNK).await;
        assert_eq!(client.chunk().await, Some(None));
        // Both connections are good for another request.
        client.send(&request("r2", "", "body")).await;
        assert!({ _prefill }.message().await.is_some());
    })
    .await;
}

#[tokio::test]
async fn partial_event_is_withheld_and_the_stream_is_truncated() {
    with_world(split("", &["d"]), async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        server.send(&chunk("id: 2\ndata: to")).await;
        drop(server);
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.stream().await, (event(1), false));
    })
    .await;
}

#[tokio::test]
async fn resumable_stream_continues_on_another_server_in_the_same_response() {
    let more = r#","Resumable":true,"MaxAttempts":2"#;
    let setup = Setup { retry_budget: 10.0, ..split(more, &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        let (mut server, _, first) = offer_decode(world).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&(event(1) + event(2).as_str() + "id: 3\nda"))).await;
        server.reset();
        let (mut server, seen, second) = offer_decode(world).await;
        assert_ne!(first, second);
        assert_eq!(seen.header("last-event-id"), Some("2"));
        assert_eq!(seen.header("kv-from"), None, "a second reading would be a third attempt");
        server.send(&stream_head("r1").replace("stamp-r1", "other")).await;
        server.send(&chunk(&(event(3) + event(4).as_str()))).await;
        server.send(LAST_CHUNK).await;
        let head = client.until("\r\n\r\n").await.expect("a head");
        assert!(head.contains("Server-Stamp: stamp-r1\r\n"), "{head}");
        let whole: String = (1..5).map(event).collect();
        assert_eq!(client.stream().await, (whole, true));
    })
    .await;
}

#[tokio::test]
async fn resumed_stream_that_repeats_an_event_is_truncated() {
    let more = r#","Resumable":true,"MaxAttempts":2"#;
    let setup = Setup { retry_budget: 10.0, ..split(more, &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        for _ in 0..2 {
            let (mut server, _, _) = offer_decode(world).await;
            server.send(&stream_head("r1")).await;
            server.send(&chunk(&event(1))).await;
        }
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.stream().await, (event(1), false));
    })
    .await;
}

#[rstest]
#[case::not_resumable("", 10.0)]
#[case::no_attempts_left(r#","Resumable":true,"MaxAttempts":1"#, 10.0)]
#[case::no_budget(r#","Resumable":true,"MaxAttempts":2"#, 0.0)]
#[tokio::test]
async fn stream_that_may_not_be_resumed_is_truncated(#[case] more: &str, #[case] retry_budget: f64) {
    let setup = Setup { retry_budget, ..split(more, &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        let (mut server, _, _) = offer_decode(world).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        server.reset();
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.stream().await, (event(1), false));
    })
    .await;
}

#[tokio::test]
async fn client_disconnect_before_the_transfer_releases_the_handle() {
    with_world(split("", &["d"]), async |world| {
        let (client, mut prefill) = ask_and_read(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        drop(client);
        assert!(server.is_closed().await);
        is_freed(&mut prefill).await;
    })
    .await;
}

#[tokio::test]
async fn rejected_decode_attempt_leaves_the_handle_to_another_server() {
    let setup = Setup { retry_budget: 10.0, ..split("", &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, _prefill) = ask_and_read(world, "r1").await;
        let (mut server, first) = world.accept_either("d", "e").await;
        let source = server.message().await.expect("a request").header("kv-from").map(str::to_owned);
        server.send(&not_executed("r1", 503)).await;
        let (mut server, second) = world.accept_either("d", "e").await;
        assert_ne!(first, second);
        assert_eq!(server.message().await.expect("a request").header("kv-from").map(str::to_owned), source);
        server.send(&whole_stream("r1", 1)).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1));
    })
    .await;
}

#[tokio::test]
async fn request_rejected_by_all_decode_servers_releases_its_handle() {
    let setup = Setup { retry_budget: 10.0, ..split("", &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, mut prefill) = ask_and_read(world, "r1").await;
        for _ in 0..2 {
            let (mut server, _, _) = offer_decode(world).await;
            server.send(&not_executed("r1", 503)).await;
        }
        is_freed(&mut prefill).await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503);
        assert!(got.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn without_prefill_servers_a_decode_server_runs_both_phases() {
    with_world(split("", &["d"]), async |world| {
        world.list(&["p"]).await;
        let mut client = world.ask("r1", "").await;
        let (mut server, seen) = world.offer("d").await;
        assert_eq!((seen.header("kv-from"), seen.header("serving-stage")), (None, None));
        server.send(&whole_stream("r1", 1)).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1));
    })
    .await;
}

#[tokio::test]
async fn prefill_server_that_refuses_connections_is_skipped() {
    with_world(split("", &["d"]), async |world| {
        world.end("p");
        let mut client = world.ask("r1", "").await;
        let mut server = world.accept("d").await;
        assert_eq!(server.message().await.expect("a request").header("kv-from"), None);
        server.send(&answer("r1", "whole")).await;
        assert_eq!(client.message().await.expect("an answer").body, "whole");
    })
    .await;
}

#[tokio::test]
async fn without_decode_servers_the_request_is_refused_and_its_handle_released() {
    with_world(split("", &["d"]), async |world| {
        world.list(&["d"]).await;
        let (mut client, mut prefill) = ask_and_read(world, "r1").await;
        assert_eq!(client.message().await.expect("an answer").status(), 503);
        is_freed(&mut prefill).await;
    })
    .await;
}

#[tokio::test]
async fn unsafe_stream_is_not_retried_after_its_decode_server_reset() {
    with_world(Setup { retry_budget: 10.0, ..split(r#","MaxAttempts":3"#, &["d", "e"]) }, async |world| {
        let (mut client, mut prefill) = ask_and_read(world, "r1").await;
        let (server, _, _) = offer_decode(world).await;
        server.reset();
        assert_eq!(client.message().await.expect("an answer").status(), 502);
        is_freed(&mut prefill).await;
    })
    .await;
}

#[tokio::test]
async fn servers_without_stages_get_the_request_unchanged() {
    let mut setup = split("", &[]);
    setup.servers = vec![("a", None::<Stage>)];
    with_world(setup, async |world| {
        let _client = world.ask("r1", "").await;
        let (_server, seen) = world.offer("a").await;
        assert_eq!((seen.header("serving-stage"), seen.header("kv-from")), (None, None));
    })
    .await;
}

#[tokio::test]
async fn last_event_id_of_the_client_is_forwarded() {
    with_world(split(r#","Resumable":true"#, &["d"]), async |world| {
        let _client = world.ask("r1", "Last-Event-Id: 17\r\n").await;
        let _prefill = prefill(world, "r1").await;
        let mut server = world.accept("d").await;
        assert_eq!(server.message().await.expect("a request").header("last-event-id"), Some("17"));
    })
    .await;
}

#[tokio::test]
async fn missing_handle_makes_a_decode_server_run_both_phases() {
    let setup = Setup { retry_budget: 10.0, ..split("", &["d", "e"]) };
    with_world(setup, async |world| {
        let (mut client, mut prefill) = ask_and_read(world, "r1").await;
        let (mut server, first) = world.accept_either("d", "e").await;
        assert!(server.message().await.expect("a request").header("kv-from").is_some());
        let said = not_executed("r1", 503).replace("Not-Executed", "Load-Report: 1,0,8\r\nNot-Executed");
        server.send(&said).await;
        let (mut server, second) = world.accept_either("d", "e").await;
        assert_ne!(first, second);
        assert_eq!(server.message().await.expect("a request").header("kv-from"), None);
        is_freed(&mut prefill).await;
        server.send(&whole_stream("r1", 1)).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1));
    })
    .await;
}

#[tokio::test]
async fn rejected_prefill_is_retried_on_another_server() {
    let mut setup = Setup { retry_budget: 10.0, ..split("", &["d"]) };
    setup.servers.push(("q", Some(Stage::Prefill)));
    with_world(setup, async |world| {
        let _client = world.ask("r1", "").await;
        let (mut server, _, first) = world.offer_either("p", "q").await;
        server.send(&not_executed("r1", 503)).await;
        let (mut server, second) = world.accept_either("p", "q").await;
        assert_ne!(first, second);
        assert_eq!(server.message().await.expect("a request").header("serving-stage"), Some("prefill"));
        server.send(&prefilled("r1")).await;
        let mut server = world.accept("d").await;
        let source = format!("{}/{HANDLE}", world.address(second));
        assert_eq!(server.message().await.expect("a request").header("kv-from"), Some(source.as_str()));
    })
    .await;
}

#[tokio::test]
async fn stream_that_exceeds_its_deadline_is_truncated() {
    with_world(split("", &["d"]), async |world| {
        let mut client = world.ask("r1", "Deadline-Ms: 3000\r\n").await;
        let _prefill = prefill(world, "r1").await;
        let (mut server, _) = world.offer("d").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some(event(1))));
        tokio::time::pause();
        assert_eq!(client.stream().await, (String::new(), false));
        assert!(server.is_closed().await);
    })
    .await;
}

/// Long prompts make short ones late that wait behind them.
#[rstest]
#[case(500, "0")]
#[case(1_800, "1")]
#[case(12_000, "3")]
#[case(54_600, "5")]
#[case(4_000_000_000, "9")]
#[tokio::test]
async fn prefill_priority_follows_prompt_length(#[case] tokens: u32, #[case] rank: &str) {
    with_world(split("", &["d"]), async |world| {
        let mut client = world.ask("r1", &format!("Token-Counts: {tokens},20\r\n")).await;
        let (mut server, seen) = world.offer("p").await;
        assert_eq!(seen.header("priority"), Some(rank));
        server.send(&prefilled("r1")).await;
        let (server, seen) = world.offer("d").await;
        assert_eq!(seen.header("priority"), Some("0"), "the route's own");
        server.reset();
        let answer = client.message().await.expect("an answer");
        assert_eq!(answer.status(), 502, "it may have run");
    })
    .await;
}
