//! The layout of the file: a header, then frames. All numbers are little-endian. `tests/file_format.rs` fixes it byte for byte.
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

/// Seven bytes that identify the file as a log, then the version of its format.
const MAGIC: [u8; 8] = *b"LWHLOG\x00\x01";
/// The first bytes of each frame, by which frames after an invalid one are found.
const MARKER: [u8; 4] = *b"LwF1";
/// The length of the file's header.
pub const HEADER_BYTES: usize = 20;
const FRAME_HEADER_BYTES: usize = 24;
const CHECKSUM_END: usize = 8;
const LENGTH_BYTES: usize = 4;
/// The maximum length of the records of a frame as framed: half of the smallest disk. A garbled length needs no check against
/// it, since it leads beyond the end of the file or to a wrong checksum.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Encodes the header of a file of this generation.
pub fn encode_header(generation: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend(generation.to_le_bytes());
    let checksum = crc32c(&[&header]);
    header.extend(checksum.to_le_bytes());
    header
}

/// The generation of a file; `None` if its header is not valid.
pub fn decode_header(file: &[u8]) -> Option<u64> {
    let generation = u64_at(file, MAGIC.len())?;
    let header = file.get(..HEADER_BYTES)?;
    (header == encode_header(generation)).then_some(generation)
}

/// Encodes one frame with these records.
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

/// The length of the records in a frame, in bytes.
pub fn framed_bytes(records: &[Vec<u8>]) -> usize {
    records.iter().map(|record| LENGTH_BYTES + record.len()).sum()
}

/// A valid frame.
pub struct Frame {
    /// Its sequence number.
    pub sequence: u64,
    /// Its records.
    pub records: Vec<Vec<u8>>,
    /// Its length in the file, in bytes.
    pub bytes: usize,
}

/// Decodes the frame at the beginning of these bytes; `None` if there is no valid one.
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

/// The content of a file after its header.
pub struct ParsedLog {
    /// The records of all valid frames in sequence.
    pub records: Vec<Vec<u8>>,
    /// The offset of the end of the last valid frame.
    pub valid_bytes: usize,
    /// The sequence number of the next frame.
    pub next_sequence: u64,
    /// Whether valid frames follow an invalid one.
    pub is_corrupt: bool,
}

/// Reads the frames of a file after its header, up to the first invalid one.
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

/// Whether a valid frame with a higher sequence number than the expected one begins anywhere at or after `offset`. The expected
/// number itself does not count: a torn frame may contain a record with the bytes of such a frame.
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
