//! Simulated operators: they submit, race, resend and read back.

use crate::oracle::Order;
use lugwharf_chain::OperatorRequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// What an operator wants.
#[derive(Clone, Debug)]
pub enum Wish {
    Submit { order: Order, acked_base: bool },
    Read { at_least: u64 },
}

/// A call under way.
#[derive(Clone, Debug)]
pub struct Call {
    pub wish: Wish,
    /// The try under way.
    pub ticket: Option<OperatorRequestId>,
    pub node: usize,
    /// The machines that it may call; all if empty.
    pub only: Vec<usize>,
    /// Each machine is tried once before any is tried again.
    pub tried: BTreeSet<usize>,
    pub tries: u32,
    pub begun: Duration,
    /// Must be acknowledged by then.
    pub must_end_by: Option<Duration>,
}

/// One operator.
#[derive(Default)]
pub struct Operator {
    pub call: Option<Call>,
    pub last_acked: Option<Order>,
    /// Counts its wishes, so that late timers are known as such.
    pub generation: u64,
}

/// The pause before another try.
pub fn pause_before(tries: u32) -> Duration {
    Duration::from_millis(100 * (1 << tries.min(3)))
}
