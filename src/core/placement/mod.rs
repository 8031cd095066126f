//! Placement of models on engines, from damped demand.
//!
//! See `docs/placement-design.md`.
