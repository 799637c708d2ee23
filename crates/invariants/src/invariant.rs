//! The closed list of invariants. Each variant spells the name of its metric label, which alarms are written against, so the
//! names stay as they are.

macro_rules! invariants {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// A condition that holds at every moment.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Invariant {
            $($(#[doc = $help])+ $variant,)+
        }

        impl Invariant {
            /// All invariants, in the order of their discriminants.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$variant,)+];

            /// The name in metrics (label `invariant`) and logs.
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$variant => $name,)+
                }
            }
        }
    };
}

invariants! {
    /// All views that a process learns under one view number are equal.
    OneViewPerNumber => "one_view_per_number",
    /// Under one proposal number (ballot) only one view is proposed.
    OneValuePerBallot => "one_value_per_ballot",
    /// All committed configurations that a process learns under one version are equal.
    OneConfigurationPerVersion => "one_configuration_per_version",
    /// A change commits only on a chain of at least f + 1 replicas, each of which has synced it to disk.
    AcknowledgedOnEnoughDisks => "acknowledged_on_enough_disks",
    /// The version of the newest committed configuration that a control process knows never decreases.
    CommittedVersionClimbs => "committed_version_climbs",
    /// The version of the configuration of an agent never decreases.
    AgentVersionClimbs => "agent_version_climbs",
    /// The version of the configuration in force at a proxy never decreases.
    ProxyVersionClimbs => "proxy_version_climbs",
    /// A read by the operator is linearizable: it returns no older configuration than the newest one known to be committed when
    /// the read began.
    ReadIsNewest => "read_is_newest",
    /// Each fencing token belongs to one lease holder.
    OneHolderPerToken => "one_holder_per_token",
    /// No order to a server is sent after the lease of its sender has expired.
    OrderUnderLease => "order_under_lease",
    /// A response that is forwarded to a client carries the id of the request that it answers.
    AnswerOfItsRequest => "answer_of_its_request",
    /// A request gets exactly one final response.
    OneFinalAnswer => "one_final_answer",
    /// A request that is not idempotent is sent to no further server once it may have been executed.
    UnrepeatableSentOnce => "unrepeatable_sent_once",
    /// A request is attempted at no more servers than its route allows.
    AttemptsBounded => "attempts_bounded",
    /// Each attempt after the first was withdrawn from the retry budget.
    RetriesPaid => "retries_paid",
    /// The handle of a prefilled KV cache is used by one decode attempt of its request, or freed.
    HandleUsedOnce => "handle_used_once",
    /// A proxy that has finished draining admits no request.
    NothingNewAfterDrain => "nothing_new_after_drain",
    /// The buffered bytes of request bodies stay within their limit, and all of them are released.
    BodyBytesBounded => "body_bytes_bounded",
    /// The open client connections stay within their limit.
    ClientConnectionsBounded => "client_connections_bounded",
    /// The waiting feeds of an agent, and the pending requests of a control process, stay within their limits.
    WaitersBounded => "waiters_bounded",
}
