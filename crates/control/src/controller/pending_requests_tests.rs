//! Tests of which requester receives which response, and of which requests count as abandoned.

use super::pending_requests::PendingRequests;
use lugwharf_chain::{OperatorRequestId, OperatorResponse};
use tokio::sync::oneshot;

fn accepted(version: u64) -> OperatorResponse {
    OperatorResponse::Accepted { version }
}

#[test]
fn ids_start_at_one_and_each_response_reaches_its_requester_once() {
    let mut requests = PendingRequests::default();
    let (first, mut first_response) = oneshot::channel();
    let (second, mut second_response) = oneshot::channel();
    let ids = [requests.register(first), requests.register(second)];
    assert_eq!(ids, [OperatorRequestId(1), OperatorRequestId(2)]);
    requests.respond(ids[1], accepted(9));
    requests.respond(ids[1], accepted(10));
    assert_eq!(second_response.try_recv(), Ok(accepted(9)));
    assert!(first_response.try_recv().is_err());
    requests.respond(ids[0], accepted(8));
    assert_eq!(first_response.try_recv(), Ok(accepted(8)));
}

#[test]
fn abandoned_requests_are_removed_once_and_those_that_wait_stay() {
    let mut requests = PendingRequests::default();
    let (first, first_response) = oneshot::channel();
    let (second, mut second_response) = oneshot::channel();
    let (third, third_response) = oneshot::channel();
    let ids = [first, second, third].map(|reply| requests.register(reply));
    drop((first_response, third_response));
    assert_eq!(requests.remove_abandoned(), [ids[0], ids[2]]);
    assert_eq!(requests.remove_abandoned(), []);
    requests.respond(ids[0], accepted(8));
    requests.respond(ids[1], accepted(9));
    assert_eq!(second_response.try_recv(), Ok(accepted(9)));
}
