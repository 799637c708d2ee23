//! Tests of the model server's state machine on virtual time.

mod support;

use lugwharf_emulator::model_server::{ModelParameters, Stage};
use lugwharf_emulator::server_core::{Action, ServerCore, ServerEvent};
use rstest::rstest;
use std::time::Duration;
use support::{generation, json_body, model_server, ms, order, parameters, prefill, with_header};

/// The named segments of a prompt: the id and the number of tokens of each.
const SEGMENTS: [(u64, u64); 2] = [(0xa1, 800), (0xb2, 400)];

#[test]
fn prefill_takes_its_time_and_returns_a_handle() {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    let call = server.send(prefill("r1", (1_500, 10), &SEGMENTS));
    server.run_for(ms(100));
    let body = json_body(server.response(call).expect("the call has a response"));
    assert_eq!(body["Tokens"], 1_500);
    assert_eq!(body["Version"], 1);
    assert_eq!(body["KvHandle"].as_str().map(str::len), Some(12));
    // A startup delay of 10 ms, two chunks of 1,000 and 500 tokens at 100 tokens per ms, and two steps of 1
    // ms.
    let at = server.times(|action| matches!(action, Action::Respond { .. }));
    assert_eq!(at, [ms(10 + 10 + 5 + 2)]);
    assert_eq!(server.executions(call), 0, "a prefill does not count as an execution");
    assert_eq!(server.core.handle_count(), 1);
}

#[test]
fn handle_is_fetched_once() {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    let call = server.send(prefill("r1", (1_200, 10), &SEGMENTS));
    server.run_for(ms(100));
    let handle = json_body(server.response(call).expect("the call has a response"))["KvHandle"]
        .as_str()
        .expect("the response contains a handle")
        .to_owned();
    let contents = server.core.take_handle(&handle, server.now).expect("the handle has a KV cache");
    assert_eq!((contents.tokens, contents.request_id.as_str()), (1_200, "r1"));
    assert_eq!(server.core.take_handle(&handle, server.now), None);
}

#[rstest]
#[case::expires(5_001, 1_200)]
#[case::is_kept(4_900, 0)]
fn handle_expires_after_its_ttl(#[case] after_ms: u64, #[case] wasted: u64) {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    server.send(prefill("r1", (1_200, 10), &SEGMENTS));
    server.run_for(ms(100));
    // The handle is created 24 ms after the request. At the end, its age is `after_ms` + 16 ms.
    server.run_for(ms(after_ms - 60));
    assert_eq!(server.core.statistics().wasted_tokens, wasted);
}

#[test]
fn released_handle_is_gone() {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    let call = server.send(prefill("r1", (1_200, 10), &SEGMENTS));
    server.run_for(ms(100));
    let handle = json_body(server.response(call).expect("the call has a response"))["KvHandle"]
        .as_str()
        .expect("the response contains a handle")
        .to_owned();
    let request = lugwharf_emulator::wire::Request::new("DELETE", &format!("/kv-handle/{handle}"));
    let first = server.send(request.clone());
    let second = server.send(request);
    assert_eq!((server.status(first), server.status(second)), (Some(200), Some(404)));
}

#[test]
fn kv_transfer_precedes_the_stream() {
    let mut prefill_server = model_server("i-1", parameters(Stage::Prefill));
    let prefill_call = prefill_server.send(prefill("r1", (1_200, 9), &SEGMENTS));
    prefill_server.run_for(ms(100));
    let handle =
        json_body(prefill_server.response(prefill_call).expect("the call has a response"))["KvHandle"]
            .as_str()
            .expect("the response contains a handle")
            .to_owned();

    // 1,200 tokens of 1,000 bytes at 96 Mbit/s take 100 ms.
    let slow = ModelParameters {
        kv_token_bytes: 1_000.0,
        link_mbps: 96.0,
        transfer_setup_ms: 0.0,
        ..parameters(Stage::Decode)
    };
    let mut decode_server = model_server("i-2", slow);
    let request =
        with_header(generation("r1", (1_200, 9), &SEGMENTS), "Kv-From", &format!("127.0.0.1:9/{handle}"));
    let call = decode_server.send(request);
    let fetches = decode_server.times(|action| matches!(action, Action::FetchHandle { .. }));
    assert_eq!(fetches.len(), 1);
    let contents = prefill_server.core.take_handle(&handle, prefill_server.now);
    decode_server.send_event(ServerEvent::HandleFetched { call, contents });
    decode_server.run_for(ms(1_000));
    let heads = decode_server.times(|action| matches!(action, Action::Head { .. }));
    assert_eq!(heads, [ms(101)], "the transfer takes 100 ms, one step 1 ms");
    assert_eq!(
        decode_server.events_of(call).len(),
        3,
        "one event of one token and two events of four tokens"
    );
    assert_eq!(decode_server.ended_at(call), Some(ms(109)));
    assert_eq!(decode_server.core.statistics().prefilled_tokens, 0);
    let kv_owner = decode_server.actions.iter().find_map(|(_, action)| match action {
        Action::Started { kv_owner, .. } => Some(kv_owner.clone()),
        _ => None,
    });
    assert_eq!(kv_owner, Some(Some("r1".to_owned())));
}

