//! The digest of a simulated run: the events and their times, each message, each record and each response.
//!
//! Messages, records and views are hashed in their CBOR encoding and everything else as numbers, never as
//! `Debug` output. The digest therefore changes only with behaviour, encoded names or the draws of the random
//! number generator. The tags below are part of the digest, so they are independent of the names in the code.

use super::event::SimulationEvent;
use lugwharf_chain::{Action, CommittedConfig, LogEvent, OperatorResponse};
use std::time::Duration;

/// Accumulates the digest of a run.
#[derive(Default)]
pub struct Transcript {
    hasher: blake3::Hasher,
}

impl Transcript {
    /// The first 64 bits of the hash of the recorded data.
    pub fn digest(&self) -> u64 {
        let mut bytes = [0; size_of::<u64>()];
        self.hasher.finalize_xof().fill(&mut bytes);
        u64::from_be_bytes(bytes)
    }

    /// Records numbers under a tag that identifies their meaning.
    pub fn record_numbers(&mut self, tag: &str, numbers: &[u64]) {
        self.record_bytes(tag.as_bytes());
        self.record_length(numbers.len());
        for number in numbers {
            self.hasher.update(&number.to_le_bytes());
        }
    }

    /// Records an event and its virtual time.
    pub fn record_event(&mut self, now: Duration, event: &SimulationEvent) {
        self.hasher.update(&now.as_nanos().to_le_bytes());
        match event {
            SimulationEvent::Boot { node } => self.record_numbers("boot", &[*node as u64]),
            SimulationEvent::Tick { node, incarnation } => {
                self.record_numbers("tick", &[*node as u64, *incarnation])
            }
            SimulationEvent::Deliver(envelope) => {
                let (from, to) = (envelope.from as u64, envelope.to as u64);
                // The content of the message was recorded when it was sent.
                self.record_numbers("deliver", &[from, to, envelope.to_incarnation]);
            }
            SimulationEvent::LinkDown { node, incarnation, peer } => {
                self.record_numbers("link down", &[*node as u64, *incarnation, *peer as u64]);
            }
            SimulationEvent::WriteDone { node, incarnation, batch } => {
                self.record_numbers("disk done", &[*node as u64, *incarnation, batch.0]);
            }
            SimulationEvent::Fault(_) => self.record_numbers("fault", &[]),
            SimulationEvent::CheckLeave { node, incarnation, .. } => {
                self.record_numbers("departure", &[*node as u64, *incarnation]);
            }
            SimulationEvent::WakeClient { client, generation } => {
                self.record_numbers("wake", &[*client as u64, *generation]);
            }
            SimulationEvent::AttemptTimeout { client, id } => {
                self.record_numbers("silence", &[*client as u64, id.0]);
            }
            SimulationEvent::Response { client, id, response } => {
                self.record_numbers("answer arrives", &[*client as u64, id.0]);
                self.record_response(response);
            }
        }
    }

    /// Records an action of the replica on a machine.
    pub fn record_action(&mut self, node: usize, action: &Action) {
        let node = node as u64;
        match action {
            Action::Send { to, message } => {
                self.record_numbers("send", &[node]);
                self.record_bytes(to.to_string().as_bytes());
                self.record_encoded(message);
            }
            Action::Persist { batch, records } => self.record_batch("store", node, batch.0, records),
            Action::RewriteLog { batch, records } => self.record_batch("rewrite", node, batch.0, records),
            Action::Respond { id, response } => {
                self.record_numbers("answer", &[node, id.0]);
                self.record_response(response);
            }
            Action::Committed { config } => {
                self.record_numbers("committed", &[node]);
                self.record_config(config);
            }
            Action::ViewChanged(view) => {
                self.record_numbers("view", &[node]);
                self.record_encoded(&**view);
            }
            Action::Log(event) => self.record_numbers("log", &[node, log_tag(event)]),
        }
    }

    fn record_batch(&mut self, tag: &str, node: u64, batch: u64, records: &[Vec<u8>]) {
        self.record_numbers(tag, &[node, batch, records.len() as u64]);
        for record in records {
            self.record_bytes(record);
        }
    }

    fn record_response(&mut self, response: &OperatorResponse) {
        match response {
            OperatorResponse::Accepted { version } => self.record_numbers("accepted", &[*version]),
            OperatorResponse::Conflict { current } => self.record_numbers("conflict", &[*current]),
            OperatorResponse::StaleVersion { current } => self.record_numbers("outdated", &[*current]),
            OperatorResponse::Unavailable => self.record_numbers("unavailable", &[]),
            OperatorResponse::Config(None) => self.record_numbers("no config", &[]),
            OperatorResponse::Config(Some(config)) => self.record_config(config),
        }
    }

    fn record_config(&mut self, config: &CommittedConfig) {
        self.record_numbers("config", &[config.version, config.base]);
        self.record_bytes(&config.bytes);
    }

    fn record_encoded(&mut self, value: &impl serde::Serialize) {
        let mut bytes = Vec::new();
        ciborium::into_writer(value, &mut bytes).expect("cannot encode the value");
        self.record_bytes(&bytes);
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        self.record_length(bytes.len());
        self.hasher.update(bytes);
    }

    fn record_length(&mut self, length: usize) {
        self.hasher.update(&(length as u64).to_le_bytes());
    }
}

fn log_tag(event: &LogEvent) -> u64 {
    match event {
        LogEvent::Started { .. } => 1,
        LogEvent::Proposing { .. } => 2,
        LogEvent::Serving { .. } => 3,
        LogEvent::EntryCommitted(_) => 4,
        LogEvent::ProposalNumberReused { .. } => 5,
        LogEvent::DiskFault => 6,
        LogEvent::DiskHealthy => 7,
        LogEvent::EntrySuperseded(_) => 8,
    }
}
