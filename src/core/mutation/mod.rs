//! Faults that are injected into the core, to show that its invariants and tests detect them.
//!
//! The feature `mutations` compiles them in, for tests and examples only: in a daemon
//! [`Mutation::is_active`] is always false. Which check detects which fault: see `docs/proof.md`.

/// An injected fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    /// No fault, as in every daemon.
    #[default]
    None,
    /// A witness reports that it sealed a request, but does not store the seal.
    DropSeal,
    /// A home runs a non-idempotent request without the acknowledgement of its witness.
    SkipWitness,
    /// A home repeats a non-idempotent call although the first one may have reached a server.
    RepeatOrders,
    /// An answer is sent to the caller with the next lower number.
    CrossAnswers,
    /// An answer lacks its last byte.
    TruncateAnswers,
    /// A host sends calls to drained data centres and servers.
    IgnoreDrains,
    /// A host starts new work however stale its state is.
    IgnoreStaleness,
    /// A host uses the whole capacity of a cold server as its share.
    TakeWholeShare,
    /// A host serves before its state has caught up with the changes accepted before its start.
    ServeEarly,
    /// A controller does not send its orders.
    DropOrders,
    /// A host replaces the base revision of a change by the newest one.
    Rebase,
}

/// All mutations except [`Mutation::None`], with their names.
pub const ALL: &[(&str, Mutation)] = &[
    ("drop_seal", Mutation::DropSeal),
    ("skip_witness", Mutation::SkipWitness),
    ("repeat_orders", Mutation::RepeatOrders),
    ("cross_answers", Mutation::CrossAnswers),
    ("truncate_answers", Mutation::TruncateAnswers),
    ("ignore_drains", Mutation::IgnoreDrains),
    ("ignore_age", Mutation::IgnoreStaleness),
    ("take_whole_share", Mutation::TakeWholeShare),
    ("serve_early", Mutation::ServeEarly),
    ("drop_orders", Mutation::DropOrders),
    ("rebase", Mutation::Rebase),
];

impl Mutation {
    /// Returns whether the other mutation is the chosen one and mutations are compiled in.
    pub fn is_active(self, other: Self) -> bool {
        cfg!(feature = "mutations") && self == other
    }
}
