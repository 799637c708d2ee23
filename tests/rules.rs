//! Property test: random valid event sequences never break an invariant of the decision module or cause a
//! panic.

mod common;
use common::*;
use lugwharf_sidecar::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Default)]
struct TrackedRequest {
    class: usize,
    times_out_at: u64,
    final_answers: usize,
    /// For each attempt: the cell of its server, its time of sending, and whether it is known not to have
    /// been executed (`None` while it is in flight).
    attempts: Vec<(u16, u64, Option<bool>)>,
}

/// A simulation of random steps that checks the invariants after each step. Its input determines all steps.
struct Simulation {
    harness: Harness,
    requests: BTreeMap<RequestId, TrackedRequest>,
    availabilities: BTreeMap<u64, Availability>,
    /// Probes without an answer so far.
    probes: Vec<ServerId>,
    /// The number of servers. With many servers and little traffic, the sidecar probes before it sends.
    servers: u64,
}

/// The deduplication window of the keyed class, in milliseconds.
const DEDUP_WINDOW_MS: u64 = 800;

fn cell_of(server: u64) -> u16 {
    (server % 2) as u16
}

impl Simulation {
    fn new(seed: u64, discovery: Discovery, probes: bool) -> Simulation {
        let keyed = Idempotency::Keyed { scope: DedupScope::Cell, window: ms(DEDUP_WINDOW_MS) };
        let mut settings =
            settings(vec![class(Idempotency::Idempotent), class(keyed), class(Idempotency::NonIdempotent)]);
        settings.discovery = discovery;
        settings.cross_zone_price = 0.05;
        settings.probes = if probes { Permission::Granted } else { Permission::Denied };
        let harness = Harness::seeded(settings, vec![], seed);
        let (requests, availabilities, servers) =
            (BTreeMap::new(), BTreeMap::new(), if probes { 70 } else { 7 });
        Simulation { harness, requests, availabilities, probes: vec![], servers }
    }

