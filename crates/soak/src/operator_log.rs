//! What the operators of a run sent, and how it was answered.

use lugwharf_emulator::operator::CallOutcome;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// One write of a configuration, with all its attempts.
#[derive(Clone, Debug)]
pub struct ConfigWrite {
    /// The version that was written.
    pub version: u64,
    /// The version that it was based on.
    pub base: u64,
    /// The configuration, byte for byte.
    pub bytes: Arc<[u8]>,
    /// Whether the configuration is valid. An invalid one must be refused.
    pub is_valid: bool,
    /// When the first attempt was sent, since the start of the environment.
    pub started_at: Duration,
    /// When the last attempt ended, since the start of the environment.
    pub ended_at: Duration,
    /// How the write ended.
    pub outcome: CallOutcome,
    /// Whether this is a write that was acknowledged, sent again with no other write in between.
    pub is_resend: bool,
}

impl ConfigWrite {
    /// Whether the write was acknowledged.
    pub fn is_acknowledged(&self) -> bool {
        matches!(self.outcome, CallOutcome::Acknowledged(_))
    }

    /// Whether the write was clearly refused.
    pub fn is_refused(&self) -> bool {
        matches!(self.outcome, CallOutcome::Refused(_))
    }
}

/// One read of the newest configuration, at one address.
#[derive(Clone, Debug)]
pub struct ConfigRead {
    /// The address that was read at.
    pub from: SocketAddr,
    /// Where its redirects led; the same address if there were none.
    pub reached: SocketAddr,
    /// When the request was sent, since the start of the environment.
    pub started_at: Duration,
    /// When the response was received or the attempt ended, since the start of the environment.
    pub ended_at: Duration,
    /// The configuration, byte for byte; `None` for any status other than 200, and for no response.
    pub bytes: Option<Vec<u8>>,
}

#[derive(Debug, Default)]
struct Records {
    writes: Vec<ConfigWrite>,
    reads: Vec<ConfigRead>,
}

/// The log of all writes and reads of a run; clones share it.
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
