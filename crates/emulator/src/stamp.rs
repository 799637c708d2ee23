//! What a server signs a response with: which run made it, and what its whole body is.

use std::fmt;
use std::str::FromStr;

/// What the body of a stamped response has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedBody {
    /// A body of so many bytes with that hash.
    Bytes {
        /// Bytes.
        length: usize,
        /// [`crate::content::hash`] of the body.
        hash: u64,
    },
    /// A stream whose last event has that id.
    Events {
        /// The id of the last event; ids begin at 1.
        last: u64,
        /// Bytes of data in each event.
        event_bytes: usize,
        /// The seed of the events' data.
        seed: u64,
    },
}

/// A server's signature under a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// The incarnation that answered.
    pub instance: String,
    /// Counts the runs of that incarnation from 1; 0 where nothing ran.
    pub run: u64,
    /// The status that the server gave.
    pub status: u16,
    /// The whole body.
    pub expected_body: ExpectedBody,
}

/// The text is no stamp of these servers.
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
