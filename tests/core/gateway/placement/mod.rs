//! Tests of the placement by latency.

mod engine;
mod model;
mod replay;
mod unchanged;
