//! Tests of the pure core, one module for each module of the core.

mod membership;
mod roster;
mod routing;
mod time;
