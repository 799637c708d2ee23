//! Handles between prefill and decode servers: each is taken once or freed, and none outlives the attempt that it was made for.

mod common;

use common::*;
use lugwharf_protocol::Stage;
use rstest::rstest;

const STAMPED: &str = "Request-Id: r1\r\nServer-Stamp: s\r\n";

fn paired(more: &str, prefill: &[&'static str], decode: &[&'static str]) -> Setup {
    let mut setup = Setup { retry_budget: 10.0, ..split(more, decode) };
    setup.servers.retain(|(_, stage)| *stage == Some(Stage::Decode));
    setup.servers.extend(prefill.iter().map(|name| (*name, Some(Stage::Prefill))));
    setup
}

fn prefilled(handle: &str) -> String {
    let body = format!(r#"{{"KvHandle":"{handle}","Tokens":1460,"Version":1}}"#);
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The next call to a prefill server, answered with what is said.
async fn reading(world: &World, name: &str, said: &str) -> Peer {
    let mut server = world.accept(name).await;
    let seen = server.message().await.expect("a request");
    assert_eq!(seen.header("serving-stage"), Some("prefill"));
    server.send(said).await;
    server
}

async fn is_freed(server: &mut Peer, handle: &str) {
    let seen = server.message().await.expect("a request");
    assert!(seen.head.starts_with(&format!("DELETE /kv-handle/{handle} HTTP/1.1\r\n")), "{}", seen.head);
}

/// What a prefill server says that is no handle: one run is left, and a decode server reads by itself.
#[rstest]
#[case::a_path(prefilled("../x"))]
#[case::two_lines(prefilled("a\\r\\nX: 1"))]
#[case::empty(prefilled(""))]
#[case::too_long(prefilled(&"x".repeat(257)))]
#[case::another_status("HTTP/1.1 201 OK\r\nRequest-Id: r1\r\nContent-Length: 16\r\n\r\n{\"KvHandle\":\"x\"}".to_owned())]
#[case::a_failure("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n".to_owned())]
#[case::no_json("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\n{".to_owned())]
#[case::too_large(format!("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 20000\r\n\r\n{{\"KvHandle\":\"x\"}}{}", " ".repeat(19_984)))]
#[case::anothers(prefilled("x").replace("r1", "r0"))]
#[tokio::test]
async fn invalid_handle_is_not_forwarded(#[case] said: String) {
    with_world(paired(r#","MaxAttempts":1"#, &["p", "q"], &["d"]), async |world| {
        world.list(&["q"]).await;
        let _client = world.ask("r1", "").await;
        let mut server = reading(world, "p", &said).await;
        let mut decoder = world.accept("d").await;
        assert_eq!(decoder.message().await.expect("a request").header("kv-from"), None);
        assert!(server.is_closed().await);
    })
    .await;
}

#[rstest]
#[case::longest(&"x".repeat(256))]
#[case::all_marks("aZ0-_.~")]
#[tokio::test]
async fn valid_handle_is_forwarded_and_not_released(#[case] handle: &str) {
    with_world(paired("", &["p"], &["d"]), async |world| {
        let mut client = world.ask("r1", "").await;
        let mut kept = reading(world, "p", &prefilled(handle)).await;
        let mut server = world.accept("d").await;
        let source = format!("{}/{handle}", world.address("p"));
        assert_eq!(server.message().await.expect("a request").header("kv-from"), Some(source.as_str()));
        server.send(&answer("r1", "done")).await;
        assert_eq!(client.message().await.expect("an answer").body, "done");
        client.send(&request("r2", "", "body")).await;
        let seen = kept.message().await.expect("a request");
        assert!(seen.head.starts_with("POST /r/x"), "taken handles are not freed: {}", seen.head);
    })
    .await;
}

/// Whatever a decode server did with it, it is not given to another one once the request may have run.
#[rstest]
#[case::reset("")]
#[case::spoilt("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n")]
#[case::failed("HTTP/1.1 500 Oh\r\nRequest-Id: r1\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n")]
#[tokio::test]
async fn handle_is_not_reused_by_a_second_execution(#[case] said: &str, #[values(2, 4)] attempts: u32) {
    let more = format!(r#","Resumable":true,"MaxAttempts":{attempts}"#);
    with_world(paired(&more, &["p", "q"], &["d", "e"]), async |world| {
        world.list(&["q"]).await;
        let _client = world.ask("r1", "").await;
        let mut kept = reading(world, "p", &prefilled("one")).await;
        let (mut server, first) = world.accept_either("d", "e").await;
        assert!(server.message().await.expect("a request").header("kv-from").is_some());
        server.send(said).await;
        server.reset();
        let (mut server, second) = tokio::select! {
            met = world.accept_either("d", "e") => met,
            _ = world.accept("p") => panic!("a second reading for one stream"),
        };
        assert_ne!(first, second);
        assert_eq!(server.message().await.expect("a request").header("kv-from"), None);
        is_freed(&mut kept, "one").await;
    })
    .await;
}

#[tokio::test]
async fn failure_response_releases_the_handle() {
    with_world(paired("", &["p"], &["d", "e"]), async |world| {
        let mut client = world.ask("r1", "").await;
        let mut kept = reading(world, "p", &prefilled("one")).await;
        let (mut server, _) = world.accept_either("d", "e").await;
        assert!(server.message().await.is_some());
        server.send(&format!("HTTP/1.1 500 Oh\r\n{STAMPED}Content-Length: 0\r\n\r\n")).await;
        assert_eq!(client.message().await.expect("an answer").status(), 500);
        is_freed(&mut kept, "one").await;
    })
    .await;
}

/// Two servers are asked to take it over; a third one reads by itself.
#[tokio::test]
async fn handle_rejected_by_two_servers_is_released() {
    with_world(paired("", &["p"], &["d", "e", "f"]), async |world| {
        let _client = world.ask("r1", "").await;
        let mut kept = reading(world, "p", &prefilled("one")).await;
        let mut asked = Vec::new();
        for takes in [true, true, false] {
            let (mut server, name) = tokio::select! {
                met = world.accept_either("d", "e") => met,
                peer = world.accept("f") => (peer, "f"),
            };
            assert!(!asked.contains(&name), "{name} twice");
            asked.push(name);
            assert_eq!(server.message().await.expect("a request").header("kv-from").is_some(), takes);
            server.send(&not_executed("r1", 503)).await;
        }
        is_freed(&mut kept, "one").await;
    })
    .await;
}

/// A reading that broke may have been taken up, and counts: with one attempt there is no second one.
#[rstest]
#[case::one(1, false)]
#[case::two(2, true)]
#[tokio::test]
async fn broken_prefill_is_retried_within_max_attempts(#[case] attempts: u32, #[case] is_read: bool) {
    let more = format!(r#","MaxAttempts":{attempts}"#);
    with_world(paired(&more, &["p", "q"], &["d"]), async |world| {
        let _client = world.ask("r1", "").await;
        let (mut server, first) = world.accept_either("p", "q").await;
        assert!(server.message().await.is_some());
        server.reset();
        let second = tokio::select! {
            peer = world.accept("d") => (peer, "d"),
            met = world.accept_either("p", "q") => met,
        };
        assert_ne!(second.1, first);
        assert_eq!(second.1 != "d", is_read);
    })
    .await;
}

/// A server that is silent for too long is given up with its connection: its late handle reaches nobody.
#[tokio::test]
async fn prefill_timeout_closes_its_connection_and_is_retried() {
    with_world(paired(r#","MaxAttempts":2"#, &["p", "q"], &["d"]), async |world| {
        let _client = world.ask("r1", "").await;
        let (mut silent, first) = world.accept_either("p", "q").await;
        assert!(silent.message().await.is_some());
        tokio::time::pause();
        assert!(silent.is_closed().await);
        tokio::time::resume();
        let (mut server, second) = world.accept_either("p", "q").await;
        assert_ne!(first, second);
        assert!(server.message().await.is_some());
        server.send(&prefilled("two")).await;
        let mut decoder = world.accept("d").await;
        let source = format!("{}/two", world.address(second));
        assert_eq!(decoder.message().await.expect("a request").header("kv-from"), Some(source.as_str()));
    })
    .await;
}

/// Readings that were turned away are bounded: then a decode server reads by itself.
#[tokio::test]
async fn rejected_prefill_attempts_are_limited_to_three() {
    with_world(paired("", &["p", "q", "s", "t"], &["d"]), async |world| {
        let _client = world.ask("r1", "").await;
        let mut readers = 0;
        loop {
            let mut server = tokio::select! {
                (peer, _) = world.accept_either("p", "q") => peer,
                (peer, _) = world.accept_either("s", "t") => peer,
                _ = world.accept("d") => break,
            };
            assert!(server.message().await.is_some());
            readers += 1;
            server.send(&not_executed("r1", 503)).await;
        }
        assert_eq!(readers, 3);
    })
    .await;
}

/// The fields of a prompt that a decode server would read for longer than the streams of others may pause.
const LONG: &str = "Token-Counts: 9000,10\r\n";
/// Of one that it reads in one piece.
const SHORT: &str = "Token-Counts: 900,10\r\n";

/// Where the reading failed and no other server may be asked, a decode server reads what is short; the rest is told to come
/// back, and has not run.
#[rstest]
#[case::short(SHORT, true)]
#[case::long(LONG, false)]
#[tokio::test]
async fn after_a_failed_prefill_only_short_prompts_run_on_a_decode_server(
    #[case] prompt: &str, #[case] is_read: bool,
) {
    with_world(paired(r#","MaxAttempts":1"#, &["p", "q"], &["d"]), async |world| {
        let mut client = world.ask("r1", prompt).await;
        let (mut server, _) = world.accept_either("p", "q").await;
        assert!(server.message().await.is_some());
        server.reset();
        let refused = tokio::select! {
            _ = world.accept("d") => None,
            got = client.message() => got,
        };
        assert_eq!(refused.is_none(), is_read);
        if let Some(got) = refused {
            assert_eq!(got.status(), 503);
            assert!(got.header("retry-after").is_some());
        }
    })
    .await;
}

/// The same where the budget does not pay for another reading.
#[tokio::test]
async fn without_retry_budget_a_rejected_long_prompt_is_refused() {
    let setup = Setup { retry_budget: 0.0, ..paired("", &["p", "q"], &["d"]) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", LONG).await;
        let (mut server, _) = world.accept_either("p", "q").await;
        assert!(server.message().await.is_some());
        server.send(&not_executed("r1", 503)).await;
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept("d") => panic!("a decode server reads a long prompt"),
        };
        assert_eq!(got.status(), 503);
    })
    .await;
}

/// A long prompt whose memory two servers turned away is read once more by a prefill server, within the attempts.
#[rstest]
#[case::one(1, false)]
#[case::three(3, true)]
#[tokio::test]
async fn long_prompt_with_a_rejected_handle_is_prefilled_again_or_refused(
    #[case] attempts: u32, #[case] is_read: bool,
) {
    let more = format!(r#","MaxAttempts":{attempts}"#);
    with_world(paired(&more, &["p", "q"], &["d", "e", "f"]), async |world| {
        let mut client = world.ask("r1", LONG).await;
        let (mut kept, _) = world.accept_either("p", "q").await;
        assert!(kept.message().await.is_some());
        kept.send(&prefilled("one")).await;
        for _ in 0..2 {
            let mut server = tokio::select! {
                (peer, _) = world.accept_either("d", "e") => peer,
                peer = world.accept("f") => peer,
            };
            assert!(server.message().await.expect("a request").header("kv-from").is_some());
            server.send(&not_executed("r1", 503)).await;
        }
        is_freed(&mut kept, "one").await;
        let status = tokio::select! {
            seen = kept.message() => {
                assert_eq!(seen.expect("a request").header("serving-stage"), Some("prefill"));
                None
            }
            (mut peer, _) = world.accept_either("p", "q") => {
                assert_eq!(peer.message().await.expect("a request").header("serving-stage"), Some("prefill"));
                None
            }
            got = client.message() => got.map(|got| got.status()),
        };
        assert_eq!(status, if is_read { None } else { Some(503) });
    })
    .await;
}

/// Where no server is there to read prompts, decode servers read all of them.
#[tokio::test]
async fn without_prefill_servers_a_decode_server_prefills_long_prompts() {
    with_world(paired("", &[], &["d"]), async |world| {
        let _client = world.ask("r1", LONG).await;
        let mut decoder = world.accept("d").await;
        assert_eq!(decoder.message().await.expect("a request").header("serving-stage"), None);
    })
    .await;
}

/// An unsafe stream whose decode server is silent to the end has its answer, and goes nowhere else.
#[tokio::test]
async fn unsafe_stream_that_exceeds_its_deadline_is_not_retried() {
    with_world(paired(r#","MaxAttempts":3"#, &["p"], &["d", "e"]), async |world| {
        let mut client = world.ask("r1", "Deadline-Ms: 2000\r\n").await;
        let mut kept = reading(world, "p", &prefilled("one")).await;
        let (mut server, _) = world.accept_either("d", "e").await;
        assert!(server.message().await.is_some());
        tokio::time::pause();
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept_either("d", "e") => panic!("it was sent again"),
        };
        tokio::time::resume();
        assert_eq!(got.status(), 504);
        is_freed(&mut kept, "one").await;
    })
    .await;
}

/// Without an id nobody could say where a second run has to go on.
#[tokio::test]
async fn stream_whose_last_event_has_no_id_is_not_resumed() {
    with_world(paired(r#","Resumable":true,"MaxAttempts":3"#, &["p"], &["d", "e"]), async |world| {
        let mut client = world.ask("r1", "").await;
        let _kept = reading(world, "p", &prefilled("one")).await;
        let (mut server, _) = world.accept_either("d", "e").await;
        assert!(server.message().await.is_some());
        server.send(&stream_head("r1")).await;
        server.send(&chunk("data: 1\n\n")).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.chunk().await, Some(Some("data: 1\n\n".to_owned())));
        server.reset();
        let (rest, is_complete) = tokio::select! {
            rest = client.stream() => rest,
            _ = world.accept_either("d", "e") => panic!("it was resumed"),
        };
        assert_eq!((rest.as_str(), is_complete), ("", false));
    })
    .await;
}

/// Servers that turn a stream away are bounded, with a handle and without.
#[tokio::test]
async fn rejected_attempts_of_a_stream_are_bounded() {
    const NAMES: [&str; 8] = ["d", "e", "f", "g", "h", "i", "j", "k"];
    let setup = Setup { retry_budget: 100.0, ..paired("", &["p"], &NAMES) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let _kept = reading(world, "p", &prefilled("one")).await;
        let mut sends = 0;
        let got = loop {
            let mut server = tokio::select! {
                got = client.message() => break got.expect("an answer"),
                (peer, _) = world.accept_either("d", "e") => peer,
                (peer, _) = world.accept_either("f", "g") => peer,
                (peer, _) = world.accept_either("h", "i") => peer,
                (peer, _) = world.accept_either("j", "k") => peer,
            };
            assert!(server.message().await.is_some());
            server.send(&not_executed("r1", 503)).await;
            sends += 1;
        };
        assert_eq!((got.status(), sends), (503, 4));
    })
    .await;
}

