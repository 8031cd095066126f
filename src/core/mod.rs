//! The decision core: state machines that are fed `(now, event)` and return actions.
//!
//! Nothing here reads a clock, opens a socket, starts a thread or draws from global randomness, so
//! that daemons, randomised runs and benches drive the same code: see
//! `docs/architecture.md`.

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
