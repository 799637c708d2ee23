//! The events of a stream, as far as the data plane has to know them: where they end, and the id of the last one.
//!
//! Only whole events go on: a server that crashes may cut one in the middle, and a resumed stream must not join the halves.

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// What came is no series of events that may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event is too large.
    #[error("an event is too large")]
    TooLarge,
    /// A resumed stream went back.
    #[error("a resumed stream repeats events")]
    RepeatedEvent,
}

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    /// Whole events that may go on, then the beginning of one.
    held: Vec<u8>,
    /// Where the whole events end.
    whole: usize,
    /// Up to where an event's end has been looked for.
    searched: usize,
    last_id: Option<Vec<u8>>,
    has_events: bool,
    is_resumed: bool,
}

impl EventBuffer {
    /// Takes bytes of the stream in.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventError> {
        self.held.extend_from_slice(data);
        while let Some(end) = self.next_end() {
            self.note(end)?;
            self.whole = end;
        }
        if self.held.len() - self.whole > MAX_EVENT_BYTES { Err(EventError::TooLarge) } else { Ok(()) }
    }

    /// Whether the beginning of an event is held.
    pub fn has_partial_event(&self) -> bool {
        self.held.len() > self.whole
    }

    /// The whole events that have not gone on.
    pub fn whole(&self) -> &[u8] {
        self.held.get(..self.whole).unwrap_or_default()
    }

    /// The whole events have gone on.
    pub fn passed(&mut self) {
        self.has_events |= self.whole > 0;
        self.held.drain(..self.whole);
        self.searched = self.searched.saturating_sub(self.whole);
        self.whole = 0;
    }

    /// The stream is complete: what is held goes on as it is.
    pub fn finish(&mut self) {
        self.whole = self.held.len();
    }

    /// The stream is cut: the beginning of an event is dropped, and the next run has to go on behind the last one.
    pub fn resume(&mut self) {
        self.held.clear();
        self.whole = 0;
        self.searched = 0;
        self.is_resumed = self.last_id.is_some();
    }

    /// Whether a next run could go on behind what has gone on: nothing has, or the last event had an id.
    pub fn can_resume(&self) -> bool {
        !self.has_events || self.last_id.is_some()
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// The end of the next whole event: behind an empty line.
    fn next_end(&mut self) -> Option<usize> {
        let mut at = self.searched.max(self.whole);
        while let Some(found) = self.held.get(at..)?.iter().position(|byte| *byte == b'\n') {
            let newline = at + found;
            at = newline + 1;
            if self.is_empty_line(newline) {
                self.searched = at;
                return Some(at);
            }
        }
        self.searched = at;
        None
    }

    /// Whether the line that ends at `newline` is empty, and is not the event's first.
    fn is_empty_line(&self, newline: usize) -> bool {
        let line = self.held.get(self.whole..newline).unwrap_or_default();
        line.ends_with(b"\n") || line.ends_with(b"\n\r")
    }

    fn note(&mut self, end: usize) -> Result<(), EventError> {
        let event = self.held.get(self.whole..end).unwrap_or_default();
        let Some(id) = event_id(event) else { return Ok(()) };
        if std::mem::replace(&mut self.is_resumed, false) && !follows(self.last_id.as_deref(), id) {
            return Err(EventError::RepeatedEvent);
        }
        match &mut self.last_id {
            Some(last) => {
                last.clear();
                last.extend_from_slice(id);
            }
            None => self.last_id = Some(id.to_vec()),
        }
        Ok(())
    }
}

fn event_id(event: &[u8]) -> Option<&[u8]> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"));
    line.map(<[u8]>::trim_ascii)
}

/// Ids that are numbers have to rise; others at least to differ.
fn follows(last: Option<&[u8]>, id: &[u8]) -> bool {
    let number = |id: &[u8]| std::str::from_utf8(id).ok()?.parse::<u64>().ok();
    let Some(last) = last else { return true };
    match (number(last), number(id)) {
        (Some(last), Some(id)) => id > last,
        _ => last != id,
    }
}
