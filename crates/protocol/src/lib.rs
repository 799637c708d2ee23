//! The messages exchanged between lugwharf processes, and their framing: one CBOR value per frame.
//!
//! | connection | endpoints | messages |
//! | --- | --- | --- |
//! | agent | agent to control process, over the agent port | [`AgentRequest`], answered by [`ControlReply`] |
//! | feed | agent to proxy, over loopback | [`FeedMessage`]; [`ProxyReport`] in the opposite direction |
//!
//! Connections between control processes use the same framing for the messages of the crate `control`, which
//! contain those of `chain` and `election`.
//!
//! During a rolling upgrade, processes of two versions communicate with each other. The names of fields and
//! variants are part of the encoding, so a renamed field or variant must keep its encoded name through
//! `#[serde(rename)]`. Unknown fields are ignored. `tests/encoded_forms.rs` pins the encoding of every
//! message byte for byte.
#![forbid(unsafe_code)]

mod agent;
mod byte_string;
mod connect;
mod feed;
mod frame;
mod packed;
mod table;

pub use agent::{AgentRequest, ControlReply, ServiceLoad, Update, VersionVector};
pub use connect::connect_from;
pub use feed::{FeedMessage, ProxyReport};
pub use frame::{FrameError, MAX_FRAME_BYTES, decode, encode, read_frame, write_frame};
pub use table::{
    ConfigHash, ConfigRecord, FleetSummary, ModelEntry, ServerDelta, ServerEntry, ServerState, Stage,
    TablePosition,
};
