//! The file format: a header followed by frames. All integers are little-endian. `tests/file_format.rs` pins
//! the format byte for byte.
//!
//! | header | bytes | | frame | bytes |
//! | --- | --- | --- | --- | --- |
//! | magic | 8 | | marker | 4 |
//! | generation | 8 | | checksum of the generation and the rest of the frame | 4 |
//! | checksum of magic and generation | 4 | | sequence number | 8 |
//! | | | | length of the records in bytes | 4 |
//! | | | | number of records | 4 |
//! | | | | records, each with its length (4) and its bytes | |

use crate::checksum::crc32c;

/// Seven bytes that identify the file as a log, followed by the format version.
const MAGIC: [u8; 8] = *b"LWHLOG\x00\x01";
/// The first bytes of each frame, used to find frames after an invalid one.
const MARKER: [u8; 4] = *b"LwF1";
/// The length of the file header in bytes.
pub const HEADER_BYTES: usize = 20;
/// The length of a frame's header, from the marker to the number of records, in bytes.
const FRAME_HEADER_BYTES: usize = 24;
/// The offset in a frame at which the checksum ends and the bytes that it covers begin.
const CHECKSUM_END: usize = 8;
/// The size of the length before each record, in bytes.
const LENGTH_BYTES: usize = 4;
/// The maximum length of a frame's records as framed, in bytes: half of the smallest supported disk. A
/// corrupted length field need not be checked against this limit, since it points past the end of the file or
/// results in a checksum mismatch.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Encodes the file header for `generation`.
pub fn encode_header(generation: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(generation.to_le_bytes());
    let checksum = crc32c(&[&header]);
    header.extend(checksum.to_le_bytes());
    header
}

/// Returns the generation of a file, or `None` if the header is invalid.
pub fn decode_header(file: &[u8]) -> Option<u64> {
    let generation = u64_at(file, MAGIC.len())?;
    let header = file.get(..HEADER_BYTES)?;
    (header == encode_header(generation)).then_some(generation)
}

/// Encodes one frame that contains `records`.
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

/// Returns the length of `records` as framed, in bytes.
pub fn framed_bytes(records: &[Vec<u8>]) -> usize {
    records.iter().map(|record| LENGTH_BYTES + record.len()).sum()
}

/// A valid decoded frame.
pub struct Frame {
    /// The sequence number of the frame.
    pub sequence: u64,
    /// The records of the frame.
    pub records: Vec<Vec<u8>>,
    /// The length of the frame in the file, in bytes.
    pub bytes: usize,
}

/// Decodes the frame at the start of `bytes`. Returns `None` if there is no valid frame.
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

/// The parsed content of a log file after the header.
pub struct ParsedLog {
    /// The records of all valid frames before the first invalid one, in order.
    pub records: Vec<Vec<u8>>,
    /// The offset of the end of the last of these frames.
    pub valid_bytes: usize,
    /// The sequence number of the next frame.
    pub next_sequence: u64,
    /// Whether a valid frame with a higher sequence number follows the first invalid one.
    pub is_corrupt: bool,
}

/// Parses the frames of a file after the header, up to the first invalid one.
pub fn parse(generation: u64, file: &[u8]) -> ParsedLog {
    let mut parsed =
        ParsedLog { records: Vec::new(), valid_bytes: HEADER_BYTES, next_sequence: 1, is_corrupt: false };
    while let Some(frame) = file.get(parsed.valid_bytes..).and_then(|bytes| decode_frame(generation, bytes)) {
        if frame.sequence != parsed.next_sequence {
            break;
        }
        parsed.records.extend(frame.records);
        parsed.valid_bytes += frame.bytes;
        parsed.next_sequence += 1;
    }
    parsed.is_corrupt = has_later_frame(generation, file, parsed.valid_bytes, parsed.next_sequence);
    parsed
}

/// Returns whether a valid frame with a sequence number above `expected` begins anywhere at or after
/// `offset`. A frame with exactly the expected number is ignored, since a record inside a torn frame may
/// happen to contain the bytes of such a frame.
fn has_later_frame(generation: u64, file: &[u8], offset: usize, expected: u64) -> bool {
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
