//! Tests of servers that fail, drain, move or change their stage, and of the effects on clients and other
//! servers.

mod support;

use lugwharf_emulator::client::{AttemptEnd, Client};
use lugwharf_emulator::client::{AttemptOutcome, ClientRequest, RequestKind};
use lugwharf_emulator::cluster::poll;
use lugwharf_emulator::fault::Reachability;
use lugwharf_emulator::fault::{Fault, RequestMatcher};
use lugwharf_emulator::wire::Request;
use rstest::rstest;
use std::time::Duration;
use support::{Fleet, OTHER_SERVICE, SMALL, next_configuration};

/// The number of requests in a batch, which shows where requests go.
const BATCH_SIZE: usize = 20;

/// The number of concurrent requests: so many that they are spread over two servers by their scores, and
/// fewer than the slots of both.
const CONCURRENT_REQUESTS: usize = 10;

#[rstest]
#[case::reset_before_execution(Fault::ResetBeforeExecution)]
#[case::dropped_response(Fault::DropResponse)]
#[case::reset_after_response(Fault::ResetAfterResponse)]
#[case::garbage(Fault::Garbage)]
#[case::wrong_request_id(Fault::WrongRequestId)]
#[case::surplus_response(Fault::SurplusResponse)]
#[case::reject(Fault::Reject)]
#[case::hang(Fault::Hang)]
#[tokio::test]
async fn unsafe_request_is_executed_at_most_once_and_responses_are_never_mixed(#[case] fault: Fault) {
    let mut fleet = Fleet::start(SMALL).await;
    for server in &fleet.plain_servers {
        server.inject(RequestMatcher::any(), fault.clone(), 1);
    }
    let mut client = Client::new(fleet.cluster.front_address(0));
    let mut outcomes = Vec::new();
    for _ in 0..8 {
        let mut request = fleet.work();
        request.deadline_ms = 1_000;
        outcomes.push(client.send(&request).await);
    }
    for outcome in &outcomes {
        assert_eq!(outcome.failed_checks, [], "{outcome:?}\n{}", fleet.cluster.logs());
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_success()).count();
    assert!(served >= 4, "{served} of 8 served\n{}", fleet.cluster.logs());
    assert_eq!(fleet.violations(&outcomes), []);
}

#[rstest]
#[case::reset_before_execution(Fault::ResetBeforeExecution)]
#[case::reject(Fault::Reject)]
#[case::garbage(Fault::Garbage)]
#[case::dropped_response(Fault::DropResponse)]
#[tokio::test]
async fn failed_prefill_does_not_fail_the_generation(#[case] fault: Fault) {
    let mut fleet = Fleet::start(SMALL).await;
    for server in &fleet.prefill_servers {
        server.inject(RequestMatcher { prefill: Some(true), ..RequestMatcher::any() }, fault.clone(), 1);
    }
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        let request = fleet.generation(9);
        outcomes.push(fleet.send(0, &request).await);
    }
    assert!(outcomes.iter().any(|outcome| outcome.is_success()), "{outcomes:?}\n{}", fleet.cluster.logs());
    for outcome in &outcomes {
        assert_eq!(outcome.failed_checks, [], "{outcome:?}");
    }
    assert_eq!(fleet.violations(&outcomes), []);
}

#[rstest]
#[case::by_reset(true)]
#[case::by_close(false)]
#[tokio::test]
async fn truncated_stream_is_visibly_truncated_and_not_retried(#[case] reset: bool) {
    let mut fleet = Fleet::start(SMALL).await;
    for server in &fleet.decode_servers {
        server.inject(RequestMatcher::any(), Fault::TruncateStream { after_events: 2, reset }, 1);
    }
    let request = fleet.generation(17);
    let outcome = fleet.send(0, &request).await;
    assert_eq!(
        (outcome.ending, outcome.failed_checks.as_slice()),
        (AttemptEnd::Truncated, &[][..]),
        "{outcome:?}"
    );
    assert!(outcome.events.len() >= 2, "{outcome:?}");
    assert_eq!(fleet.violations(&[outcome]), []);
}

