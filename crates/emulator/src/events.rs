//! An incremental parser of server-sent events (`text/event-stream`).

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The id of the event, if it is a number.
    pub id: Option<u64>,
    /// The data of the event. Several `data` lines are joined by newlines.
    pub data: String,
    /// The version of the model weights from this event on, if the event states one.
    pub versions: Option<u64>,
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    pending: Vec<u8>,
}

impl EventParser {
    /// Adds received bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event_bytes: Vec<u8> = self.pending.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&event_bytes)));
        }
        events
    }

    /// Whether the bytes received so far end inside an event.
    pub fn has_partial_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => event.id = value.parse().ok(),
            "versions" => event.versions = value.trim().parse().ok(),
            "data" if event.data.is_empty() => event.data = value.to_owned(),
            "data" => {
                event.data.push('\n');
                event.data.push_str(value);
            }
            _ => {}
        }
    }
    event
}
