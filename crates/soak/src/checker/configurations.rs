//! Checks of configurations: writes must be linearizable on their base versions, and reads must not be stale.

use super::fault_attribution::{is_control_undisturbed, is_operator_address_undisturbed};
use super::records::RunRecords;
use crate::configuration::{INITIAL_VERSION, version_of};
use crate::finding::Finding;
use crate::operator_log::{ConfigRead, ConfigWrite};
use lugwharf_emulator::operator::CallOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// `AckMs` of the fleet's settings: the time within which a write is acknowledged or refused.
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

/// Checks that no invalid write is acknowledged, that no two writes on the same base are acknowledged, and
/// that an acknowledged write is not refused when it is resent.
fn check_writes(writes: &[ConfigWrite], found: &mut Vec<Finding>) {
    let mut version_by_base: BTreeMap<u64, u64> = BTreeMap::new();
    for write in writes.iter().filter(|write| write.is_acknowledged()) {
        let ConfigWrite { version, base, .. } = write;
        if !write.is_valid {
            report(found, format!("version {version} is invalid and was acknowledged"));
        }
        let other = version_by_base.insert(*base, *version).filter(|other| other != version);
        if let Some(other) = other {
            report(found, format!("versions {other} and {version} on base {base} were both acknowledged"));
        }
    }
    for write in writes.iter().filter(|write| write.is_resend && write.is_refused()) {
        let ConfigWrite { version, outcome, .. } = write;
        report(found, format!("version {version} was acknowledged and then refused: {outcome:?}"));
    }
}

/// The newest version that has been read so far, and when that read ended.
struct NewestRead {
    version: u64,
    ended_at: Duration,
}

/// Checks that each read returns a configuration that was written and that is not older than any that was
/// acknowledged or read before the read started.
fn check_reads(writes: &[ConfigWrite], reads: &[ConfigRead], found: &mut Vec<Finding>) {
    let mut newest_read = NewestRead { version: 0, ended_at: Duration::ZERO };
    let mut sorted: Vec<&ConfigRead> = reads.iter().collect();
    sorted.sort_by_key(|read| read.ended_at);
    for read in sorted {
        let Some(bytes) = &read.bytes else { continue };
        let Some(version) = version_of(bytes) else {
            report(found, format!("an invalid configuration was read at {}", read.from));
            continue;
        };
        check_provenance(writes, version, bytes, found);
        let earlier =
            writes.iter().filter(|write| write.is_acknowledged() && write.ended_at < read.started_at);
        let newest = earlier.map(|write| write.version).max().unwrap_or(0);
        let (from, started_at) = (read.from, read.started_at.as_millis());
        if version < newest {
            let facts = format!(
                "version {version} was read at {from} by a read that started at {started_at} ms, after version {newest} was acknowledged"
            );
            report(found, facts);
        }
        if newest_read.ended_at < read.started_at && version < newest_read.version {
            report(
                found,
                format!("version {version} was read at {from} after version {}", newest_read.version),
            );
        }
        if version > newest_read.version {
            newest_read = NewestRead { version, ended_at: read.ended_at };
        }
    }
}

/// Checks that a configuration that was read is byte for byte a configuration that was written, and was not
/// refused.
fn check_provenance(writes: &[ConfigWrite], version: u64, bytes: &[u8], found: &mut Vec<Finding>) {
    let write = writes.iter().find(|write| write.version == version);
    if version != INITIAL_VERSION && write.is_none_or(|write| *write.bytes != *bytes) {
        report(found, format!("version {version} was read with bytes that were never written"));
    }
    if let Some(write) = write.filter(|write| write.is_refused()) {
        report(found, format!("version {version} was read although it was refused: {:?}", write.outcome));
    }
}

/// Checks that, while no fault affects control, each write is acknowledged or refused in time and each read
/// is answered.
fn check_availability(
    records: &RunRecords<'_>, writes: &[ConfigWrite], reads: &[ConfigRead], found: &mut Vec<Finding>,
) {
    let undisturbed_writes =
        writes.iter().filter(|write| is_control_undisturbed(records, write.started_at, write.ended_at));
    for write in undisturbed_writes {
        let took = write.ended_at - write.started_at;
        if matches!(write.outcome, CallOutcome::Unknown) || took > ACK_TIMEOUT {
            let (version, took, status) = (write.version, took.as_millis(), write.outcome.status());
            let facts =
                format!("the write of version {version} ended after {took} ms with status {status:?}");
            found.push(Finding { rule: "not_acknowledged", facts });
        }
    }
    // A write is tried at several processes, a read only at one. So a fault of that process explains a read
    // without an answer.
    let undisturbed_reads = reads.iter().filter(|read| {
        let is_undisturbed =
            |address| is_operator_address_undisturbed(records, address, read.started_at, read.ended_at);
        is_undisturbed(read.from) && is_undisturbed(read.reached)
    });
    for read in undisturbed_reads {
        if read.bytes.is_none() {
            let facts = format!(
                "no answer at {} to the read that started at {} ms",
                read.from,
                read.started_at.as_millis()
            );
            found.push(Finding { rule: "not_read", facts });
        }
    }
}
