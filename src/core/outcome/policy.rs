//! Policies by which requests run at most once: ours, and a baseline.

/// How a non-idempotent request is kept from running twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// By the home that its ticket names, and a witness in another data centre.
    #[default]
    Teaselchute,
    /// By the home alone.
    HomeOnly,
}
