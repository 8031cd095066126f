//! Tests of the placement by latency.

mod adaptive;
mod engine;
mod model;
mod replay;
mod unchanged;
