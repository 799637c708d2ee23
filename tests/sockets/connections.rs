//! Tests of client connections and upstream connections.

use crate::harness::*;
use crate::{ok_reply, read_to_end};
use serde_json::json;
use std::io::{Read, Write};
use std::sync::{Mutex, mpsc};
use std::time::{Duration, Instant};

#[test]
fn an_attempt_at_a_silent_upstream_times_out_and_closes_its_connection() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let sidecar = Sidecar::start(&[&upstream]);
    let start = Instant::now();
    let answer = sidecar.send(&call("pay", 0.6));
    assert!(![200, 429, 503].contains(&answer.status), "{}", answer.status);
    assert!(start.elapsed() < Duration::from_secs(10), "{:?}", start.elapsed());
    upstream.wait_for("the connection to close", |state| state.closed_by_peer == 1);
}

#[test]
fn a_client_disconnect_ends_its_attempt() {
    let upstream = Upstream::start(|_| Reply::NoAnswer);
    let sidecar = Sidecar::start(&[&upstream]);
    // Also with unread bytes after the request.
    for (number, pipelined) in [(1, String::new()), (2, call("pay", 20.0).text())] {
        let mut client = sidecar.connect();
        client.write_all((call("pay", 20.0).text() + &pipelined).as_bytes()).expect("the bytes are written");
        upstream.wait_for("the request", |state| state.requests.len() == number);
        drop(client);
        upstream.wait_for("the connection to close", |state| state.closed_by_peer == number);
    }
    assert_eq!(upstream.requests().len(), 2, "the pipelined request is not forwarded");
}

#[test]
fn idle_connections_are_reused_unless_the_upstream_closed_them() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    for _ in 0..5 {
        assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
        // After an answer, a connection is not reused for 10 ms. This is real time inside the sidecar's
        // process, and its end is not visible from outside.
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(upstream.state().accepted, 1, "all requests use one connection");
    upstream.close_idle();
    upstream.wait_for("the sidecar to close its side", |state| state.closed_by_peer == 1);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200, "on a new connection");
    assert_eq!(upstream.state().accepted, 2);
}

#[test]
fn a_connection_idle_for_nearly_its_keep_alive_time_is_not_reused() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start_with(&[&upstream], |config| {
        config["settings"]["policyLimits"]["keepalive"] = json!(400.0)
    });
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    // Idle time is real time inside the sidecar's process. Its safety margin is a tenth of the 400 ms.
    std::thread::sleep(Duration::from_millis(370));
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    assert_eq!(upstream.state().accepted, 2);
}

#[test]
fn at_sigterm_open_and_new_requests_are_served_before_a_clean_exit() {
    // The upstream answers the first request only when the test releases it, after a request that was sent
    // after SIGTERM has been answered.
    let (release, released) = mpsc::channel::<()>();
    let (released, requests) = (Mutex::new(released), SharedCounter::default());
    let upstream = Upstream::start(move |_| {
        if requests.increment() == 1 {
            released
                .lock()
                .expect("no thread has panicked while it held the lock")
                .recv()
                .expect("released by the test");
        }
        ok_reply("served")
    });
    let mut sidecar = Sidecar::start(&[&upstream]);
    let mut idle_client = sidecar.connect();
    idle_client.write_all(b"GET /health/ready HTTP/1.1\r\nHost: n0\r\n\r\n").expect("the bytes are written");
    assert_eq!(Answer::read(&mut idle_client).status, 200);
    let mut first_client = sidecar.connect();
    first_client.write_all(call("pay", 3.0).text().as_bytes()).expect("the bytes are written");
    upstream.wait_for("the request", |state| state.requests.len() == 1);
    sidecar.terminate();
    sidecar.wait_until("readiness to fail", |sidecar| sidecar.readiness() == 503);
    let late_answer = sidecar.send(&call("pay", 3.0));
    assert_eq!(
        (late_answer.status, late_answer.header("connection")),
        (200, Some("close")),
        "a request after SIGTERM is served"
    );
    release.send(()).expect("the upstream waits");
    let first_answer = Answer::read(&mut first_client);
    assert_eq!((first_answer.status, first_answer.header("connection")), (200, Some("close")));
    assert_eq!(
        idle_client.read(&mut [0; 8]).expect("the connection ends without an error"),
        0,
        "the idle connection is closed"
    );
    // A client that keeps polling readiness does not delay the shutdown.
    sidecar.wait_until("the process to stop listening", |sidecar| sidecar.readiness() == 0);
    assert_eq!(sidecar.exit_code(), Some(0));
}

