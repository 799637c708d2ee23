//! Access to the fields of a record, and to the parts of the tail that a record refers to.

use super::error::WireError;
use lugwharf_sidecar::api::{RequestId, ServerId};
use std::time::Duration;

/// The fields of a record, addressed by their offset. Offsets are constants within the record's fixed size.
pub(super) struct Fields<'a>(pub(super) &'a [u8]);

impl Fields<'_> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }

    pub(super) fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }

    pub(super) fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }

    pub(super) fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }

    pub(super) fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }

    pub(super) fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes(at)))
    }

    pub(super) fn f64(&self, at: usize) -> f64 {
        f64::from_le_bytes(self.bytes(at))
    }

    /// Returns the time at `at`. A time that is negative, NaN or too long counts as zero.
    pub(super) fn time(&self, at: usize) -> Duration {
        Duration::try_from_secs_f64(self.f64(at) / 1e3).unwrap_or(Duration::ZERO)
    }

    pub(super) fn request_id(&self, at: usize) -> RequestId {
        RequestId(self.u32(at))
    }

    /// Returns the server at `at`: six bytes, an address and a port.
    pub(super) fn server_id(&self, at: usize) -> ServerId {
        let mut bytes = [0; 8];
        bytes[..6].copy_from_slice(&self.0[at..at + 6]);
        ServerId(u64::from_le_bytes(bytes))
    }
}

/// The part of a frame after its records.
pub(super) struct Tail<'a>(&'a [u8]);

impl<'a> Tail<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        Tail(bytes)
    }

    /// Returns the bytes that a record refers to by the offset and the length at `at` in it. The length
    /// counts units of `unit` bytes. `what` names the field in an error.
    pub(super) fn slice(
        &self, fields: &Fields, at: usize, unit: usize, what: &'static str,
    ) -> Result<&'a [u8], WireError> {
        let (offset, len) = (fields.u32(at), fields.u32(at + 4));
        let end = u64::from(offset) + u64::from(len) * unit as u64;
        if end > self.0.len() as u64 {
            return Err(WireError::Tail { what, offset, len, tail: self.0.len() });
        }
        Ok(&self.0[offset as usize..end as usize])
    }
}
