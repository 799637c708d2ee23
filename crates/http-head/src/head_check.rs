//! A check of the heads of a response on the bytes as they arrive, for readers whose HTTP library does not hand
//! out the bytes of a head.

use crate::syntax::has_ambiguous_end;

/// The index of the first digit of the status code in a head.
const STATUS_INDEX: usize = "HTTP/1.1 ".len();

/// A head whose end is ambiguous; see [`has_ambiguous_end`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the end of the response head is ambiguous")]
pub struct AmbiguousHead;

/// The check of the heads of one response: any interim ones, and the final one.
#[derive(Debug, Default)]
pub struct HeadCheck {
    /// The bytes of the current head so far.
    head: Vec<u8>,
    is_complete: bool,
}

impl HeadCheck {
    /// Returns whether the final head is complete. Bytes after it are not checked.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Checks the next bytes of the response.
    ///
    /// # Errors
    /// The end of a head is ambiguous.
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
        // Empty lines before a response are skipped.
        if matches!(&self.head[..], b"\n" | b"\r\n") {
            self.head.clear();
        }
        if !self.head.ends_with(b"\n\n") && !self.head.ends_with(b"\n\r\n") {
            return Ok(());
        }
        if has_ambiguous_end(&self.head) {
            return Err(AmbiguousHead);
        }
        self.is_complete = self.head.get(STATUS_INDEX) != Some(&b'1');
        self.head = Vec::new();
        Ok(())
    }
}
