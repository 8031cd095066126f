//! Faults that are put into the core on purpose, to show that its invariants and checks bite.
//!
//! They are compiled in for tests and examples alone, by the feature `mutations`: in a daemon
//! [`Mutation::is`] is always false. The table of what catches each: `docs/proof.md`.

/// A fault in the core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mutation {
    /// None, as in all daemons.
    #[default]
    None,
    /// A witness says that it sealed a request, and forgets it.
    DropSeal,
    /// A home sends an order without its witness's acknowledgement.
    SkipWitness,
    /// A home sends an order again after the first send may have reached a server.
    RepeatOrders,
    /// An answer goes to the caller before the right one.
    CrossAnswers,
    /// An answer lacks its last byte.
    TruncateAnswers,
    /// A host sends work into data centres and to servers that were taken out.
    IgnoreDrains,
    /// A host starts new work however old its news is.
    IgnoreAge,
    /// A host takes the whole of a cold server as its share.
    TakeWholeShare,
    /// A host serves before its state is as new as what was accepted before it started.
    ServeEarly,
    /// A controller forgets to send its orders.
    DropOrders,
    /// A host gives a change the newest base in place of the one that its operator saw.
    Rebase,
}

/// All mutations with their names.
pub const ALL: &[(&str, Mutation)] = &[
    ("drop_seal", Mutation::DropSeal),
    ("skip_witness", Mutation::SkipWitness),
    ("repeat_orders", Mutation::RepeatOrders),
    ("cross_answers", Mutation::CrossAnswers),
    ("truncate_answers", Mutation::TruncateAnswers),
    ("ignore_drains", Mutation::IgnoreDrains),
    ("ignore_age", Mutation::IgnoreAge),
    ("take_whole_share", Mutation::TakeWholeShare),
    ("serve_early", Mutation::ServeEarly),
    ("drop_orders", Mutation::DropOrders),
    ("rebase", Mutation::Rebase),
];

impl Mutation {
    /// Returns whether this mutation is compiled in and chosen.
    pub fn is(self, other: Self) -> bool {
        cfg!(feature = "mutations") && self == other
    }
}
