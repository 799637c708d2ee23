//! Tests of the plain server's state machine on virtual time.

mod support;

use lugwharf_emulator::client::{ClientRequest, RequestKind};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::server_core::{Identity, ServerEvent};
use lugwharf_emulator::wire::Request;
use rstest::rstest;
use support::{VirtualTimeServer, ms, with_header};

fn plain_server(slots: usize, queue_capacity: usize) -> VirtualTimeServer<PlainServer> {
    let parameters = PlainParameters { slots, queue_capacity, service_time: ms(10), response_bytes: 100 };
    VirtualTimeServer::new(PlainServer::new(Identity::new("i-1", "plain"), parameters))
}

fn unsafe_request(id: &str) -> Request {
    ClientRequest::post(id, "host.example", "/a/b", RequestKind::Unsafe).to_wire()
}

#[test]
fn requests_fill_slots_then_queue_then_are_rejected() {
    let mut server = plain_server(1, 1);
    let calls: Vec<_> = ["r1", "r2", "r3"].iter().map(|id| server.send(unsafe_request(id))).collect();
    server.run_for(ms(100));
    assert_eq!(
        calls.iter().map(|call| server.status(*call)).collect::<Vec<_>>(),
        [Some(200), Some(200), Some(503)]
    );
    let rejection = server.response(calls[2]).expect("the call has a response");
    assert!(rejection.headers.get("Not-Executed").is_some());
    assert_eq!(rejection.headers.get("Load-Report"), Some("1,1,1"));
    assert_eq!(calls.iter().map(|call| server.executions(*call)).collect::<Vec<_>>(), [1, 1, 0]);
}

#[rstest]
#[case::exceeded("5", 504, 1)]
#[case::in_time("50", 200, 1)]
fn deadline_during_execution_gives_504(#[case] deadline: &str, #[case] status: u16, #[case] runs: usize) {
    let mut server = plain_server(1, 1);
    let call = server.send(with_header(unsafe_request("r1"), "Deadline-Ms", deadline));
    server.run_for(ms(100));
    assert_eq!((server.status(call), server.executions(call)), (Some(status), runs));
}

#[test]
fn deadline_in_the_queue_rejects_the_request() {
    let mut server = plain_server(1, 4);
    server.send(unsafe_request("r1"));
    let call = server.send(with_header(unsafe_request("r2"), "Deadline-Ms", "5"));
    server.run_for(ms(100));
    assert_eq!((server.status(call), server.executions(call)), (Some(503), 0));
}

#[rstest]
#[case::other_instance("Expect-Instance", "i-2", 421)]
#[case::this_instance("Expect-Instance", "i-1", 200)]
fn expect_instance_must_match(#[case] name: &str, #[case] value: &str, #[case] status: u16) {
    let mut server = plain_server(1, 4);
    let call = server.send(with_header(unsafe_request("r1"), name, value));
    server.run_for(ms(100));
    assert_eq!(server.status(call), Some(status));
}

#[test]
fn request_without_id_is_rejected_with_400() {
    let mut server = plain_server(1, 4);
    let mut without_id = unsafe_request("r1");
    without_id.headers.remove("Request-Id");
    let call = server.send(without_id);
    let response = server.response(call).expect("the call has a response");
    assert_eq!(response.status, 400);
    assert!(response.headers.get("Not-Executed").is_some());
}

#[test]
fn draining_server_keeps_serving_and_closes_connections() {
    let mut server = plain_server(1, 4);
    server.send_event(ServerEvent::Drain);
    let health = server.send(Request::new("GET", "/health"));
    let call = server.send(unsafe_request("r1"));
    server.run_for(ms(100));
    assert_eq!((server.status(health), server.status(call)), (Some(503), Some(200)));
    assert_eq!(server.response(call).and_then(|response| response.headers.get("Connection")), Some("close"));
}

#[test]
fn cancelled_request_frees_its_slot() {
    let mut server = plain_server(1, 4);
    let first = server.send(unsafe_request("r1"));
    let second = server.send(unsafe_request("r2"));
    server.run_for(ms(4));
    server.send_event(ServerEvent::Cancelled { call: first });
    server.run_for(ms(10));
    assert_eq!((server.status(first), server.status(second)), (None, Some(200)));
}
