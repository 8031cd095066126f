//! Address lookup: which entry hosts a caller should use, and for how long.
//!
//! See `docs/address-design.md`.
