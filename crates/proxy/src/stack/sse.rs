//! Server-sent events, as far as the proxy has to know them: where each ends, and its id.
//!
//! Only complete events are forwarded: a server that crashes may break off inside one, and a resumed stream must not join the
//! halves.

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a stream of events must not be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds 256 KiB.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The id of the first event of a resumed stream does not follow the last one that was forwarded.
    #[error("a resumed stream repeats events")]
    RepeatedEvent,
}

/// Splits a stream into complete events, over its resumptions.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Complete events that were not forwarded yet, then the beginning of one.
    bytes: Vec<u8>,
    /// Where the complete events end.
    complete: usize,
    /// Up to where the end of an event has been searched for.
    searched: usize,
    last_event_id: Option<Vec<u8>>,
    /// Whether any event was forwarded.
    has_forwarded: bool,
    /// Whether the next event is the first of a resumed stream.
    is_resumed: bool,
}

impl EventBuffer {
    /// Appends bytes of the stream.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventError> {
        self.bytes.extend_from_slice(data);
        while let Some(end) = self.find_event_end() {
            self.record_event_id(end)?;
            self.complete = end;
        }
        if self.bytes.len() - self.complete > MAX_EVENT_BYTES { Err(EventError::TooLarge) } else { Ok(()) }
    }

    /// Whether the buffer ends inside an event.
    pub fn has_partial_event(&self) -> bool {
        self.bytes.len() > self.complete
    }

    /// The complete events that were not forwarded yet.
    pub fn complete(&self) -> &[u8] {
        self.bytes.get(..self.complete).unwrap_or_default()
    }

    /// Drops the complete events: they were forwarded.
    pub fn drop_complete(&mut self) {
        self.has_forwarded |= self.complete > 0;
        self.bytes.drain(..self.complete);
        self.searched = self.searched.saturating_sub(self.complete);
        self.complete = 0;
    }

    /// The stream has ended as it should: whatever is left counts as complete.
    pub fn finish(&mut self) {
        self.complete = self.bytes.len();
    }

    /// Prepares for a resumed stream: drops the partial event; the first event to come must follow the last one.
    pub fn prepare_resumption(&mut self) {
        self.bytes.clear();
        self.complete = 0;
        self.searched = 0;
        self.is_resumed = self.last_event_id.is_some();
    }

    /// Whether another server could go on behind what was forwarded: nothing was, or the last event had an id.
    pub fn can_resume(&self) -> bool {
        !self.has_forwarded || self.last_event_id.is_some()
    }

    /// The id of the last complete event that had one.
    pub fn last_event_id(&self) -> Option<&[u8]> {
        self.last_event_id.as_deref()
    }

    /// The end of the next complete event, behind its empty line.
    fn find_event_end(&mut self) -> Option<usize> {
        let mut at = self.searched.max(self.complete);
        while let Some(offset) = self.bytes.get(at..)?.iter().position(|byte| *byte == b'\n') {
            let newline = at + offset;
            at = newline + 1;
            if self.is_empty_line(newline) {
                self.searched = at;
                return Some(at);
            }
        }
        self.searched = at;
        None
    }

    /// Whether the line that ends at `newline` is empty, and is not the first one of its event.
    fn is_empty_line(&self, newline: usize) -> bool {
        let event = self.bytes.get(self.complete..newline).unwrap_or_default();
        event.ends_with(b"\n") || event.ends_with(b"\n\r")
    }

    fn record_event_id(&mut self, end: usize) -> Result<(), EventError> {
        let event = self.bytes.get(self.complete..end).unwrap_or_default();
        let Some(id) = parse_event_id(event) else { return Ok(()) };
        if std::mem::replace(&mut self.is_resumed, false) && !follows(self.last_event_id.as_deref(), id) {
            return Err(EventError::RepeatedEvent);
        }
        match &mut self.last_event_id {
            // Reuses the allocation.
            Some(last) => {
                last.clear();
                last.extend_from_slice(id);
            }
            None => self.last_event_id = Some(id.to_vec()),
        }
        Ok(())
    }
}

fn parse_event_id(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
    line.map(<[u8]>::trim_ascii)
}

/// Whether `id` follows `last`: ids that are numbers must increase, others must differ.
fn follows(last: Option<&[u8]>, id: &[u8]) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    let Some(last) = last else { return true };
    match (number(last), number(id)) {
        (Some(last), Some(id)) => id > last,
        _ => last != id,
    }
}
