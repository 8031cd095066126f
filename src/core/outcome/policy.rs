//! Policies for at-most-once execution: the default, and a baseline for comparison.

/// How a non-idempotent request is prevented from running twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Only the home that the ticket names runs it, after a witness acknowledged it. The witness is
    /// in another data centre if there is one.
    #[default]
    Teaselchute,
    /// Only the home runs it, without a witness.
    HomeOnly,
}
