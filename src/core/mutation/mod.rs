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
}

/// All mutations with their names.
pub const ALL: &[(&str, Mutation)] = &[];

impl Mutation {
    /// Returns whether this mutation is compiled in and chosen.
    pub fn is(self, other: Self) -> bool {
        cfg!(feature = "mutations") && self == other
    }
}
