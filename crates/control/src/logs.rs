//! Log lines about the replica and about configurations as they pass through the chain.
//!
//! Each line consists of an event name and fields; the field `outcome` says what happened. Operators search
//! for event names, outcomes and fields: `docs/OPERATING.md`, "Reading the logs", lists them all. The lease
//! is logged by `list_watcher_role`, changes by the operator are logged by `operator::config_change`.

use lugwharf_chain::{Blake3, LogEvent, Message, ReplicaFault, ViewChangeReason};
use spdlog::prelude::*;
use std::fmt::{self, Write};
use std::net::SocketAddr;

/// Displays the hash of a configuration's bytes in hex. The hash is computed only if the line is written.
pub struct ConfigHash<'a>(pub &'a [u8]);

impl fmt::Display for ConfigHash<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Blake3::of(self.0).fmt(f)
    }
}

/// The maximum number of characters of a text from a request in one line. Schema errors quote the invalid
/// value, which may be as long as the configuration.
const MAX_EXCERPT_CHARS: usize = 200;

/// Displays the beginning of a text that may come from a request on one line: control characters are replaced
/// by spaces. An empty text is displayed as `-`.
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
pub fn log_chain_event(logger: &Logger, event: &LogEvent) {
    match event {
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
        // Logged at the level of the fault that it ends, so that no level filter shows only one of the two.
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

/// Logs a message that carries a configuration, either forwarded to the head or replicated down the chain.
pub fn log_forwarded_change(to: SocketAddr, message: &Message) {
    match message {
        Message::Submit { version, base, bytes, .. } => {
            debug!("config", kv: { outcome = "forwarded", version = *version, base = *base, hash: = ConfigHash(bytes), to: = to });
        }
        Message::Replicate { entry, .. } => {
            let (version, base) = (entry.header.version, entry.header.base);
            debug!("config", kv: { outcome = "replicated", version, base, hash: = ConfigHash(&entry.bytes), to: = to });
        }
        _ => {}
    }
}
