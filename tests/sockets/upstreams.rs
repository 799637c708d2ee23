//! Tests of the server list, load reports and slow start.

use crate::harness::*;
use crate::ok_reply;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn the_server_list_is_followed_and_retained_through_failures() {
    let [a, b] = [(); 2].map(|()| Upstream::start(|_| ok_reply("served")));
    let sidecar = Sidecar::start(&[&a, &b]);
    let served_by = |expected: &Upstream, other: &Upstream| {
        let before = other.requests().len();
        for _ in 0..6 {
            assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
        }
        assert!(!expected.requests().is_empty());
        other.requests().len() == before
    };
    // A delta makes one server drain.
    sidecar.discovery.publish(2, false, &[b.list_entry("Terminating")]);
    sidecar.discovery.wait_for_watch(2);
    assert!(served_by(&a, &b), "no new requests to the draining server");
    // Discovery answers with invalid JSON, then with an error, then closes the connection: the list stays in use.
    sidecar.discovery.fail_next_call(Reply::text(200, "", "{"));
    sidecar.discovery.fail_next_call(Reply::text(503, "", ""));
    sidecar.discovery.fail_next_call(Reply::Close);
    assert!(served_by(&a, &b));
    // Later updates are applied.
    sidecar.discovery.publish(3, false, &[b.list_entry("Ready"), a.list_entry("Gone")]);
    sidecar.discovery.wait_for_watch(3);
    assert!(served_by(&b, &a));
    // A complete list with a lower revision is applied: discovery has restarted its count.
    sidecar.discovery.publish(1, true, &[a.list_entry("Ready")]);
    sidecar.discovery.wait_for_watch(1);
    assert!(served_by(&a, &b), "servers that are missing from a complete list get no requests");
    // A delta with a revision lower than the current one cannot be applied, so the sidecar reads the complete
    // list.
    sidecar.discovery.publish(0, false, &[b.list_entry("Ready")]);
    sidecar.discovery.publish(5, true, &[b.list_entry("Ready")]);
    sidecar.discovery.wait_for_watch(5);
    assert!(served_by(&b, &a));
}

#[test]
fn an_upstream_is_reached_at_its_new_address() {
    let [old, new] = [(); 2].map(|()| Upstream::start(|_| ok_reply("served")));
    let sidecar = Sidecar::start(&[&old]);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    let mut entry = old.list_entry("Ready");
    entry["host_port"] = json!(new.addr.to_string());
    sidecar.discovery.publish(2, false, &[entry]);
    sidecar.discovery.wait_for_watch(2);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    assert_eq!((old.requests().len(), new.requests().len()), (1, 1));
    old.wait_for("the idle connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn the_next_watch_follows_at_once_from_the_current_revision() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    // The minimum of several delays: a busy machine may delay some watches, but a pause in the sidecar would
    // delay all.
    let delays = (2..8).map(|revision| {
        sidecar.discovery.publish(revision, false, &[upstream.list_entry("Ready")]);
        sidecar.discovery.wait_for_watch(revision)
    });
    let shortest = delays.min().expect("at least one delay");
    assert!(shortest < Duration::from_millis(150), "{shortest:?}");
}

#[test]
fn discovery_on_request_is_watched_once_the_module_subscribes() {
    let [a, b] = [(); 2].map(|()| Upstream::start(|_| ok_reply("served")));
    let sidecar = Sidecar::start_with(&[&a], |config| {
        config["settings"]["discovery"] = json!("on_request");
        config["settings"]["obligations"] = json!({"mustAskIn": 200.0});
    });
    sidecar.discovery.publish(2, true, &[b.list_entry("Ready")]);
    sidecar.discovery.wait_for_watch(2);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    assert_eq!(b.requests().len(), 1);
}

#[test]
fn a_quiet_sidecar_probes_upstreams_before_it_sends() {
    let upstreams: Vec<Upstream> = (0..6)
        .map(|i| {
            Upstream::start(move |request| match request.start_line.as_str() {
                "GET /stats HTTP/1.1" => {
                    ok_reply(&format!("{{\"depth\":0,\"concurrent\":{}}}", if i == 0 { 0 } else { 9 }))
                }
                _ => ok_reply("served"),
            })
        })
        .collect();
    let sidecar = Sidecar::start_with(&upstreams.iter().collect::<Vec<_>>(), |config| {
        config["settings"]["policyLimits"]["probes"] = json!(true);
        // Probes time out after the connect timeout; this one is long enough for a busy machine.
        config["settings"]["policyLimits"]["connectTimeout"] = json!(20_000.0);
        config["settings"]["report"] = json!({"how": "on_probe", "fields": ["depth", "concurrent"]});
    });
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    let count = |start_line: &str| {
        upstreams.iter().flat_map(|u| u.requests()).filter(|r| r.start_line.starts_with(start_line)).count()
    };
    // The request is sent at the latest one tick after the first probe's answer, but both candidates are
    // probed.
    sidecar.wait_until("both candidates to be probed", |_| count("GET /stats") >= 2);
    assert_eq!((count("GET /stats"), count("POST /api")), (2, 1));
}

#[test]
fn a_warming_upstream_gets_few_requests_from_a_new_sidecar() {
    let [warm, warming] = [(); 2].map(|()| Upstream::start(|_| ok_reply("served")));
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the clock is past the epoch")
        .as_millis();
    let sidecar = Sidecar::start_with(&[&warm, &warming], |config| {
        config["known"]["members"][1]["up_since_ms"] = json!(now as u64);
    });
    for _ in 0..60 {
        assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    }
    assert!(warming.requests().len() < 20, "{}", warming.requests().len());
}

#[test]
fn a_watch_that_returns_at_once_is_repeated_with_a_pause() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    let (before, started_at) = (sidecar.discovery.calls(), Instant::now());
    (0..1_000).for_each(|_| sidecar.discovery.publish(1, false, &[]));
    let calls = sidecar.discovery.wait_for_calls(before + 8) - before;
    assert!(
        calls as u128 <= 3 + started_at.elapsed().as_millis() / 100,
        "{calls} calls in {:?}",
        started_at.elapsed()
    );
}

#[test]
fn at_sighup_discovery_moves_to_the_address_in_the_file() {
    for mode in ["pushed", "on_request"] {
        let [a, b] = [(); 2].map(|()| Upstream::start(|_| ok_reply("served")));
        let sidecar = Sidecar::start_with(&[&a], |config| config["settings"]["discovery"] = json!(mode));
        sidecar.reload("{ no JSON");
        assert_eq!(
            sidecar.send(&call("pay", 2.0)).status,
            200,
            "an invalid configuration file changes nothing"
        );
        // The new discovery service has its own revisions: its list has the current revision, but other
        // members.
        let new =
            Discovery::start(&json!({"revision": 1, "complete": true, "members": [b.list_entry("Ready")]}));
        sidecar.reload_with_discovery(&new);
        new.wait_for_watch(1);
        let before = a.requests().len();
        assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
        assert_eq!((a.requests().len(), b.requests().len()), (before, 1), "{mode}");
    }
}
