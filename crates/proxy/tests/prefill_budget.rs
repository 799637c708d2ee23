//! What the reading of a prompt costs of the retry budget: the first call that a server takes up nothing; rejected and further
//! ones like any other arrival.

mod common;

use common::pairs::*;
use common::*;
use lugwharf_protocol::Stage;

/// The retry budgets with which a proxy that has had one request may send nothing more for it, or once more: it spends half.
const NO_EXTRA: f64 = 0.0;
const ONE_EXTRA: f64 = 2.0;

/// Two servers read prompts, p and q; a budget of so many arrivals for each request.
fn readers(retry_budget: f64, more: &str) -> Setup {
    let mut setup = Setup { retry_budget, ..split(more, &["d", "e"]) };
    setup.servers.push(("q", Some(Stage::Prefill)));
    setup
}

#[tokio::test]
async fn first_prefill_withdraws_nothing() {
    with_world(readers(NO_EXTRA, ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut reader, _, _) = world.offer_either("p", "q").await;
        reader.send(&prefilled("r1")).await;
        let (mut server, seen, _) = offer_decode(world).await;
        assert!(seen.header("kv-from").is_some());
        server.send(&whole_stream("r1", 2)).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1) + event(2).as_str());
    })
    .await;
}

#[tokio::test]
async fn rejected_prefill_counts_as_an_arrival() {
    with_world(readers(NO_EXTRA, ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut reader, _, _) = world.offer_either("p", "q").await;
        reader.send(&not_executed("r1", 503)).await;
        let got = client.message().await.expect("an answer");
        assert_eq!(got.status(), 503, "nothing may be sent any more");
        assert!(got.header("retry-after").is_some());
    })
    .await;
}

/// The rejected call is the request's first arrival, its run the second; the reading between them is free.
#[tokio::test]
async fn first_accepted_prefill_is_free_after_a_rejected_one() {
    with_world(readers(ONE_EXTRA, ""), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut reader, _, first) = world.offer_either("p", "q").await;
        reader.send(&not_executed("r1", 503)).await;
        let (mut reader, _, second) = world.offer_either("p", "q").await;
        assert_ne!(first, second);
        reader.send(&prefilled("r1")).await;
        let (mut server, seen, _) = tokio::select! {
            offered = offer_decode(world) => offered,
            got = client.message() => panic!("refused: {got:?}"),
        };
        assert!(seen.header("kv-from").is_some());
        server.send(&whole_stream("r1", 1)).await;
        assert_eq!(client.message().await.expect("an answer").body, event(1));
    })
    .await;
}

/// A run that broke off, and the reading for its rest: with a budget of one the rest can't be asked for as well.
#[tokio::test]
async fn second_prefill_counts_as_an_arrival() {
    let more = r#","Resumable":true,"MaxAttempts":3"#;
    with_world(readers(ONE_EXTRA, more), async |world| {
        let mut client = world.ask("r1", "").await;
        let (mut reader, _, _) = world.offer_either("p", "q").await;
        reader.send(&prefilled("r1")).await;
        let (mut server, _, _) = offer_decode(world).await;
        server.send(&stream_head("r1")).await;
        server.send(&chunk(&event(1))).await;
        server.reset();
        let (mut second, seen) = tokio::select! {
            offered = world.offer_either("p", "q") => (offered.0, offered.1),
            seen = reader.message() => (reader, seen.expect("a request")),
        };
        assert_eq!(seen.header("serving-stage"), Some("prefill"));
        second.send(&prefilled("r1")).await;
        assert!(client.until("\r\n\r\n").await.is_some());
        assert_eq!(client.stream().await, (event(1), false));
        is_freed(&mut second).await;
    })
    .await;
}
