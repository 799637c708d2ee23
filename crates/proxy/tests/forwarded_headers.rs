//! What goes along with every send of a request, and what only the proxy may say.

mod common;

use common::pairs::*;
use common::*;
use rstest::rstest;

/// Odd on purpose: names in any case, a name twice, spaces inside a value.
const PROMPT: &str = "mODEL: m one\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nprompt-prefix: e4402b7d:250\r\n";

/// The lines that tell of the prompt, as they came.
fn prompt_lines(seen: &Message) -> String {
    let is_told = |line: &&str| {
        let name = line.split(':').next().unwrap_or_default().to_ascii_lowercase();
        ["model", "token-counts", "prompt-prefix"].contains(&name.as_str())
    };
    seen.head.lines().filter(is_told).map(|line| format!("{line}\r\n")).collect()
}

#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_every_attempt_of_a_generation() {
    let more = r#","Resumable":true,"MaxAttempts":2"#;
    let setup = Setup { retry_budget: 10.0, ..split(more, &["d", "e"]) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", PROMPT).await;
        let (mut reader, seen) = world.offer("p").await;
        assert_eq!(prompt_lines(&seen), PROMPT, "the reading");
        reader.send(&not_executed("r1", 503)).await;
        let (mut server, seen, _) = offer_decode(world).await;
        assert_eq!(prompt_lines(&seen), PROMPT, "the run");
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        server.reset();
        // The same id does not go twice on one connection: a late copy of the first refusal would pass for the second one's.
        let (mut second_reader, seen) = tokio::select! {
            seen = reader.message() => panic!("on the connection of the first reading: {seen:?}"),
            offered = world.offer("p") => offered,
        };
        assert_eq!(prompt_lines(&seen), PROMPT, "the reading for the rest");
        second_reader.send(&not_executed("r1", 503)).await;
        let (mut server, seen, _) = offer_decode(world).await;
        assert_eq!(
            (prompt_lines(&seen).as_str(), seen.header("last-event-id")),
            (PROMPT, Some("1")),
            "the rest"
        );
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(2))).await;
        server.send(LAST_CHUNK).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1) + event(2).as_str());
    })
    .await;
}

#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_prefill_and_decode() {
    with_world(split("", &["d"]), async |world| {
        let _client = world.ask("r1", PROMPT).await;
        let (mut reader, seen) = world.offer("p").await;
        assert_eq!((prompt_lines(&seen).as_str(), seen.header("serving-stage")), (PROMPT, Some("prefill")));
        reader.send(&prefilled("r1")).await;
        let (_server, seen) = world.offer("d").await;
        assert_eq!(prompt_lines(&seen), PROMPT);
    })
    .await;
}

#[rstest]
#[case::rejected(Some(503))]
#[case::misdirected(Some(421))]
#[case::reset(None)]
#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_a_retry(#[case] status: Option<u16>) {
    let setup = Setup { retry_budget: 10.0, ..setup("safe", r#","MaxAttempts":2"#) };
    with_world(setup, async |world| {
        let _client = world.ask("r1", PROMPT).await;
        let (mut server, seen, first) = world.offer_either("a", "b").await;
        assert_eq!(prompt_lines(&seen), PROMPT);
        match status {
            Some(status) => server.send(&not_executed("r1", status)).await,
            None => server.reset(),
        }
        let (_server, seen, second) = world.offer_either("a", "b").await;
        assert_eq!(prompt_lines(&seen), PROMPT);
        assert_ne!(first, second);
    })
    .await;
}

/// The fields that are the system's to set.
const FORGED: &str =
    "Serving-Stage: prefill\r\nserving-stage: decode\r\nKv-From: 10.0.0.1:80/x\r\nExpect-Instance: i-z\r\n";

#[tokio::test]
async fn reserved_headers_of_a_client_are_replaced_in_a_generation() {
    with_world(split("", &["d"]), async |world| {
        let _client = world.ask("r1", FORGED).await;
        let (mut reader, seen) = world.offer("p").await;
        assert_eq!(seen.head.to_lowercase().matches("serving-stage").count(), 1);
        assert_eq!((seen.header("serving-stage"), seen.header("kv-from")), (Some("prefill"), None));
        assert_eq!(seen.header("expect-instance"), Some("i-p"));
        reader.send(&prefilled("r1")).await;
        let (_server, seen) = world.offer("d").await;
        assert_eq!((seen.header("serving-stage"), seen.header("expect-instance")), (None, Some("i-d")));
        assert_eq!(seen.head.to_lowercase().matches("kv-from").count(), 1);
        assert_eq!(seen.header("kv-from"), Some(format!("{}/{HANDLE}", world.address("p")).as_str()));
    })
    .await;
}

#[tokio::test]
async fn reserved_headers_of_a_client_are_replaced_in_a_plain_request() {
    with_world(setup("unsafe", ""), async |world| {
        let _client = world.ask("r1", FORGED).await;
        let (_server, seen, name) = world.offer_either("a", "b").await;
        assert_eq!((seen.header("serving-stage"), seen.header("kv-from")), (None, None));
        assert_eq!(seen.header("expect-instance"), Some(format!("i-{name}").as_str()));
    })
    .await;
}

#[rstest]
#[case::none("", "", "0")]
#[case::the_routes(r#","Priority":3"#, "", "3")]
#[case::the_clients_own_is_not_asked(r#","Priority":3"#, "Priority: 0\r\n", "3")]
#[case::beyond_what_servers_know(r#","Priority":12"#, "", "9")]
#[tokio::test]
async fn priority_at_a_model_server_is_the_routes(
    #[case] route: &str, #[case] own: &str, #[case] told: &str,
) {
    with_world(split(route, &["d"]), async |world| {
        let _client = world.ask("r1", own).await;
        let _reader = prefill(world, "r1").await;
        let (_server, seen) = world.offer("d").await;
        assert_eq!(seen.header("priority"), Some(told));
        assert_eq!(seen.head.to_lowercase().matches("priority:").count(), 1);
    })
    .await;
}

#[tokio::test]
async fn priority_header_is_forwarded_to_a_plain_service() {
    with_world(setup("unsafe", r#","Priority":3"#), async |world| {
        let _client = world.ask("r1", "Priority: u=1\r\n").await;
        let (_server, seen, _) = world.offer_either("a", "b").await;
        assert_eq!(seen.header("priority"), Some("u=1"));
    })
    .await;
}

#[tokio::test]
async fn versions_header_of_a_response_is_forwarded() {
    with_world(setup("unsafe", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&answer("r1", "ok").replacen("\r\n", "\r\nVersions: 7\r\n", 1)).await;
        assert_eq!(client.message().await.expect("an answer").header("versions"), Some("7"));
    })
    .await;
}
