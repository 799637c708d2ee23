//! Fixes digests of the outputs of the emulated servers on seeded sequences of events. A refactoring must not
//! change a response, a time or the order of actions.

mod support;

use lugwharf_emulator::content;
use lugwharf_emulator::model_server::{ModelParameters, Stage};
use lugwharf_emulator::plain_server::{PlainParameters, PlainServer};
use lugwharf_emulator::server_core::{Action, CallId, Identity, ServerCore, ServerEvent};
use lugwharf_emulator::wire::Request;
use rstest::rstest;
use std::time::Duration;
use support::{VirtualTimeServer, generation, model_server, ms, order, parameters, prefill, with_header};

/// The number of random requests or events in a sequence.
const STEPS: u64 = 3_000;

/// The SplitMix64 random number generator, which determines the sequence of events.
struct Rng(u64);

impl Rng {
    /// A random number below `bound`.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// The bytes of an action for the digest: a tag, the call and the contents.
fn encode(action: &Action) -> Vec<u8> {
    let (tag, call, contents): (u8, &CallId, Vec<u8>) = match action {
        Action::Respond { call, response } => (1, call, response.encode()),
        Action::Head { call, head } => (2, call, head.encode_chunked_head()),
        Action::Event { call, bytes } => (3, call, bytes.clone()),
        Action::End { call } => (4, call, Vec::new()),
        Action::Truncate { call } => (5, call, Vec::new()),
        Action::Started { call, kv_owner } => {
            let kv_owner = kv_owner.as_ref().map_or_else(Vec::new, |id| format!("from {id}").into_bytes());
            (6, call, kv_owner)
        }
        Action::FetchHandle { call, address, handle } => {
            (7, call, format!("{address}/{handle}").into_bytes())
        }
    };
    let mut bytes = vec![tag];
    bytes.extend_from_slice(&call.0.to_be_bytes());
    bytes.extend_from_slice(&contents);
    bytes
}

/// Extends `initial_digest` by all actions of a server with their times, and by the time of its next wake-up.
fn digest_of<C: ServerCore>(server: &VirtualTimeServer<C>, initial_digest: u64) -> u64 {
    let mut digest = initial_digest;
    for (at, action) in &server.actions {
        let at = at.as_nanos().to_be_bytes();
        digest = content::hash_all(&[&digest.to_be_bytes(), &at, &encode(action)]);
    }
    let wake = server.core.next_wake().map_or(0, |at| at.as_nanos());
    content::hash_all(&[&digest.to_be_bytes(), &wake.to_be_bytes()])
}

/// The last handle that a prefill server returned, if any.
fn last_handle(server: &VirtualTimeServer<impl ServerCore>) -> Option<String> {
    server.actions.iter().rev().find_map(|(_, action)| match action {
        Action::Respond { response, .. } => {
            let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
            Some(body["KvHandle"].as_str()?.to_owned())
        }
        _ => None,
    })
}

/// A generation with random size, prefix, priority and deadline.
fn random_generation(rng: &mut Rng, step: u64, is_prefill: bool) -> Request {
    let prefixes: [&[(u64, u64)]; 4] = [&[], &[(0xa1, 300)], &[(0xa1, 300), (0xb2, 200)], &[(0xc3, 640)]];
    let prefix = prefixes[rng.below(4) as usize];
    let tokens = (500 + rng.below(1_200), 1 + rng.below(40));
    let id = format!("r{step}");
    let mut request = if is_prefill { prefill(&id, tokens, prefix) } else { generation(&id, tokens, prefix) };
    if rng.below(3) == 0 {
        request = with_header(request, "Priority", &rng.below(10).to_string());
    }
    if rng.below(8) == 0 {
        request = with_header(request, "Deadline-Ms", &(5 + rng.below(60)).to_string());
    }
    match rng.below(24) {
        0 => with_header(request, "Expect-Instance", "i-other"),
        1 => with_header(request, "Expect-Version", "2"),
        2 => with_header(request, "Model", "other"),
        3 => with_header(request, "Last-Event-Id", "3"),
        4 => with_header(request, "Token-Counts", "none"),
        _ => request,
    }
}

/// Sends a random event other than a generation: a cancellation, the start or end of a failure, an order, or
/// a request for the load report or the health check.
fn send_random_event<C: ServerCore>(server: &mut VirtualTimeServer<C>, rng: &mut Rng, sent: u64) {
    match rng.below(12) {
        0..=3 => {
            let call = CallId(1 + rng.below(sent.max(1)));
            server.send_event(ServerEvent::Cancelled { call });
        }
        4 => server.send_event(ServerEvent::SetFailing(true)),
        5 | 6 => server.send_event(ServerEvent::SetFailing(false)),
        7 => {
            let stage = if rng.below(2) == 0 { "prefill" } else { "decode" };
            let fence = rng.below(9);
            server
                .send(order(&format!(r#"{{"Op":"Stage","Holder":"h","Fence":{fence},"Stage":"{stage}"}}"#)));
        }
        8 => {
            server.send(Request::new("GET", "/health"));
        }
        _ => {
            server.send(Request::new("GET", "/report"));
        }
    }
}

/// Parameters of a server that is so small that its slots, queue and memory run out.
fn small_parameters(stage: Stage) -> ModelParameters {
    ModelParameters {
        slots: 3,
        queue_capacity: 4,
        kv_tokens: 6_000,
        kv_token_bytes: 1_000.0,
        link_mbps: 400.0,
        step_ms_per_running: 0.3,
        handle_ttl: Duration::from_millis(150),
        report_lag: Duration::from_millis(20),
        ..parameters(stage)
    }
}

#[rstest]
#[case::seed_1(1, 0x5a5cc724a2ac84ea)]
#[case::seed_2(2, 0xa54e0feeaf9738ae)]
#[case::seed_3(3, 0x31aa2856668d185b)]
fn outputs_of_a_prefill_and_a_decode_server_keep_their_digest(#[case] seed: u64, #[case] expected: u64) {
    let mut rng = Rng(seed);
    let mut prefill_server = model_server("i-1", small_parameters(Stage::Prefill));
    let mut decode_server = model_server("i-2", small_parameters(Stage::Decode));
    let mut transfers = 0;
    for step in 0..STEPS {
        match rng.below(8) {
            0..=2 => {
                prefill_server.send(random_generation(&mut rng, step, true));
            }
            3..=5 => {
                let mut request = random_generation(&mut rng, step, false);
                if let Some(handle) = last_handle(&prefill_server).filter(|_| rng.below(2) == 0) {
                    request = with_header(request, "Kv-From", &format!("127.0.0.1:9/{handle}"));
                }
                let earlier_actions = decode_server.actions.len();
                let call = decode_server.send(request);
                let requested_handle =
                    decode_server.actions[earlier_actions..].iter().find_map(|(_, action)| match action {
                        Action::FetchHandle { handle, .. } => Some(handle.clone()),
                        _ => None,
                    });
                if let Some(handle) = requested_handle {
                    let contents = prefill_server.core.take_handle(&handle, prefill_server.now);
                    transfers += u64::from(contents.is_some());
                    decode_server.send_event(ServerEvent::HandleFetched { call, contents });
                }
            }
            6 => send_random_event(&mut prefill_server, &mut rng, step / 3),
            _ => send_random_event(&mut decode_server, &mut rng, step / 3),
        }
        let pause = Duration::from_micros(rng.below(12_000));
        prefill_server.run_for(pause);
        decode_server.run_for(pause);
    }
    for server in [&mut prefill_server, &mut decode_server] {
        server.send_event(ServerEvent::Drain);
        server.run_for(ms(1_000));
    }
    assert!(transfers > 0, "the sequence must contain a KV transfer");
    let mut digest = digest_of(&decode_server, digest_of(&prefill_server, seed));
    for server in [&prefill_server, &decode_server] {
        let statistics = server.core.statistics();
        let counts = [
            statistics.prefilled_tokens,
            statistics.transferred_tokens,
            statistics.wasted_tokens,
            statistics.preempted,
        ];
        for count in counts {
            digest = content::hash_all(&[&digest.to_be_bytes(), &count.to_be_bytes()]);
        }
    }
    assert_eq!(digest, expected, "{digest:#018x}");
}

#[rstest]
#[case::seed_1(1, 0x8323e04e2b3d5d0b)]
#[case::seed_2(2, 0xaf967ee0de096766)]
fn outputs_of_a_plain_server_keep_their_digest(#[case] seed: u64, #[case] expected: u64) {
    let mut rng = Rng(seed);
    let parameters = PlainParameters { slots: 2, queue_capacity: 3, service_time: ms(8), response_bytes: 40 };
    let mut server = VirtualTimeServer::new(PlainServer::new(Identity::new("i-3", "plain"), parameters));
    for step in 0..STEPS {
        match rng.below(6) {
            0..=4 => {
                server.send(random_generation(&mut rng, step, false));
            }
            _ => send_random_event(&mut server, &mut rng, step),
        }
        server.run_for(Duration::from_micros(rng.below(9_000)));
    }
    server.send_event(ServerEvent::Drain);
    server.run_for(ms(1_000));
    let digest = digest_of(&server, seed);
    assert_eq!(digest, expected, "{digest:#018x}");
}
