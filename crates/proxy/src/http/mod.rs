//! HTTP/1.1 as the data plane speaks it on both sides.
//!
//! Heads are parsed by `httparse`; framing, bodies and writing are here. A connection that rests holds no buffer, every byte that
//! arrives behind a message is seen, and the writer knows whether the last byte of a message has gone out: a request may be
//! sent again only on that proof.

mod body;
#[cfg(test)]
mod body_tests;
mod framing;
mod head;
mod socket;
mod write;

pub use body::{BodyDecoder, Decoded};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use socket::{Fill, fill, is_ended, is_quiet, prepare, read_now};
pub use write::{chunk, field, is_hop_by_hop, last_chunk, length_field, number};
