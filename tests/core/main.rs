//! Tests of the pure core, one module for each module of the core.

#[path = "../../examples/driver/mod.rs"]
mod driver;

mod address;
mod benchmark;
mod document;
mod edits;
mod gateway;
mod membership;
mod node;
mod options;
mod orders;
mod outcome;
mod placement;
mod replica;
mod roster;
mod routing;
mod samples;
mod sse;
mod state;
mod time;
mod timeline;
mod wire;
