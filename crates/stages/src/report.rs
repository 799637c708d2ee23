//! Stage report of a server.

use lugwharf_protocol::Stage;

/// The part of a server's load report (`GET /report`) that stage planning needs. The report is a few hundred
/// milliseconds old.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageReport {
    /// The stage of the server; the old one until a change is done.
    pub stage: Stage,
    /// Whether the server is carrying out an order (`Busy`).
    pub is_changing_stage: bool,
    /// The number of orders that the server has accepted since its start (`Seq`).
    pub revision: u64,
}

/// Returns the other stage, to which a server of this stage changes.
pub(crate) fn opposite(stage: Stage) -> Stage {
    match stage {
        Stage::Prefill => Stage::Decode,
        Stage::Decode => Stage::Prefill,
    }
}
