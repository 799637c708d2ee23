//! The list of all invariants. Alerts match the metric labels, so the labels must not change. Each variant is
//! named after its label.

macro_rules! invariants {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// A condition that must hold at all times.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Invariant {
            $($(#[doc = $help])+ $variant,)+
        }

        impl Invariant {
            /// All invariants, in the order of their discriminants.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$variant,)+];

            /// Returns the invariant's name in metrics (label `invariant`) and logs.
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$variant => $name,)+
                }
            }
        }
    };
}

invariants! {
    /// All membership views that a process learns with the same view number are equal.
    OneViewPerNumber => "one_view_per_number",
    /// At most one view is proposed under a proposal number (ballot).
    OneValuePerBallot => "one_value_per_ballot",
    /// All committed configurations that a process learns with the same version are equal.
    OneConfigurationPerVersion => "one_configuration_per_version",
    /// A change is committed only if it is synced to disk on every replica of a chain of at least f + 1
    /// replicas.
    AcknowledgedOnEnoughDisks => "acknowledged_on_enough_disks",
    /// The version of the latest committed configuration known to a control process never decreases.
    CommittedVersionClimbs => "committed_version_climbs",
    /// The version of an agent's configuration never decreases.
    AgentVersionClimbs => "agent_version_climbs",
    /// The version of a proxy's active configuration never decreases.
    ProxyVersionClimbs => "proxy_version_climbs",
    /// An operator's read is linearizable: it does not return a configuration older than the latest one known
    /// to be committed when the read began.
    ReadIsNewest => "read_is_newest",
    /// Control processes at the same position of the server list have the same list.
    OneListPerPosition => "one_list_per_position",
    /// Each fencing token belongs to at most one lease holder.
    OneHolderPerToken => "one_holder_per_token",
    /// No order is sent to a server after the sender's lease has expired.
    OrderUnderLease => "order_under_lease",
    /// A response forwarded to a client carries the id of the request that it answers.
    AnswerOfItsRequest => "answer_of_its_request",
    /// A request gets exactly one final response.
    OneFinalAnswer => "one_final_answer",
    /// A non-idempotent request is not sent to another server once it may have been executed.
    UnrepeatableSentOnce => "unrepeatable_sent_once",
    /// The number of servers that have executed a request, or may have, does not exceed the maximum that its
    /// route allows.
    AttemptsBounded => "attempts_bounded",
    /// Each attempt after the first one is charged to the retry budget.
    RetriesPaid => "retries_paid",
    /// The handle of a prefilled KV cache is either used by exactly one decode attempt of its request or
    /// freed.
    HandleUsedOnce => "handle_used_once",
    /// A proxy that has finished draining admits no new request.
    NothingNewAfterDrain => "nothing_new_after_drain",
    /// The number of buffered request body bytes stays within its limit, and all of them are released.
    BodyBytesBounded => "body_bytes_bounded",
    /// The number of open client connections stays within its limit.
    ClientConnectionsBounded => "client_connections_bounded",
    /// The number of waiting feeds of an agent and of pending requests at a control process stay within their
    /// limits.
    WaitersBounded => "waiters_bounded",
}
