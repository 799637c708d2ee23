//! What a server says of its own stage.

use lugwharf_protocol::Stage;

/// The part of a server's load report (`GET /report`) that stage planning needs. It is some hundred milliseconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageReport {
    /// The stage that the server has, until a change of it is done.
    pub stage: Stage,
    /// Whether it is carrying an order out (`Busy`).
    pub is_changing_stage: bool,
    /// How many orders it has accepted since its start (`Seq`).
    pub revision: u64,
}

/// The stage to which a server with this one changes.
pub(crate) fn opposite(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
