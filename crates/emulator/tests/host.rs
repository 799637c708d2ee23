//! Servers on real sockets: what goes over the wire, each planned fault, and what the client finds.

use lugwharf_emulator::client::{AttemptEnd, Client, ClientRequest, Finding, Kind};
use lugwharf_emulator::fault::{Fault, Matcher, Reachability};
use lugwharf_emulator::host::{EmulatedServer, ServerOptions, World};
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::request_log::Violation;
use lugwharf_emulator::server_core::Identity;
use rstest::rstest;
use std::collections::BTreeSet;

const ANY: &str = "127.0.0.1:0";

async fn plain(world: &World, options: ServerOptions) -> EmulatedServer<PlainServer> {
    let core = PlainServer::new(Identity::new("i-1", "plain"), PlainParameters::default());
    EmulatedServer::start(world, ANY.parse().expect("an address"), core, options).await.expect("a socket")
}

async fn model(world: &World, instance: &str, stage: Stage) -> EmulatedServer<ModelServer> {
    let core = ModelServer::new(Identity::new(instance, "llm"), ModelParameters::quick(stage));
    let address = ANY.parse().expect("an address");
    EmulatedServer::start(world, address, core, ServerOptions::default()).await.expect("a socket")
}

fn post(id: &str) -> ClientRequest {
    ClientRequest::post(id, "host.example", "/a/b", Kind::Unsafe)
}

fn stream(id: &str) -> ClientRequest {
    ClientRequest::generation(id, "host.example", "/gen/1", (500, 17), &[(0xa1, 300)])
}

#[tokio::test]
async fn a_plain_request_is_served_on_a_kept_connection() {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    let mut client = Client::new(server.address());
    for id in ["r1", "r2"] {
        let outcome = client.send(&post(id)).await;
        assert!(outcome.is_success() && outcome.findings.is_empty(), "{outcome:?}");
        assert!(client.is_connected());
    }
    let arrivals = world.request_log().arrivals_of("r1");
    assert_eq!(
        (arrivals.len(), arrivals[0].method.as_str(), arrivals[0].target.as_str()),
        (1, "POST", "/a/b")
    );
    assert_eq!(world.request_log().executions_of("r2").len(), 1);
}

#[tokio::test]
async fn a_prompt_read_at_one_server_is_streamed_by_another() {
    let world = World::new();
    let reader = model(&world, "i-1", Stage::Prefill).await;
    let maker = model(&world, "i-2", Stage::Decode).await;
    let mut read = stream("r1");
    read.headers.push("Serving-Stage", "prefill");
    let outcome = Client::new(reader.address()).send(&read).await;
    assert!(outcome.is_success(), "{outcome:?}");
    let body: serde_json::Value = serde_json::from_slice(&outcome.body).expect("a JSON body");
    let handle = body["KvHandle"].as_str().expect("a handle");

    let mut make = stream("r1");
    make.headers.push("Kv-From", format!("{}/{handle}", reader.address()));
    let outcome = Client::new(maker.address()).send(&make).await;
    assert!(outcome.is_success() && outcome.findings.is_empty(), "{outcome:?}");
    assert_eq!(outcome.events.len(), 5);
    assert_eq!(world.request_log().executions_of("r1").len(), 1);
    assert_eq!(reader.with_core(|core| core.handle_count()), 0);
    let services = |_: &_| BTreeSet::from(["llm".to_owned()]);
    assert_eq!(world.request_log().violations(&[outcome], services), []);
}

#[rstest]
#[case::before_run(Fault::ResetBeforeExecution, AttemptEnd::Truncated, 0)]
#[case::lost_answer(Fault::DropResponse, AttemptEnd::Truncated, 1)]
#[case::after_answer(Fault::ResetAfterResponse, AttemptEnd::Complete, 1)]
#[case::reject(Fault::Reject, AttemptEnd::Complete, 0)]
#[case::garbage(Fault::Garbage, AttemptEnd::Malformed, 0)]
#[case::wrong_id(Fault::WrongRequestId, AttemptEnd::Complete, 1)]
#[case::surplus(Fault::SurplusResponse, AttemptEnd::Complete, 1)]
#[tokio::test]
async fn planned_faults(#[case] fault: Fault, #[case] ending: AttemptEnd, #[case] runs: usize) {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    server.inject(Matcher::any(), fault.clone(), 1);
    let outcome = Client::new(server.address()).send(&post("r1")).await;
    assert_eq!(outcome.ending, ending, "{outcome:?}");
    assert_eq!(world.request_log().executions_of("r1").len(), runs);
    assert_eq!(outcome.findings.contains(&Finding::RequestIdMismatch), fault == Fault::WrongRequestId);
    let second = Client::new(server.address()).send(&post("r2")).await;
    assert!(second.is_success(), "a fault is used up: {second:?}");
}

