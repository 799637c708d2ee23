//! A check of the line endings in the heads of answers, on the bytes as they arrive.
//!
//! The HTTP library takes a single LF for a line ending (RFC 9112, section 2.2), also in a head whose lines end
//! with CRLF. A LF in the name or behind the value of a field can then make an empty line, which ends the head,
//! and the rest of the head would be read as the body.

/// The index of the first digit of the status in a head.
const STATUS_INDEX: usize = "HTTP/1.1 ".len();

/// A head of an answer whose end is ambiguous.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("the end of the head is ambiguous")]
pub struct AmbiguousHead;

/// The heads of one answer: any interim ones, and the final one.
#[derive(Default)]
pub struct HeadCheck {
    /// The bytes of the current head so far.
    head: Vec<u8>,
    /// Whether the final head is complete.
    is_complete: bool,
}

impl HeadCheck {
    /// Checks the next bytes of the answer.
    ///
    /// # Errors
    /// A head has lines that end with CRLF, and does not end with CRLF CRLF.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), AmbiguousHead> {
        for byte in bytes {
            if self.is_complete {
                break;
            }
            self.head.push(*byte);
            if *byte == b'\n' {
                self.end_line()?;
            }
        }
        Ok(())
    }

    /// Handles the end of a line of the head.
    fn end_line(&mut self) -> Result<(), AmbiguousHead> {
        // Empty lines before an answer are skipped.
        if matches!(&self.head[..], b"\n" | b"\r\n") {
            self.head.clear();
        }
        if !self.head.ends_with(b"\n\n") && !self.head.ends_with(b"\n\r\n") {
            return Ok(());
        }
        if self.head.contains(&b'\r') && !self.head.ends_with(b"\r\n\r\n") {
            return Err(AmbiguousHead);
        }
        self.is_complete = self.head.get(STATUS_INDEX) != Some(&b'1');
        self.head = Vec::new();
        Ok(())
    }
}

#[cfg(test)]
#[path = "head_check_tests.rs"]
mod tests;
