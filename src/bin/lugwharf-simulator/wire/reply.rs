//! Encoding reply frames: the actions of all instances after one batch.

use lugwharf_sidecar::api::Action;
use std::time::Duration;

/// The size of an encoded action, in bytes.
const ACTION_SIZE: usize = 24;
/// The longest delay of a timer that the wire format permits.
const MAX_TIMER: Duration = Duration::from_secs(71 * 60);

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: u32,
}

/// Returns a time as encoded on the wire, in milliseconds.
fn encode_time(time: Duration) -> [u8; 8] {
    (time.as_secs_f64() * 1e3).to_le_bytes()
}

impl Reply {
    /// Removes all actions and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.records.clear();
        self.tail.clear();
        self.count = 0;
    }

    /// Adds one action of one instance. Byte 0 is the action's code; bytes 1 to 4 are the instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let mut record = [0u8; ACTION_SIZE];
        record[1..5].copy_from_slice(&instance.to_le_bytes());
        match action {
            Action::Send { id, server, timeout, .. } => {
                record[5..9].copy_from_slice(&id.0.to_le_bytes());
                record[9..15].copy_from_slice(&server.0.to_le_bytes()[..6]);
                record[15..23].copy_from_slice(&encode_time(*timeout));
            }
            Action::Reject { id, retry_after } => {
                record[0] = 1;
                record[5..9].copy_from_slice(&id.0.to_le_bytes());
                record[9..17].copy_from_slice(&encode_time(retry_after.unwrap_or(Duration::ZERO)));
            }
            Action::Fail(id) => {
                record[0] = 2;
                record[5..9].copy_from_slice(&id.0.to_le_bytes());
            }
            Action::Cancel { id, attempt } => {
                record[0] = 3;
                record[5..9].copy_from_slice(&id.0.to_le_bytes());
                record[9] = *attempt as u8;
            }
            Action::SetTimer { timer, after } => {
                record[0] = 4;
                record[5..13].copy_from_slice(&encode_time(*after.min(&MAX_TIMER)));
                record[13..21].copy_from_slice(&timer.0.to_le_bytes());
            }
            Action::Probe(server) => {
                record[0] = 5;
                record[5..11].copy_from_slice(&server.0.to_le_bytes()[..6]);
            }
            Action::Log(event) => {
                record[0] = 8;
                record[5..13].copy_from_slice(&self.push_text(&event.to_string()));
            }
            Action::Subscribe => {
                record[0] = 10;
                record[5] = 1;
            }
        }
        self.records.extend_from_slice(&record);
        self.count += 1;
    }

    /// Adds a text to the tail, and returns its encoded offset and length.
    fn push_text(&mut self, text: &str) -> [u8; 8] {
        let (offset, len) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        (u64::from(len) << 32 | u64::from(offset)).to_le_bytes()
    }

    /// Appends the complete frame to `frame`.
    pub fn finish(&self, frame: &mut Vec<u8>) {
        let len = self.records.len() + self.tail.len();
        frame.extend_from_slice(&(len as u32).to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
    }
}