#[rstest]
#[case::by_reset(true)]
#[case::by_close(false)]
#[tokio::test]
async fn a_stream_cut_in_an_event(#[case] reset: bool) {
    let world = World::new();
    let server = model(&world, "i-1", Stage::Decode).await;
    server.inject(Matcher::any(), Fault::TruncateStream { after_events: 2, reset }, 1);
    let outcome = Client::new(server.address()).send(&stream("r1")).await;
    assert_eq!((outcome.ending, outcome.events.len()), (AttemptEnd::Truncated, 2), "{outcome:?}");
    assert_eq!(outcome.findings, []);
}

#[tokio::test]
async fn surplus_bytes_are_seen_before_the_next_request() {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    server.inject(Matcher::any(), Fault::SurplusResponse, 1);
    let mut client = Client::new(server.address());
    client.send(&post("r1")).await;
    let outcome = client.send(&post("r2")).await;
    // The surplus response stands there before the next request, or takes the place of its response.
    let is_seen = outcome.findings.contains(&Finding::SurplusBytes)
        || outcome.findings.contains(&Finding::RequestIdMismatch);
    assert!(is_seen, "{outcome:?}");
}

#[tokio::test]
async fn a_request_is_dropped_with_its_connection() {
    let world = World::new();
    let parameters =
        PlainParameters { work: std::time::Duration::from_secs(60), ..PlainParameters::default() };
    let core = PlainServer::new(Identity::new("i-1", "plain"), parameters);
    let address = ANY.parse().expect("an address");
    let server =
        EmulatedServer::start(&world, address, core, ServerOptions::default()).await.expect("a socket");
    let mut request = post("r1");
    request.deadline_ms = 100;
    request.headers.set("Deadline-Ms", "60000");
    let outcome = Client::new(server.address()).send(&request).await;
    assert_eq!(outcome.ending, AttemptEnd::TimedOut);
    use lugwharf_emulator::server_core::ServerCore;
    let is_idle =
        lugwharf_emulator::cluster::poll(|| async { server.with_core(|core| core.next_wake().is_none()) });
    assert!(is_idle.await);
}

#[rstest]
#[case::refusing(Reachability::Refusing)]
#[case::dark(Reachability::Blackholed)]
#[tokio::test]
async fn a_server_out_of_reach_runs_nothing(#[case] reachability: Reachability) {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    server.set_reachability(reachability);
    let mut request = post("r1");
    request.deadline_ms = 100;
    let outcome = Client::new(server.address()).send(&request).await;
    assert!(
        matches!(outcome.ending, AttemptEnd::TimedOut | AttemptEnd::Truncated | AttemptEnd::ConnectFailed),
        "{outcome:?}"
    );
    assert_eq!(world.request_log().executions_of("r1").len(), 0);
    server.set_reachability(Reachability::Serving);
    let outcome = Client::new(server.address()).send(&post("r2")).await;
    assert!(outcome.is_success(), "{outcome:?}");
}

#[tokio::test]
async fn an_address_is_taken_over_by_another_server() {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    let address = server.crash().await;
    let outcome = Client::new(address).send(&post("r1")).await;
    assert_eq!(outcome.ending, AttemptEnd::ConnectFailed);
    let core = PlainServer::new(Identity::new("i-2", "other"), PlainParameters::default());
    let _server = EmulatedServer::start(&world, address, core, ServerOptions::default())
        .await
        .expect("the same address");
    let mut request = post("r2");
    request.headers.push("Expect-Instance", "i-1");
    let outcome = Client::new(address).send(&request).await;
    assert_eq!(outcome.status, Some(421));
    assert!(outcome.promises_not_executed());
}

#[tokio::test]
async fn connections_beyond_the_most_are_reset() {
    let world = World::new();
    let server = plain(&world, ServerOptions { max_connections: 1, ..ServerOptions::default() }).await;
    let mut first = Client::new(server.address());
    assert!(first.send(&post("r1")).await.is_success());
    let second = Client::new(server.address()).send(&post("r2")).await;
    assert!(matches!(second.ending, AttemptEnd::Truncated | AttemptEnd::ConnectFailed), "{second:?}");
    assert!(first.send(&post("r3")).await.is_success());
}

#[tokio::test]
async fn the_record_tells_what_is_wrong() {
    let world = World::new();
    let server = plain(&world, ServerOptions::default()).await;
    let twice = post("r1");
    let first = Client::new(server.address()).send(&twice).await;
    Client::new(server.address()).send(&twice).await;
    Client::new(server.address()).send(&post("r2")).await;
    let elsewhere = |_: &_| BTreeSet::from(["llm".to_owned()]);
    let found = world.request_log().violations(&[first], elsewhere);
    assert!(found.contains(&Violation::ExecutedTwice { request_id: "r1".to_owned(), runs: 2 }));
    assert!(found.contains(&Violation::UnknownRequest { request_id: "r2".to_owned() }));
    assert!(
        found.contains(&Violation::WrongService { request_id: "r1".to_owned(), service: "plain".to_owned() })
    );
}
