//! Tests of the validation of requests.

use super::*;
use hyper::Request;

fn check(method: &str, headers: &[(&str, &str)]) -> Result<RequestMetadata, InvalidRequest> {
    let json = crate::config::tests::JSON.replace(
        r#""idempotency":"fragile"}"#,
        r#""deadline":740.0,"idempotency":"fragile"},{"name":"report","aim":290.0,"deadline":740.0,
        "idempotency":"dedup","group":"cell","dedupWindow":7500.0},{"name":"look","aim":290.0,"idempotency":"retryable"}"#,
    );
    let config = Config::read(&json, |_| None).expect("cannot read the configuration");
    let mut request = Request::builder().method(method).uri("/api");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    super::check(&request.body(()).expect("cannot build the request").into_parts().0, &config)
}

const PAY: [(&str, &str); 3] = [("X-Call-Id", "1"), ("X-Call-Class", "pay"), ("X-Budget", "0.5")];
const REPORT: [(&str, &str); 3] = [("X-Call-Id", "1"), ("X-Call-Class", "report"), ("X-Budget", "0.5")];
const LOOK: [(&str, &str); 3] = [("X-Call-Id", "1"), ("X-Call-Class", "look"), ("X-Budget", "0.5")];

#[test]
fn requests_that_fit_their_class_are_accepted() {
    let with = |headers: &[(&'static str, &'static str)], more| [headers, &[more]].concat();
    assert_eq!(
        check("POST", &PAY).expect("the valid request was rejected").client_timeout,
        Duration::from_millis(500)
    );
    assert_eq!(
        check("POST", &with(&REPORT, ("Idempotency-Key", "k")))
            .expect("the valid request was rejected")
            .class,
        1
    );
    assert_eq!(check("GET", &LOOK).expect("the valid request was rejected").class, 2);
    let retry = check("POST", &with(&PAY, ("X-Again", "1"))).expect("the valid request was rejected");
    assert_eq!((retry.origin, retry.cost), (Origin::ClientRetry, None));
}

#[test]
fn requests_that_do_not_fit_are_rejected() {
    for (method, headers, more) in [
        ("GET", PAY, vec![]),
        ("POST", PAY, vec![("Idempotency-Key", "k")]),
        ("POST", REPORT, vec![]),
        ("POST", REPORT, vec![("Idempotency-Key", "")]),
        ("POST", LOOK, vec![]),
        ("GET", LOOK, vec![("Content-Length", "1")]),
        ("POST", PAY, vec![("Transfer-Encoding", "chunked")]),
        ("POST", PAY, vec![("X-Call-Id", "2")]),
        ("POST", PAY, vec![("X-Budget", "0.5")]),
        ("POST", PAY, vec![("Content-Length", "65537")]),
        ("POST", PAY, vec![("Content-Length", "99999999999999999999999")]),
    ] {
        assert!(check(method, &[&headers[..], &more].concat()).is_err(), "{method} {headers:?} {more:?}");
    }
    for (index, value) in [(0, ""), (0, "  "), (1, "nobody"), (2, "soon"), (2, "-1"), (2, "NaN"), (2, "1e20")]
    {
        let mut headers = PAY;
        headers[index].1 = value;
        assert!(check("POST", &headers).is_err(), "{headers:?}");
        assert!(
            check("POST", &[&PAY[..index], &PAY[index + 1..]].concat()).is_err(),
            "without {}",
            PAY[index].0
        );
    }
}

#[test]
fn budget_and_cost_are_bounded_by_the_deadline() {
    let metadata = check("POST", &[&PAY[..2], &[("X-Budget", "1e18"), ("X-Call-Cost", "1e22")]].concat());
    let metadata = metadata.expect("the valid request was rejected");
    let deadline = Duration::from_millis(740);
    assert_eq!((metadata.client_timeout, metadata.cost), (deadline, Some(deadline)));
}