#[test]
fn transfers_are_serial_and_rejected_beyond_two_seconds_of_queue() {
    let slow = ModelParameters {
        kv_token_bytes: 1_000.0,
        link_mbps: 1.2 * 8.0,
        transfer_setup_ms: 0.0,
        ..parameters(Stage::Decode)
    };
    let mut decode_server = model_server("i-2", slow);
    let contents = |id: &str| lugwharf_emulator::server_core::KvContents {
        request_id: id.to_owned(),
        segments: Vec::new(),
        tokens: 1_200,
        version: 1,
        location: Default::default(),
    };
    let mut statuses = Vec::new();
    for index in 0..4 {
        let id = format!("r{index}");
        let request = with_header(generation(&id, (1_200, 1), &[]), "Kv-From", "127.0.0.1:9/abc");
        let call = decode_server.send(request);
        decode_server.send_event(ServerEvent::HandleFetched { call, contents: Some(contents(&id)) });
        statuses.push(decode_server.status(call));
    }
    // Each transfer takes 1 s. The third waits for 2 s; the fourth would wait for 3 s.
    assert_eq!(statuses, [None, None, None, Some(503)]);
}

#[test]
fn request_with_a_missing_handle_is_rejected() {
    let mut decode_server = model_server("i-2", parameters(Stage::Decode));
    let call = decode_server.send(with_header(
        generation("r1", (1_200, 9), &SEGMENTS),
        "Kv-From",
        "127.0.0.1:9/gone",
    ));
    decode_server.send_event(ServerEvent::HandleFetched { call, contents: None });
    let response = decode_server.response(call).expect("the call has a response");
    assert_eq!(response.status, 503);
    assert!(response.headers.get("Not-Executed").is_some());
    assert_eq!(decode_server.executions(call), 0);
}

#[test]
fn decode_server_prefills_at_half_speed_in_quarter_chunks() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    let call = server.send(generation("r1", (500, 1), &[]));
    server.run_for(ms(1_000));
    // A startup delay of 10 ms, two chunks of 250 tokens at 50 tokens per ms with a step each, and the step
    // of the first token.
    assert_eq!(server.ended_at(call), Some(ms(10 + 2 * (5 + 1) + 1)));
}

#[test]
fn cached_segments_are_not_prefilled_again() {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    server.send(prefill("r1", (1_300, 1), &SEGMENTS));
    server.run_for(ms(100));
    server.send(prefill("r2", (1_350, 1), &SEGMENTS));
    server.run_for(ms(100));
    assert_eq!(server.core.statistics().prefilled_tokens, 1_300 + 150);
    // The same segment after another prefix counts as a different segment.
    server.send(prefill("r3", (400, 1), &SEGMENTS[1..]));
    server.run_for(ms(100));
    assert_eq!(server.core.statistics().prefilled_tokens, 1_300 + 150 + 400);
}

#[test]
fn least_recently_used_segments_are_evicted() {
    let small = ModelParameters { kv_tokens: 2_000, ..parameters(Stage::Decode) };
    let mut server = model_server("i-1", small);
    for (id, segment) in [("r1", 1), ("r2", 2), ("r3", 1), ("r4", 3), ("r5", 1), ("r6", 2)] {
        server.send(generation(id, (800, 1), &[(segment, 800)]));
        server.run_for(ms(1_000));
    }
    // Segments 1, 2 and 3 are prefilled once each. Segment 3 evicts segment 2, which is prefilled again for
    // r6.
    assert_eq!(server.core.statistics().prefilled_tokens, 4 * 800);
}

