//! The operator against sidecars that play a script.

use lugwharf_emulator::operator::{CallOutcome, Operator};
use lugwharf_emulator::wire::{Connection, Request, Response};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::net::TcpListener;

/// What a sidecar does with one connection.
#[derive(Clone)]
enum Play {
    Response(Response),
    CloseWithoutAnswer,
}

struct Sidecar {
    address: SocketAddr,
    seen: Arc<Mutex<Vec<Request>>>,
}

async fn sidecar(script: Vec<Play>) -> Sidecar {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let address = listener.local_addr().expect("an address");
    let seen = Arc::new(Mutex::new(Vec::new()));
    let notes = Arc::clone(&seen);
    tokio::spawn(async move {
        for play in script {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut connection = Connection::new(stream);
            let request = connection.read_request().await.expect("a request").expect("a request");
            notes.lock().expect("a lock").push(request);
            if let Play::Response(response) = play {
                connection.write(&response.encode()).await.expect("a write");
            }
        }
    });
    Sidecar { address, seen }
}

fn redirect(to: SocketAddr) -> Play {
    Play::Response(Response::new(307).with("Location", format!("http://{to}/config")))
}

#[tokio::test]
async fn redirects_are_followed_twice() {
    let last = sidecar(vec![Play::Response(Response::new(200))]).await;
    let middle = sidecar(vec![redirect(last.address)]).await;
    let first = sidecar(vec![redirect(middle.address)]).await;
    let verdict = Operator::new(vec![first.address]).put(b"{}", 5).await;
    assert_eq!(verdict.status(), Some(200));
    let seen = last.seen.lock().expect("a lock");
    assert_eq!((seen[0].method.as_str(), seen[0].headers.get("If-Match")), ("PUT", Some("5")));
    assert_eq!(seen[0].body, b"{}");
}

#[rstest]
#[case::closed(Play::CloseWithoutAnswer)]
#[case::unavailable(Play::Response(Response::new(503)))]
#[case::too_many(Play::Response(Response::new(429)))]
#[tokio::test]
async fn the_same_order_goes_to_another_sidecar_after_a_failure(#[case] failure: Play) {
    let failing = sidecar(vec![failure]).await;
    let taking = sidecar(vec![Play::Response(Response::new(200))]).await;
    let verdict = Operator::new(vec![failing.address, taking.address]).put(b"the change", 0).await;
    assert!(matches!(verdict, CallOutcome::Acknowledged(_)));
    let first = failing.seen.lock().expect("a lock")[0].body.clone();
    assert_eq!(taking.seen.lock().expect("a lock")[0].body, first);
}

#[rstest]
#[case(400)]
#[case(409)]
#[case(412)]
#[case(413)]
#[case(422)]
#[tokio::test]
async fn a_clear_refusal_ends_the_call(#[case] status: u16) {
    let refusing = sidecar(vec![Play::Response(Response::new(status))]).await;
    let verdict = Operator::new(vec![refusing.address]).put(b"{}", 0).await;
    assert!(matches!(verdict, CallOutcome::Refused(response) if response.status == status));
}

#[tokio::test]
async fn any_other_4xx_ends_the_call_at_the_third_try() {
    let refusing = sidecar(vec![Play::Response(Response::new(404)); 3]).await;
    let verdict = Operator::new(vec![refusing.address]).get().await;
    assert_eq!(verdict.status(), Some(404));
    assert_eq!(refusing.seen.lock().expect("a lock").len(), 3);
}

#[tokio::test]
async fn without_any_answer_the_verdict_is_unclear() {
    let mut operator = Operator::new(vec![([127, 0, 0, 1], 1).into()]);
    operator.tries = 2;
    assert_eq!(operator.get().await, CallOutcome::Unknown);
}
