//! HTTP/1.1 (RFC 9112), for both sides of the proxy.
//!
//! Heads are parsed by `httparse`. Framing, bodies and writing are implemented here instead of by an HTTP
//! library, for three requirements: an idle connection holds no buffer, every byte received after a message
//! is detected, and the writer knows whether the last byte of a request has been sent, which decides whether
//! the request may be retried.

mod body;
#[cfg(test)]
mod body_tests;
mod connection_options;
mod framing;
mod head;
#[cfg(test)]
mod head_tests;
mod socket;
mod write;

pub use body::{BodyDecoder, BodyError, Decoded};
pub use connection_options::ConnectionOptions;
pub use framing::{Framing, FramingError, request_framing, response_framing};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use socket::{
    Fill, fill, fill_lazily, has_nothing_to_read, is_closed_by_peer, read_without_runtime,
    set_server_socket_options,
};
pub use write::{append_chunk, append_content_length, append_field, append_last_chunk, append_number};
