//! The messages between the processes of lugwharf: typed, in CBOR, one frame each.
//!
//! | link | from, to | messages |
//! | --- | --- | --- |
//! | agent | agent to control, over the agent port | [`AgentRequest`], answered by [`ControlReply`] |
//! | feed | agent to proxy, over loopback | [`FeedMessage`], and [`ProxyReport`] the other way |
//!
//! Links between control processes carry the messages of the crates `chain`, `election` and `distribution` in the same
//! frames.
#![forbid(unsafe_code)]

mod agent;
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
    ConfigRecord, FleetSummary, ModelEntry, ServerDelta, ServerEntry, ServerState, Stage, TablePosition,
};