/// The second decode server has to be paid for.
#[tokio::test]
async fn without_retry_budget_a_stream_tries_one_decode_server() {
    let setup = Setup { retry_budget: 0.0, ..paired("", &["p"], &["d", "e"]) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let _kept = reading(world, "p", &prefilled("one")).await;
        let (mut server, _) = world.accept_either("d", "e").await;
        assert!(server.message().await.is_some());
        server.send(&not_executed("r1", 503)).await;
        let got = tokio::select! {
            got = client.message() => got.expect("an answer"),
            _ = world.accept_either("d", "e") => panic!("unpaid"),
        };
        assert_eq!(got.status(), 503);
    })
    .await;
}

/// The run of a resumed stream that broke may have taken the handle: no other server is sent to with it.
#[tokio::test]
async fn handle_of_a_resumed_stream_is_used_by_one_execution() {
    // A violation would end the request's task, and leave the test waiting.
    let _tolerance = lugwharf_invariants::tolerate();
    let setup = paired(r#","Resumable":true,"MaxAttempts":6"#, &["p"], &["d", "e", "f", "g"]);
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let _first_reader = reading(world, "p", &prefilled("one")).await;
        let mut server = any_decoder(world).await;
        assert!(server.message().await.is_some());
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        server.reset();
        let mut second_reader = reading(world, "p", &prefilled("two")).await;
        let mut server = any_decoder(world).await;
        let seen = server.message().await.expect("a request");
        assert!(seen.header("kv-from").is_some_and(|from| from.ends_with("/two")), "{}", seen.head);
        server.reset();
        let mut server = any_decoder(world).await;
        let seen = server.message().await.expect("a request");
        assert_eq!(seen.header("kv-from"), None, "{}", seen.head);
        is_freed(&mut second_reader, "two").await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(2))).await;
        server.send(LAST_CHUNK).await;
        assert_eq!(client.stream().await, (event(1) + event(2).as_str(), true));
    })
    .await;
}

async fn any_decoder(world: &World) -> Peer {
    tokio::select! {
        (peer, _) = world.accept_either("d", "e") => peer,
        (peer, _) = world.accept_either("f", "g") => peer,
    }
}
