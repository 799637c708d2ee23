//! Request headers: which headers of the client are forwarded unchanged in every attempt, and which headers
//! only the proxy may set.

mod support;

use rstest::rstest;
use support::prefill::*;
use support::*;

/// Intentionally unusual headers: names in mixed case, a repeated name, a space in a value.
const PROMPT: &str = "mODEL: m one\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410\r\nprompt-prefix: e4402b7d:250\r\n";

/// Returns the headers that describe the prompt, as they were received.
fn prompt_headers(received: &Message) -> String {
    let is_prompt_header = |line: &&str| {
        let name = line.split(':').next().unwrap_or_default().to_ascii_lowercase();
        ["model", "token-counts", "prompt-prefix"].contains(&name.as_str())
    };
    received.head.lines().filter(is_prompt_header).map(|line| format!("{line}\r\n")).collect()
}

#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_every_attempt_of_a_generation() {
    let scenario =
        Scenario::prefill_decode(&["p"], &["d", "e"]).resumable().max_attempts(2).retry_budget(10.0);
    with_proxy(scenario, async |proxy| {
        let mut client = proxy.send_request("r1", PROMPT).await;
        let (mut prefill_server, received) = proxy.receive("p").await;
        assert_eq!(prompt_headers(&received), PROMPT, "the prefill");
        prefill_server.send(&rejection("r1", 503)).await;
        let (mut server, received, _) = receive_decode(proxy).await;
        assert_eq!(prompt_headers(&received), PROMPT, "the decode");
        server.start_stream("r1", 1).await;
        server.reset();
        // The same request id is not sent twice on one connection, since a duplicate of the first rejection
        // could be taken for the second.
        let (mut second_prefill_server, received) = tokio::select! {
            received = prefill_server.read_message() => panic!("received on the connection of the first prefill: {received:?}"),
            offered = proxy.receive("p") => offered,
        };
        assert_eq!(prompt_headers(&received), PROMPT, "the prefill for the resumption");
        second_prefill_server.send(&rejection("r1", 503)).await;
        let (mut server, received, _) = receive_decode(proxy).await;
        assert_eq!(
            (prompt_headers(&received).as_str(), received.header("last-event-id")),
            (PROMPT, Some("1")),
            "the resumption"
        );
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(2))).await;
        server.send(LAST_CHUNK).await;
        assert_eq!(client.read_response().await.body, events(2));
    })
    .await;
}

#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_prefill_and_decode() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let _client = proxy.send_request("r1", PROMPT).await;
        let (mut prefill_server, received) = proxy.receive("p").await;
        assert_eq!(
            (prompt_headers(&received).as_str(), received.header("serving-stage")),
            (PROMPT, Some("prefill"))
        );
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (_server, received) = proxy.receive("d").await;
        assert_eq!(prompt_headers(&received), PROMPT);
    })
    .await;
}

#[rstest]
#[case::rejected(Some(503))]
#[case::misdirected(Some(421))]
#[case::reset(None)]
#[tokio::test]
async fn prompt_headers_are_forwarded_unchanged_to_a_retry(#[case] status: Option<u16>) {
    with_proxy(Scenario::new("safe").max_attempts(2).retry_budget(10.0), async |proxy| {
        let _client = proxy.send_request("r1", PROMPT).await;
        let (mut server, received, first) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!(prompt_headers(&received), PROMPT);
        match status {
            Some(status) => server.send(&rejection("r1", status)).await,
            None => server.reset(),
        }
        let (_server, received, second) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!(prompt_headers(&received), PROMPT);
        assert_ne!(first, second);
    })
    .await;
}

/// Headers that only the proxy may set.
const FORGED: &str =
    "Serving-Stage: prefill\r\nserving-stage: decode\r\nKv-From: 10.0.0.1:80/x\r\nExpect-Instance: i-z\r\n";

#[tokio::test]
async fn reserved_headers_of_a_client_are_replaced_in_a_generation() {
    with_proxy(Scenario::prefill_decode(&["p"], &["d"]), async |proxy| {
        let _client = proxy.send_request("r1", FORGED).await;
        let (mut prefill_server, received) = proxy.receive("p").await;
        assert_eq!(received.head.to_lowercase().matches("serving-stage").count(), 1);
        assert_eq!((received.header("serving-stage"), received.header("kv-from")), (Some("prefill"), None));
        assert_eq!(received.header("expect-instance"), Some("i-p"));
        prefill_server.send(&prefill_response("r1", HANDLE)).await;
        let (_server, received) = proxy.receive("d").await;
        assert_eq!(
            (received.header("serving-stage"), received.header("expect-instance")),
            (None, Some("i-d"))
        );
        assert_eq!(received.head.to_lowercase().matches("kv-from").count(), 1);
        assert_eq!(received.header("kv-from"), Some(format!("{}/{HANDLE}", proxy.address("p")).as_str()));
    })
    .await;
}

#[tokio::test]
async fn reserved_headers_of_a_client_are_replaced_in_a_plain_request() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let _client = proxy.send_request("r1", FORGED).await;
        let (_server, received, name) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!((received.header("serving-stage"), received.header("kv-from")), (None, None));
        assert_eq!(received.header("expect-instance"), Some(format!("i-{name}").as_str()));
    })
    .await;
}

#[rstest]
#[case::none(None, "", "0")]
#[case::of_the_route(Some(3), "", "3")]
#[case::of_the_client_is_replaced(Some(3), "Priority: 0\r\n", "3")]
#[case::above_the_maximum(Some(12), "", "9")]
#[tokio::test]
async fn model_server_receives_the_priority_of_the_route(
    #[case] of_route: Option<u32>, #[case] headers: &str, #[case] expected: &str,
) {
    let scenario = Scenario::prefill_decode(&["p"], &["d"]);
    let scenario = match of_route {
        Some(priority) => scenario.priority(priority),
        None => scenario,
    };
    with_proxy(scenario, async |proxy| {
        let _client = proxy.send_request("r1", headers).await;
        let _prefill_server = serve_prefill(proxy, "r1").await;
        let (_server, received) = proxy.receive("d").await;
        assert_eq!(received.header("priority"), Some(expected));
        assert_eq!(received.head.to_lowercase().matches("priority:").count(), 1);
    })
    .await;
}

#[tokio::test]
async fn priority_header_is_forwarded_to_a_plain_service() {
    with_proxy(Scenario::new("unsafe").priority(3), async |proxy| {
        let _client = proxy.send_request("r1", "Priority: u=1\r\n").await;
        let (_server, received, _) = proxy.receive_any(&PLAIN_SERVERS).await;
        assert_eq!(received.header("priority"), Some("u=1"));
    })
    .await;
}

#[tokio::test]
async fn versions_header_of_a_response_is_forwarded() {
    with_proxy(Scenario::new("unsafe"), async |proxy| {
        let (mut client, mut server, _) = proxy.dispatch("r1", "").await;
        server.send(&with_headers(&ok_response("r1", "ok"), "Versions: 7\r\n")).await;
        assert_eq!(client.read_response().await.header("versions"), Some("7"));
    })
    .await;
}
