//! The lines of the log about the replica and about a configuration on its way through the chain.
//!
//! Each line is an event with fields; `outcome` says what became of its subject. Events, outcomes and fields are what operators
//! search for: `docs/OPERATING.md`, "Reading the logs", lists them all. The lease is logged by `list_watcher_role`, a change
//! of the operator by `operator::config_change`.

use lugwharf_chain::{Blake3, LogEvent, Message, ReplicaFault, ViewChangeReason};
use spdlog::prelude::*;
use std::fmt::{self, Write};
use std::net::SocketAddr;

/// The hash of a configuration's bytes in hex, computed only if the line is written.
pub struct Hash<'a>(pub &'a [u8]);

impl fmt::Display for Hash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Blake3::of(self.0).fmt(f)
    }
}

/// Characters of a text from a request that one line shows. Errors of the schema quote the value at fault, which may be as
/// long as the configuration.
const MAX_EXCERPT_CHARS: usize = 200;

/// The beginning of a text that may come from a request, on one line: control characters become spaces. `-` for an empty one.
pub struct Excerpt<'a>(pub &'a str);

impl fmt::Display for Excerpt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("-");
        }
        let shown = self.0.chars().take(MAX_EXCERPT_CHARS);
        shown.map(|char| if char.is_control() { ' ' } else { char }).try_for_each(|char| f.write_char(char))
    }
}

/// Logs an event of the replica.
pub fn chain_event(logger: &Logger, line: &LogEvent) {
    match line {
        LogEvent::Started { identity, may_bootstrap, view_number } => {
            let disk = format!("{:016x}", identity.disk);
            info!(logger: logger, "replica", kv: {
                outcome = "started", address: = identity.address, disk = disk.as_str(), may_bootstrap = *may_bootstrap, view = *view_number
            });
        }
        LogEvent::Proposing { view_number, reason, faulty_replica } => {
            let reason = reason_name(*reason);
            let replica = faulty_replica.map_or_else(|| "-".to_owned(), |faulty| faulty.address.to_string());
            let fault = faulty_replica.map_or("-", |faulty| fault_name(faulty.fault));
            info!(logger: logger, "view", kv: {
                outcome = "proposed", view = *view_number, reason, replica = replica.as_str(), fault
            });
        }
        LogEvent::Serving { view_number, chain_length } => {
            info!(logger: logger, "view", kv: { outcome = "serving", view = *view_number, replicas = *chain_length });
        }
        LogEvent::EntryCommitted(header) => {
            debug!(logger: logger, "entry", kv: {
                outcome = "committed", index = header.index, version = header.version, base = header.base,
                hash: = header.digest
            });
        }
        LogEvent::ProposalNumberReused { view_number } => {
            error!(logger: logger, "view", kv: { outcome = "proposal_number_reused", view = *view_number });
        }
        LogEvent::DiskFault => warn!(logger: logger, "disk", kv: { outcome = "fault" }),
        // At the level of the fault that it ends, so that whoever sees one sees the other.
        LogEvent::DiskHealthy => warn!(logger: logger, "disk", kv: { outcome = "healthy" }),
        LogEvent::EntrySuperseded(header) => {
            warn!(logger: logger, "entry", kv: {
                outcome = "superseded", index = header.index, version = header.version, base = header.base,
                hash: = header.digest
            });
        }
    }
}

fn reason_name(reason: ViewChangeReason) -> &'static str {
    match reason {
        ViewChangeReason::Bootstrap => "bootstrap",
        ViewChangeReason::ChainBroken => "chain_broken",
        ViewChangeReason::MembershipChange => "membership_change",
        ViewChangeReason::ChainExtension => "chain_extension",
        ViewChangeReason::UnfinishedProposal => "unfinished_proposal",
        ViewChangeReason::Stalled => "stalled",
    }
}

fn fault_name(fault: ReplicaFault) -> &'static str {
    match fault {
        ReplicaFault::DiskLost => "disk_lost",
        ReplicaFault::DiskFault => "disk_fault",
        ReplicaFault::Leaving => "leaving",
        ReplicaFault::Unreachable => "unreachable",
        ReplicaFault::LinkSevered => "link_severed",
    }
}

/// Logs a message that carries a change: forwarded to the head, or replicated down the chain.
pub fn forwarded_change(to: SocketAddr, message: &Message) {
    match message {
        Message::Submit { version, base, bytes, .. } => {
            debug!("config", kv: { outcome = "forwarded", version = *version, base = *base, hash: = Hash(bytes), to: = to });
        }
        Message::Replicate { entry, .. } => {
            let (version, base) = (entry.header.version, entry.header.base);
            debug!("config", kv: { outcome = "replicated", version, base, hash: = Hash(&entry.bytes), to: = to });
        }
        _ => {}
    }
}
