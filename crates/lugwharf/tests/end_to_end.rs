//! End-to-end tests of configurations and requests through real processes.

mod support;

use lugwharf_emulator::client::Client;
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::server_core::ServerEvent;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Fleet, HOST, SMALL, Topology, first_configuration, json as parsed, next_configuration};

#[tokio::test]
async fn configuration_is_applied_by_every_front() {
    let mut fleet = Fleet::start(Topology { fronts: 3, controls: 3, ..SMALL }).await;
    let bytes = next_configuration(4, "/added/").to_bytes();
    let outcome = fleet.operator.put(&bytes, 1).await;
    assert_eq!(outcome.status(), Some(200), "{}", fleet.cluster.logs());
    assert_eq!(fleet.read_back().await.as_deref(), Some(bytes.as_slice()));
    for front in 0..3 {
        assert!(fleet.serves(front, "/added/").await, "front {front}\n{}", fleet.cluster.logs());
    }
}

#[tokio::test]
async fn generation_is_split_between_prefill_and_decode_servers() {
    let mut fleet = Fleet::start(SMALL).await;
    let request = fleet.generation(17);
    let outcome = fleet.send(0, &request).await;
    assert!(outcome.is_success(), "{outcome:?}\n{}", fleet.cluster.logs());
    assert_eq!((outcome.failed_checks.as_slice(), outcome.events.len()), (&[][..], 5));
    let arrivals = fleet.environment.request_log().arrivals_of(&request.request_id);
    let stages: Vec<bool> = arrivals.iter().map(|arrival| arrival.is_prefill()).collect();
    assert_eq!(stages, [true, false], "{arrivals:?}");
    let runs = fleet.environment.request_log().executions_of(&request.request_id);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].kv_owner.as_deref(), Some(request.request_id.as_str()));
    assert_eq!(fleet.violations(&[outcome]), []);
}

#[tokio::test]
async fn client_connection_carries_several_requests() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut client = Client::new(fleet.cluster.front_address(0));
    let mut outcomes = Vec::new();
    for turn in 0..12 {
        let request = if turn % 2 == 0 { fleet.work() } else { fleet.generation(9) };
        outcomes.push(client.send(&request).await);
    }
    for outcome in &outcomes {
        assert!(
            outcome.is_success() && outcome.failed_checks.is_empty(),
            "{outcome:?}\n{}",
            fleet.cluster.logs()
        );
    }
    assert_eq!(client.surplus_bytes(), b"");
    assert_eq!(fleet.violations(&outcomes), []);
}

#[tokio::test]
async fn request_reaches_its_server_unchanged() {
    let mut fleet = Fleet::start(SMALL).await;
    let mut request = fleet.work();
    request.target = "/work/a%20b/?x=1&y=%2F".to_owned();
    request.headers.push("X-Own", "kept");
    request.body = vec![b'z'; 100_000];
    let outcome = fleet.send(0, &request).await;
    assert!(
        outcome.is_success() && outcome.failed_checks.is_empty(),
        "{outcome:?}\n{}",
        fleet.cluster.logs()
    );
    let arrivals = fleet.environment.request_log().arrivals_of(&request.request_id);
    assert_eq!(arrivals.len(), 1);
    assert_eq!((arrivals[0].target.as_str(), arrivals[0].body_bytes), (request.target.as_str(), 100_000));
    assert_eq!(arrivals[0].headers.get("X-Own"), Some("kept"));
    assert_eq!(arrivals[0].headers.get("Host"), Some(HOST));
    assert_eq!(arrivals[0].content_hash, outcome.content_hash);
}

#[rstest]
#[case::path(HOST, "/nowhere/1")]
#[case::host("other.example", "/work/1")]
#[case::prefix_without_its_slash(HOST, "/work")]
#[tokio::test]
async fn request_without_a_route_gets_404(#[case] host: &str, #[case] target: &str) {
    let mut fleet = Fleet::start(SMALL).await;
    let mut request = fleet.work();
    request.host = host.to_owned();
    request.target = target.to_owned();
    let outcome = fleet.send(0, &request).await;
    assert_eq!(outcome.status, Some(404), "{outcome:?}");
    assert_eq!(fleet.environment.request_log().arrivals_of(&request.request_id).len(), 0);
}

