//! The records that the simulator sends, decoded into the decision module's events.

use super::error::WireError;
use super::fields::{Fields, Tail};
use lugwharf_sidecar::api::{
    Arrival, Availability, Event, Origin, Outcome, RequestStatus, ServerEntry, ServerId, TimerId,
};

/// The size of an entry of a server list in the tail, in bytes.
const ENTRY_SIZE: usize = 24;
/// The limit on declared lists. Their numbers are below it.
pub const MAX_LISTS: u32 = 16;
/// The limit on the values of a load report.
const MAX_LOAD_VALUES: usize = 4;

/// A record of a batch. `instance` is the number of the sidecar that the record is for.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts.
    Start { instance: u32, seed: u64, settings: &'a str },
    /// An instance ends at once.
    Kill { instance: u32 },
    /// Declares a server list under a number that later records refer to.
    DeclareList { number: u32, entries: Vec<ServerEntry> },
    /// An answer of discovery.
    Discovery { instance: u32, update: DiscoveryUpdate },
    /// An event that is passed to the decision module unchanged.
    Event { instance: u32, event: Event },
    /// A probe's result, with the values of the server's load report.
    ProbeCompleted { instance: u32, server: ServerId, outcome: Outcome, load_values: Vec<f64> },
    /// A record that this adapter does not use.
    Ignored,
    /// A code that this adapter does not know.
    Unknown(u8),
}

/// An answer of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryUpdate {
    /// The list that was declared under this number.
    List { kind: ListKind, number: u32 },
    /// The call failed.
    Failed,
}

/// What a list contains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list that the instance had last.
    Cached,
}

/// Decodes one record. Byte 0 is the code; bytes 1 to 4 are the instance.
pub(super) fn decode<'a>(fields: &Fields, tail: &Tail<'a>) -> Result<Record<'a>, WireError> {
    let instance = fields.u32(1);
    let event = |event| Ok(Record::Event { instance, event });
    match fields.u8(0) {
        0 => event(Event::Timer(TimerId(fields.u64(5)))),
        1 => event(Event::ClientDisconnected(fields.request_id(5))),
        2 => decode_start(instance, fields, tail),
        3 => decode_list(fields, tail),
        4 => event(decode_outcome(fields)?),
        5 => Ok(Record::Kill { instance }),
        6 => decode_probe(instance, fields),
        // A message of another sidecar. The decision module sends no messages, so it uses none.
        7 => Ok(Record::Ignored),
        8 => decode_discovery(instance, fields),
        9 => event(decode_stream_start(fields)),
        10 => event(Event::Request(decode_arrival(fields))),
        code => Ok(Record::Unknown(code)),
    }
}

fn decode_start<'a>(instance: u32, fields: &Fields, tail: &Tail<'a>) -> Result<Record<'a>, WireError> {
    let text = tail.slice(fields, 13, 1, "settings")?;
    let settings = std::str::from_utf8(text).map_err(|_| WireError::Text(instance))?;
    Ok(Record::Start { instance, seed: fields.u64(5), settings })
}

fn decode_list<'a>(fields: &Fields, tail: &Tail<'a>) -> Result<Record<'a>, WireError> {
    // The record is for no instance; the number of the list takes the place of the instance.
    let number = fields.u32(1);
    if number >= MAX_LISTS {
        return Err(WireError::Code { what: "list number", code: number });
    }
    let bytes = tail.slice(fields, 5, ENTRY_SIZE, "list")?;
    let entries = bytes.chunks_exact(ENTRY_SIZE).map(|entry| decode_entry(&Fields(entry)));
    Ok(Record::DeclareList { number, entries: entries.collect::<Result<_, _>>()? })
}

fn decode_entry(fields: &Fields) -> Result<ServerEntry, WireError> {
    let availability = match fields.u8(0) {
        0 => Availability::Gone,
        1 => Availability::Ready,
        2 => Availability::Draining,
        code => return Err(WireError::Code { what: "availability", code: code.into() }),
    };
    let started_at = fields.time(16);
    Ok(ServerEntry {
        server: fields.server_id(1),
        availability,
        cell: fields.u16(7),
        zone: fields.u16(13),
        machine_type: fields.u8(15),
        weight: fields.f32(9),
        started_at: (!started_at.is_zero()).then_some(started_at),
    })
}

fn decode_outcome(fields: &Fields) -> Result<Event, WireError> {
    Ok(Event::Outcome {
        id: fields.request_id(5),
        attempt: usize::from(fields.u8(9)),
        outcome: decode_outcome_code(fields.u16(16))?,
        elapsed: fields.time(18),
        request_status: if fields.u8(26) == 0 {
            RequestStatus::AwaitingAnswer
        } else {
            RequestStatus::Finished
        },
    })
}

fn decode_outcome_code(code: u16) -> Result<Outcome, WireError> {
    Ok(match code {
        1 => Outcome::Ok,
        2 => Outcome::Error,
        3 => Outcome::Rejected,
        4 => Outcome::Timeout,
        5 => Outcome::ConnectFailed,
        6 => Outcome::Reset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        code => return Err(WireError::Code { what: "outcome", code: code.into() }),
    })
}

fn decode_probe<'a>(instance: u32, fields: &Fields) -> Result<Record<'a>, WireError> {
    let value_count = usize::from(fields.u8(21)).min(MAX_LOAD_VALUES);
    Ok(Record::ProbeCompleted {
        instance,
        server: fields.server_id(5),
        outcome: decode_outcome_code(fields.u16(11))?,
        load_values: (0..value_count).map(|index| fields.f32(22 + 4 * index)).collect(),
    })
}

fn decode_discovery<'a>(instance: u32, fields: &Fields) -> Result<Record<'a>, WireError> {
    let list = |kind| DiscoveryUpdate::List { kind, number: fields.u32(10) };
    let update = match fields.u8(5) {
        0 => list(ListKind::Full),
        1 => list(ListKind::Delta),
        2 => DiscoveryUpdate::Failed,
        3 => list(ListKind::Cached),
        code => return Err(WireError::Code { what: "kind of list", code: code.into() }),
    };
    Ok(Record::Discovery { instance, update })
}

fn decode_stream_start(fields: &Fields) -> Event {
    let (id, attempt) = (fields.request_id(5), usize::from(fields.u8(9)));
    Event::StreamStarted { id, attempt, elapsed: fields.time(16) }
}

fn decode_arrival(fields: &Fields) -> Arrival {
    let attributes = fields.u16(38);
    let (has_cost, is_retry) = (attributes & 1 != 0, attributes & 2 != 0);
    Arrival {
        id: fields.request_id(5),
        class: usize::from(fields.u8(37)),
        cost: has_cost.then(|| fields.time(9)),
        client_timeout: fields.time(25),
        origin: if is_retry { Origin::ClientRetry } else { Origin::Fresh },
    }
}

#[cfg(test)]
#[path = "record_tests.rs"]
mod tests;
