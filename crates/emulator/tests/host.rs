//! Tests of emulated servers on real sockets: responses, planned faults, and the checks of a client.

use lugwharf_emulator::client::{AttemptEnd, Client, ClientRequest, FailedCheck, RequestKind};
use lugwharf_emulator::fault::{Fault, Reachability, RequestMatcher};
use lugwharf_emulator::host::{EmulatedServer, Environment, ServerOptions};
use lugwharf_emulator::model_server::{ModelParameters, ModelServer, Stage};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::request_log::Violation;
use lugwharf_emulator::server_core::Identity;
use rstest::rstest;
use std::collections::BTreeSet;

/// The loopback address with a port that the operating system selects.
const ANY_PORT: &str = "127.0.0.1:0";

async fn start_plain_server(
    environment: &Environment, options: ServerOptions,
) -> EmulatedServer<PlainServer> {
    let core = PlainServer::new(Identity::new("i-1", "plain"), PlainParameters::default());
    EmulatedServer::start(environment, ANY_PORT.parse().expect("the address is valid"), core, options)
        .await
        .expect("the server binds its address")
}

async fn start_model_server(
    environment: &Environment, instance: &str, stage: Stage,
) -> EmulatedServer<ModelServer> {
    let core = ModelServer::new(Identity::new(instance, "llm"), ModelParameters::small_and_fast(stage));
    let address = ANY_PORT.parse().expect("the address is valid");
    EmulatedServer::start(environment, address, core, ServerOptions::default())
        .await
        .expect("the server binds its address")
}

fn unsafe_request(id: &str) -> ClientRequest {
    ClientRequest::post(id, "host.example", "/a/b", RequestKind::Unsafe)
}

fn stream_request(id: &str) -> ClientRequest {
    ClientRequest::generation(id, "host.example", "/gen/1", (500, 17), &[(0xa1, 300)])
}

#[tokio::test]
async fn plain_requests_are_served_on_a_reused_connection() {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    let mut client = Client::new(server.address());
    for id in ["r1", "r2"] {
        let outcome = client.send(&unsafe_request(id)).await;
        assert!(outcome.is_success() && outcome.failed_checks.is_empty(), "{outcome:?}");
        assert!(client.is_connected());
    }
    let arrivals = environment.request_log().arrivals_of("r1");
    assert_eq!(
        (arrivals.len(), arrivals[0].method.as_str(), arrivals[0].target.as_str()),
        (1, "POST", "/a/b")
    );
    assert_eq!(environment.request_log().executions_of("r2").len(), 1);
}

#[tokio::test]
async fn prompt_prefilled_by_one_server_is_decoded_by_another() {
    let environment = Environment::new();
    let prefill_server = start_model_server(&environment, "i-1", Stage::Prefill).await;
    let decode_server = start_model_server(&environment, "i-2", Stage::Decode).await;
    let mut prefill = stream_request("r1");
    prefill.headers.push("Serving-Stage", "prefill");
    let outcome = Client::new(prefill_server.address()).send(&prefill).await;
    assert!(outcome.is_success(), "{outcome:?}");
    let body: serde_json::Value = serde_json::from_slice(&outcome.body).expect("the body is JSON");
    let handle = body["KvHandle"].as_str().expect("the response contains a handle");

    let mut decode = stream_request("r1");
    decode.headers.push("Kv-From", format!("{}/{handle}", prefill_server.address()));
    let outcome = Client::new(decode_server.address()).send(&decode).await;
    assert!(outcome.is_success() && outcome.failed_checks.is_empty(), "{outcome:?}");
    assert_eq!(outcome.events.len(), 5);
    assert_eq!(environment.request_log().executions_of("r1").len(), 1);
    assert_eq!(prefill_server.with_core(|core| core.handle_count()), 0);
    let services = |_: &_| BTreeSet::from(["llm".to_owned()]);
    assert_eq!(environment.request_log().violations(&[outcome], services), []);
}

#[rstest]
#[case::reset_before_execution(Fault::ResetBeforeExecution, AttemptEnd::Truncated, 0)]
#[case::dropped_response(Fault::DropResponse, AttemptEnd::Truncated, 1)]
#[case::reset_after_response(Fault::ResetAfterResponse, AttemptEnd::Complete, 1)]
#[case::reject(Fault::Reject, AttemptEnd::Complete, 0)]
#[case::garbage(Fault::Garbage, AttemptEnd::Malformed, 0)]
#[case::wrong_request_id(Fault::WrongRequestId, AttemptEnd::Complete, 1)]
#[case::surplus_response(Fault::SurplusResponse, AttemptEnd::Complete, 1)]
#[tokio::test]
async fn planned_fault_hits_one_request(
    #[case] fault: Fault, #[case] ending: AttemptEnd, #[case] runs: usize,
) {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    server.inject(RequestMatcher::any(), fault.clone(), 1);
    let outcome = Client::new(server.address()).send(&unsafe_request("r1")).await;
    assert_eq!(outcome.ending, ending, "{outcome:?}");
    assert_eq!(environment.request_log().executions_of("r1").len(), runs);
    assert_eq!(
        outcome.failed_checks.contains(&FailedCheck::RequestIdMismatch),
        fault == Fault::WrongRequestId
    );
    let second = Client::new(server.address()).send(&unsafe_request("r2")).await;
    assert!(second.is_success(), "the fault hits one request: {second:?}");
}

