//! The closed list of invariants.

macro_rules! invariants {
    ($($(#[doc = $help:literal])+ $variant:ident => $name:literal,)+) => {
        /// What must hold at every moment.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Invariant {
            $($(#[doc = $help])+ $variant,)+
        }

        impl Invariant {
            /// All of them, in the order of their numbers.
            pub const ALL: &'static [Invariant] = &[$(Invariant::$variant,)+];

            /// The name in metrics and logs.
            pub fn name(self) -> &'static str {
                match self {
                    $(Invariant::$variant => $name,)+
                }
            }
        }
    };
}

invariants! {
    /// Of the views under one number, all that a process learns of are the same.
    OneViewPerNumber => "one_view_per_number",
    /// Under one ballot only one view is proposed.
    OneValuePerBallot => "one_value_per_ballot",
    /// Of the committed configurations under one version, all that a process learns of are the same.
    OneConfigurationPerVersion => "one_configuration_per_version",
    /// A change is committed only by a chain of at least f + 1 replicas, each of which has synced it.
    AcknowledgedOnEnoughDisks => "acknowledged_on_enough_disks",
    /// The newest committed configuration known to a control process never has a lower version than before.
    CommittedVersionClimbs => "committed_version_climbs",
    /// The configuration held by an agent never has a lower version than before.
    AgentVersionClimbs => "agent_version_climbs",
    /// The configuration in force at a proxy never has a lower version than before.
    ProxyVersionClimbs => "proxy_version_climbs",
    /// A configuration read by the operator is not older than the newest one known to be committed when the read began.
    ReadIsNewest => "read_is_newest",
    /// One fencing token has one holder.
    OneHolderPerToken => "one_holder_per_token",
    /// No order to a server is sent after the sender's lease has ended.
    OrderUnderLease => "order_under_lease",
    /// An answer that goes to a client bears the id of the request that it answers.
    AnswerOfItsRequest => "answer_of_its_request",
    /// A request gets one final answer.
    OneFinalAnswer => "one_final_answer",
    /// A request that must not run twice is handed to no further server once it may have run.
    UnrepeatableSentOnce => "unrepeatable_sent_once",
    /// A request runs at no more servers than its route allows.
    AttemptsBounded => "attempts_bounded",
    /// Each send beyond the first has been paid from the retry budget.
    RetriesPaid => "retries_paid",
    /// Memory read for one request is given to one run of that request, or freed.
    HandleUsedOnce => "handle_used_once",
    /// A process that has finished to drain lets nobody in.
    NothingNewAfterDrain => "nothing_new_after_drain",
    /// The bytes of request bodies that are held stay within their bound, and all are given back.
    BodyBytesBounded => "body_bytes_bounded",
    /// The connections of clients that are open stay within their bound.
    ClientConnectionsBounded => "client_connections_bounded",
    /// Waiting feeds of an agent, and waiting calls of a control process, stay within their bounds.
    WaitersBounded => "waiters_bounded",
}
