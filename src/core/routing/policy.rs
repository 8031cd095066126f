//! Policies for choosing a server: the one used in production, and baselines for measurements.

/// How a pool chooses a server for a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The production policy: shares, limits, fair queues and the best of a few sampled servers.
    #[default]
    Teaselchute,
    /// A random server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The server with the fewest calls of this host in flight.
    LeastOutstanding,
    /// The server with fewer calls of this host in flight among two random ones.
    TwoChoices,
}
