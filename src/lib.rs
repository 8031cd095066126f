//! A serving system for multi-stage model pipelines, and a library of its coordination parts.
//!
//! The [`core`] decides and is pure. The [`shell`] meets sockets, clocks and threads, and drives the
//! core. The [`edges`] are the traits behind which the platform and the backend servers stand.

pub mod core;
pub mod edges;
pub mod names;
pub mod options;
pub mod shell;
pub mod time;
pub mod utils;
pub mod wire;
