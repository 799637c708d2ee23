//! Encodes parts of messages into a buffer.

use std::io::Write;

/// Fields that concern one connection only, and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a field concerns one connection only.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|other| other.eq_ignore_ascii_case(name))
}

/// Appends a field.
pub fn field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number in decimal.
pub fn number(out: &mut Vec<u8>, number: u64) {
    // Writing to a vector does not fail.
    drop(write!(out, "{number}"));
}

/// Appends `Content-Length`.
pub fn length_field(out: &mut Vec<u8>, length: u64) {
    out.extend_from_slice(b"Content-Length: ");
    number(out, length);
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk. An empty one would end the body, and is omitted.
pub fn chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    // Writing to a vector does not fail.
    drop(write!(out, "{:x}\r\n", data.len()));
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the end of a chunked body.
pub fn last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
