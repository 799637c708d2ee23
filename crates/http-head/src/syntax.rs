//! The syntax of status codes, of fields, and of the end of a head.

/// Returns whether a status code is valid: from 100 to 599 (RFC 9110, section 15).
pub fn is_status_code(code: u16) -> bool {
    (100..=599).contains(&code)
}

/// Returns whether a name is a token (RFC 9110, section 5.6.2).
pub fn is_token(name: &str) -> bool {
    let is_token_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    !name.is_empty() && name.bytes().all(is_token_byte)
}

/// Returns whether a value has no control bytes other than tabs (RFC 9110, section 5.5).
pub fn is_field_value(value: &[u8]) -> bool {
    value.iter().all(|byte| *byte == b'\t' || !byte.is_ascii_control())
}

/// Returns whether a head with CRLF line endings, up to its first empty line, does not end with CRLF CRLF. A
/// parser that takes a single LF for a line ending would read the rest of the head as a body, where the LF
/// belongs to the name or the value of a field.
pub fn has_ambiguous_end(head: &[u8]) -> bool {
    head.contains(&b'\r') && !head.ends_with(b"\r\n\r\n")
}