#[test]
fn idle_connections_are_evicted_for_new_ones_at_the_limit() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start_with(&[&upstream], |config| config["limits"]["sockets"] = json!(32));
    // More connections than the limit allows, all kept open by their clients.
    let mut kept_clients = Vec::new();
    for i in 0..48 {
        let mut client = sidecar.connect();
        client.write_all(call("pay", 5.0).text().as_bytes()).expect("the bytes are written");
        assert_eq!(Answer::read(&mut client).status, 200, "connection {i}");
        kept_clients.push(client);
    }
    assert!(sidecar.open_descriptors() < 32, "{}", sidecar.open_descriptors());
    drop(kept_clients);
    assert_eq!(sidecar.send(&call("pay", 5.0)).status, 200);
}

#[test]
fn accepting_without_descriptors_neither_stops_nor_uses_much_cpu() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    // The operating system's limit on descriptors is lower than the configured one.
    let sidecar = Sidecar::start_in_shell("ulimit -n 40", &[&upstream]);
    let silent: Vec<_> = (0..60).map(|_| sidecar.connect()).collect();
    sidecar.wait_for_log_line("accept: Too many open files");
    let ticks_before = sidecar.cpu_time_ticks();
    // The CPU time is compared with real time.
    std::thread::sleep(Duration::from_millis(500));
    assert!(sidecar.cpu_time_ticks() - ticks_before < 20, "less than 200 ms of CPU time within 500 ms");
    drop(silent);
    assert_eq!(sidecar.send(&call("pay", 20.0)).status, 200);
}

#[test]
fn silent_and_idle_clients_are_closed_and_do_not_block_others() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start_with(&[&upstream], |config| config["limits"]["sockets"] = json!(48));
    let mut kept_open = sidecar.connect();
    kept_open.write_all(call("pay", 20.0).text().as_bytes()).expect("the bytes are written");
    assert_eq!(Answer::read(&mut kept_open).status, 200);
    let start = Instant::now();
    let mut silent_clients: Vec<_> = (0..200).map(|_| sidecar.connect()).collect();
    let mut incomplete_client = sidecar.connect();
    incomplete_client
        .write_all(b"POST /api HTTP/1.1\r\nX-Call-Id: half\r\nX-")
        .expect("the bytes are written");
    assert_eq!(sidecar.send(&call("pay", 20.0)).status, 200);
    assert!(
        start.elapsed() < Duration::from_millis(1_500),
        "delayed by the silent clients: {:?}",
        start.elapsed()
    );
    for client in silent_clients.iter_mut().chain([&mut incomplete_client, &mut kept_open]) {
        assert_eq!(read_to_end(client), "");
    }
    assert!(start.elapsed() < Duration::from_secs(20), "{:?}", start.elapsed());
}

#[test]
fn clients_that_stay_after_one_request_are_evicted_first() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    // Of the 96 sockets, 32 are available for client connections.
    let sidecar = Sidecar::start_with(&[&upstream], |config| config["limits"]["sockets"] = json!(96));
    let send_on = |client: &mut std::net::TcpStream| {
        client.write_all(call("pay", 20.0).text().as_bytes()).expect("the bytes are written");
        assert_eq!(Answer::read(client).status, 200);
    };
    let mut regular_client = sidecar.connect();
    (0..2).for_each(|_| send_on(&mut regular_client));
    let mut kept_open: Vec<_> = (0..30).map(|_| sidecar.connect()).collect();
    kept_open.iter_mut().for_each(send_on);
    // Clients with one request are evicted, longest idle first. By idle time alone, the regular client would
    // be the first.
    for client in &mut kept_open[..5] {
        assert_eq!(read_to_end(client), "");
    }
    send_on(&mut regular_client);
}

#[test]
fn a_restarted_server_inherits_no_connection() {
    let upstream = Upstream::start(|_| ok_reply("served"));
    let sidecar = Sidecar::start(&[&upstream]);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    let mut entry = upstream.list_entry("Ready");
    entry["up_since_ms"] = json!(1_000);
    sidecar.discovery.publish(2, false, &[entry.clone()]);
    sidecar.discovery.wait_for_watch(2);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    assert_eq!(upstream.state().accepted, 2, "the restarted server gets a new connection");
    // The same address with a new server id also gets a new connection.
    let gone = upstream.list_entry("Gone");
    entry["id"] = json!("s-other");
    sidecar.discovery.publish(3, false, &[gone, entry]);
    sidecar.discovery.wait_for_watch(3);
    assert_eq!(sidecar.send(&call("pay", 2.0)).status, 200);
    assert_eq!(upstream.state().accepted, 3);
    upstream.wait_for("the old connections to close", |state| state.closed_by_peer == 2);
}