#[tokio::test]
async fn draining_server_gets_no_new_requests() {
    let mut fleet = Fleet::start(SMALL).await;
    let draining = fleet.plain_servers[0].instance();
    fleet.platform.drain(&draining);
    let is_list_read =
        || fleet.platform.requests().iter().any(|call| call.body.contains(r#""State":"draining""#));
    assert!(poll(|| async { is_list_read() }).await, "the list is not read\n{}", fleet.cluster.logs());
    let mut has_no_arrivals = false;
    for _ in 0..100 {
        has_no_arrivals = arrivals_in_a_batch(&mut fleet, &draining).await == 0;
        if has_no_arrivals {
            break;
        }
    }
    assert!(has_no_arrivals, "{}", fleet.cluster.logs());
    for _ in 0..3 {
        assert_eq!(arrivals_in_a_batch(&mut fleet, &draining).await, 0);
    }
}

/// Sends a batch of requests and returns how many arrived at the server.
async fn arrivals_in_a_batch(fleet: &mut Fleet, instance: &str) -> usize {
    let mut arrivals = 0;
    for _ in 0..BATCH_SIZE {
        let request = fleet.work();
        let outcome = fleet.send(0, &request).await;
        assert!(outcome.is_success(), "{outcome:?}\n{}", fleet.cluster.logs());
        let seen = fleet.environment.request_log().arrivals_of(&request.request_id);
        arrivals += seen.iter().filter(|arrival| arrival.instance == instance).count();
    }
    arrivals
}

#[tokio::test]
async fn added_server_gets_requests() {
    let mut fleet = Fleet::start(SMALL).await;
    let added =
        fleet.start_plain_server("i-plain-new", support::PLAIN_SERVICE, ([127, 0, 0, 1], 0).into()).await;
    let mut is_used = false;
    for _ in 0..100 {
        is_used = arrivals_in_a_batch(&mut fleet, "i-plain-new").await > 0;
        if is_used {
            break;
        }
    }
    assert!(is_used, "{}", fleet.cluster.logs());
    drop(added);
}

#[tokio::test]
async fn reused_address_executes_nothing_of_the_former_service() {
    let mut fleet = Fleet::start(SMALL).await;
    // The former server stays listed, as it does for some seconds after a crash.
    let address = fleet.plain_servers.remove(0).crash().await;
    let _other = fleet.start_unlisted_server("i-other", OTHER_SERVICE, address).await;
    let mut outcomes = Vec::new();
    for _ in 0..BATCH_SIZE {
        let request = fleet.work();
        outcomes.push(fleet.send(0, &request).await);
    }
    for outcome in &outcomes {
        assert_eq!(outcome.failed_checks, [], "{outcome:?}");
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_success()).count();
    assert!(served * 2 > BATCH_SIZE, "{served} of {BATCH_SIZE} served\n{}", fleet.cluster.logs());
    assert_eq!(fleet.violations(&outcomes), []);
    let runs = fleet.environment.request_log().executions();
    assert!(runs.iter().all(|run| run.instance != "i-other"));
}

#[rstest]
#[case::reset_before_execution(Fault::ResetBeforeExecution)]
#[case::dropped_response(Fault::DropResponse)]
#[case::garbage(Fault::Garbage)]
#[case::reject(Fault::Reject)]
#[tokio::test]
async fn safe_request_is_retried_on_another_server(#[case] fault: Fault) {
    let mut fleet = Fleet::start(SMALL).await;
    let matcher = RequestMatcher { path_prefix: Some("/read/".to_owned()), ..RequestMatcher::any() };
    fleet.plain_servers[0].inject(matcher, fault, 1);
    // Sequential requests might all go to the slightly faster server; concurrent ones need both.
    let mut was_retried = false;
    for _ in 0..BATCH_SIZE {
        let ids: Vec<String> = (0..CONCURRENT_REQUESTS).map(|_| fleet.next_id()).collect();
        let request = |id: &String| ClientRequest::post(id, support::HOST, "/read/1", RequestKind::Safe);
        for outcome in fleet.send_concurrently(0, ids.iter().map(request).collect()).await {
            let is_good = outcome.is_success() && outcome.failed_checks.is_empty();
            assert!(is_good, "{outcome:?}\n{}", fleet.cluster.logs());
        }
        was_retried = ids.iter().any(|id| fleet.environment.request_log().arrivals_of(id).len() > 1);
        if was_retried {
            break;
        }
    }
    assert!(was_retried, "no request met the fault");
}

#[tokio::test]
async fn resumable_stream_continues_in_the_same_response() {
    let mut fleet = Fleet::start(SMALL).await;
    let matcher = RequestMatcher {
        path_prefix: Some("/resume/".to_owned()),
        prefill: Some(false),
        ..RequestMatcher::any()
    };
    fleet.decode_servers[0].inject(matcher, Fault::TruncateStream { after_events: 2, reset: true }, 1);
    let mut was_resumed = false;
    for _ in 0..BATCH_SIZE {
        let mut requests = Vec::new();
        for _ in 0..CONCURRENT_REQUESTS {
            let mut request = fleet.generation(17);
            request.target = "/resume/1".to_owned();
            request.kind = RequestKind::ResumableStream;
            requests.push(request);
        }
        let ids: Vec<String> = requests.iter().map(|request| request.request_id.clone()).collect();
        for outcome in fleet.send_concurrently(0, requests).await {
            assert!(outcome.is_success(), "{outcome:?}\n{}", fleet.cluster.logs());
            assert_eq!((outcome.events.len(), outcome.failed_checks.as_slice()), (5, &[][..]), "{outcome:?}");
        }
        let arrivals = ids.iter().flat_map(|id| fleet.environment.request_log().arrivals_of(id));
        was_resumed = arrivals.into_iter().any(|arrival| arrival.headers.get("Last-Event-Id") == Some("2"));
        if was_resumed {
            break;
        }
    }
    assert!(was_resumed, "no stream met the fault");
}

#[tokio::test]
async fn request_of_a_disconnected_client_is_cancelled() {
    let slow = lugwharf_emulator::model_server::ModelParameters {
        step_ms: 20.0,
        ..lugwharf_emulator::model_server::ModelParameters::small_and_fast(
            lugwharf_emulator::model_server::Stage::Decode,
        )
    };
    let mut fleet = Fleet::start_with_decode(SMALL, slow).await;
    let request = fleet.generation(2_000);
    let id = request.request_id.clone();
    let address = fleet.cluster.front_address(0);
    let in_flight = tokio::spawn(async move { Client::new(address).send(&request).await });
    assert!(
        poll(|| async { !fleet.environment.request_log().executions_of(&id).is_empty() }).await,
        "{}",
        fleet.cluster.logs()
    );
    in_flight.abort();
    // 2,000 steps of 20 ms would take 40 s, longer than the test polls.
    let is_idle =
        || fleet.decode_servers.iter().all(|server| server.with_core(|core| core.running_count()) == 0);
    assert!(poll(|| async { is_idle() }).await, "the stream keeps running\n{}", fleet.cluster.logs());
}

#[tokio::test]
async fn server_is_used_in_its_new_stage() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut order = Request::new("POST", "/order");
    order.body = br#"{"Op":"Stage","Stage":"decode","Holder":"test","Fence":1000000}"#.to_vec();
    let response = lugwharf_emulator::operator::call_once(fleet.prefill_servers[0].address(), &order).await;
    assert_eq!(response.expect("the call failed").status, 202);
    let mut outcomes = Vec::new();
    for _ in 0..BATCH_SIZE {
        let request = fleet.generation(9);
        outcomes.push(fleet.send(0, &request).await);
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_success()).count();
    assert!(served * 4 >= BATCH_SIZE * 3, "{served} of {BATCH_SIZE} served\n{}", fleet.cluster.logs());
    assert_eq!(fleet.violations(&outcomes), []);
}

#[tokio::test]
async fn expired_handles_cause_no_failures() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut outcomes = Vec::new();
    for turn in 0..BATCH_SIZE {
        let request = fleet.generation(9);
        let address = fleet.cluster.front_address(0);
        let sent = tokio::spawn(async move { Client::new(address).send(&request).await });
        if turn % 2 == 0 {
            let expire_any = || {
                fleet.prefill_servers.iter().any(|server| {
                    server.with_core(|core| {
                        let has_any = core.handle_count() > 0;
                        core.expire_handles();
                        has_any
                    })
                })
            };
            poll(|| async { expire_any() || sent.is_finished() }).await;
        }
        outcomes.push(sent.await.expect("the client task panicked"));
    }
    let served = outcomes.iter().filter(|outcome| outcome.is_success()).count();
    assert!(served * 4 >= BATCH_SIZE * 3, "{served} of {BATCH_SIZE} served\n{}", fleet.cluster.logs());
    assert_eq!(fleet.violations(&outcomes), []);
}

