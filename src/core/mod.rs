//! The pure core: state machines that take `(now, event)` and return actions.
//!
//! It reads no clock, opens no socket, starts no thread and uses no global randomness, so that
//! daemons, randomised simulations and benches run the same code: see `docs/architecture.md`.

pub mod address;
pub mod benchmark;
pub mod call;
pub mod decision;
pub mod document;
pub mod gateway;
pub mod host;
pub mod log;
pub mod membership;
pub mod mutation;
pub mod node;
pub mod orders;
pub mod outcome;
pub mod placement;
pub mod refusal;
pub mod replica;
pub mod roster;
pub mod routing;
pub mod state;
pub mod timeline;
pub mod view;
