//! Functions that append the parts of an HTTP message to a buffer.

use std::io::Write;

/// Hop-by-hop header fields, which apply to one connection and are never forwarded (RFC 9110, section 7.6.1).
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

/// Returns whether a header field is hop-by-hop.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.iter().any(|other| other.eq_ignore_ascii_case(name))
}

/// Appends a header field.
pub fn append_field(out: &mut Vec<u8>, name: &str, value: &[u8]) {
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(b": ");
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n");
}

/// Appends a number in decimal notation.
pub fn append_number(out: &mut Vec<u8>, number: u64) {
    // Writing to a vector cannot fail.
    drop(write!(out, "{number}"));
}

/// Appends a `Content-Length` field.
pub fn append_content_length(out: &mut Vec<u8>, length: u64) {
    out.extend_from_slice(b"Content-Length: ");
    append_number(out, length);
    out.extend_from_slice(b"\r\n");
}

/// Appends a chunk of a chunked body. An empty chunk would end the body and is omitted.
pub fn append_chunk(out: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    drop(write!(out, "{:x}\r\n", data.len()));
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body.
pub fn append_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
