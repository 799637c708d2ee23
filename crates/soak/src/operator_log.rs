//! The log of the configuration writes and reads of a run, with their outcomes.

use lugwharf_emulator::operator::CallOutcome;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One write of a configuration, including all its attempts.
#[derive(Clone, Debug)]
pub struct ConfigWrite {
    /// The version of the configuration.
    pub version: u64,
    /// The version that the write is based on.
    pub base: u64,
    /// The encoded configuration.
    pub bytes: Arc<[u8]>,
    /// Whether the configuration is valid. An invalid configuration must be refused.
    pub is_valid: bool,
    /// When the first attempt was sent, since the start of the run.
    pub started_at: Duration,
    /// When the last attempt ended, since the start of the run.
    pub ended_at: Duration,
    /// The outcome of the write.
    pub outcome: CallOutcome,
    /// Whether this write repeats an acknowledged write, with no other write in between.
    pub is_resend: bool,
}

impl ConfigWrite {
    /// Whether the write was acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        matches!(self.outcome, CallOutcome::Acknowledged(_))
    }

    /// Whether the write was definitely refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.outcome, CallOutcome::Refused(_))
    }
}

/// One read of the newest configuration at one address.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The address that the read was sent to.
    pub from: SocketAddr,
    /// The address that redirects led to; equal to `from` if there were none.
    pub reached: SocketAddr,
    /// When the request was sent, since the start of the run.
    pub started_at: Duration,
    /// When the response was received or the attempt ended, since the start of the run.
    pub ended_at: Duration,
    /// The encoded configuration; `None` if there was no response or its status was not 200.
    pub bytes: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Records {
    writes: Vec<ConfigWrite>,
    reads: Vec<ConfigRead>,
}

/// The log of all writes and reads of a run, shared by all clones.
#[derive(Clone, Debug, Default)]
pub struct OperatorLog {
    records: Arc<Mutex<Records>>,
}

impl OperatorLog {
    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All writes, in the order in which they ended.
    pub fn writes(&self) -> Vec<ConfigWrite> {
        self.records().writes.clone()
    }

    /// All reads, in the order in which they ended.
    pub fn reads(&self) -> Vec<ConfigRead> {
        self.records().reads.clone()
    }

    /// Adds a write.
    pub fn record_write(&self, write: ConfigWrite) {
        self.records().writes.push(write);
    }

    /// Adds a read.
    pub fn record_read(&self, read: ConfigRead) {
        self.records().reads.push(read);
    }
}
