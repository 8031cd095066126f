//! Decisions of an entry host that forwards plain HTTP requests: see `docs/platform-design.md`.
//!
//! Each module takes the current time and events, and returns decisions. Sockets, clocks and tasks
//! are in [`crate::shell::gateway`].

pub mod balance;
pub mod batch;
pub mod budget;
pub mod cache;
pub mod config;
pub mod content;
pub mod dispatch;
pub mod holding;
pub mod hosts;
pub mod limits;
pub mod lookup;
pub mod mac;
pub mod pause;
pub mod placement;
pub mod plan;
pub mod position;
pub mod quarantine;
pub mod quota;
pub mod rate;
pub mod recent;
pub mod retry;
pub mod rollout;
pub mod servers;
pub mod shutdown;
pub mod spillover;
pub mod stream;
pub mod window;