#[rstest]
#[case::by_reset(true)]
#[case::by_close(false)]
#[tokio::test]
async fn stream_truncated_inside_an_event(#[case] reset: bool) {
    let environment = Environment::new();
    let server = start_model_server(&environment, "i-1", Stage::Decode).await;
    server.inject(RequestMatcher::any(), Fault::TruncateStream { after_events: 2, reset }, 1);
    let outcome = Client::new(server.address()).send(&stream_request("r1")).await;
    assert_eq!((outcome.ending, outcome.events.len()), (AttemptEnd::Truncated, 2), "{outcome:?}");
    assert_eq!(outcome.failed_checks, []);
}

#[tokio::test]
async fn surplus_bytes_are_found_before_the_next_request() {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    server.inject(RequestMatcher::any(), Fault::SurplusResponse, 1);
    let mut client = Client::new(server.address());
    client.send(&unsafe_request("r1")).await;
    let outcome = client.send(&unsafe_request("r2")).await;
    // The surplus response either arrives before the next request or is read as its response.
    let is_found = outcome.failed_checks.contains(&FailedCheck::SurplusBytes)
        || outcome.failed_checks.contains(&FailedCheck::RequestIdMismatch);
    assert!(is_found, "{outcome:?}");
}

#[tokio::test]
async fn request_is_cancelled_with_its_connection() {
    let environment = Environment::new();
    let parameters =
        PlainParameters { service_time: std::time::Duration::from_secs(60), ..PlainParameters::default() };
    let core = PlainServer::new(Identity::new("i-1", "plain"), parameters);
    let address = ANY_PORT.parse().expect("the address is valid");
    let server = EmulatedServer::start(&environment, address, core, ServerOptions::default())
        .await
        .expect("the server binds its address");
    let mut request = unsafe_request("r1");
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
#[case::blackholed(Reachability::Blackholed)]
#[tokio::test]
async fn unreachable_server_executes_nothing(#[case] reachability: Reachability) {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    server.set_reachability(reachability);
    let mut request = unsafe_request("r1");
    request.deadline_ms = 100;
    let outcome = Client::new(server.address()).send(&request).await;
    assert!(
        matches!(outcome.ending, AttemptEnd::TimedOut | AttemptEnd::Truncated | AttemptEnd::ConnectFailed),
        "{outcome:?}"
    );
    assert_eq!(environment.request_log().executions_of("r1").len(), 0);
    server.set_reachability(Reachability::Serving);
    let outcome = Client::new(server.address()).send(&unsafe_request("r2")).await;
    assert!(outcome.is_success(), "{outcome:?}");
}

#[tokio::test]
async fn address_of_a_crashed_server_can_be_reused() {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    let address = server.crash().await;
    let outcome = Client::new(address).send(&unsafe_request("r1")).await;
    assert_eq!(outcome.ending, AttemptEnd::ConnectFailed);
    let core = PlainServer::new(Identity::new("i-2", "other"), PlainParameters::default());
    let _server = EmulatedServer::start(&environment, address, core, ServerOptions::default())
        .await
        .expect("the address can be bound again");
    let mut request = unsafe_request("r2");
    request.headers.push("Expect-Instance", "i-1");
    let outcome = Client::new(address).send(&request).await;
    assert_eq!(outcome.status, Some(421));
    assert!(outcome.promises_not_executed());
}

#[tokio::test]
async fn connections_over_the_limit_are_reset() {
    let environment = Environment::new();
    let server =
        start_plain_server(&environment, ServerOptions { max_connections: 1, ..ServerOptions::default() })
            .await;
    let mut first = Client::new(server.address());
    assert!(first.send(&unsafe_request("r1")).await.is_success());
    let second = Client::new(server.address()).send(&unsafe_request("r2")).await;
    assert!(matches!(second.ending, AttemptEnd::Truncated | AttemptEnd::ConnectFailed), "{second:?}");
    assert!(first.send(&unsafe_request("r3")).await.is_success());
}

#[tokio::test]
async fn request_log_finds_broken_promises() {
    let environment = Environment::new();
    let server = start_plain_server(&environment, ServerOptions::default()).await;
    let sent_twice = unsafe_request("r1");
    let first = Client::new(server.address()).send(&sent_twice).await;
    Client::new(server.address()).send(&sent_twice).await;
    Client::new(server.address()).send(&unsafe_request("r2")).await;
    let other_service = |_: &_| BTreeSet::from(["llm".to_owned()]);
    let found = environment.request_log().violations(&[first], other_service);
    assert!(found.contains(&Violation::ExecutedTwice { request_id: "r1".to_owned(), runs: 2 }));
    assert!(found.contains(&Violation::UnknownRequest { request_id: "r2".to_owned() }));
    assert!(
        found.contains(&Violation::WrongService { request_id: "r1".to_owned(), service: "plain".to_owned() })
    );
}
