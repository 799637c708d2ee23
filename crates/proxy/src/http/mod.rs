//! HTTP/1.1 (RFC 9112), for both sides of the proxy.
//!
//! Heads are parsed by `httparse`; framing, bodies and writing are here rather than in an HTTP library, for three needs: an idle
//! connection holds no buffer, every byte behind a message is noticed, and the writer knows whether the last byte of a request
//! was sent, without which it must not be retried.

mod body;
#[cfg(test)]
mod body_tests;
mod framing;
mod head;
mod socket;
mod write;

pub use body::{BodyDecoder, BodyError, Decoded};
pub use framing::{Framing, FramingError, request_framing, response_framing};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use socket::{Fill, fill, is_ended, is_quiet, prepare, read_now};
pub use write::{chunk, field, is_hop_by_hop, last_chunk, length_field, number};
