//! Checks of configurations: writes are linearizable on their base versions, and reads are never stale.

use super::excuses::{is_control_calm, is_operator_address_calm};
use super::records::RunRecords;
use crate::configuration::{INITIAL_VERSION, version_of};
use crate::finding::Finding;
use crate::operator_log::{ConfigRead, ConfigWrite};
use lugwharf_emulator::operator::CallOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// `AckMs` of the fleet's settings: a write is acknowledged or refused within it.
const ACK_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Runs all checks of this module.
pub fn check(records: &RunRecords<'_>, found: &mut Vec<Finding>) {
    let (writes, reads) = (records.operator_log.writes(), records.operator_log.reads());
    check_writes(&writes, found);
    check_reads(&writes, &reads, found);
    check_availability(records, &writes, &reads, found);
}

fn report(found: &mut Vec<Finding>, facts: String) {
    found.push(Finding { rule: "configuration", facts });
}

/// No invalid write is acknowledged, no two on one base are, and an acknowledged one is not refused when it is resent.
fn check_writes(writes: &[ConfigWrite], found: &mut Vec<Finding>) {
    let mut version_by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for write in writes.iter().filter(|write| write.is_acknowledged()) {
        let ConfigWrite { version, base, .. } = write;
        if !write.is_valid {
            report(found, format!("version {version} is invalid and was acknowledged"));
        }
        let other = version_by_base.insert(*base, *version).filter(|other| other != version);
        if let Some(other) = other {
            report(found, format!("versions {other} and {version} on {base} were both acknowledged"));
        }
    }
    for write in writes.iter().filter(|write| write.is_resend && write.is_refused()) {
        let ConfigWrite { version, outcome, .. } = write;
        report(found, format!("version {version} was acknowledged and then refused: {outcome:?}"));
    }
}

/// The newest version that was read so far, and when that read ended.
struct NewestRead {
    version: u64,
    ended_at: Duration,
}

/// A read returns what was written, not older than what was acknowledged or read before it started.
fn check_reads(writes: &[ConfigWrite], reads: &[ConfigRead], found: &mut Vec<Finding>) {
    let mut newest_read = NewestRead { version: 0, ended_at: Duration::ZERO };
    let mut sorted: Vec<&ConfigRead> = reads.iter().collect();
    sorted.sort_by_key(|read| read.ended_at);
    for read in sorted {
        let Some(bytes) = &read.bytes else { continue };
        let Some(version) = version_of(bytes) else {
            report(found, format!("no configuration was read at {}", read.from));
            continue;
        };
        check_provenance(writes, version, bytes, found);
        let earlier =
            writes.iter().filter(|write| write.is_acknowledged() && write.ended_at < read.started_at);
        let newest = earlier.map(|write| write.version).max().unwrap_or(0);
        let (from, started_at) = (read.from, read.started_at.as_millis());
        if version < newest {
            let facts = format!(
                "version {version} was read at {from} from {started_at} ms on, after {newest} was acknowledged"
            );
            report(found, facts);
        }
        if newest_read.ended_at < read.started_at && version < newest_read.version {
            report(found, format!("version {version} was read at {from} after {}", newest_read.version));
        }
        if version > newest_read.version {
            newest_read = NewestRead { version, ended_at: read.ended_at };
        }
    }
}

/// What is read was written, byte for byte, and was not refused.
fn check_provenance(writes: &[ConfigWrite], version: u64, bytes: &[u8], found: &mut Vec<Finding>) {
    let write = writes.iter().find(|write| write.version == version);
    if version != INITIAL_VERSION && write.is_none_or(|write| *write.bytes != *bytes) {
        report(found, format!("version {version} was read and not sent so"));
    }
    if let Some(write) = write.filter(|write| write.is_refused()) {
        report(found, format!("version {version} was read and refused: {:?}", write.outcome));
    }
}

/// While control has no fault, each write has a clear response in time and each read is answered.
fn check_availability(
    records: &RunRecords<'_>, writes: &[ConfigWrite], reads: &[ConfigRead], found: &mut Vec<Finding>,
) {
    let calm_writes =
        writes.iter().filter(|write| is_control_calm(records, write.started_at, write.ended_at));
    for write in calm_writes {
        let took = write.ended_at - write.started_at;
        if matches!(write.outcome, CallOutcome::Unknown) || took > ACK_TIMEOUT {
            let (version, took, status) = (write.version, took.as_millis(), write.outcome.status());
            let facts = format!("version {version} after {took} ms: {status:?}");
            found.push(Finding { rule: "not_acknowledged", facts });
        }
    }
    // A write is sent to one process after the other, a read to one alone.
    let calm_reads = reads.iter().filter(|read| {
        let is_calm = |address| is_operator_address_calm(records, address, read.started_at, read.ended_at);
        is_calm(read.from) && is_calm(read.reached)
    });
    for read in calm_reads {
        if read.bytes.is_none() {
            let facts = format!("no answer at {} from {} ms on", read.from, read.started_at.as_millis());
            found.push(Finding { rule: "not_read", facts });
        }
    }
}
