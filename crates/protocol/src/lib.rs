//! The messages between the processes of lugwharf, and their framing: one CBOR value a frame.
//!
//! | link | from, to | messages |
//! | --- | --- | --- |
//! | agent | agent to control, over the agent port | [`AgentRequest`], answered by [`ControlReply`] |
//! | feed | agent to proxy, over loopback | [`FeedMessage`], and [`ProxyReport`] the other way |
//!
//! Links between control processes carry the messages of the crates `chain`, `election` and `distribution` in the same
//! frames.
//!
//! Processes of two versions share a deployment during a rolling upgrade. The names of fields and variants are encoded, so a
//! renamed one keeps its encoded name by `#[serde(rename)]`; unknown fields are ignored. `tests/encoded_forms.rs` fixes every
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
