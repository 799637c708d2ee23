//! Tests of each rule of the checker, on hand-written records.

mod configurations;
mod connections;
mod requests;
mod servers;
mod versions;

use crate::checker::{DrainedServer, HostedControl, RunRecords, check};
use crate::finding::Finding;
use crate::operator_log::{ConfigRead, ConfigWrite, OperatorLog};
use crate::persistent_clients::ConnectionLedger;
use crate::schedule::Schedule;
use crate::traffic::{Attempt, Behaviour};
use lugwharf_emulator::client::{AttemptEnd, ClientRequest, RequestKind};
use lugwharf_emulator::configuration::ConfigurationSpec;
use lugwharf_emulator::operator::CallOutcome;
use lugwharf_emulator::request_log::{Arrival, ReceivedOrder, RequestLog};
use lugwharf_emulator::wire::{Headers, Response};
use std::net::SocketAddr;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The records of a run, which a test fills in.
struct RunFixture {
    schedule: Schedule,
    request_log: RequestLog,
    attempts: Vec<Attempt>,
    connections: Vec<ConnectionLedger>,
    operator_log: OperatorLog,
    proxy_logs: Vec<String>,
    omitted_log_lines: Vec<u64>,
    drained_servers: Vec<DrainedServer>,
    hosted_control: HostedControl,
}

impl RunFixture {
    /// Empty records of a run with the faults of a schedule in text form.
    fn new(schedule: &str) -> RunFixture {
        RunFixture {
            schedule: Schedule::parse(schedule).expect("the schedule is valid"),
            request_log: RequestLog::new(),
            attempts: Vec::new(),
            connections: Vec::new(),
            operator_log: OperatorLog::default(),
            proxy_logs: vec![String::new(); 2],
            omitted_log_lines: vec![0; 2],
            drained_servers: Vec::new(),
            hosted_control: HostedControl::default(),
        }
    }

    fn findings(&self) -> Vec<(&'static str, String)> {
        let findings = check(&RunRecords {
            schedule: &self.schedule,
            request_log: &self.request_log,
            attempts: &self.attempts,
            connections: &self.connections,
            operator_log: &self.operator_log,
            proxy_logs: &self.proxy_logs,
            omitted_log_lines: &self.omitted_log_lines,
            drained_servers: &self.drained_servers,
            front_count: 2,
            hosted_control: &self.hosted_control,
            recovered_at: ms(50_000),
        });
        findings.into_iter().map(|Finding { rule, facts }| (rule, facts)).collect()
    }

    fn rules(&self) -> Vec<&'static str> {
        self.findings().into_iter().map(|(rule, _)| rule).collect()
    }

    /// Adds the request `ab` to front-end node 0, sent at 10,000 ms and ended at 10,200 ms.
    fn add_attempt(&mut self, behaviour: Behaviour, ending: AttemptEnd) -> &mut Attempt {
        let request = ClientRequest::post("ab", "shop.example", "/read/1", RequestKind::Safe);
        let mut outcome = request.outcome();
        outcome.ending = ending;
        let (started_at, ended_at) = (ms(10_000), ms(10_200));
        self.attempts.push(Attempt {
            front: 0,
            behaviour,
            is_connection_reused: false,
            started_at,
            sent_at: started_at,
            ended_at,
            body_bytes: 10,
            outcome,
        });
        self.attempts.last_mut().expect("an attempt was just added")
    }

    /// Records that the request `ab` arrived at a server.
    fn record_arrival(&self, instance: &str, at: Duration) {
        self.request_log.record_arrival(Arrival {
            at,
            instance: instance.to_owned(),
            service: "board".to_owned(),
            address: loopback_address(),
            request_id: Some("ab".to_owned()),
            method: "POST".to_owned(),
            target: "/read/1".to_owned(),
            headers: Headers::new(),
            content_hash: 0,
            body_bytes: 0,
        });
    }

    /// Records an order to the server `i-0-1` at 1 ms.
    fn record_order(&self, body: &str) {
        self.record_order_at(1, "i-0-1", body);
    }

    fn record_order_at(&self, at: u64, instance: &str, body: &str) {
        let (at, instance, body) = (ms(at), instance.to_owned(), body.to_owned());
        self.request_log.record_order(ReceivedOrder { at, instance, body });
    }
}

/// The address of all operator reads, and the client address of all arrivals.
fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 9], 80))
}

fn configuration_bytes(version: u64) -> Vec<u8> {
    ConfigurationSpec::new(version).to_bytes()
}

/// A write of a valid configuration, sent at `at` ms and ended 100 ms later.
fn config_write(version: u64, base: u64, at: u64, outcome: CallOutcome) -> ConfigWrite {
    let bytes = configuration_bytes(version).into();
    let (started_at, ended_at) = (ms(at), ms(at + 100));
    ConfigWrite { version, base, bytes, is_valid: true, started_at, ended_at, outcome, is_resend: false }
}

/// An answered read, sent at `at` ms and ended 10 ms later.
fn config_read(version: u64, at: u64) -> ConfigRead {
    ConfigRead {
        from: loopback_address(),
        reached: loopback_address(),
        started_at: ms(at),
        ended_at: ms(at + 10),
        bytes: Some(configuration_bytes(version)),
    }
}

fn acknowledged() -> CallOutcome {
    CallOutcome::Acknowledged(Response::new(200))
}

fn refused() -> CallOutcome {
    CallOutcome::Refused(Response::new(409))
}
