//! Tests of the driver.

use super::event_loop::answer_margin;
use super::pending_request::{AttemptTask, PendingAttempt};
use super::*;
use crate::config::Config;
use crate::events::{ClientRequest, DriverEvent, DriverHandle, FinalAnswer};
use crate::pool::Pool;
use crate::upstream::{ForwardedRequest, ServedBody};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use lugwharf_sidecar::api::{Action, Arrival, Event, Origin, Outcome, RequestId};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

#[test]
fn the_answer_margin_leaves_nine_tenths_of_a_short_client_timeout() {
    let budget = Duration::from_millis(20);
    assert!(budget - 2 * answer_margin(budget) >= budget * 9 / 10);
}

#[tokio::test]
async fn a_request_that_the_module_does_not_decide_fails_at_its_answer_deadline() {
    let (mut driver, handle) = driver(crate::config::tests::JSON);
    // The decision module already has a request with this id, so it ignores the next one and never decides
    // it.
    let (id, client_timeout) = (RequestId(0), Duration::from_secs(3_600));
    let arrival = Arrival { id, class: 0, cost: None, client_timeout, origin: Origin::Fresh };
    driver.balancer.handle(driver.clock.now(), Event::Request(arrival), &mut Vec::new());
    tokio::spawn(driver.run(None));
    let (since, budget) = (Instant::now(), Duration::from_millis(200));
    let answer = tokio::time::timeout(Duration::from_secs(30), handle.execute(request(budget))).await;
    assert!(matches!(answer.expect("the request was not answered within 30 s"), FinalAnswer::Failed));
    assert!(since.elapsed() >= budget - answer_margin(budget), "the module had its share of the time");
}

fn request(client_timeout: Duration) -> ClientRequest {
    let (method, uri, headers) = (Method::POST, Uri::from_static("/api"), HeaderMap::new());
    let forwarded = ForwardedRequest { method, uri, headers, body: Bytes::new() };
    let (class, cost, origin, received_at) = (0, None, Origin::Fresh, Instant::now());
    ClientRequest { forwarded, class, cost, origin, client_timeout, received_at }
}

fn driver(json: &str) -> (Driver, DriverHandle) {
    let config = Arc::new(Config::read(json, |_| None).expect("cannot read the configuration"));
    Driver::new(config, Pool::new(1, Duration::ZERO, Duration::ZERO, true), Arc::new(Notify::new()))
}

/// The event that the first attempt of a request ended.
fn attempt_ended(id: RequestId, outcome: Outcome, body: &'static [u8]) -> DriverEvent {
    let served = ServedBody { body: Bytes::from_static(body), content_type: None };
    DriverEvent::AttemptEnded { id, attempt: 0, outcome, served }
}

/// Puts an attempt in flight, as if the decision module had sent it.
fn put_in_flight(driver: &mut Driver, id: RequestId) -> Arc<Notify> {
    let abandoned = Arc::<Notify>::default();
    let task = tokio::spawn(std::future::pending::<()>()).abort_handle();
    let pending = driver.requests.get_mut(&id).expect("the request is not pending");
    let task = Some(AttemptTask { task, abandoned: abandoned.clone() });
    pending.attempts.push(PendingAttempt { sent_at: Instant::now(), task });
    abandoned
}

#[tokio::test(start_paused = true)]
async fn events_in_the_channel_are_handled_before_due_timers() {
    let (mut driver, handle) = driver(crate::config::tests::JSON);
    let (id, budget) = (RequestId(0), Duration::from_millis(200));
    let (answer_sender, answer) = oneshot::channel();
    driver.on_request(id, request(budget), answer_sender);
    put_in_flight(&mut driver, id);
    // The driver does not run while the answer arrives and the answer deadline passes.
    handle.send(attempt_ended(id, Outcome::Ok, b"in time"));
    tokio::time::advance(budget).await;
    tokio::spawn(driver.run(None));
    let answer = answer.await.expect("the driver dropped the request without an answer");
    assert!(matches!(&answer, FinalAnswer::Served(served) if served.body == "in time"), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn a_client_disconnect_abandons_attempts_even_where_cancelling_is_not_permitted() {
    let (mut driver, _handle) =
        driver(&crate::config::tests::JSON.replace("\"cancel\":true", "\"cancel\":false"));
    let id = RequestId(0);
    let (answer_sender, _answer) = oneshot::channel();
    driver.on_request(id, request(Duration::from_secs(20)), answer_sender);
    let abandoned = put_in_flight(&mut driver, id);
    driver.on_event(DriverEvent::ClientDisconnected(id));
    assert!(driver.requests.contains_key(&id), "its attempt is still in flight");
    let notified = tokio::time::timeout(Duration::from_secs(1), abandoned.notified()).await;
    assert!(notified.is_ok(), "an incompletely written request is never completed");
    driver.on_event(attempt_ended(id, Outcome::NotSent, b""));
    assert!(driver.requests.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_attempt_has_one_outcome_even_if_its_own_is_in_the_channel() {
    let (mut driver, handle) = driver(crate::config::tests::JSON);
    let id = RequestId(0);
    let (answer_sender, answer) = oneshot::channel();
    driver.on_request(id, request(Duration::from_secs(20)), answer_sender);
    put_in_flight(&mut driver, id);
    handle.send(attempt_ended(id, Outcome::Ok, b"late"));
    let event = driver.carry_out(Action::Cancel { id, attempt: 0 });
    assert!(matches!(event, Some(Event::Outcome { outcome: Outcome::Cancelled, .. })));
    driver.carry_out(Action::Fail(id));
    assert!(driver.requests.is_empty());
    let late = driver.events.try_recv().expect("the late outcome is not in the channel");
    driver.on_event(late);
    assert!(matches!(answer.await, Ok(FinalAnswer::Failed)), "one final answer");
}
