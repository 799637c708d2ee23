//! The stamp of a response (`Server-Stamp` header): which execution produced the response, and what its
//! complete body is.

use std::fmt;
use std::str::FromStr;

/// What the complete body of a stamped response is. A client compares the received body with this
/// description.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedBody {
    /// A body of known length and hash.
    Bytes {
        /// The length of the body in bytes.
        length: usize,
        /// [`crate::content::hash`] of the body.
        hash: u64,
    },
    /// A stream of events whose data is derived from a seed.
    Events {
        /// The id of the last event. Ids start at 1.
        last: u64,
        /// The size of the data of each event, in bytes.
        event_bytes: usize,
        /// The seed of the data, see [`crate::content::event_data`].
        seed: u64,
    },
}

/// The stamp that a server puts on a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The id of the server instance that responded.
    pub instance: String,
    /// The number of the execution at that instance, from 1; 0 if nothing was executed.
    pub execution: u64,
    /// The HTTP status of the response.
    pub status: u16,
    /// What the complete body is.
    pub expected_body: ExpectedBody,
}

/// The error for a text that is not a stamp of an emulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid Server-Stamp header")]
pub struct InvalidStamp;

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}.", self.instance, self.execution, self.status)?;
        match self.expected_body {
            ExpectedBody::Bytes { length, hash } => write!(f, "b.{length}.0.{hash:016x}"),
            ExpectedBody::Events { last, event_bytes, seed } => {
                write!(f, "e.{last}.{event_bytes}.{seed:016x}")
            }
        }
    }
}

impl FromStr for Stamp {
    type Err = InvalidStamp;

    fn from_str(text: &str) -> Result<Stamp, InvalidStamp> {
        let fields: Vec<&str> = text.split('.').collect();
        let [instance, execution, status, kind, count, size, seed] = fields[..] else {
            return Err(InvalidStamp);
        };
        let hex = |text| u64::from_str_radix(text, 16).map_err(|_| InvalidStamp);
        let expected_body = match kind {
            "b" => ExpectedBody::Bytes { length: parse(count)?, hash: hex(seed)? },
            "e" => ExpectedBody::Events { last: parse(count)?, event_bytes: parse(size)?, seed: hex(seed)? },
            _ => return Err(InvalidStamp),
        };
        Ok(Stamp {
            instance: instance.to_owned(),
            execution: hex(execution)?,
            status: parse(status)?,
            expected_body,
        })
    }
}

fn parse<T: FromStr>(text: &str) -> Result<T, InvalidStamp> {
    text.parse().map_err(|_| InvalidStamp)
}
