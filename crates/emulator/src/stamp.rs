//! The stamp of a response (`Server-Stamp`): the execution that made it, and its complete body.

use std::fmt;
use std::str::FromStr;

/// The complete body of a stamped response, so that a client can check what it got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedBody {
    /// A body of known length and hash.
    Bytes {
        /// Its length in bytes.
        length: usize,
        /// [`crate::content::hash`] of the body.
        hash: u64,
    },
    /// A stream of events that follow from a seed.
    Events {
        /// The id of the last event; ids begin at 1.
        last: u64,
        /// Bytes of data in each event.
        event_bytes: usize,
        /// The seed of the events' data.
        seed: u64,
    },
}

/// A server's stamp on a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The incarnation that responded.
    pub instance: String,
    /// The number of the execution in that incarnation, from 1; 0 if nothing was executed.
    pub run: u64,
    /// The status of the response.
    pub status: u16,
    /// The complete body.
    pub expected_body: ExpectedBody,
}

/// The text is no stamp of an emulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a server's stamp")]
pub struct InvalidStamp;

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:x}.{}.", self.instance, self.run, self.status)?;
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
        let [instance, run, status, kind, count, size, seed] = fields[..] else {
            return Err(InvalidStamp);
        };
        let hex = |text| u64::from_str_radix(text, 16).map_err(|_| InvalidStamp);
        let expected_body = match kind {
            "b" => ExpectedBody::Bytes { length: parse(count)?, hash: hex(seed)? },
            "e" => ExpectedBody::Events { last: parse(count)?, event_bytes: parse(size)?, seed: hex(seed)? },
            _ => return Err(InvalidStamp),
        };
        Ok(Stamp { instance: instance.to_owned(), run: hex(run)?, status: parse(status)?, expected_body })
    }
}

fn parse<T: FromStr>(text: &str) -> Result<T, InvalidStamp> {
    text.parse().map_err(|_| InvalidStamp)
}