    fn check(&mut self, actions: Vec<Action>) {
        let now = self.harness.now;
        for action in actions {
            match action {
                Action::Send { id, server, .. } => {
                    assert_eq!(
                        self.availabilities.get(&server.0),
                        Some(&Availability::Ready),
                        "a server that is not ready is sent a request"
                    );
                    let request = self.requests.get_mut(&id).expect("the request is known");
                    assert_eq!(request.final_answers, 0, "sent after the final answer");
                    assert!(request.attempts.len() < 3, "more than three attempts");
                    let has_attempt_in_flight = request.attempts.iter().any(|a| a.2.is_none());
                    assert!(!has_attempt_in_flight, "two attempts in flight");
                    let possible_execution = request.attempts.iter().find(|a| a.2 != Some(true));
                    match (request.class, possible_execution) {
                        (1, Some(first)) => {
                            assert_eq!(first.0, cell_of(server.0), "outside the deduplication group");
                            assert!(now < first.1 + DEDUP_WINDOW_MS, "outside the deduplication window");
                        }
                        (2, possible_execution) => assert!(
                            possible_execution.is_none(),
                            "retry of a non-idempotent request that may have been executed"
                        ),
                        _ => {}
                    }
                    request.attempts.push((cell_of(server.0), now, None));
                }
                Action::Reject { id, .. } | Action::Fail(id) => {
                    let request = self.requests.get_mut(&id).expect("the request is known");
                    let may_reject = request.class == 0 || request.attempts.iter().all(|a| a.2 == Some(true));
                    assert!(
                        may_reject || matches!(action, Action::Fail(_)),
                        "rejected although a retry by the client is not safe"
                    );
                    request.final_answers += 1;
                    assert_eq!(request.final_answers, 1, "more than one final answer");
                    assert!(
                        now <= request.times_out_at + 20,
                        "answered more than 20 ms after the client timeout"
                    );
                }
                Action::Cancel { id, attempt } => {
                    assert!(attempt < self.requests[&id].attempts.len());
                }
                Action::Probe(server) => self.probes.push(server),
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: u64) {
        for _ in 0..time / 5 {
            let actions = self.harness.advance(5);
            self.check(actions);
            self.expire();
        }
    }

    /// Ends the attempts whose client timeout has passed.
    fn expire(&mut self) {
        let now = self.harness.now;
        let has_timed_out = |request: &TrackedRequest| {
            request.attempts.iter().any(|a| a.2.is_none()) && request.times_out_at <= now
        };
        let ids: Vec<RequestId> =
            self.requests.iter().filter(|(_, request)| has_timed_out(request)).map(|(id, _)| *id).collect();
        ids.into_iter().for_each(|id| self.end_attempt(id, Outcome::Timeout));
    }

    fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        let now = self.harness.now;
        loop {
            let request = self.requests.get_mut(&id).expect("the request is known");
            let Some(attempt_number) = request.attempts.iter().position(|a| a.2.is_none()) else { return };
            request.attempts[attempt_number].2 = Some(outcome.never_ran());
            let is_final = outcome == Outcome::Ok && request.final_answers == 0;
            request.final_answers += usize::from(is_final);
            let request_status = if request.final_answers > 0 {
                RequestStatus::Finished
            } else {
                RequestStatus::AwaitingAnswer
            };
            let elapsed = ms(now - request.attempts[attempt_number].1);
            let event = Event::Outcome { id, attempt: attempt_number, outcome, elapsed, request_status };
            let actions = self.harness.handle(event);
            self.check(actions);
            if outcome != Outcome::Timeout {
                return;
            }
        }
    }

    fn step(&mut self, kind: u8, choice: u64) {
        match kind {
            0..=4 => {
                let (class, client_timeout) = ((choice % 3) as usize, 50 + choice % 1_500);
                let times_out_at = self.harness.now + client_timeout;
                let next_id = RequestId(self.requests.len() as u32);
                self.requests
                    .insert(next_id, TrackedRequest { class, times_out_at, ..TrackedRequest::default() });
                let (id, actions) = self.harness.request_of_class(class, client_timeout);
                assert_eq!(id, next_id);
                self.check(actions);
            }
            5..=7 => {
                let has_attempt_in_flight =
                    |request: &TrackedRequest| request.attempts.iter().any(|a| a.2.is_none());
                let ids: Vec<RequestId> = self
                    .requests
                    .iter()
                    .filter(|(_, request)| has_attempt_in_flight(request))
                    .map(|(id, _)| *id)
                    .collect();
                if !ids.is_empty() {
                    let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Error, Outcome::Rejected];
                    let other_outcomes =
                        [Outcome::ConnectFailed, Outcome::Reset, Outcome::Cancelled, Outcome::NotSent];
                    let outcome = [outcomes, other_outcomes].concat()[(choice / 7 % 8) as usize];
                    self.end_attempt(ids[(choice % ids.len() as u64) as usize], outcome);
                }
            }
            8 => {
                let (server, state) = (choice % self.servers, choice / self.servers % 4);
                let availability = match state {
                    0 => Availability::Gone,
                    1 => Availability::Draining,
                    _ => Availability::Ready,
                };
                self.availabilities.insert(server, availability);
                let started_at = (choice % 5 == 0).then(|| ms(self.harness.now));
                let base = entry(server);
                let listed = ServerEntry {
                    availability,
                    cell: cell_of(server),
                    zone: cell_of(server),
                    started_at,
                    ..base
                };
                let actions = self.harness.handle(Event::ServerList(ServerListEvent::Delta(vec![listed])));
                self.check(actions);
            }
            9 => {
                let actions = self.harness.handle(Event::ServerList(ServerListEvent::Failed));
                self.check(actions);
            }
            10 if !self.probes.is_empty() => {
                for server in std::mem::take(&mut self.probes) {
                    let outcome = [Outcome::Ok, Outcome::Ok, Outcome::Rejected, Outcome::Timeout]
                        [(choice % 4) as usize];
                    let actions = self.harness.handle(Event::ProbeCompleted {
                        server,
                        outcome,
                        reported_load: Some((choice % 5) as f64),
                    });
                    self.check(actions);
                }
            }
            _ => self.advance(5 + choice % (60 * self.servers / 7)),
        }
    }
}

#[test]
fn random_event_sequences_keep_every_invariant() {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let steps = prop::collection::vec((0u8..12, any::<u32>()), 50..400);
    let inputs = (any::<u64>(), any::<bool>(), steps);
    let runs_with_probes = std::cell::RefCell::new(0);
    let run = |(seed, is_pushed, steps): (u64, bool, Vec<(u8, u32)>)| {
        let on_request = Discovery::OnRequest { max_poll_interval: ms(10_000) };
        let mut simulation =
            Simulation::new(seed, if is_pushed { Discovery::Pushed } else { on_request }, seed % 2 == 0);
        (0..simulation.servers - 2).for_each(|server| simulation.step(8, simulation.servers * 2 + server));
        steps.into_iter().for_each(|(kind, choice)| simulation.step(kind, u64::from(choice)));
        simulation.advance(2_000);
        *runs_with_probes.borrow_mut() +=
            usize::from(simulation.harness.log.iter().any(|(_, a)| matches!(a, Action::Probe(_))));
        for (id, request) in &simulation.requests {
            assert_eq!(
                request.final_answers, 1,
                "{id:?} due {} {:?} class {}",
                request.times_out_at, request.attempts, request.class
            );
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng).run(&inputs, run).expect("all invariants hold");
    assert!(runs_with_probes.into_inner() > 30, "more than 30 of the runs must have probes");
}