#[test]
fn newest_of_the_least_urgent_is_preempted_when_memory_runs_out() {
    let small = ModelParameters { kv_tokens: 1_600, ..parameters(Stage::Decode) };
    let mut server = model_server("i-1", small);
    let urgent = server.send(with_header(generation("r1", (700, 200), &[]), "Priority", "1"));
    let other = server.send(with_header(generation("r2", (700, 200), &[]), "Priority", "7"));
    server.run_for(ms(5_000));
    assert!(server.core.statistics().preempted >= 1);
    let ends = (server.ended_at(urgent), server.ended_at(other));
    assert!(ends.0.is_some() && ends.0 < ends.1, "{ends:?}");
    let events: Vec<String> = server.events_of(other);
    assert_eq!(events.len(), 51, "each event is sent once, although the request was prefilled twice");
    assert_eq!(server.executions(other), 1);
}

#[test]
fn more_urgent_request_preempts_a_less_urgent_one() {
    let single = ModelParameters { slots: 1, ..parameters(Stage::Decode) };
    let mut server = model_server("i-1", single);
    let first = server.send(generation("r1", (100, 100), &[]));
    server.run_for(ms(30));
    let urgent = server.send(with_header(generation("r2", (100, 10), &[]), "Priority", "0"));
    server.run_for(ms(1_000));
    assert!(server.ended_at(urgent) < server.ended_at(first));
}

#[rstest]
#[case::other_instance("Expect-Instance", "i-9", 421)]
#[case::this_instance("Expect-Instance", "i-1", 0)]
#[case::other_version("Expect-Version", "2", 421)]
#[case::this_version("Expect-Version", "1", 0)]
#[case::wrong_stage("Serving-Stage", "prefill", 421)]
#[case::other_model("Model", "n", 421)]
#[case::no_handle("Kv-From", "nowhere", 503)]
#[case::too_large("Token-Counts", "200000,5", 503)]
#[case::no_counts("Token-Counts", "many", 400)]
fn rejected_request_is_not_executed(#[case] name: &str, #[case] value: &str, #[case] status: u16) {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    let call = server.send(with_header(generation("r1", (100, 5), &[]), name, value));
    server.run_for(ms(500));
    if status == 0 {
        assert_eq!(server.executions(call), 1);
        return;
    }
    let response = server.response(call).expect("the call has a response");
    assert_eq!(response.status, status);
    assert!(response.headers.get("Not-Executed").is_some());
    assert_eq!(server.executions(call), 0);
}

#[test]
fn prefill_server_rejects_a_decode_request() {
    let mut server = model_server("i-1", parameters(Stage::Prefill));
    let call = server.send(generation("r1", (100, 5), &[]));
    assert_eq!(server.status(call), Some(421));
}

#[test]
fn full_server_rejects_further_requests() {
    let small = ModelParameters { slots: 1, queue_capacity: 1, ..parameters(Stage::Decode) };
    let mut server = model_server("i-1", small);
    let calls: Vec<_> =
        ["r1", "r2", "r3"].iter().map(|id| server.send(generation(id, (100, 50), &[]))).collect();
    assert_eq!(calls.iter().map(|call| server.status(*call)).collect::<Vec<_>>(), [None, None, Some(503)]);
}

#[test]
fn deadline_rejects_a_waiting_request_and_truncates_a_stream() {
    let small = ModelParameters { slots: 1, ..parameters(Stage::Decode) };
    let mut server = model_server("i-1", small);
    let running = server.send(with_header(generation("r1", (100, 5_000), &[]), "Deadline-Ms", "200"));
    let waiting = server.send(with_header(generation("r2", (100, 5), &[]), "Deadline-Ms", "100"));
    server.run_for(ms(1_000));
    assert_eq!(server.status(waiting), Some(503));
    let truncated_at = server.times(|action| matches!(action, Action::Truncate { call } if *call == running));
    assert_eq!(truncated_at, [ms(200)]);
}

#[test]
fn cancelled_request_releases_its_memory() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    let call = server.send(generation("r1", (1_000, 500), &[]));
    server.run_for(ms(100));
    server.send_event(ServerEvent::Cancelled { call });
    server.run_for(ms(200));
    let report = server.send(lugwharf_emulator::wire::Request::new("GET", "/report"));
    let body = json_body(server.response(report).expect("the call has a response"));
    assert_eq!((&body["Running"], &body["KvUsed"]), (&0.into(), &0.into()));
}

