//! Answers of 421: by `Expect-Instance`, which the proxy sets, or by a client's own `Expect-Version`. Each is one more arrival
//! and no run.

mod common;

use common::*;
use rstest::rstest;

const ASKS_VERSION: &str = "Expect-Version: 2\r\n";

#[rstest]
#[case::instance("")]
#[case::version(ASKS_VERSION)]
#[tokio::test]
async fn misdirected_request_is_retried_within_the_retry_budget(#[case] more: &str) {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", more).await;
        let (mut server, _, first) = world.offer_either("a", "b").await;
        server.send(&not_executed("r1", 421)).await;
        let (mut server, seen, second) = world.offer_either("a", "b").await;
        assert_ne!(first, second);
        assert_eq!(seen.header("expect-version"), (!more.is_empty()).then_some("2"));
        server.send(&answer("r1", "there")).await;
        assert_eq!(client.message().await.expect("an answer").body, "there");
    })
    .await;
}

#[rstest]
#[case::instance("")]
#[case::version(ASKS_VERSION)]
#[tokio::test]
async fn without_retry_budget_a_misdirected_request_gets_503_with_retry_after(#[case] more: &str) {
    let setup = Setup { retry_budget: 0.0, ..setup("safe", r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", more).await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&not_executed("r1", 421)).await;
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp")), (503, None));
        assert!(got.header("retry-after").is_some());
    })
    .await;
}

#[tokio::test]
async fn request_misdirected_everywhere_gets_503_not_421() {
    let setup = Setup { retry_budget: 10.0, ..setup("safe", r#","MaxAttempts":3"#) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", ASKS_VERSION).await;
        for _ in 0..2 {
            let (mut server, _, _) = world.offer_either("a", "b").await;
            server.send(&not_executed("r1", 421)).await;
        }
        let got = client.message().await.expect("an answer");
        assert_eq!((got.status(), got.header("server-stamp")), (503, None));
    })
    .await;
}

/// That a server has other weights than one client asked for tells nothing of others' requests.
#[tokio::test]
async fn version_mismatch_of_one_client_does_not_exclude_the_server_for_others() {
    let setup = Setup { retry_budget: 10.0, ..setup("unsafe", "") };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", ASKS_VERSION).await;
        for _ in 0..2 {
            let (mut server, _, _) = world.offer_either("a", "b").await;
            server.send(&not_executed("r1", 421)).await;
        }
        assert_eq!(client.message().await.expect("an answer").status(), 503);
        let mut other = world.ask("r2", "").await;
        let answered = async {
            let (mut server, _, _) = world.offer_either("a", "b").await;
            server.send(&answer("r2", "ok")).await;
            std::future::pending::<()>().await;
        };
        tokio::select! {
            got = other.message() => assert_eq!(got.expect("an answer").body, "ok"),
            () = answered => {}
        }
    })
    .await;
}

#[rstest]
#[case::running("versions: 3\nid: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n")]
#[case::with_carriage_returns("versions: 3\r\nid: 1\r\ndata: 1\r\n\r\n", "id: 2\r\ndata: 2\r\n\r\n")]
#[case::in_the_rest("id: 1\ndata: 1\n\n", "versions: 12\nid: 2\ndata: 2\n\n")]
#[case::one_that_looks_like_an_id("versions: 9\nevent: id: 7\nid: 1\n\n", "versions: 10\nid: 2\ndata:\n\n")]
#[tokio::test]
async fn version_lines_are_forwarded_and_resumption_uses_event_ids(
    #[case] first: &str, #[case] second: &str,
) {
    let more = r#","Resumable":true,"MaxAttempts":2"#;
    let setup = Setup { retry_budget: 10.0, ..setup("streaming", more) };
    with_world(setup, async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&stream_head("r1").replacen("\r\n", "\r\nVersions: 2\r\n", 1)).await;
        server.send(&chunk(&format!("{first}versions: 4\nid:"))).await;
        server.reset();
        let (mut server, seen, _) = world.offer_either("a", "b").await;
        assert_eq!(seen.header("last-event-id"), Some("1"));
        server
            .send(&stream_head("r1").replace("stamp-r1", "another").replacen(
                "\r\n",
                "\r\nVersions: 5\r\n",
                1,
            ))
            .await;
        server.send(&chunk(second)).await;
        server.send(LAST_CHUNK).await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.body, format!("{first}{second}"));
        assert_eq!((got.header("server-stamp"), got.header("versions")), (Some("stamp-r1"), Some("2")));
    })
    .await;
}

#[tokio::test]
async fn version_line_arriving_byte_by_byte_is_forwarded_complete() {
    with_world(setup("streaming", ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut server, _, _) = world.offer_either("a", "b").await;
        server.send(&stream_head("r1")).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        let whole = "versions: 3\nid: 1\ndata: 1\n\n";
        for byte in whole.chars() {
            server.send(&chunk(&byte.to_string())).await;
        }
        assert_eq!(client.chunk().await, Some(Some(whole.to_owned())));
    })
    .await;
}
