//! Policies by which a server is chosen: ours, and the baselines it is measured against.

/// How a pool chooses a server for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Shares, limits, fair queues and sampled candidates.
    #[default]
    Teaselchute,
    /// Any server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest calls of this host.
    LeastOutstanding,
    /// The less loaded of two random servers.
    TwoChoices,
}
