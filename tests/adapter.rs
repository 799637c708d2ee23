//! Tests of the simulator's adapter, which receives frames that the tests build over a pipe.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = "zone=0\ntick=5.0\ndiscovery=pushed\nsome.key.of.tomorrow=1\n\
    requestClasses.count=1\nrequestClasses.0.aim=400.0\nrequestClasses.0.idempotency=retryable\n\
    requestClasses.0.streamed=false\npolicyLimits.mostTries=3\n";

fn run_adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lugwharf-simulator"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter is started");
    // The adapter may exit on invalid input before all input is written.
    let _ = child.stdin.take().expect("standard input is piped").write_all(input);
    child.wait_with_output().expect("the adapter exits")
}

fn encode_record(size: usize, code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; size];
    record[0] = code;
    for (at, bytes) in fields {
        record[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

fn encode_event(code: u8, instance: u32, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut event = encode_record(48, code, fields);
    event[1..5].copy_from_slice(&instance.to_le_bytes());
    event
}

fn start_event(instance: u32, settings: &str) -> Vec<u8> {
    encode_event(2, instance, &[(5, &7u64.to_le_bytes()), (17, &(settings.len() as u32).to_le_bytes())])
}

fn declare_list_event(list: u32, offset: usize, count: u32) -> Vec<u8> {
    encode_event(3, list, &[(5, &(offset as u32).to_le_bytes()), (9, &count.to_le_bytes())])
}

fn discovery_event(instance: u32, list_kind: u8, list: u32) -> Vec<u8> {
    encode_event(8, instance, &[(5, &[list_kind]), (10, &list.to_le_bytes())])
}

fn request_event(instance: u32, id: u32) -> Vec<u8> {
    encode_event(10, instance, &[(5, &id.to_le_bytes()), (25, &900f64.to_le_bytes())])
}

fn outcome_event(instance: u32, id: u32, outcome: u16, finished: u8) -> Vec<u8> {
    let fields: [(usize, &[u8]); 4] =
        [(5, &id.to_le_bytes()), (16, &outcome.to_le_bytes()), (18, &30f64.to_le_bytes()), (26, &[finished])];
    encode_event(4, instance, &fields)
}

fn encode_entry(last_byte: u8) -> Vec<u8> {
    encode_record(24, 1, &[(1, &[10, 0, 0, last_byte, 0x23, 0x2b]), (9, &1f32.to_le_bytes())])
}

fn encode_frame(clock: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body: Vec<u8> = records.iter().flatten().chain(tail).copied().collect();
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(clock.to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(body);
    frame
}

/// Returns the records of each reply in the output.
fn decode_replies(mut output: &[u8]) -> Vec<Vec<Vec<u8>>> {
    let mut replies = vec![];
    while !output.is_empty() {
        let number = |at: usize| {
            u32::from_le_bytes(output[at..at + 4].try_into().expect("the slice has four bytes")) as usize
        };
        let (len, count) = (number(0), number(4));
        replies.push(output[8..8 + count * 24].chunks(24).map(<[u8]>::to_vec).collect());
        output = &output[8 + len..];
    }
    replies
}

fn send_records(reply: &[Vec<u8>]) -> Vec<Vec<u8>> {
    reply.iter().filter(|r| r[0] == 0).cloned().collect()
}

/// Returns a frame that starts one instance with one server.
fn start_frame(clock: f64, instance: u32, last_byte: u8) -> Vec<u8> {
    let tail = [SETTINGS.as_bytes(), &encode_entry(last_byte)].concat();
    encode_frame(
        clock,
        &[
            start_event(instance, SETTINGS),
            declare_list_event(0, SETTINGS.len(), 1),
            discovery_event(instance, 3, 0),
        ],
        &tail,
    )
}

fn assert_rejected(input: &[u8], expected: &str) {
    let output = run_adapter(input);
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success(), "accepted, but must be rejected with {expected:?}");
    assert!(message.contains(expected) && message.lines().count() == 1, "{message}");
    assert!(!message.contains("panicked"), "{message}");
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_a_clean_exit() {
    let output = run_adapter(&[encode_frame(1.0, &[], &[]), encode_frame(2.0, &[], &[])].concat());
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 16]);
    assert!(run_adapter(&[]).status.success());
}

#[test]
fn a_request_is_sent_to_the_listed_server_and_its_end_causes_no_action() {
    let input = [
        start_frame(1.0, 3, 9),
        encode_frame(6.0, &[request_event(3, 77)], &[]),
        encode_frame(36.0, &[outcome_event(3, 77, 1, 1)], &[]),
    ];
    let output = run_adapter(&input.concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = decode_replies(&output.stdout);
    let sends = send_records(&replies[1]);
    assert_eq!(sends.len(), 1);
    assert_eq!(sends[0][1..5], 3u32.to_le_bytes());
    assert_eq!(sends[0][5..9], 77u32.to_le_bytes());
    assert_eq!(sends[0][9..15], [10, 0, 0, 9, 0x23, 0x2b]);
    // The timeout is the latency target, because a late answer has no value.
    assert_eq!(sends[0][15..23], 400f64.to_le_bytes());
    assert!(replies[2].is_empty());
}

#[test]
fn lists_are_resolved_in_record_order_and_instances_restart_inside_a_batch() {
    // List number 0 is declared twice in one batch, so the two instances have different lists.
    let tail = [SETTINGS.as_bytes(), &encode_entry(1), &encode_entry(2)].concat();
    let at = SETTINGS.len();
    let records = [
        start_event(0, SETTINGS),
        declare_list_event(0, at, 1),
        discovery_event(0, 3, 0),
        start_event(1, SETTINGS),
        declare_list_event(0, at + 24, 1),
        discovery_event(1, 3, 0),
        request_event(0, 5),
        request_event(1, 6),
    ];
    let restart = [
        encode_event(5, 0, &[]),
        start_event(0, SETTINGS),
        discovery_event(0, 3, 0),
        outcome_event(0, 5, 1, 1),
        request_event(0, 8),
    ];
    let output = run_adapter(
        &[encode_frame(1.0, &records, &tail), encode_frame(9.0, &restart, SETTINGS.as_bytes())].concat(),
    );
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = decode_replies(&output.stdout);
    let receivers: Vec<u8> = send_records(&replies[0]).iter().map(|r| r[12]).collect();
    assert_eq!(receivers, [1, 2]);
    let sends_after_restart = send_records(&replies[1]);
    assert_eq!(
        (sends_after_restart.len(), sends_after_restart[0][12]),
        (1, 2),
        "the restarted instance has the current list"
    );
}

#[test]
fn unknown_codes_and_instances_are_skipped_with_a_message() {
    let input = [
        start_frame(1.0, 0, 1),
        encode_frame(2.0, &[encode_event(99, 0, &[]), encode_event(0, 5, &[]), request_event(0, 4)], &[]),
    ];
    let output = run_adapter(&input.concat());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success() && message.contains("code 99") && message.contains("instance 5"));
    assert_eq!(send_records(&decode_replies(&output.stdout)[1]).len(), 1);
}

#[test]
fn bad_frames_end_with_one_message_and_no_partial_reply() {
    assert_rejected(&[1, 2, 3], "ends inside a frame");
    let complete_frame = start_frame(1.0, 0, 1);
    assert_rejected(&complete_frame[..complete_frame.len() - 1], "ends inside a frame");
    let mut oversized_frame = encode_frame(1.0, &[], &[]);
    oversized_frame[..4].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_rejected(&oversized_frame, "ends inside a frame");
    let mut too_many_records = encode_frame(1.0, &[], &[]);
    too_many_records[12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    assert_rejected(&too_many_records, "cannot hold");
    assert_rejected(&encode_frame(f64::NAN, &[], &[]), "clock");
    assert_rejected(&encode_frame(1.0, &[declare_list_event(0, 4_000_000_000, 1)], &[]), "beyond");
    assert_rejected(&encode_frame(1.0, &[declare_list_event(0, 0, u32::MAX)], &[]), "beyond");
    assert_rejected(&encode_frame(1.0, &[declare_list_event(16, 0, 0)], &[]), "list number 16");
    assert_rejected(&encode_frame(1.0, &[start_event(0, "x")], &[0xff]), "UTF-8");
    let undeclared = [start_event(0, SETTINGS), discovery_event(0, 0, 3)];
    assert_rejected(&encode_frame(1.0, &undeclared, SETTINGS.as_bytes()), "list 3 was never declared");
    let frames =
        [start_frame(1.0, 0, 1), encode_frame(2.0, &[request_event(0, 1), outcome_event(0, 1, 77, 0)], &[])]
            .concat();
    assert_rejected(&frames, "outcome 77");
    assert_eq!(
        decode_replies(&run_adapter(&frames).stdout).len(),
        1,
        "only the preceding batch was answered"
    );
}

#[test]
fn settings_have_defaults_or_an_error_that_names_the_key() {
    let with = |from: &str, to: &str| {
        let settings = SETTINGS.replace(from, to);
        encode_frame(1.0, &[start_event(0, &settings)], settings.as_bytes())
    };
    for optional in ["tick=5.0\n", "policyLimits.mostTries=3\n"] {
        assert!(run_adapter(&with(optional, "")).status.success(), "{optional}");
    }
    for required in ["zone=0", "discovery=pushed", "requestClasses.0.idempotency=retryable"] {
        let key = required.split('=').next().expect("the setting has a key");
        assert_rejected(&with(required, "left.out=1"), &format!("setting {key}: missing"));
    }
    assert_rejected(&with("aim=400.0", "aim=soon"), "setting requestClasses.0.aim: cannot read \"soon\"");
    assert_rejected(&with("retryable", "dedup"), "setting requestClasses.0.group: missing");
}

#[test]
fn corrupt_frames_never_panic() {
    let mut rng = fastrand::Rng::with_seed(20);
    let complete_frame = [
        start_frame(1.0, 0, 1),
        encode_frame(6.0, &[request_event(0, 77)], &[]),
        encode_frame(9.0, &[outcome_event(0, 77, 2, 0)], &[]),
    ];
    let complete_frame = complete_frame.concat();
    for _ in 0..300 {
        let mut bytes = complete_frame.clone();
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(0..bytes.len());
            bytes[at] = rng.u8(..);
        }
        bytes.truncate(rng.usize(1..=bytes.len()));
        let message = String::from_utf8_lossy(&run_adapter(&bytes).stderr).into_owned();
        assert!(!message.contains("panicked"), "{message}");
    }
}

#[test]
fn the_load_that_probes_report_decides() {
    let settings = format!("{SETTINGS}policyLimits.probes=true\nreport.fields=load_share,concurrent\n");
    let entries: Vec<u8> = (0..20).flat_map(encode_entry).collect();
    let at = settings.len();
    let tail = [settings.as_bytes(), &entries].concat();
    let records = [
        start_event(0, &settings),
        declare_list_event(0, at, 20),
        discovery_event(0, 3, 0),
        request_event(0, 5),
    ];
    let start = encode_frame(1.0, &records, &tail);
    let first = decode_replies(&run_adapter(&start).stdout);
    let probes: Vec<Vec<u8>> = first[0].iter().filter(|r| r[0] == 5).map(|r| r[5..11].to_vec()).collect();
    assert_eq!(probes.len(), 2);
    // The second value of the report is `concurrent`, the number of requests in flight.
    let result = |server: &[u8], reported_load: f32| {
        let fields: [(usize, &[u8]); 5] = [
            (5, server),
            (11, &1u16.to_le_bytes()),
            (21, &[2]),
            (22, &0.5f32.to_le_bytes()),
            (26, &reported_load.to_le_bytes()),
        ];
        encode_event(6, 0, &fields)
    };
    for (idle, reported_loads) in [(0, [0.0, 3.0]), (1, [3.0, 0.0])] {
        let results = [result(&probes[0], reported_loads[0]), result(&probes[1], reported_loads[1])];
        let reply =
            decode_replies(&run_adapter(&[start.clone(), encode_frame(6.0, &results, &[])].concat()).stdout);
        assert_eq!(send_records(&reply[1])[0][9..15], probes[idle]);
    }
}
