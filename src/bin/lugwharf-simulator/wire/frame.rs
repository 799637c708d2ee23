//! Reading frames: a header, records and a tail.

use super::error::WireError;
use super::fields::{Fields, Tail};
use super::record::{Record, decode};
use std::io::{self, Read};
use std::time::Duration;

/// The size of a frame's header, in bytes: the length of the records and the tail, the clock reading, and the
/// number of records.
const HEADER_SIZE: usize = 16;
/// The size of a record, in bytes.
pub(super) const RECORD_SIZE: usize = 48;

/// One frame, whose records are not decoded yet.
#[derive(Debug)]
pub struct Batch {
    /// The records and the tail.
    body: Vec<u8>,
    record_count: usize,
    /// The clock reading for all records of the frame.
    pub now: Duration,
}

impl Batch {
    /// Decodes the records in order.
    pub fn records(&self) -> impl Iterator<Item = Result<Record<'_>, WireError>> {
        let (records, tail) = self.body.split_at(self.record_count * RECORD_SIZE);
        records.chunks_exact(RECORD_SIZE).map(move |record| decode(&Fields(record), &Tail::new(tail)))
    }
}

/// Reads one frame; `None` at the end of the input between two frames.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
    let header = read_up_to(input, HEADER_SIZE)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_SIZE {
        return Err(WireError::Truncated { got: header.len(), wanted: HEADER_SIZE });
    }
    let header = Fields(&header);
    let (len, clock_ms, records) = (header.u32(0) as usize, header.f64(4), header.u32(12));
    if u64::from(records) * RECORD_SIZE as u64 > len as u64 {
        return Err(WireError::Records { len, records });
    }
    let now = Duration::try_from_secs_f64(clock_ms / 1e3).map_err(|_| WireError::Clock(clock_ms))?;
    let body = read_up_to(input, len)?;
    if body.len() < len {
        return Err(WireError::Truncated { got: HEADER_SIZE + body.len(), wanted: HEADER_SIZE + len });
    }
    Ok(Some(Batch { body, record_count: records as usize, now }))
}

/// Reads `len` bytes, or fewer at the end of the input. The buffer grows with the bytes that arrive, so a
/// corrupt length does not allocate memory by itself.
fn read_up_to(input: &mut impl Read, len: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    input.by_ref().take(len as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