/// The number of requests in a burst.
const BURST_SIZE: usize = 300;
/// The slots of the two plain servers together. No request may be refused while one of them is free.
const TOTAL_SLOTS: usize = 2 * 6;

/// The timeout of the clients of a burst. It is long because the test does not cover how soon the machine
/// accepts 300 connections.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a burst of concurrent requests and returns their outcomes.
async fn send_burst(fleet: &mut Fleet) -> Vec<AttemptOutcome> {
    let mut sent = Vec::new();
    for _ in 0..BURST_SIZE {
        let mut request = fleet.work();
        request.deadline_ms = CLIENT_TIMEOUT.as_millis() as u64;
        let address = fleet.cluster.front_address(0);
        sent.push(tokio::spawn(async move {
            let mut client = Client::new(address).with_connect_timeout(CLIENT_TIMEOUT);
            client.send(&request).await
        }));
    }
    let mut outcomes = Vec::new();
    for response in sent {
        outcomes.push(response.await.expect("the client task panicked"));
    }
    outcomes
}

#[tokio::test]
async fn burst_is_served_or_refused_unexecuted() {
    let mut fleet = Fleet::start(SMALL).await;
    let outcomes = send_burst(&mut fleet).await;
    for outcome in &outcomes {
        let is_definite = outcome.is_success() || outcome.promises_not_executed();
        assert!(is_definite && outcome.failed_checks.is_empty(), "{outcome:?}\n{}", fleet.cluster.logs());
    }
    assert_eq!(fleet.violations(&outcomes), []);
}

