//! An incremental parser of server-sent events (`text/event-stream`).

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it is a number.
    pub id: Option<u64>,
    /// Its data; several lines are joined by a newline.
    pub data: String,
    /// The version of the weights from here on, if the event says so.
    pub versions: Option<u64>,
}

/// Collects bytes and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    pending: Vec<u8>,
}

impl EventParser {
    /// Adds bytes; returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.pending.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let expected_body: Vec<u8> = self.pending.drain(..end + 2).collect();
            events.push(parse(&String::from_utf8_lossy(&expected_body)));
        }
        events
    }

    /// Whether a partial event is pending.
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