#[test]
fn resumed_stream_continues_after_the_last_event() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    let complete = server.send(generation("r1", (100, 9), &[]));
    server.run_for(ms(500));
    let resumed = server.send(with_header(generation("r1", (100, 9), &[]), "Last-Event-Id", "1"));
    server.run_for(ms(500));
    let events = server.events_of(complete);
    assert_eq!(events.len(), 3);
    assert_eq!(server.events_of(resumed), events[1..]);
}

#[test]
fn report_lags_behind_the_state() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    server.run_to(ms(1_000));
    server.send(generation("r1", (100, 5_000), &[]));
    server.run_for(ms(50));
    let report = |server: &mut support::VirtualTimeServer<_>| {
        let call = server.send(lugwharf_emulator::wire::Request::new("GET", "/report"));
        json_body(server.response(call).expect("the call has a response"))
    };
    assert_eq!(report(&mut server)["Running"], 0);
    server.run_for(ms(100));
    let later = report(&mut server);
    assert_eq!(later["Running"], 1);
    assert_eq!(later["Stage"], "decode");
    assert_eq!(later["KvTotal"], 100_000);
}

#[rstest]
#[case::no_operation(r#"{"Op":"Load","Holder":"a","Fence":3}"#, 400)]
#[case::no_holder(r#"{"Op":"Stage","Stage":"prefill","Fence":3}"#, 400)]
#[case::no_fence(r#"{"Op":"Stage","Stage":"prefill","Holder":"a"}"#, 400)]
#[case::no_json("stage", 400)]
#[case::lower_fence(r#"{"Op":"Stage","Stage":"prefill","Holder":"a","Fence":1}"#, 412)]
#[case::other_revision(r#"{"Op":"Stage","Stage":"prefill","Holder":"a","Fence":2,"IfRevision":7}"#, 409)]
#[case::has_the_stage_already(r#"{"Op":"Stage","Stage":"decode","Holder":"a","Fence":2}"#, 200)]
#[case::is_accepted(r#"{"Op":"Stage","Stage":"prefill","Holder":"a","Fence":2,"IfRevision":0}"#, 202)]
fn order_is_accepted_or_refused(#[case] body: &str, #[case] status: u16) {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    server.send(order(r#"{"Op":"Stage","Stage":"decode","Holder":"a","Fence":2}"#));
    let call = server.send(order(body));
    assert_eq!(server.status(call), Some(status));
}

#[test]
fn change_of_stage_waits_for_running_requests() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    let running = server.send(generation("r1", (100, 50), &[]));
    server.run_for(ms(20));
    let accepted = server.send(order(r#"{"Op":"Stage","Stage":"prefill","Holder":"a","Fence":1}"#));
    let second = server.send(order(r#"{"Op":"Stage","Stage":"decode","Holder":"a","Fence":1}"#));
    let late = server.send(generation("r2", (100, 50), &[]));
    assert_eq!(
        (server.status(accepted), server.status(second), server.status(late)),
        (Some(202), Some(409), Some(503))
    );
    server.run_for(ms(500));
    let ended = server.ended_at(running).expect("the stream has ended");
    assert_eq!(server.core.stage(), Stage::Prefill);
    assert!(ended + ms(20) <= server.now);
    let prefill_call = server.send(prefill("r3", (100, 50), &[]));
    server.run_for(ms(100));
    assert_eq!(server.status(prefill_call), Some(200));
}

#[test]
fn execution_on_a_failing_server_gets_500() {
    let mut server = model_server("i-1", parameters(Stage::Decode));
    server.send_event(ServerEvent::SetFailing(true));
    let call = server.send(generation("r1", (100, 5), &[]));
    server.run_for(ms(500));
    let response = server.response(call).expect("the call has a response");
    assert_eq!((response.status, server.executions(call)), (500, 1));
    assert!(response.headers.get("Server-Stamp").is_some() && response.headers.get("Not-Executed").is_none());
}

#[test]
fn step_length_grows_with_the_batch() {
    let time_to_end = |requests: usize| {
        let growing_steps = ModelParameters { step_ms_per_running: 0.5, ..parameters(Stage::Decode) };
        let mut server = model_server("i-1", growing_steps);
        let calls: Vec<_> =
            (0..requests).map(|index| server.send(generation(&format!("r{index}"), (10, 40), &[]))).collect();
        server.run_for(ms(5_000));
        server.ended_at(calls[0]).unwrap_or(Duration::MAX)
    };
    assert!(time_to_end(1) < time_to_end(4) && time_to_end(4) < time_to_end(8));
}