#[tokio::test]
async fn server_error_is_forwarded_unchanged() {
    let mut fleet = Fleet::start(SMALL).await;
    for server in &fleet.plain_servers {
        server.send_event(ServerEvent::SetFailing(true));
    }
    let request = fleet.work();
    let outcome = fleet.send(0, &request).await;
    assert_eq!((outcome.status, outcome.failed_checks.as_slice()), (Some(500), &[][..]), "{outcome:?}");
    assert_eq!(fleet.violations(&[outcome]), []);
}

/// Returns a valid configuration with the value at a JSON pointer replaced.
fn with_value(pointer: &str, value: Value) -> Vec<u8> {
    let mut configuration = next_configuration(5, "/added/").to_json();
    *configuration.pointer_mut(pointer).expect("the configuration has no value at the pointer") = value;
    configuration.to_string().into_bytes()
}

#[rstest]
#[case::no_json(b"{\"Version\":5,".to_vec(), "")]
#[case::unknown_service(with_value("/Routes/1/Service", json!("nobody")), "Routes/1/Service")]
#[case::zero_timeout(with_value("/Routes/0/TimeoutMs", json!(0)), "Routes/0/TimeoutMs")]
#[case::duplicate_prefix(with_value("/Routes/4/PathPrefix", json!("/work/")), "Routes/4/PathPrefix")]
#[case::malformed_version(with_value("/Version", json!("five")), "Version")]
#[case::version_not_newer(with_value("/Version", json!(1)), "Version")]
#[case::no_weight(
    {
        let mut configuration = next_configuration(5, "/added/").to_json();
        let route = configuration
            .pointer_mut("/Routes/1")
            .and_then(Value::as_object_mut)
            .expect("the configuration has no second route");
        route.remove("Service");
        route.insert("TrafficSplit".to_owned(), json!([{"Service": "board", "Weight": 0}]));
        configuration.to_string().into_bytes()
    },
    "Routes/1"
)]
#[tokio::test]
async fn invalid_configuration_is_refused_with_its_field(#[case] bytes: Vec<u8>, #[case] field: &str) {
    let fleet = Fleet::start(SMALL).await;
    let CallOutcome::Refused(response) = fleet.operator.put(&bytes, 1).await else {
        panic!("not refused\n{}", fleet.cluster.logs());
    };
    // Any status with which an operator ends a call is accepted: a version that is not newer is also a
    // conflict.
    assert!(matches!(response.status, 400 | 409 | 422), "{}", response.status);
    assert!(response.headers.get("Content-Type").is_some_and(|kind| kind.starts_with("application/json")));
    let body = String::from_utf8_lossy(&response.body).into_owned();
    assert!(parsed(&response.body).is_object(), "{body}");
    assert!(body.contains(field), "{body}");
    assert_eq!(fleet.read_back().await, Some(first_configuration().to_bytes()));
}

#[tokio::test]
async fn one_of_two_concurrent_changes_commits() {
    let fleet = Fleet::start(SMALL).await;
    let (left, right) =
        (next_configuration(3, "/left/").to_bytes(), next_configuration(3, "/right/").to_bytes());
    let (first, second) = tokio::join!(fleet.operator.put(&left, 1), fleet.operator.put(&right, 1));
    let statuses = [first.status(), second.status()];
    let winner = match statuses {
        [Some(200), Some(412)] => left,
        [Some(412), Some(200)] => right,
        _ => panic!("{statuses:?}\n{}", fleet.cluster.logs()),
    };
    assert_eq!(fleet.read_back().await, Some(winner));
}

#[tokio::test]
async fn change_on_a_stale_version_is_refused() {
    let fleet = Fleet::start(SMALL).await;
    assert_eq!(fleet.operator.put(&next_configuration(3, "/a/").to_bytes(), 1).await.status(), Some(200));
    assert_eq!(fleet.operator.put(&next_configuration(6, "/b/").to_bytes(), 1).await.status(), Some(412));
    assert_eq!(fleet.operator.put(&next_configuration(7, "/b/").to_bytes(), 3).await.status(), Some(200));
}

#[tokio::test]
async fn repeated_change_is_acknowledged_by_every_control_machine() {
    let fleet = Fleet::start(SMALL).await;
    let bytes = next_configuration(3, "/added/").to_bytes();
    assert_eq!(fleet.operator.put(&bytes, 1).await.status(), Some(200));
    for index in 0..3 {
        let single_operator =
            lugwharf_emulator::operator::Operator::new(vec![fleet.cluster.control_address(index)]);
        assert_eq!(single_operator.put(&bytes, 1).await.status(), Some(200), "control {index}");
        assert_eq!(single_operator.get().await.body(), bytes, "control {index}");
    }
}
