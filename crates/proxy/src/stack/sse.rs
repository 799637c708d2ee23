//! Parsing of server-sent events, limited to the end and the id of each event.
//!
//! Only complete events are forwarded: a server that crashes may truncate an event, and the beginning of that
//! event must not be joined with the resumed stream.

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why an event stream must not be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds 256 KiB.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The first event id of a resumed stream does not follow the last event id before the interruption.
    #[error("the first event id of a resumed stream does not follow the last forwarded one")]
    RepeatedEvent,
}

/// Splits an event stream into complete events, across resumptions.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Complete events that have not been forwarded yet, followed by the beginning of an incomplete event.
    bytes: Vec<u8>,
    /// The end of the complete events in `bytes`.
    complete_end: usize,
    /// The position in `bytes` up to which the end of an event has been searched for.
    searched_end: usize,
    last_event_id: Option<Vec<u8>>,
    /// Whether any event has been forwarded.
    has_forwarded: bool,
    /// Whether the next event with an id is the first of a resumed stream.
    is_resumed: bool,
}

impl EventBuffer {
    /// Appends bytes of the stream.
    ///
    /// # Errors
    /// The stream must not be forwarded; see [`EventError`].
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventError> {
        self.bytes.extend_from_slice(data);
        while let Some(end) = self.find_event_end() {
            self.record_event_id(end)?;
            self.complete_end = end;
        }
        if self.bytes.len() - self.complete_end > MAX_EVENT_BYTES {
            Err(EventError::TooLarge)
        } else {
            Ok(())
        }
    }

    /// Returns whether the buffer ends with an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        self.bytes.len() > self.complete_end
    }

    /// Returns the complete events that have not been forwarded yet.
    pub fn complete_events(&self) -> &[u8] {
        self.bytes.get(..self.complete_end).unwrap_or_default()
    }

    /// Removes the complete events, which have been forwarded.
    pub fn drop_complete_events(&mut self) {
        self.has_forwarded |= self.complete_end > 0;
        self.bytes.drain(..self.complete_end);
        self.searched_end = self.searched_end.saturating_sub(self.complete_end);
        self.complete_end = 0;
    }

    /// Handles the regular end of the stream: the remaining bytes count as complete.
    pub fn finish(&mut self) {
        self.complete_end = self.bytes.len();
    }

    /// Prepares for a resumed stream: removes the incomplete event, and requires that the next event id
    /// follows the last one.
    pub fn prepare_resumption(&mut self) {
        self.bytes.clear();
        self.complete_end = 0;
        self.searched_end = 0;
        self.is_resumed = self.last_event_id.is_some();
    }

    /// Returns whether another server can resume the stream: nothing has been forwarded, or an event has had
    /// an id.
    pub fn can_resume(&self) -> bool {
        !self.has_forwarded || self.last_event_id.is_some()
    }

    /// Returns the id of the last complete event that has an id.
    pub fn last_event_id(&self) -> Option<&[u8]> {
        self.last_event_id.as_deref()
    }

    /// Finds the end of the next complete event, after its empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut at = self.searched_end.max(self.complete_end);
        while let Some(offset) = self.bytes.get(at..)?.iter().position(|byte| *byte == b'\n') {
            let newline = at + offset;
            at = newline + 1;
            if self.is_empty_line(newline) {
                self.searched_end = at;
                return Some(at);
            }
        }
        self.searched_end = at;
        None
    }

    /// Returns whether the line that ends at `newline` is empty and is not the first line of its event.
    fn is_empty_line(&self, newline: usize) -> bool {
        let event = self.bytes.get(self.complete_end..newline).unwrap_or_default();
        event.ends_with(b"\n") || event.ends_with(b"\n\r")
    }

    /// Records the id of the complete event that ends at `end`.
    fn record_event_id(&mut self, end: usize) -> Result<(), EventError> {
        let event = self.bytes.get(self.complete_end..end).unwrap_or_default();
        let Some(id) = parse_event_id(event) else { return Ok(()) };
        if std::mem::replace(&mut self.is_resumed, false) && !follows(self.last_event_id.as_deref(), id) {
            return Err(EventError::RepeatedEvent);
        }
        match &mut self.last_event_id {
            // Reuses the allocation of the last id.
            Some(last) => {
                last.clear();
                last.extend_from_slice(id);
            }
            None => self.last_event_id = Some(id.to_vec()),
        }
        Ok(())
    }
}

/// Returns the id of an event, if it has one.
fn parse_event_id(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
    line.map(<[u8]>::trim_ascii)
}

/// Returns whether `id` follows `last`: numeric ids must increase, others must differ.
fn follows(last: Option<&[u8]>, id: &[u8]) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    let Some(last) = last else { return true };
    match (number(last), number(id)) {
        (Some(last), Some(id)) => id > last,
        _ => last != id,
    }
}
