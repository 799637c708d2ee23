//! Tests of the operator against scripted control addresses.

use lugwharf_emulator::operator::{CallOutcome, Operator};
use lugwharf_emulator::wire::{Connection, Request, Response};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;

/// What a scripted control address does after reading the request on one connection.
#[derive(Clone)]
enum Step {
    Response(Response),
    CloseWithoutResponse,
}

/// A control address that follows a script, and the requests that it received.
struct ScriptedControl {
    address: SocketAddr,
    received: Arc<Mutex<Vec<Request>>>,
}

/// Starts a control address that handles one connection for each step of `script`.
async fn scripted_control(script: Vec<Step>) -> ScriptedControl {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener is bound");
    let address = listener.local_addr().expect("the listener has an address");
    let received = Arc::new(Mutex::new(Vec::new()));
    let log = Arc::clone(&received);
    tokio::spawn(async move {
        for step in script {
            let (stream, _) = listener.accept().await.expect("the connection is accepted");
            let mut connection = Connection::new(stream);
            let request = connection
                .read_request()
                .await
                .expect("the request is valid")
                .expect("a request precedes the end");
            log.lock().expect("no other thread has panicked").push(request);
            if let Step::Response(response) = step {
                connection.write(&response.encode()).await.expect("the response is written");
            }
        }
    });
    ScriptedControl { address, received }
}

fn redirect(to: SocketAddr) -> Step {
    Step::Response(Response::new(307).with("Location", format!("http://{to}/config")))
}

#[tokio::test]
async fn redirects_are_followed_twice() {
    let last = scripted_control(vec![Step::Response(Response::new(200))]).await;
    let middle = scripted_control(vec![redirect(last.address)]).await;
    let first = scripted_control(vec![redirect(middle.address)]).await;
    let outcome = Operator::new(vec![first.address]).put(b"{}", 5).await;
    assert_eq!(outcome.status(), Some(200));
    let received = last.received.lock().expect("no other thread has panicked");
    assert_eq!((received[0].method.as_str(), received[0].headers.get("If-Match")), ("PUT", Some("5")));
    assert_eq!(received[0].body, b"{}");
}

#[rstest]
#[case::closed(Step::CloseWithoutResponse)]
#[case::unavailable(Step::Response(Response::new(503)))]
#[case::too_many(Step::Response(Response::new(429)))]
#[tokio::test]
async fn failed_attempt_is_repeated_unchanged_at_the_next_address(#[case] failure: Step) {
    let failing = scripted_control(vec![failure]).await;
    let accepting = scripted_control(vec![Step::Response(Response::new(200))]).await;
    let outcome = Operator::new(vec![failing.address, accepting.address]).put(b"the change", 0).await;
    assert!(matches!(outcome, CallOutcome::Acknowledged(_)));
    let first = failing.received.lock().expect("no other thread has panicked")[0].body.clone();
    assert_eq!(accepting.received.lock().expect("no other thread has panicked")[0].body, first);
}

#[rstest]
#[case(400)]
#[case(409)]
#[case(412)]
#[case(413)]
#[case(422)]
#[tokio::test]
async fn clear_refusal_ends_the_call(#[case] status: u16) {
    let refusing = scripted_control(vec![Step::Response(Response::new(status))]).await;
    let outcome = Operator::new(vec![refusing.address]).put(b"{}", 0).await;
    assert!(matches!(outcome, CallOutcome::Refused(response) if response.status == status));
}

#[tokio::test]
async fn other_4xx_ends_the_call_at_the_third_response() {
    let refusing = scripted_control(vec![Step::Response(Response::new(404)); 3]).await;
    let outcome = Operator::new(vec![refusing.address]).get().await;
    assert_eq!(outcome.status(), Some(404));
    assert_eq!(refusing.received.lock().expect("no other thread has panicked").len(), 3);
}

#[tokio::test]
async fn call_without_any_response_is_unknown() {
    let mut operator = Operator::new(vec![([127, 0, 0, 1], 1).into()]);
    operator.max_attempts = 2;
    assert_eq!(operator.get().await, CallOutcome::Unknown);
}
