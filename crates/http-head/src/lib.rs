//! Checks of the heads of HTTP/1.1 messages beyond those of the HTTP parsers, for all readers of responses.
//!
//! Parsers accept any three digits as a status code, and take a single LF for a line ending. Their code for the
//! bytes of fields differs between processor architectures.

mod checked_stream;
mod head_check;
#[cfg(test)]
mod head_check_tests;
mod syntax;

pub use checked_stream::CheckedStream;
pub use head_check::{AmbiguousHead, HeadCheck};
pub use syntax::{has_ambiguous_end, is_field_value, is_status_code, is_token};