#[tokio::test]
async fn burst_fills_the_slots_of_the_servers() {
    let mut fleet = Fleet::start(SMALL).await;
    let outcomes = send_burst(&mut fleet).await;
    let served = outcomes.iter().filter(|outcome| outcome.is_success()).count();
    let sent = outcomes
        .iter()
        .filter(|outcome| !fleet.environment.request_log().arrivals_of(&outcome.request_id).is_empty());
    let sent = sent.count();
    assert!(
        served >= TOTAL_SLOTS,
        "{served} of {BURST_SIZE} served, {sent} forwarded\n{}",
        fleet.cluster.logs()
    );
}

#[rstest]
#[case::blackholed(Reachability::Blackholed)]
#[case::refusing(Reachability::Refusing)]
#[tokio::test]
async fn fleet_serves_without_the_platform(#[case] reachability: Reachability) {
    let mut fleet = Fleet::start(SMALL).await;
    fleet.platform.set_reachability(reachability);
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200), "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/added/").await, "{}", fleet.cluster.logs());
    assert!(fleet.serves(0, "/gen/").await, "{}", fleet.cluster.logs());
    let calls = fleet.platform.requests().len();
    fleet.platform.set_reachability(Reachability::Serving);
    assert!(
        poll(|| async { fleet.platform.requests().len() > calls }).await,
        "the list is not read after the platform's return"
    );
}
