//! Moves of a service's traffic to another version of its servers: see `docs/design/rollout.md`.
//!
//! Each host bounds by itself what it sends to the new version ([`ledger`]), and collects the answers of
//! both versions ([`evidence`]). One host, the decider, judges the answers of all hosts ([`judgement`]) and
//! completes or reverts the rollout ([`decider`]).

pub mod decider;
pub mod evidence;
pub mod judgement;
pub mod ledger;
pub mod order;
pub mod versions;

pub use decider::Decider;
pub use evidence::Evidence;
pub use ledger::Ledger;
pub use order::{
    Order,
    Phase,
    Window, //
};
pub use versions::Versions;
