//! The layout of the file: a header, then frames. All numbers are little-endian.
//!
//! | header | bytes | | frame | bytes |
//! | --- | --- | --- | --- | --- |
//! | magic | 8 | | marker | 4 |
//! | generation | 8 | | checksum of all that follows and the generation | 4 |
//! | checksum of both | 4 | | sequence number | 8 |
//! | | | | length of the records | 4 |
//! | | | | count of the records | 4 |
//! | | | | records: length (4) and bytes each | |

use crate::checksum::crc32c;

/// Magic and version of the file.
const MAGIC: [u8; 8] = *b"LWHLOG\x00\x01";
const MARKER: [u8; 4] = *b"LwF1";
/// The length of the file's header.
pub const HEADER_BYTES: usize = 20;
const FRAME_HEADER_BYTES: usize = 24;
const CHECKSUM_END: usize = 8;
const LENGTH_BYTES: usize = 4;
/// The longest frame that is written: half of the smallest disk. A length that is no length leads beyond the file, or to a
/// checksum that does not fit.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// The header of a file of this generation.
pub fn encode_header(generation: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(generation.to_le_bytes());
    let checksum = crc32c(&[&header]);
    header.extend(checksum.to_le_bytes());
    header
}

/// The generation of a file, `None` if its header is not sound.
pub fn decode_header(file: &[u8]) -> Option<u64> {
    let generation = u64_at(file, MAGIC.len())?;
    let header = file.get(..HEADER_BYTES)?;
    (header == encode_header(generation)).then_some(generation)
}

/// One frame with these records.
pub fn encode_frame(generation: u64, sequence: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let length = framed_bytes(records);
    let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + length);
    frame.extend(MARKER);
    frame.extend([0; 4]);
    frame.extend(sequence.to_le_bytes());
    frame.extend((length as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    for record in records {
        frame.extend((record.len() as u32).to_le_bytes());
        frame.extend(record);
    }
    let checksum = crc32c(&[&generation.to_le_bytes(), &frame[CHECKSUM_END..]]);
    frame[MARKER.len()..CHECKSUM_END].copy_from_slice(&checksum.to_le_bytes());
    frame
}

/// How many bytes the records take in a frame.
pub fn framed_bytes(records: &[Vec<u8>]) -> usize {
    records.iter().map(|record| LENGTH_BYTES + record.len()).sum()
}

/// A sound frame.
pub struct Frame {
    /// Its sequence number.
    pub sequence: u64,
    /// Its records.
    pub records: Vec<Vec<u8>>,
    /// Its length in the file.
    pub bytes: usize,
}

/// The frame at the beginning of these bytes, `None` if there is no sound one.
pub fn decode_frame(generation: u64, bytes: &[u8]) -> Option<Frame> {
    if bytes.get(..MARKER.len())? != MARKER {
        return None;
    }
    let checksum = u32_at(bytes, MARKER.len())?;
    let sequence = u64_at(bytes, CHECKSUM_END)?;
    let length = u32_at(bytes, 16)? as usize;
    let count = u32_at(bytes, 20)? as usize;
    let end = FRAME_HEADER_BYTES.checked_add(length)?;
    let covered = bytes.get(CHECKSUM_END..end)?;
    if crc32c(&[&generation.to_le_bytes(), covered]) != checksum {
        return None;
    }
    let records = decode_records(bytes.get(FRAME_HEADER_BYTES..end)?, count)?;
    Some(Frame { sequence, records, bytes: end })
}

fn decode_records(mut bytes: &[u8], count: usize) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    for _ in 0..count {
        let length = u32_at(bytes, 0)? as usize;
        let end = LENGTH_BYTES.checked_add(length)?;
        records.push(bytes.get(LENGTH_BYTES..end)?.to_vec());
        bytes = bytes.get(end..)?;
    }
    bytes.is_empty().then_some(records)
}

/// What a file holds.
pub struct Parsed {
    /// The records of all sound frames.
    pub records: Vec<Vec<u8>>,
    /// Where the last sound frame ends.
    pub good_bytes: usize,
    /// The sequence number of the next frame.
    pub next_sequence: u64,
    /// Whether sound frames follow behind one that is not.
    pub is_corrupt: bool,
}

/// Reads the frames of a file behind its header.
pub fn parse(generation: u64, file: &[u8]) -> Parsed {
    let mut parsed =
        Parsed { records: Vec::new(), good_bytes: HEADER_BYTES, next_sequence: 1, is_corrupt: false };
    while let Some(frame) = file.get(parsed.good_bytes..).and_then(|rest| decode_frame(generation, rest)) {
        if frame.sequence != parsed.next_sequence {
            break;
        }
        parsed.records.extend(frame.records);
        parsed.good_bytes += frame.bytes;
        parsed.next_sequence += 1;
    }
    parsed.is_corrupt = later_frame(generation, file, parsed.good_bytes, parsed.next_sequence);
    parsed
}

/// Whether a frame that comes after the expected one lies somewhere behind an offset.
fn later_frame(generation: u64, file: &[u8], offset: usize, expected: u64) -> bool {
    let Some(rest) = file.get(offset..) else { return false };
    let starts = rest.windows(MARKER.len()).enumerate().filter(|(_, window)| **window == MARKER);
    starts
        .filter_map(|(start, _)| decode_frame(generation, rest.get(start..)?))
        .any(|frame| frame.sequence > expected)
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    let field = bytes.get(offset..offset.checked_add(4)?)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..offset.checked_add(8)?)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}
